#pragma once

/// Computes the next placement of a service. The functions have no side effects. A certificate
/// proves that the lease of an incarnation ended permanently.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ownership/candidates.h"
#include "ownership/directory.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// With fewer live members than this, the number of joins is not limited, because the service is
/// still starting.
inline constexpr std::size_t unbounded_join_members = 3;
/// Largest number of members that one proposal may add: a quarter of the live members, but at least
/// two, so that the members of a recovering availability zone join in steps.
std::size_t join_limit(std::size_t live_members);

/// True if `wanted` differs from `current`, the weight in the placement, by at least a quarter of
/// `current`. Smaller changes are not proposed.
bool is_weight_change(std::uint32_t current, std::uint32_t wanted);

/// True if a new version may be proposed. For this, each member of the previous and the current
/// version must have ended, or must have adopted the current version and have no requests in flight
/// for ranges that it lost in that version. Members in `except` are not checked.
bool may_propose(const placement_view& view, const directory& shared,
                 const std::vector<incarnation_id>& except = {});

struct plan_inputs {
    std::string service;
    std::uint32_t ranges = 0;
    incarnation_id proposer;
    const placement_view* newest = nullptr; ///< null: no placement yet
    const directory* shared = nullptr;
    time_point now;      ///< to compute the age of the last message of each member
    bool may_add = true; ///< false during the pause after the last addition
    std::optional<std::uint32_t> own_weight;      ///< new weight of the proposer
    std::map<range_id, incarnation_id> overrides; ///< to add to those of the current version
    /// Ranges that the rules pin to an availability zone, with that zone.
    std::map<range_id, std::string> pinned_zones;
};

/// A member is added only if a message from it arrived this recently, or if it is the proposer. If
/// a dead member were added, its ranges would be unserved until a certificate proves the member's
/// end. If the member's witnesses are dead too, no certificate can be formed.
inline constexpr std::chrono::seconds joiner_message_age{5};
/// Members that can be added to the placement, ascending.
std::vector<incarnation_id> waiting_members(const plan_inputs& inputs);
/// Members of the current version that ended or are leaving.
std::vector<incarnation_id> departing_members(const plan_inputs& inputs);

/// The next placement, or none if nothing needs to change.
std::optional<placement> plan(const plan_inputs& inputs);

/// Number of ranges whose owner (first live candidate) differs between the two versions in `next`.
std::size_t count_moves(const placement& next, const directory& shared);

} // namespace bulrushgw::ownership
