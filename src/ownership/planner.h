#pragma once

/// Decides what the next placement of a service should be. Pure functions.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ownership/candidates.h"
#include "ownership/directory.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Below this number of live members joins are not bounded, since the service
/// is only starting.
inline constexpr std::size_t unbounded_join_members = 3;
/// A proposal adds at most a quarter of the live members, and at least two, so
/// that a returning availability zone comes back in steps.
std::size_t join_limit(std::size_t live_members);

/// A weight is proposed again when it differs by at least a quarter.
bool is_weight_change(std::uint32_t current, std::uint32_t wanted);

/// Proposing condition: to the caller's knowledge every member of the previous
/// and the current version has adopted the current one and drained what it lost
/// before, or ended. `except` is not checked.
bool may_propose(const placement_view& view, const directory& shared,
                 const std::vector<incarnation_id>& except = {});

struct plan_inputs {
    std::string service;
    std::uint32_t ranges = 0;
    incarnation_id proposer;
    const placement_view* newest = nullptr; ///< null: no placement yet
    const directory* shared = nullptr;
    time_point now;      ///< for the ages of what the proposer heard
    bool may_add = true; ///< the pause after the last addition is over
    std::optional<std::uint32_t> own_weight;
    std::map<range_id, incarnation_id> overrides; ///< to add
};

/// A joining member other than the proposer must have been heard this recently.
/// A member that died before its joining would wait for its certificate, and
/// for ever if its witnesses died too.
inline constexpr std::chrono::seconds joiner_heard_age{5};
/// Members that are ready and not in the placement, ascending.
std::vector<incarnation_id> waiting_members(const plan_inputs& inputs);
/// Members of the current version that ended or asked to leave.
std::vector<incarnation_id> departing_members(const plan_inputs& inputs);

/// The next placement, or none when nothing changes.
std::optional<placement> plan(const plan_inputs& inputs);

/// Ranges whose first live candidate differs between the two lists of `next`.
std::size_t count_moves(const placement& next, const directory& shared);

} // namespace bulrushgw::ownership
