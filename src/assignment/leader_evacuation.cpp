#include "assignment/leader.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// The keys of an evacuated zone are released in this many rounds. Requests for keys that move
/// wait, so the keys do not all move at once.
constexpr std::size_t evacuation_rounds = 4;
/// Interval between two rounds, as a part of `timing::evacuation_grace`. All releases then begin
/// within a third of that time, which leaves the rest for the runs that releases wait for.
constexpr int rounds_per_grace = 10;
/// With fewer segments than this, each round releases a part of every segment, because a release
/// takes as long as the longest run for any of its keys. With more, a round releases whole
/// segments, because each piece costs a release, a grant and an entry in the directory of all
/// members.
constexpr std::size_t min_whole_segments = 64;

} // namespace

void leader::set_evacuated_zones(std::set<std::string> zones)
{
    evacuated_zones_ = std::move(zones);
    find_services_elsewhere();
    evacuation_paces_.clear();
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

std::vector<segment> leader::segments_to_evacuate(const std::string& service) const
{
    std::vector<segment> result;
    for (const auto& item : view_.segments) {
        const auto owner = members_.find(item.owner);
        if (item.service == service && !item.releasing && owner != members_.end() &&
            owner->second.recorded && must_give_keys_up(item.owner, service) &&
            is_usable_owner(item.owner, service)) {
            result.push_back(item);
        }
    }
    return result;
}

// Begins the release of a part of the keys that targets in evacuated zones own. Released keys are
// assigned like other free keys: to the targets whose load is furthest below their share.
void leader::begin_evacuation(time_point now, const std::string& service)
{
    auto leaving = segments_to_evacuate(service);
    if (leaving.empty()) {
        evacuation_paces_.erase(service);
        return;
    }
    auto& pace = evacuation_paces_[service];
    if (now < pace.next_round || !has_authority(now)) {
        return;
    }
    if (pace.rounds == 0) {
        pace.whole_segments = leaving.size() >= min_whole_segments;
    }
    const std::size_t rounds_left =
        evacuation_rounds - std::min(pace.rounds++, evacuation_rounds - 1);
    pace.next_round = now + times_.evacuation_grace / rounds_per_grace;
    const auto& keys = loads_[service];
    if (pace.whole_segments) {
        // The busiest first, since they would cause most refusals if the time ran out.
        std::stable_sort(leaving.begin(), leaving.end(), [&](const segment& a, const segment& b) {
            return keys.sum(a.first, a.last) > keys.sum(b.first, b.last);
        });
        leaving.resize((leaving.size() + rounds_left - 1) / rounds_left);
    }
    for (const auto& item : leaving) {
        const double part = keys.sum(item.first, item.last) / static_cast<double>(rounds_left);
        const bool is_whole = pace.whole_segments || rounds_left == 1;
        release_keys(service, item.first,
                     is_whole ? item.last : keys.key_at_load(item.first, item.last, part));
    }
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
