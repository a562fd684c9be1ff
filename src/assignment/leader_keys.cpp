#include "assignment/leader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Interval between two rounds in which adjacent segments of one owner are merged. Segments
/// assigned since the last round are not merged, because their owners may still need the handover
/// tokens.
constexpr milliseconds merge_interval{2000};
/// Bounds on the speed of a target relative to the mean of its service. Values beyond them are not
/// trusted.
constexpr double min_relative_speed = 0.4;
constexpr double max_relative_speed = 2.5;

bool overlaps(const segment& item, const std::string& service, std::uint32_t first,
              std::uint32_t last)
{
    return item.service == service && item.first <= last && item.last >= first;
}

} // namespace

// A host has one target at a time, so a restart of the target proves that the previous process,
// which held the keys until then, has ended. A target that is only silent may still hold its keys:
// its node reports them as released once the hold has run out.
void leader::reconcile_target(incarnation_id node, bool target_restarted)
{
    const auto& target = members_.at(node).last_report.target;
    if (target.id.empty()) {
        return;
    }
    for (auto& item : view_.segments) {
        if (item.owner == node && (target_restarted || item.target != target.id)) {
            item.target = target.id;
            item.range_fence = next_fence();
            item.handover.clear();
            item.releasing = false;
            mark_changed();
        }
    }
}

void leader::accept_holdings(incarnation_id from, const report& body)
{
    if (!body.holdings.empty()) {
        // The target holds these keys under a lease of an earlier term.
        auto& member = members_.at(from);
        const auto length = longest_lease(member.last_report_at);
        member.lease_end_bound =
            std::max(member.lease_end_bound,
                     member.last_report_at + with_drift(length, times_.drift_permille));
    }
    for (const auto& reported : body.holdings) {
        const bool already_owned =
            std::any_of(view_.segments.begin(), view_.segments.end(), [&](const segment& item) {
                return item.owner &&
                       overlaps(item, reported.service, reported.first, reported.last);
            });
        if (already_owned || reported.first > reported.last || reported.last >= key_count) {
            continue;
        }
        split_at(reported.service, reported.first, reported.last);
        std::erase_if(view_.segments, [&](const segment& item) {
            return overlaps(item, reported.service, reported.first, reported.last);
        });
        segment item;
        item.service = reported.service;
        item.first = reported.first;
        item.last = reported.last;
        item.owner = from;
        item.target = body.target.id;
        item.range_fence = reported.range_fence;
        view_.segments.push_back(std::move(item));
        mark_changed();
    }
}

// The end of the holds that a process granted proves nothing about the holds that an earlier
// process of its host granted. The member repeats the release until it is accepted. A segment of
// which only a part was released is split: the rest keeps its owner and its fence.
void leader::accept_released(time_point now, const released_keys& keys, incarnation_id from)
{
    if (keys.evidence != release_evidence::confirmed && now < members_.at(from).earlier_holds_end) {
        return;
    }
    std::vector<segment> rests;
    for (auto& item : view_.segments) {
        if (item.owner != from || !keys.concerns(item)) {
            continue;
        }
        if (item.first < keys.first) {
            rests.push_back(item);
            rests.back().last = keys.first - 1;
            item.first = keys.first;
        }
        if (item.last > keys.last) {
            rests.push_back(item);
            rests.back().first = keys.last + 1;
            item.last = keys.last;
        }
        item.owner = {};
        item.target.clear();
        item.releasing = false;
        item.handover = keys.handover;
        const auto to = take_planned_move(item);
        if (to && can_own_keys(to->node, item.service)) {
            assign_segment(item, *to, keys.handover);
        }
        mark_changed();
    }
    std::move(rests.begin(), rests.end(), std::back_inserter(view_.segments));
}

std::optional<owner_candidate> leader::take_planned_move(const segment& item)
{
    const auto found =
        std::find_if(planned_moves_.begin(), planned_moves_.end(), [&](const planned_move& move) {
            return move.service == item.service && move.first <= item.first &&
                   item.last <= move.last;
        });
    if (found == planned_moves_.end()) {
        return std::nullopt;
    }
    const planned_move move = *found;
    planned_moves_.erase(found);
    if (move.first < item.first) {
        planned_moves_.push_back({move.service, move.first, item.first - 1, move.to});
    }
    if (item.last < move.last) {
        planned_moves_.push_back({move.service, item.last + 1, move.last, move.to});
    }
    return move.to;
}

// An earlier plan for any of the keys is void: its release was superseded.
void leader::plan_move(planned_move move)
{
    std::erase_if(planned_moves_, [&](const planned_move& earlier) {
        return earlier.service == move.service && earlier.first <= move.last &&
               move.first <= earlier.last;
    });
    planned_moves_.push_back(std::move(move));
}

void leader::unassign_segments(incarnation_id node)
{
    bool changed = false;
    for (auto& item : view_.segments) {
        if (item.owner == node) {
            item.owner = {};
            item.target.clear();
            item.handover.clear();
            item.releasing = false;
            changed = true;
        }
    }
    if (changed) {
        mark_changed();
    }
}

bool leader::is_usable_owner(incarnation_id node, const std::string& service) const
{
    const auto found = members_.find(node);
    if (found == members_.end()) {
        return false;
    }
    const auto& member = found->second;
    return member.last_report.target.service == service && !member.leaving && member.recorded &&
           member.last_report.target.phase == target_phase::ready;
}

double leader::cold_target_share(const std::string& service, std::size_t targets) const
{
    const auto rate = cold_rates_.find(service);
    const auto keys = loads_.find(service);
    if (rate == cold_rates_.end() || keys == loads_.end() || targets == 0) {
        return 1;
    }
    const double requests_per_target = keys->second.requests_per_s() / static_cast<double>(targets);
    return tolerated_share(rate->second, requests_per_target);
}

std::vector<owner_candidate> leader::candidates(const std::string& service) const
{
    std::vector<const member_state*> members;
    std::vector<owner_candidate> result;
    double total_work_us = 0;
    double reporting_targets = 0;
    for (const auto& node : view_.nodes) {
        if (!can_own_keys(node.node, service)) {
            continue;
        }
        const auto& member = members_.at(node.node);
        members.push_back(&member);
        result.push_back({node.node, node.target.id, 1});
        const auto work_us = static_cast<double>(member.work.mean().count());
        total_work_us += work_us;
        reporting_targets += work_us > 0 ? 1 : 0;
    }
    const double cold_share = cold_target_share(service, result.size());
    for (std::size_t i = 0; i < result.size(); ++i) {
        const auto own_work_us = static_cast<double>(members[i]->work.mean().count());
        double relative_speed = own_work_us > 0
                                    ? std::clamp(total_work_us / reporting_targets / own_work_us,
                                                 min_relative_speed, max_relative_speed)
                                    : 1.0;
        if (members[i]->last_report.target.warming_up) {
            relative_speed *= cold_share;
        }
        result[i].capacity =
            relative_speed * std::max<std::uint32_t>(members[i]->last_report.target.slots, 1);
    }
    return result;
}

void leader::begin_releases(time_point now)
{
    for (auto& item : view_.segments) {
        const auto owner = members_.find(item.owner);
        if (item.releasing || owner == members_.end() || !owner->second.recorded) {
            continue;
        }
        // A restarted process mostly finds the same target within a few hundred milliseconds. Until
        // the holds of its predecessor have ended, the keys cannot be assigned to another target.
        const bool awaits_target =
            owner->second.last_report.target.id.empty() && now < owner->second.earlier_holds_end;
        if (!awaits_target && !is_usable_owner(item.owner, item.service) &&
            !candidates(item.service).empty()) {
            begin_release(item);
            mark_changed();
        }
    }
}

void leader::fill_gaps(const std::string& service)
{
    std::sort(view_.segments.begin(), view_.segments.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.first) < std::tie(b.service, b.first);
    });
    std::vector<segment> gaps;
    std::uint32_t next_key = 0;
    const auto add_gap = [&](std::uint32_t end) {
        if (next_key < end) {
            segment gap;
            gap.service = service;
            gap.first = next_key;
            gap.last = end - 1;
            gaps.push_back(std::move(gap));
        }
    };
    for (const auto& item : view_.segments) {
        if (item.service == service) {
            add_gap(item.first);
            next_key = item.last + 1;
        }
    }
    add_gap(key_count);
    if (!gaps.empty()) {
        std::move(gaps.begin(), gaps.end(), std::back_inserter(view_.segments));
        std::sort(view_.segments.begin(), view_.segments.end(), [](const auto& a, const auto& b) {
            return std::tie(a.service, a.first) < std::tie(b.service, b.first);
        });
        mark_changed();
    }
}

// The release carries a higher fence than the grants, so that the target refuses a grant that
// arrives after the release.
void leader::begin_release(segment& item)
{
    item.releasing = true;
    item.range_fence = next_fence();
}

fence leader::next_fence()
{
    return fence{fence_base(view_.term).value + ++fence_count_};
}

void leader::assign_segment(segment& item, const owner_candidate& to, std::string handover)
{
    item.owner = to.node;
    item.target = to.target;
    item.range_fence = next_fence();
    item.handover = std::move(handover);
    item.releasing = false;
}

void leader::assign_free(time_point now, const std::string& service)
{
    const auto is_free = [&](const segment& item) {
        return item.service == service && !item.owner;
    };
    if (std::none_of(view_.segments.begin(), view_.segments.end(), is_free)) {
        return;
    }
    const auto owners = candidates(service);
    if (owners.empty() || (is_first_leader_ && now < first_assignment_at_)) {
        return;
    }
    const auto& keys = loads_[service];
    std::vector<double> loads(owners.size(), 0);
    for (const auto& item : view_.segments) {
        for (std::size_t i = 0; i < owners.size(); ++i) {
            if (item.owner == owners[i].node) {
                loads[i] += keys.sum(item.first, item.last);
            }
        }
    }
    std::vector<unassigned_keys> free;
    for (const auto& item : view_.segments) {
        if (is_free(item)) {
            free.push_back({item.first, item.last, item.handover});
        }
    }
    std::erase_if(view_.segments, is_free);
    for (auto& piece : distribute_keys(keys, free, owners, loads)) {
        piece.service = service;
        const owner_candidate to{piece.owner, piece.target, 0};
        assign_segment(piece, to, piece.handover);
        view_.segments.push_back(std::move(piece));
    }
    mark_changed();
}

void leader::release_keys(const std::string& service, std::uint32_t first, std::uint32_t last)
{
    split_at(service, first, last);
    for (auto& item : view_.segments) {
        if (item.service == service && item.first == first && item.last == last) {
            begin_release(item);
        }
    }
    mark_changed();
}

// Both parts keep their fence, since the target holds the keys under that fence.
void leader::split_at(const std::string& service, std::uint32_t first, std::uint32_t last)
{
    const auto split_before = [&](std::uint32_t start) {
        for (std::size_t i = 0; i < view_.segments.size(); ++i) {
            auto& item = view_.segments[i];
            if (item.service == service && item.first < start && item.last >= start) {
                segment tail = item;
                tail.first = start;
                item.last = start - 1;
                view_.segments.push_back(std::move(tail));
                return;
            }
        }
    };
    split_before(first);
    if (last + 1 < key_count) {
        split_before(last + 1);
    }
}

// Merges adjacent segments with the same fence and handover token, because they belong to one
// grant. Other adjacent segments of one owner are merged under a new fence every `merge_interval`,
// because otherwise each move would add a segment permanently.
void leader::merge_neighbours(time_point now)
{
    auto& items = view_.segments;
    std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.first) < std::tie(b.service, b.first);
    });
    const bool merge_round_due = now >= next_merge_ && has_authority(now);
    std::vector<segment> merged;
    std::vector<bool> needs_new_fence;
    for (auto& item : items) {
        const segment* previous = merged.empty() ? nullptr : &merged.back();
        const bool neighbours = previous != nullptr && previous->service == item.service &&
                                previous->last + 1 == item.first && previous->owner == item.owner &&
                                previous->target == item.target && !previous->releasing &&
                                !item.releasing;
        const bool same_grant = neighbours && previous->range_fence == item.range_fence &&
                                previous->handover == item.handover && !needs_new_fence.back();
        const bool mergeable_under_new_fence = neighbours && merge_round_due && item.owner &&
                                               previous->range_fence <= last_merge_fence_ &&
                                               item.range_fence <= last_merge_fence_ &&
                                               can_own_keys(item.owner, item.service);
        if (!same_grant && !mergeable_under_new_fence) {
            merged.push_back(std::move(item));
            needs_new_fence.push_back(false);
            continue;
        }
        merged.back().last = item.last;
        needs_new_fence.back() = needs_new_fence.back() || !same_grant;
    }
    for (std::size_t i = 0; i < merged.size(); ++i) {
        if (needs_new_fence[i]) {
            merged[i].range_fence = next_fence();
            merged[i].handover.clear();
        }
    }
    if (merged.size() != items.size()) {
        mark_changed();
    }
    items = std::move(merged);
    if (merge_round_due) {
        next_merge_ = now + merge_interval;
        last_merge_fence_ = fence{fence_base(view_.term).value + fence_count_};
    }
}

} // namespace bulrushgw::assignment
