#include "assignment/leader.h"

#include <algorithm>
#include <utility>

#include "assignment/release_pieces.h"

namespace bulrushgw::assignment {

namespace {

/// Interval between two rounds of moves for load balancing in a service that moves its keys in
/// rounds. The effect of a move must show in the loads before the next round.
constexpr milliseconds balance_interval{500};
/// The same in other services, in which the destinations of moves in progress count as owners. The
/// loads change with the reports.
constexpr milliseconds large_balance_interval{250};
/// The same after a target became ready. Many targets may become ready one after the other.
constexpr milliseconds new_target_balance_interval{100};
/// A target that uses this share of its slots on average has no room at times.
constexpr double full_utilisation = 0.9;

} // namespace

// The destination of a planned move counts as the owner of the moving keys, so that neither it nor
// the present owner takes part in a move that this one makes superfluous.
std::vector<segment> leader::segments_after_moves(const std::string& service) const
{
    std::vector<segment> result;
    for (const auto& item : view_.segments) {
        if (item.service != service) {
            continue;
        }
        result.push_back(item);
        if (!item.releasing) {
            continue;
        }
        const auto move =
            std::find_if(planned_moves_.begin(), planned_moves_.end(),
                         [&](const planned_move& planned) { return planned.is_for(item); });
        if (move != planned_moves_.end()) {
            result.back().owner = move->to.node;
        }
    }
    return result;
}

// Returns the load relative to capacity at which a target uses nearly all of its slots, or 0 if the
// work times are not known yet.
double leader::full_load(const std::string& service, std::span<const owner_candidate> owners) const
{
    const auto keys = loads_.find(service);
    double work_s = 0;
    double reporting_targets = 0;
    for (const auto& owner : owners) {
        const double own_s =
            std::chrono::duration<double>(members_.at(owner.node).work.mean()).count();
        work_s += own_s;
        reporting_targets += own_s > 0 ? 1 : 0;
    }
    if (keys == loads_.end() || work_s <= 0) {
        return 0;
    }
    // A target of capacity 1 has one slot and takes the mean time for a request.
    return full_utilisation * reporting_targets / (work_s * keys->second.rate_of(1));
}

void leader::balance(time_point now, const std::string& service)
{
    const auto owners = candidates(service);
    auto& pace = balance_paces_[service];
    const auto usual_interval =
        moves_in_rounds(owners.size()) ? balance_interval : large_balance_interval;
    if (now - pace.last_round <
            (pace.has_new_target ? new_target_balance_interval : usual_interval) ||
        !has_authority(now)) {
        return;
    }
    pace = {now, false};
    const auto& keys = loads_[service];
    const auto budget = remaining_budget(owners.size(), moving_keys(service), keys.total());
    if (budget.moves == 0 || budget.load <= 0) {
        return;
    }
    balance_limits limits;
    if (!moves_in_rounds(owners.size())) {
        limits.keeps_source_at_mean = true;
        limits.full_load = full_load(service, owners);
    }
    const auto moves = find_moves(keys, segments_after_moves(service), owners, budget, limits);
    if (moves.empty()) {
        return;
    }
    balance_round round;
    round.service = service;
    for (const auto& move : moves) {
        ++round.moves[static_cast<std::size_t>(move.cause)];
        const double work_s =
            std::chrono::duration<double>(members_.at(move.from).work.mean()).count();
        const double runs = keys.rate_of(move.load) * work_s;
        for (const auto& piece : release_pieces(keys, move.first, move.last, runs)) {
            release_keys(service, piece.first, piece.last);
            plan_move({service, piece.first, piece.last, move.to});
            ++round.ranges;
        }
    }
    round.share_in_motion = share_in_motion(service);
    balance_rounds_.push_back(std::move(round));
}

keys_in_motion leader::moving_keys(const std::string& service) const
{
    keys_in_motion result;
    const auto keys = loads_.find(service);
    for (const auto& item : view_.segments) {
        if (item.service == service && (item.releasing || !item.owner)) {
            ++result.ranges;
            result.load += keys == loads_.end() ? 0 : keys->second.sum(item.first, item.last);
        }
    }
    return result;
}

double leader::share_in_motion(const std::string& service) const
{
    const auto keys = loads_.find(service);
    return keys == loads_.end() ? 0 : moving_keys(service).load / keys->second.total();
}

double leader::highest_share_in_motion() const
{
    double result = 0;
    for (const auto& service : sharded_services_) {
        result = std::max(result, share_in_motion(service));
    }
    return result;
}

} // namespace bulrushgw::assignment
