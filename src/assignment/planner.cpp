#include "assignment/planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bulrushgw::assignment {

namespace {

/// Half of the load measured this long ago counts; hot keys change within seconds.
constexpr double half_life_ms = 3000;
/// Requests that each key counts for without any measurement.
constexpr double base_load = 0.002;
/// Loads below this are forgotten.
constexpr double least_load = 1e-4;

double load_of(const key_load_table& keys, std::span<const segment> segments, incarnation_id node)
{
    double load = 0;
    for (const auto& item : segments) {
        if (item.owner == node) {
            load += keys.sum(item.first, item.last);
        }
    }
    return load;
}

std::uint32_t busiest_key(const key_load_table& keys, const segment& item)
{
    std::uint32_t best = item.first;
    for (std::uint32_t key = item.first; key <= item.last; ++key) {
        if (keys.of(key) > keys.of(best)) {
            best = key;
        }
    }
    return best;
}

/// Pieces of a segment with about `load`: from its start, from its end, and the
/// busiest key alone.
std::vector<std::pair<std::uint32_t, std::uint32_t>> pieces_of(const key_load_table& keys,
                                                               const segment& item, double load)
{
    std::vector<std::pair<std::uint32_t, std::uint32_t>> pieces;
    const double whole = keys.sum(item.first, item.last);
    const std::uint32_t head = keys.cut(item.first, item.last, load);
    pieces.emplace_back(item.first, head);
    if (whole > load) {
        const std::uint32_t tail = keys.cut(item.first, item.last, whole - load);
        if (tail < item.last) {
            pieces.emplace_back(tail + 1, item.last);
        }
    }
    const std::uint32_t top = busiest_key(keys, item);
    pieces.emplace_back(top, top);
    if (top > item.first) {
        pieces.emplace_back(item.first, top - 1);
    }
    if (top < item.last) {
        pieces.emplace_back(top + 1, item.last);
    }
    return pieces;
}

} // namespace

key_load_table::key_load_table() : requests_(key_count, 0.0) {}

void key_load_table::add(std::uint32_t key, double requests)
{
    if (key < key_count) {
        requests_[key] += requests;
    }
}

void key_load_table::decay(milliseconds elapsed)
{
    const double factor = std::exp2(-static_cast<double>(elapsed.count()) / half_life_ms);
    for (double& load : requests_) {
        load = load < least_load ? 0 : load * factor;
    }
}

double key_load_table::sum(std::uint32_t first, std::uint32_t last) const
{
    const double measured =
        std::accumulate(requests_.begin() + first, requests_.begin() + last + 1, 0.0);
    return measured + base_load * (last - first + 1);
}

double key_load_table::of(std::uint32_t key) const
{
    return requests_[key] + base_load;
}

std::uint32_t key_load_table::cut(std::uint32_t first, std::uint32_t last, double load) const
{
    double reached = 0;
    for (std::uint32_t key = first; key < last; ++key) {
        reached += of(key);
        if (reached >= load) {
            return key;
        }
    }
    return last;
}

std::vector<segment> spread(const key_load_table& keys, std::uint32_t first, std::uint32_t last,
                            std::span<const owner_candidate> candidates, std::vector<double>& loads)
{
    const double piece = keys.sum(first, last);
    const double total = std::accumulate(loads.begin(), loads.end(), piece);
    double capacity = 0;
    for (const auto& candidate : candidates) {
        capacity += candidate.capacity;
    }
    std::vector<double> room(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        room[i] = std::max(0.0, total * candidates[i].capacity / capacity - loads[i]);
    }
    const double all_room = std::accumulate(room.begin(), room.end(), 0.0);
    std::vector<segment> result;
    std::uint32_t next = first;
    double left = piece;
    for (std::size_t i = 0; i < candidates.size() && next <= last; ++i) {
        const bool is_last = i + 1 == candidates.size();
        const double share = all_room > 0 ? piece * room[i] / all_room : 0;
        // Pieces of a hundredth cost a grant and even nothing.
        if (!is_last && share < piece / 100) {
            continue;
        }
        const bool is_rest = is_last || share >= left;
        const std::uint32_t end = is_rest ? last : keys.cut(next, last, share);
        segment item;
        item.first = next;
        item.last = end;
        item.owner = candidates[i].node;
        item.target = candidates[i].target;
        const double taken = keys.sum(next, end);
        loads[i] += taken;
        left -= taken;
        result.push_back(std::move(item));
        next = end + 1;
    }
    return result;
}

std::optional<key_move> find_move(const key_load_table& keys, std::span<const segment> segments,
                                  std::span<const owner_candidate> candidates,
                                  const balance_limits& limits)
{
    if (candidates.size() < 2) {
        return std::nullopt;
    }
    std::vector<double> loads;
    double total = 0;
    double capacity = 0;
    for (const auto& candidate : candidates) {
        loads.push_back(load_of(keys, segments, candidate.node));
        total += loads.back();
        capacity += candidate.capacity;
    }
    const double mean = total / capacity;
    std::size_t worst = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        if (loads[i] / candidates[i].capacity > loads[worst] / candidates[worst].capacity) {
            worst = i;
        }
    }
    const double present = loads[worst] / candidates[worst].capacity;
    bool any_idle = false;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        any_idle = any_idle || loads[i] / candidates[i].capacity < mean * limits.underload;
    }
    // Loads are counts, so a small one may be high by chance.
    const double noise = limits.deviations * std::sqrt(loads[worst]) / candidates[worst].capacity;
    if (present < mean * limits.overload + noise && !any_idle) {
        return std::nullopt;
    }
    std::optional<key_move> best;
    double best_peak = present - limits.least_gain * (present - mean);
    for (const auto& item : segments) {
        if (item.owner != candidates[worst].node || item.releasing) {
            continue;
        }
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (i == worst) {
                continue;
            }
            // The piece that brings both to the same load by capacity.
            const double both = candidates[worst].capacity + candidates[i].capacity;
            const double wanted =
                (loads[worst] * candidates[i].capacity - loads[i] * candidates[worst].capacity) /
                both;
            if (wanted <= 0) {
                continue;
            }
            for (const auto& [first, last] : pieces_of(keys, item, wanted)) {
                const double moved = keys.sum(first, last);
                const double peak = std::max((loads[worst] - moved) / candidates[worst].capacity,
                                             (loads[i] + moved) / candidates[i].capacity);
                if (peak < best_peak) {
                    best_peak = peak;
                    best = key_move{first, last, candidates[worst].node, candidates[i]};
                }
            }
        }
    }
    return best;
}

std::vector<key_move> find_moves(const key_load_table& keys, std::vector<segment> segments,
                                 std::span<const owner_candidate> candidates, std::size_t most,
                                 const balance_limits& limits)
{
    std::vector<key_move> result;
    while (result.size() < most) {
        const auto move = find_move(keys, segments, candidates, limits);
        if (!move) {
            break;
        }
        cut_segments(segments, move->first);
        cut_segments(segments, move->last + 1);
        for (auto& item : segments) {
            if (item.first == move->first && item.last == move->last) {
                item.owner = move->to.node;
                item.releasing = true;
            }
        }
        result.push_back(*move);
    }
    return result;
}

void cut_segments(std::vector<segment>& segments, std::uint32_t start)
{
    for (std::size_t i = 0; i < segments.size(); ++i) {
        if (segments[i].first < start && segments[i].last >= start) {
            segment tail = segments[i];
            tail.first = start;
            segments[i].last = start - 1;
            segments.push_back(std::move(tail));
            return;
        }
    }
}

} // namespace bulrushgw::assignment
