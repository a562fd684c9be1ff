#pragma once

/// Forms certificates from the seals of an incarnation's voters.

#include <map>
#include <optional>
#include <vector>

#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Seals of incarnations that have no certificate yet. Not thread-safe.
class seal_book {
public:
    /// Seals kept for one holder; those of the lowest set versions go first.
    static constexpr std::size_t seals_per_holder = 8;

    /// True when the seal was not known.
    bool add(const seal& item);
    /// A certificate that the known seals of the holder prove.
    [[nodiscard]] std::optional<certificate> prove(incarnation_id holder) const;
    /// Drops the seals of a holder whose certificate is known.
    void forget(incarnation_id holder);
    [[nodiscard]] std::vector<seal> all() const;
    [[nodiscard]] const std::vector<seal>* of(incarnation_id holder) const;
    [[nodiscard]] std::size_t holders() const { return seals_.size(); }

private:
    std::map<incarnation_id, std::vector<seal>> seals_;
};

/// Certificate from two seals, or none when they do not prove the end. Two own
/// seals of both witnesses of one set version do; a witness seal made in answer
/// to a holder seal does by itself, because the witness made it on receipt of
/// the holder's. A witness's earlier own seal and a holder seal do not: the
/// other witness may still complete a certificate with another adopted version.
std::optional<certificate> certificate_of(const seal& first, const seal& second);

} // namespace bulrushgw::ownership
