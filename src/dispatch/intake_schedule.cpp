#include "dispatch/intake_schedule.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <tuple>

namespace bulrushgw::dispatch {

namespace {

/// A request is refused for lack of time only if even a short run, of this part of the expected
/// work time, would end too late.
constexpr int short_run_divisor = 2;
/// A request is almost sure to meet its latency goal if it starts with at least one and a half
/// times the expected work time left, as in `slot_queue`.
constexpr auto ample_work(milliseconds work)
{
    return work * 3 / 2;
}

} // namespace

std::uint64_t intake_schedule::piece_limit() const
{
    return std::min(piece_bytes, pacer_.window_bytes());
}

intake_schedule::position intake_schedule::position_of(time_point now, const body& item) const
{
    const auto& announced = item.announced;
    const bool misses_aim =
        now + pacer_.time_for(item.uncredited()) + ample_work(announced.work) > announced.aim;
    return {announced.rank, false, misses_aim, announced.deadline};
}

// Each other sender can delay the body only until it is `max_lead_bytes` ahead of its sender.
std::uint64_t intake_schedule::bytes_before(const body& item, const bytes_ahead& ahead) const
{
    const auto& key = item.announced.key;
    const auto own = ahead.of_senders.find(key.first);
    const auto own_bytes = own == ahead.of_senders.end() ? 0 : own->second;
    const auto lead_limit = own_bytes + item.uncredited() + max_lead_bytes;
    std::uint64_t result = on_the_way_ + ahead.of_lower_ranks + own_bytes;
    for (const auto& [sender, bytes] : ahead.of_senders) {
        result += sender == key.first ? 0 : std::min(bytes, lead_limit);
    }
    return result;
}

bool intake_schedule::is_late(time_point now, const body& item, std::uint64_t before) const
{
    const auto arrival = now + pacer_.time_for(before + item.uncredited());
    return arrival + item.announced.work / short_run_divisor >= item.announced.deadline;
}

std::optional<milliseconds> intake_schedule::announce(time_point now, const announced_body& added)
{
    body item{added, 0, 0, now, false};
    const auto own_position = position_of(now, item);
    bytes_ahead ahead;
    for (const auto& [key, other] : bodies_) {
        if (!other.is_waiting() || position_of(now, other) > own_position) {
            continue;
        }
        if (other.announced.rank < added.rank) {
            ahead.of_lower_ranks += other.uncredited();
        }
        else {
            ahead.of_senders[key.first] += other.uncredited();
        }
    }
    const auto before = bytes_before(item, ahead);
    if (is_late(now, item, before)) {
        return pacer_.time_for(before);
    }
    auto& from = senders_[added.key.first];
    if (from.bodies++ == 0) {
        from.served = std::max(from.served, served_);
    }
    uncredited_ += added.bytes;
    bodies_.emplace(added.key, item);
    return std::nullopt;
}

intake_schedule::body_map::iterator intake_schedule::first_waiting(time_point now)
{
    auto rank = std::numeric_limits<std::uint32_t>::max();
    auto least_served = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [key, item] : bodies_) {
        if (!item.is_waiting() || item.announced.rank > rank) {
            continue;
        }
        const auto served = senders_.at(key.first).served;
        least_served = item.announced.rank < rank ? served : std::min(least_served, served);
        rank = item.announced.rank;
    }
    auto best = bodies_.end();
    position best_position;
    for (auto at = bodies_.begin(); at != bodies_.end(); ++at) {
        if (!at->second.is_waiting() || at->second.announced.rank != rank) {
            continue;
        }
        auto candidate = position_of(now, at->second);
        candidate.is_ahead_of_others =
            senders_.at(at->first.first).served >= least_served + max_lead_bytes;
        if (best == bodies_.end() || candidate < best_position) {
            best = at;
            best_position = candidate;
        }
    }
    return best;
}

std::optional<body_credit> intake_schedule::next_credit(time_point now)
{
    wanted_piece_.reset();
    if (uncredited_ == 0 || on_the_way_ >= pacer_.window_bytes()) {
        return std::nullopt;
    }
    const auto best = first_waiting(now);
    if (best == bodies_.end()) {
        return std::nullopt;
    }
    auto& item = best->second;
    const auto piece = std::min(piece_limit(), item.uncredited());
    if (on_the_way_ + piece > pacer_.window_bytes()) {
        return std::nullopt;
    }
    if (!pacer_.try_take(now, piece)) {
        wanted_piece_ = piece;
        return std::nullopt;
    }
    if (item.on_the_way() == 0) {
        item.last_progress = now;
    }
    item.credited += piece;
    on_the_way_ += piece;
    uncredited_ -= piece;
    counters_.bytes_credited += piece;
    auto& from = senders_.at(best->first.first);
    served_ = std::max(served_, from.served);
    from.served += piece;
    return body_credit{best->first, item.credited};
}

std::optional<milliseconds> intake_schedule::next_attempt(time_point now) const
{
    return wanted_piece_ ? std::optional{pacer_.wait(now, *wanted_piece_)} : std::nullopt;
}

void intake_schedule::on_arrived(time_point now, body_key key, std::uint64_t bytes)
{
    const auto found = bodies_.find(key);
    if (found == bodies_.end()) {
        return;
    }
    auto& item = found->second;
    if (item.stalled) {
        item.stalled = false;
        on_the_way_ += item.on_the_way();
        uncredited_ += item.uncredited();
    }
    const auto expected = std::min(bytes, item.on_the_way());
    item.arrived += expected;
    item.last_progress = now;
    on_the_way_ -= expected;
    counters_.bytes_arrived += expected;
}

void intake_schedule::remove(body_key key)
{
    const auto found = bodies_.find(key);
    if (found == bodies_.end()) {
        return;
    }
    const auto& item = found->second;
    if (!item.stalled) {
        on_the_way_ -= item.on_the_way();
        uncredited_ -= item.uncredited();
        counters_.bytes_returned += item.on_the_way();
    }
    bodies_.erase(found);
    const auto from = senders_.find(key.first);
    --from->second.bodies;
    // A sender that is ahead of the others stays known, so that it gains nothing from short
    // pauses.
    std::erase_if(senders_, [this](const auto& entry) {
        return entry.second.bodies == 0 && (bodies_.empty() || entry.second.served <= served_);
    });
}

std::vector<body_key> intake_schedule::take_stalled(time_point now)
{
    std::vector<body_key> result;
    for (auto& [key, item] : bodies_) {
        if (item.stalled || item.on_the_way() == 0 || now - item.last_progress < stall_time) {
            continue;
        }
        item.stalled = true;
        on_the_way_ -= item.on_the_way();
        uncredited_ -= item.uncredited();
        counters_.bytes_returned += item.on_the_way();
        result.push_back(key);
    }
    return result;
}

std::vector<late_body> intake_schedule::take_late(time_point now)
{
    std::vector<std::pair<position, const body*>> order;
    for (const auto& [key, item] : bodies_) {
        if (item.is_waiting()) {
            order.emplace_back(position_of(now, item), &item);
        }
    }
    std::sort(order.begin(), order.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<late_body> result;
    bytes_ahead ahead;
    std::uint32_t rank = 0;
    for (const auto& [place, item] : order) {
        if (std::exchange(rank, place.rank) != place.rank) {
            for (const auto& [sender, bytes] : std::exchange(ahead.of_senders, {})) {
                ahead.of_lower_ranks += bytes;
            }
        }
        const auto before = bytes_before(*item, ahead);
        if (is_late(now, *item, before)) {
            result.push_back({item->announced.key, pacer_.time_for(before)});
        }
        else {
            ahead.of_senders[item->announced.key.first] += item->uncredited();
        }
    }
    for (const auto& late : result) {
        remove(late.key);
    }
    return result;
}

milliseconds intake_schedule::wait(time_point now) const
{
    const auto piece = piece_limit();
    const auto window = pacer_.window_bytes();
    const auto above_window = on_the_way_ + piece > window ? on_the_way_ + piece - window : 0;
    return pacer_.time_for(uncredited_) +
           std::max(pacer_.wait(now, piece), pacer_.time_for(above_window));
}

std::size_t intake_schedule::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(bodies_.begin(), bodies_.end(),
                      [](const auto& entry) { return entry.second.uncredited() > 0; }));
}

} // namespace bulrushgw::dispatch
