#include "assignment/leader.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// The release of the last keys of an evacuated zone begins with the last of these rounds. Requests
/// for keys that move wait, so the keys do not all move at once.
constexpr std::size_t evacuation_rounds = 4;
/// Interval between two rounds, as a part of `timing::evacuation_grace`. All releases then begin
/// within a third of that time, which leaves the rest for the runs that releases wait for.
constexpr int rounds_per_grace = 10;
/// A round is at least as large as the limits on concurrent planned moves: `min_round_size`, and
/// one segment for `targets_per_move` targets that take the keys over.
constexpr std::size_t min_round_size = 4;
constexpr std::size_t targets_per_move = 8;

} // namespace

void leader::set_evacuated_zones(std::set<std::string> zones)
{
    evacuated_zones_ = std::move(zones);
    find_services_elsewhere();
    decisions_due_ = true;
}

bool leader::is_in_evacuated_zone(incarnation_id node) const
{
    const auto found = members_.find(node);
    return found != members_.end() && evacuated_zones_.contains(found->second.last_report.zone);
}

void leader::find_services_elsewhere()
{
    services_elsewhere_.clear();
    if (evacuated_zones_.empty()) {
        return;
    }
    for (const auto& node : view_.nodes) {
        const auto& service = node.target.service;
        if (sharded_services_.contains(service) && !is_in_evacuated_zone(node.node) &&
            is_usable_owner(node.node, service)) {
            services_elsewhere_.insert(service);
        }
    }
}

bool leader::must_give_keys_up(incarnation_id node, const std::string& service) const
{
    return services_elsewhere_.contains(service) && is_in_evacuated_zone(node);
}

bool leader::can_own_keys(incarnation_id node, const std::string& service) const
{
    return is_usable_owner(node, service) && !must_give_keys_up(node, service);
}

// Begins the release of a part of the keys that targets in evacuated zones own. Released keys are
// assigned like other free keys: to the targets whose load is furthest below their share.
void leader::begin_evacuation(time_point now, const std::string& service)
{
    std::vector<segment*> leaving;
    for (auto& item : view_.segments) {
        const auto owner = members_.find(item.owner);
        if (item.service == service && !item.releasing && owner != members_.end() &&
            owner->second.recorded && must_give_keys_up(item.owner, service) &&
            is_usable_owner(item.owner, service)) {
            leaving.push_back(&item);
        }
    }
    if (leaving.empty()) {
        evacuation_paces_.erase(service);
        return;
    }
    auto& pace = evacuation_paces_[service];
    if (now < pace.next_round || !has_authority(now)) {
        return;
    }
    const std::size_t part = (leaving.size() + evacuation_rounds - 1) / evacuation_rounds;
    pace.round_size = std::max(
        {pace.round_size, part, min_round_size, candidates(service).size() / targets_per_move});
    pace.next_round = now + times_.evacuation_grace / rounds_per_grace;
    // The busiest keys first, since most requests for them would be refused if the time ran out.
    const auto& keys = loads_[service];
    std::stable_sort(leaving.begin(), leaving.end(), [&](const segment* a, const segment* b) {
        return keys.sum(a->first, a->last) > keys.sum(b->first, b->last);
    });
    leaving.resize(std::min(leaving.size(), pace.round_size));
    for (auto* item : leaving) {
        begin_release(*item);
    }
    mark_changed();
}

std::size_t leader::keys_to_evacuate() const
{
    std::size_t count = 0;
    for (const auto& item : view_.segments) {
        if (item.owner && must_give_keys_up(item.owner, item.service)) {
            count += item.last - item.first + 1;
        }
    }
    return count;
}

} // namespace bulrushgw::assignment
