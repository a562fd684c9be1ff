#include "assignment/planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <numeric>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Half-life of the load. It is short because other keys may become the busiest within seconds.
constexpr double half_life_ms = 3000;
/// Load of a key without requests.
constexpr double idle_key_load = 0.002;
/// Requests are counted for at least this time before a rate is computed from them.
constexpr double min_window_ms = 250;
constexpr double ms_per_s = 1000;
/// Loads below this value are set to 0.
constexpr double min_kept_load = 1e-4;
/// Load that one candidate takes over from lost targets at once, as a fraction of the mean load of
/// all candidates. Candidates take over more if there are too few of them.
constexpr double max_takeover_share = 0.15;
/// A piece smaller than this fraction of a candidate's quota would cost a grant without evening out
/// the load.
constexpr double min_piece_share = 0.05;
/// Lower bound of the part of the usual load that a cold target can take.
constexpr double min_tolerated_share = 0.02;

/// Returns pieces of a segment that could move: about `load` from its start or from its end, the
/// busiest key alone, all keys before the busiest key, and all keys after it.
std::vector<std::pair<std::uint32_t, std::uint32_t>> candidate_pieces(const key_load_table& keys,
                                                                      const segment& item,
                                                                      std::uint32_t busiest_key,
                                                                      double load)
{
    std::vector<std::pair<std::uint32_t, std::uint32_t>> pieces;
    const double segment_load = keys.sum(item.first, item.last);
    const std::uint32_t head = keys.key_at_load(item.first, item.last, load);
    pieces.emplace_back(item.first, head);
    if (segment_load > load) {
        const std::uint32_t tail = keys.key_at_load(item.first, item.last, segment_load - load);
        if (tail < item.last) {
            pieces.emplace_back(tail + 1, item.last);
        }
    }
    pieces.emplace_back(busiest_key, busiest_key);
    if (busiest_key > item.first) {
        pieces.emplace_back(item.first, busiest_key - 1);
    }
    if (busiest_key < item.last) {
        pieces.emplace_back(busiest_key + 1, item.last);
    }
    return pieces;
}

} // namespace

key_load_table::key_load_table() : requests_(key_count, 0.0) {}

void key_load_table::add(std::uint32_t key, double requests)
{
    if (key < key_count) {
        requests_[key] += requests;
        prefix_sums_.clear();
    }
}

void key_load_table::decay(milliseconds elapsed)
{
    const double factor = std::exp2(-static_cast<double>(elapsed.count()) / half_life_ms);
    bool is_idle = true;
    for (double& load : requests_) {
        load = load < min_kept_load ? 0 : load * factor;
        is_idle = is_idle && load == 0;
    }
    // The window begins anew with the first request after an idle time.
    window_ms_ = is_idle ? 0 : (window_ms_ + static_cast<double>(elapsed.count())) * factor;
    prefix_sums_.clear();
}

const std::vector<double>& key_load_table::prefix_sums() const
{
    if (prefix_sums_.empty()) {
        prefix_sums_.resize(key_count + 1);
        for (std::uint32_t key = 0; key < key_count; ++key) {
            prefix_sums_[key + 1] = prefix_sums_[key] + load_of(key);
        }
    }
    return prefix_sums_;
}

double key_load_table::sum(std::uint32_t first, std::uint32_t last) const
{
    return prefix_sums()[last + 1] - prefix_sums()[first];
}

double key_load_table::requests_per_s() const
{
    // With `rate` requests per second, the decaying number of requests settles at
    // `rate` * half-life / ln 2.
    const double requests = total() - idle_key_load * key_count;
    return std::max(0.0, requests * std::numbers::ln2 * ms_per_s / half_life_ms);
}

double key_load_table::rate_of(double load) const
{
    return load * ms_per_s / std::max(window_ms_, min_window_ms);
}

double tolerated_share(double tolerated_per_s, double usual_per_s)
{
    return usual_per_s > tolerated_per_s
               ? std::max(min_tolerated_share, tolerated_per_s / usual_per_s)
               : 1.0;
}

double key_load_table::load_of(std::uint32_t key) const
{
    return requests_[key] + idle_key_load;
}

std::uint32_t key_load_table::key_at_load(std::uint32_t first, std::uint32_t last,
                                          double load) const
{
    const auto& sums = prefix_sums();
    const auto begin = sums.begin() + first + 1;
    const auto found = std::lower_bound(begin, sums.begin() + last + 1, sums[first] + load);
    return first + static_cast<std::uint32_t>(found - begin);
}

std::uint32_t key_load_table::busiest(std::uint32_t first, std::uint32_t last) const
{
    const auto begin = requests_.begin();
    return static_cast<std::uint32_t>(std::max_element(begin + first, begin + last + 1) - begin);
}

namespace {

/// A candidate that takes over keys.
struct recipient {
    std::size_t candidate = 0;
    double quota = 0; ///< load to take over
};

/// Returns the candidates whose load is furthest below their share of the total load by capacity,
/// and the load that each of them takes over.
std::vector<recipient> recipients(std::span<const owner_candidate> candidates,
                                  const std::vector<double>& loads, double free_load)
{
    const double total = std::accumulate(loads.begin(), loads.end(), free_load);
    double capacity = 0;
    for (const auto& candidate : candidates) {
        capacity += candidate.capacity;
    }
    std::vector<recipient> result;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        result.push_back({i, std::max(0.0, total * candidates[i].capacity / capacity - loads[i])});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const recipient& a, const recipient& b) { return a.quota > b.quota; });
    const double max_takeover_load =
        max_takeover_share * total / static_cast<double>(candidates.size());
    const auto recipient_count = static_cast<std::size_t>(std::ceil(free_load / max_takeover_load));
    result.resize(std::clamp<std::size_t>(recipient_count, 1, candidates.size()));
    std::sort(result.begin(), result.end(),
              [](const recipient& a, const recipient& b) { return a.candidate < b.candidate; });
    double total_quota = 0;
    for (const auto& item : result) {
        total_quota += item.quota;
    }
    for (auto& item : result) {
        item.quota = total_quota > 0 ? free_load * item.quota / total_quota
                                     : free_load / static_cast<double>(result.size());
    }
    return result;
}

} // namespace

std::vector<segment> distribute_keys(const key_load_table& keys,
                                     std::span<const unassigned_keys> free,
                                     std::span<const owner_candidate> candidates,
                                     std::vector<double>& loads)
{
    double free_load = 0;
    for (const auto& range : free) {
        free_load += keys.sum(range.first, range.last);
    }
    const auto chosen = recipients(candidates, loads, free_load);
    std::vector<segment> result;
    std::size_t current = 0;
    double remaining_quota = chosen.front().quota;
    for (const auto& range : free) {
        std::uint32_t next = range.first;
        while (next <= range.last) {
            const double remaining_load = keys.sum(next, range.last);
            const double quota = chosen[current].quota;
            const bool takes_all = current + 1 == chosen.size() ||
                                   remaining_load <= remaining_quota + quota * min_piece_share;
            const std::uint32_t end =
                takes_all ? range.last : keys.key_at_load(next, range.last, remaining_quota);
            segment item;
            item.first = next;
            item.last = end;
            item.owner = candidates[chosen[current].candidate].node;
            item.target = candidates[chosen[current].candidate].target;
            item.handover = range.handover;
            const double taken_load = keys.sum(next, end);
            loads[chosen[current].candidate] += taken_load;
            remaining_quota -= taken_load;
            result.push_back(std::move(item));
            next = end + 1;
            while (current + 1 < chosen.size() &&
                   remaining_quota <= chosen[current].quota * min_piece_share) {
                ++current;
                remaining_quota += chosen[current].quota;
            }
        }
    }
    return result;
}

namespace {

/// Number of candidates with the most room among which the destination of a move is chosen. It
/// bounds the time that a round takes with many targets.
constexpr std::size_t max_destinations = 8;

/// Finds moves one after the other, each as if the moves before it were done. A target whose load
/// cannot be reduced by any move, such as a target with only one very hot key, is excluded together
/// with its load, so that the load of the others is still balanced.
class move_search {
public:
    move_search(const key_load_table& keys, std::vector<segment> segments,
                std::span<const owner_candidate> candidates, const balance_limits& limits)
        : keys_(keys), segments_(std::move(segments)), candidates_(candidates), limits_(limits),
          loads_(candidates.size(), 0), eligible_(candidates.size(), true)
    {
        std::map<incarnation_id, std::size_t> indexes;
        for (std::size_t i = 0; i < candidates_.size(); ++i) {
            indexes[candidates_[i].node] = i;
        }
        for (const auto& item : segments_) {
            if (const auto found = indexes.find(item.owner); found != indexes.end()) {
                loads_[found->second] += keys_.sum(item.first, item.last);
            }
        }
    }

    std::optional<key_move> next()
    {
        for (auto left = std::count(eligible_.begin(), eligible_.end(), true); left >= 2; --left) {
            const double mean = mean_load();
            const std::size_t most_loaded = most_loaded_candidate();
            const double highest_load = relative_load(most_loaded);
            if (highest_load < overload_threshold(most_loaded, mean) && !is_any_underloaded(mean)) {
                return std::nullopt;
            }
            const double peak_to_beat = highest_load - limits_.min_gain * (highest_load - mean);
            if (const auto best = best_move(most_loaded, peak_to_beat, mean)) {
                return apply(most_loaded, *best, mean);
            }
            eligible_[most_loaded] = false;
        }
        return std::nullopt;
    }

private:
    struct found_move {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::size_t to = 0;
    };

    [[nodiscard]] double relative_load(std::size_t candidate) const
    {
        return loads_[candidate] / candidates_[candidate].capacity;
    }

    [[nodiscard]] double mean_load() const
    {
        double total = 0;
        double capacity = 0;
        for (std::size_t i = 0; i < candidates_.size(); ++i) {
            total += eligible_[i] ? loads_[i] : 0;
            capacity += eligible_[i] ? candidates_[i].capacity : 0;
        }
        return capacity > 0 ? total / capacity : 0;
    }

    // Precondition: a candidate is eligible.
    [[nodiscard]] std::size_t most_loaded_candidate() const
    {
        std::size_t result = candidates_.size();
        for (std::size_t i = 0; i < candidates_.size(); ++i) {
            if (eligible_[i] &&
                (result == candidates_.size() || relative_load(i) > relative_load(result))) {
                result = i;
            }
        }
        return result;
    }

    [[nodiscard]] bool is_full(std::size_t candidate) const
    {
        return limits_.full_load > 0 && relative_load(candidate) >= limits_.full_load;
    }

    // Loads are request counts, so a small count may be high by chance.
    [[nodiscard]] double overload_threshold(std::size_t candidate, double mean) const
    {
        const double deviation = std::sqrt(loads_[candidate]) / candidates_[candidate].capacity;
        const double threshold =
            mean * limits_.overload_ratio + limits_.overload_deviations * deviation;
        return is_full(candidate) ? std::min(threshold, mean * limits_.full_ratio +
                                                            limits_.full_deviations * deviation)
                                  : threshold;
    }

    [[nodiscard]] bool is_any_underloaded(double mean) const
    {
        for (std::size_t i = 0; i < candidates_.size(); ++i) {
            if (eligible_[i] && relative_load(i) < mean * limits_.underload_ratio) {
                return true;
            }
        }
        return false;
    }

    // Returns the other eligible candidates that are furthest below the mean, those with the most
    // room first.
    [[nodiscard]] std::vector<std::size_t> destinations(std::size_t from, double mean) const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < candidates_.size(); ++i) {
            if (i != from && eligible_[i]) {
                result.push_back(i);
            }
        }
        const auto room = [&](std::size_t i) { return mean * candidates_[i].capacity - loads_[i]; };
        const auto kept = std::min(result.size(), max_destinations);
        std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(kept),
                          result.end(), [&](std::size_t a, std::size_t b) {
                              return std::pair(-room(a), a) < std::pair(-room(b), b);
                          });
        result.resize(kept);
        return result;
    }

    // Returns the move away from candidate `from` that leaves the lowest maximum load.
    [[nodiscard]] std::optional<found_move> best_move(std::size_t from, double peak_to_beat,
                                                      double mean) const
    {
        std::optional<found_move> best;
        const auto choices = destinations(from, mean);
        for (const auto& item : segments_) {
            if (item.owner != candidates_[from].node || item.releasing) {
                continue;
            }
            const std::uint32_t busiest_key = keys_.busiest(item.first, item.last);
            for (const std::size_t to : choices) {
                const double load = load_to_move(from, to, mean);
                if (load <= 0) {
                    continue;
                }
                for (const auto& [first, last] : candidate_pieces(keys_, item, busiest_key, load)) {
                    const bool has_busiest = first <= busiest_key && busiest_key <= last;
                    if (has_busiest && !may_move_key(busiest_key, from, to, mean)) {
                        continue;
                    }
                    const double moved_load = keys_.sum(first, last);
                    const double peak =
                        std::max((loads_[from] - moved_load) / candidates_[from].capacity,
                                 (loads_[to] + moved_load) / candidates_[to].capacity);
                    if (peak < peak_to_beat) {
                        peak_to_beat = peak;
                        best = found_move{first, last, to};
                    }
                }
            }
        }
        return best;
    }

    // A key with more requests than its target can serve moves only to a target that serves more
    // additional requests, for the time for which such a key is likely to stay busy, than wait for
    // the move.
    [[nodiscard]] bool may_move_key(std::uint32_t key, std::size_t from, std::size_t to,
                                    double mean) const
    {
        const double limit = limits_.full_load > 0 ? limits_.full_load : mean;
        const double load = keys_.load_of(key);
        const double served_here = limit * candidates_[from].capacity;
        const double served_there = std::min(load, limit * candidates_[to].capacity);
        return load < served_here || (served_there - served_here) * limits_.hot_key_time_s >
                                         load * limits_.hot_key_wait_s;
    }

    // Moving all of this gives both targets the same load relative to their capacity. A source that
    // gives more than its excess would get keys of others in turn, and keys would move for nothing.
    [[nodiscard]] double load_to_move(std::size_t from, std::size_t to, double mean) const
    {
        const double equal =
            (loads_[from] * candidates_[to].capacity - loads_[to] * candidates_[from].capacity) /
            (candidates_[from].capacity + candidates_[to].capacity);
        const double share = mean * candidates_[from].capacity;
        const double given = std::max(loads_[from] - share, limits_.min_given_share * share);
        return limits_.keeps_source_at_mean ? std::min(equal, given) : equal;
    }

    key_move apply(std::size_t from, const found_move& found, double mean)
    {
        split_segments(segments_, found.first);
        split_segments(segments_, found.last + 1);
        for (auto& item : segments_) {
            if (item.first == found.first && item.last == found.last) {
                item.owner = candidates_[found.to].node;
                item.releasing = true;
            }
        }
        const double load = keys_.sum(found.first, found.last);
        const auto cause = relative_load(found.to) < mean * limits_.underload_ratio
                               ? move_cause::underload
                           : is_full(from) ? move_cause::full
                                           : move_cause::overload;
        loads_[from] -= load;
        loads_[found.to] += load;
        return {found.first,           found.last, candidates_[from].node,
                candidates_[found.to], load,       cause};
    }

    const key_load_table& keys_;
    std::vector<segment> segments_;
    std::span<const owner_candidate> candidates_;
    balance_limits limits_;
    std::vector<double> loads_;
    std::vector<bool> eligible_; ///< false: excluded from all moves
};

} // namespace

std::optional<key_move> find_move(const key_load_table& keys, std::span<const segment> segments,
                                  std::span<const owner_candidate> candidates,
                                  const balance_limits& limits)
{
    return move_search(keys, {segments.begin(), segments.end()}, candidates, limits).next();
}

std::vector<key_move> find_moves(const key_load_table& keys, std::vector<segment> segments,
                                 std::span<const owner_candidate> candidates,
                                 const move_budget& budget, const balance_limits& limits)
{
    move_search search(keys, std::move(segments), candidates, limits);
    std::vector<key_move> result;
    double load = 0;
    while (result.size() < budget.moves && load < budget.load) {
        const auto move = search.next();
        if (!move) {
            break;
        }
        load += move->load;
        result.push_back(*move);
    }
    return result;
}

void split_segments(std::vector<segment>& segments, std::uint32_t start)
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
