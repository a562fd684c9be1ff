#pragma once

/// Derives certificates from the seals of an incarnation. A seal is a voter's permanent refusal to
/// renew a lease, and a certificate is the proof that the lease ended permanently.

#include <map>
#include <optional>
#include <vector>

#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Seals of incarnations that have no certificate yet. Not thread-safe.
class seal_table {
public:
    /// Bound on the seals kept per holder; those of the lowest set versions are dropped first.
    static constexpr std::size_t seals_per_holder = 8;

    /// Returns true if the seal is new and was kept.
    bool add(const seal& item);
    /// Derives a certificate from the holder's known seals. None if they do not prove the end of
    /// the holder.
    [[nodiscard]] std::optional<certificate> prove(incarnation_id holder) const;
    /// Drops the seals of a holder. Call when the holder's certificate is known.
    void remove(incarnation_id holder);
    [[nodiscard]] std::vector<seal> all() const;
    [[nodiscard]] const std::vector<seal>* of(incarnation_id holder) const;
    [[nodiscard]] std::size_t holders() const { return seals_.size(); }

private:
    std::map<incarnation_id, std::vector<seal>> seals_;
};

/// Derives a certificate from two seals, which may be the same seal. None if they do not prove the
/// end of the holder. The end is proven by:
/// - the seals of both witnesses of one set version;
/// - a single witness seal with `with_holder`, because it implies a holder seal.
/// It is not proven by a holder seal together with a witness seal made independently of it. The
/// other witness could still complete a certificate with a different adopted version.
std::optional<certificate> certificate_of(const seal& first, const seal& second);

} // namespace bulrushgw::ownership
