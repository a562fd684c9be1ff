#pragma once

/// Decides which target should own which keys, from the load of each key. Handles adjacent keys
/// that are busier than the rest, and a single key with more load than one target's share.

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "assignment/move_budget.h"
#include "assignment/types.h"

namespace bulrushgw::assignment {

/// Number of requests for each key, decaying over time. Not thread-safe.
class key_load_table {
public:
    key_load_table();

    void add(std::uint32_t key, double requests);
    /// Decays the load by half for each half-life that has elapsed.
    void decay(milliseconds elapsed);
    /// Load of the keys `first` to `last`. Each key has a small minimum load, so that keys without
    /// requests are distributed too.
    [[nodiscard]] double sum(std::uint32_t first, std::uint32_t last) const;
    [[nodiscard]] double load_of(std::uint32_t key) const;
    [[nodiscard]] double total() const { return sum(0, key_count - 1); }
    /// Requests per second for all keys, on average over the last seconds.
    [[nodiscard]] double requests_per_s() const;
    /// Requests per second that caused this part of the load, also in the first seconds of traffic.
    [[nodiscard]] double rate_of(double load) const;
    /// First key at which the sum of the loads from `first` on reaches `load`, but at most `last`.
    [[nodiscard]] std::uint32_t key_at_load(std::uint32_t first, std::uint32_t last,
                                            double load) const;

    /// The busiest key from `first` to `last`.
    [[nodiscard]] std::uint32_t busiest(std::uint32_t first, std::uint32_t last) const;

private:
    /// Sums of the loads before each key; recomputed after a change.
    [[nodiscard]] const std::vector<double>& prefix_sums() const;

    std::vector<double> requests_;
    /// Time in which `requests_` were counted, decaying like them.
    double window_ms_ = 0;
    mutable std::vector<double> prefix_sums_;
};

/// A target that may own keys. `capacity` is relative: number of slots times relative speed.
struct owner_candidate {
    incarnation_id node;
    std::string target;
    double capacity = 1;
};

/// Part of the usual load of a target that a cold target can take, if it tolerates
/// `tolerated_per_s` requests per second and a warm one gets `usual_per_s`. It is positive, since a
/// capacity must be.
[[nodiscard]] double tolerated_share(double tolerated_per_s, double usual_per_s);

/// A range of keys without an owner.
struct unassigned_keys {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::string handover; ///< token of the last owner, see `segment::handover`; empty: none
};

/// Divides the unassigned keys among the candidates whose load is furthest below their share of the
/// total load by capacity, in proportion to that difference. It is used for the first assignment
/// and after the loss of one or many targets. It chooses as few candidates as can take the load
/// with a small increase each, because each piece costs a grant and remains in the directory.
/// `loads` holds the present load of each candidate and is updated. Precondition: `candidates` is
/// not empty, and `free` is sorted by key.
std::vector<segment> distribute_keys(const key_load_table& keys,
                                     std::span<const unassigned_keys> free,
                                     std::span<const owner_candidate> candidates,
                                     std::vector<double>& loads);

/// Why keys move.
enum class move_cause : std::uint8_t {
    underload, ///< the destination has much less than its share, mostly because it has just joined
    full,      ///< the source uses nearly all of its slots
    overload,  ///< the load of the source exceeds the mean
};
/// Names of the causes in logs and metrics, by their value.
inline constexpr std::array<const char*, 3> move_cause_names{"underload", "full", "overload"};

/// A move of keys that evens out the load.
struct key_move {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    incarnation_id from;
    owner_candidate to;
    double load = 0; ///< of the keys
    move_cause cause = move_cause::overload;
};

struct balance_limits {
    /// Keys move away from a target whose load relative to its capacity exceeds the mean of all
    /// targets by this factor.
    double overload_ratio = 1.15;
    /// The load must also exceed the threshold that `overload_ratio` sets. The excess must be at
    /// least this many standard deviations of a request count.
    double overload_deviations = 2;
    /// A target whose load relative to its capacity is at least this has no room. The lower
    /// thresholds `full_ratio` and `full_deviations` apply to it. 0: unknown.
    double full_load = 0;
    double full_ratio = 1.1;
    double full_deviations = 1;
    /// A target whose load relative to its capacity is below this part of the mean gets keys, so
    /// that a target that has just joined does not wait for an overload elsewhere.
    double underload_ratio = 0.5;
    /// Part of the excess load of the most loaded target that a move must remove. A smaller gain is
    /// not worth the time in which nobody serves the keys.
    double min_gain = 0.15;
    /// A move takes only the load by which its source exceeds the mean, but at least
    /// `min_given_share` of its share by capacity. Otherwise a move evens out its two targets. Many
    /// moves in progress reach the mean sooner this way and move fewer keys.
    bool keeps_source_at_mean = false;
    double min_given_share = 0.2;
    /// A key with more requests than one target can serve is likely to stay so busy for this time.
    double hot_key_time_s = 3;
    /// Time for which the requests for such a key wait during a move: with all slots of its target
    /// in use for the key, mostly for one of the long runs.
    double hot_key_wait_s = 1;
};

/// Returns the move that evens out the load most, or none if the load is even enough. If one key
/// alone overloads its target, either the other keys move away from that target or the key moves to
/// a faster one. Segments that are `releasing` count towards the load of their owner and do not
/// move.
std::optional<key_move> find_move(const key_load_table& keys, std::span<const segment> segments,
                                  std::span<const owner_candidate> candidates,
                                  const balance_limits& limits = {});

/// Splits the segment that contains `start`, so that one segment begins at `start`. All segments
/// must belong to one service.
void split_segments(std::vector<segment>& segments, std::uint32_t start);

/// Returns moves within the budget. Each is found as if the moves before it were done.
std::vector<key_move> find_moves(const key_load_table& keys, std::vector<segment> segments,
                                 std::span<const owner_candidate> candidates,
                                 const move_budget& budget, const balance_limits& limits = {});

} // namespace bulrushgw::assignment
