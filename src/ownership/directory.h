#pragma once

/// What a node knows of members, placements, adoptions, seals and certificates.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "ownership/candidates.h"
#include "ownership/certificates.h"
#include "ownership/messages.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

struct known_member {
    member_row row;
    std::uint64_t hash = 0;
    time_point first_seen;
    time_point heard; ///< last message from the member itself
    bool in_store = false;
    unsigned store_absences = 0; ///< complete store readings without the row
    unsigned probes = 0;         ///< unanswered questions whether it lives
};

/// Shared state, merged by rules that do not depend on the order of arrival.
/// Not thread-safe.
class directory {
public:
    /// Certificates kept of incarnations that are in no open version, and for
    /// how long. A late copy of such an incarnation's row is refused by them.
    static constexpr std::size_t closed_limit = 1024;
    static constexpr std::chrono::minutes closed_age{10};
    /// Bound on adoptions of members of versions that are not known yet.
    static constexpr std::size_t early_adoption_limit = 1024;
    static constexpr std::size_t seal_holder_limit = 4096;

    /// Each returns true when the item told something new.
    bool merge(time_point now, const member_row& row);
    bool merge(const placement& record);
    bool merge(const adoption& item);
    bool merge(const certificate& item);
    bool merge(const seal& item);

    void on_heard(time_point now, incarnation_id from);
    /// True when the member itself sent a message in the last `age`.
    [[nodiscard]] bool is_heard(time_point now, incarnation_id id,
                                std::chrono::nanoseconds age) const;
    /// Notes a reading of the store that has the row of a member which is in no
    /// open version. Returns true when the member was asked often enough without
    /// an answer that its row may go: its witnesses may all be lost, so that no
    /// certificate can remove it. The caller asks it each time.
    bool probe_unplaced(time_point now, incarnation_id id);
    /// Applies a complete reading of the members in the store that began at
    /// `began`: rows that are gone there and in no open version are dropped.
    void on_store_members(time_point now, time_point began,
                          const std::vector<incarnation_id>& present, incarnation_id self);
    /// Drops what no open version needs. Call every few seconds.
    void forget(time_point now, incarnation_id self);

    [[nodiscard]] const member_row* find(incarnation_id id) const;
    [[nodiscard]] const known_member* find_known(incarnation_id id) const;
    [[nodiscard]] const certificate* certificate_of(incarnation_id id) const;
    [[nodiscard]] const adoption* adoption_of(incarnation_id id) const;
    [[nodiscard]] std::shared_ptr<const placement_view>
    placement_of(const std::string& service) const;
    [[nodiscard]] bool is_open(incarnation_id id) const;
    /// Since when an ended incarnation is known to be in no open version.
    [[nodiscard]] std::optional<time_point> closed_since(incarnation_id id) const;
    /// A proof from the seals of a holder that has no certificate yet.
    [[nodiscard]] std::optional<certificate> prove(incarnation_id holder) const;

    [[nodiscard]] const std::map<incarnation_id, known_member>& members() const { return members_; }
    [[nodiscard]] const std::map<incarnation_id, certificate>& certificates() const
    {
        return certificates_;
    }
    [[nodiscard]] const std::map<incarnation_id, adoption>& adoptions() const { return adoptions_; }
    [[nodiscard]] const std::map<std::string, std::shared_ptr<const placement_view>>&
    placements() const
    {
        return placements_;
    }
    [[nodiscard]] const seal_book& seals() const { return seals_; }
    /// Members without a certificate, other than `self`, ascending.
    [[nodiscard]] std::vector<const member_row*> live_rows(incarnation_id self) const;

    /// Hashes of the sections. They leave out what nodes may forget at
    /// different times, so that nodes in agreement have equal hashes.
    [[nodiscard]] digest summary() const;

private:
    std::map<incarnation_id, known_member> members_;
    std::map<incarnation_id, certificate> certificates_;
    std::map<incarnation_id, adoption> adoptions_;
    std::map<std::string, std::shared_ptr<const placement_view>> placements_;
    std::map<incarnation_id, time_point> closed_since_;
    seal_book seals_;
};

/// True when `left` replaces `right`: an end first, then the higher set version,
/// then the later state, and at last any fixed order.
bool supersedes(const member_row& left, const member_row& right);

} // namespace bulrushgw::ownership
