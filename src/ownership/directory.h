#pragma once

/// A node's copy of the replicated state: members, placements, adoptions, seals and certificates.
/// An adoption announces the placement version that a member has adopted. A seal is a voter's
/// permanent refusal to renew the lease of an incarnation. A certificate proves that the lease
/// ended permanently.

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
    time_point last_message_time; ///< last message from the member itself
    bool in_store = false;        ///< the row was seen in the store
    unsigned store_absences = 0;  ///< complete readings of the store without the row
    unsigned probes = 0;          ///< probes since the last message from the member
};

/// Replicated state. The result of merging does not depend on the order in which items arrive.
/// "Open" versions are the current and the previous version of each placement. Not thread-safe.
class directory {
public:
    /// Bounds on the number and the age of the certificates of incarnations that are in no open
    /// version. Such certificates are kept for a while, so that delayed copies of the incarnations'
    /// rows are refused.
    static constexpr std::size_t closed_certificate_limit = 1024;
    static constexpr std::chrono::minutes closed_certificate_age{10};
    /// Bound on the adoptions kept for members of placement versions that this node has not
    /// received yet.
    static constexpr std::size_t early_adoption_limit = 1024;
    static constexpr std::size_t seal_holder_limit = 4096;

    /// The `merge` functions return true if the item changed the state.
    bool merge(time_point now, const member_row& row);
    bool merge(const placement& record);
    bool merge(const adoption& item);
    bool merge(const certificate& item);
    bool merge(const seal& item);

    /// Records the time of a message from a member.
    void on_message_from(time_point now, incarnation_id from);
    /// True if a message from the member itself arrived within the last `age`.
    [[nodiscard]] bool heard_within(time_point now, incarnation_id id,
                                    std::chrono::nanoseconds age) const;
    /// Call when a reading of the store contains the row of another member. If the member is in no
    /// open version and has been silent for long, counts a probe, which the caller must send.
    /// Returns true after enough unanswered probes. The row may then be removed from the store
    /// without a certificate, because none can be formed if all of the member's witnesses are lost.
    bool probe_unplaced(time_point now, incarnation_id id);
    /// Applies a complete reading of the members in the store. `began` is when the reading began.
    /// Drops members that are neither in the store nor in an open version.
    void on_store_members(time_point now, time_point began,
                          const std::vector<incarnation_id>& present, incarnation_id self);
    /// Drops adoptions, members and certificates that no open version needs. Call every few
    /// seconds.
    void prune(time_point now, incarnation_id self);

    [[nodiscard]] const member_row* find(incarnation_id id) const;
    [[nodiscard]] const known_member* find_known(incarnation_id id) const;
    [[nodiscard]] const certificate* certificate_of(incarnation_id id) const;
    [[nodiscard]] const adoption* adoption_of(incarnation_id id) const;
    [[nodiscard]] std::shared_ptr<const placement_view>
    placement_of(const std::string& service) const;
    /// True if the incarnation is a member of an open version of any service.
    [[nodiscard]] bool is_in_open_version(incarnation_id id) const;
    /// When an ended incarnation was first found to be in no open version. None if it is in an open
    /// version.
    [[nodiscard]] std::optional<time_point> closed_since(incarnation_id id) const;
    /// Derives a certificate from the known seals of a holder. None if they do not prove the end
    /// of the holder.
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
    [[nodiscard]] const seal_table& seals() const { return seals_; }
    /// Members that have not ended, without `self`, ascending by incarnation.
    [[nodiscard]] std::vector<const member_row*> live_rows(incarnation_id self) const;

    /// Hashes of the state. They exclude items that nodes may drop at different times, so that
    /// nodes with equivalent state have equal hashes.
    [[nodiscard]] digest summary() const;

private:
    std::map<incarnation_id, known_member> members_;
    std::map<incarnation_id, certificate> certificates_;
    std::map<incarnation_id, adoption> adoptions_;
    std::map<std::string, std::shared_ptr<const placement_view>> placements_;
    std::map<incarnation_id, time_point> closed_since_;
    seal_table seals_;
};

/// True if row `left` replaces row `right` of the same incarnation. An ended row wins over one that
/// is not ended. Otherwise the higher set version wins, then the later state, then an arbitrary but
/// fixed order.
bool supersedes(const member_row& left, const member_row& right);

} // namespace bulrushgw::ownership
