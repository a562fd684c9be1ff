#pragma once

/// Which target should hold which keys. Pure functions over the measured load of
/// each key. They answer two loads: keys that lie close together and are busier
/// than the rest, and one key that takes more than the share of one target.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "assignment/types.h"

namespace bulrushgw::assignment {

/// Requests per second of each key, with a decay that forgets old load.
/// Not thread-safe.
class key_load_table {
public:
    key_load_table();

    void add(std::uint32_t key, double requests);
    /// Halves the weight of what was measured `half_life` ago.
    void decay(milliseconds elapsed);
    /// Load of the keys `first` to `last`. Every key has a small load of its own,
    /// so that keys without requests are spread too.
    [[nodiscard]] double sum(std::uint32_t first, std::uint32_t last) const;
    [[nodiscard]] double load_of(std::uint32_t key) const;
    [[nodiscard]] double total() const { return sum(0, key_count - 1); }
    /// The key at which the load from `first` on reaches `load`, at max_moves `last`.
    [[nodiscard]] std::uint32_t key_at_load(std::uint32_t first, std::uint32_t last,
                                            double load) const;

    /// The busiest key from `first` to `last`.
    [[nodiscard]] std::uint32_t busiest(std::uint32_t first, std::uint32_t last) const;

private:
    /// Sums of the loads before each key, made anew after a change.
    [[nodiscard]] const std::vector<double>& prefix_sums() const;

    std::vector<double> requests_;
    mutable std::vector<double> prefix_sums_;
};

/// A target that may hold keys. `capacity` is relative: slots by speed.
struct owner_candidate {
    incarnation_id node;
    std::string target;
    double capacity = 1;
};

/// A range of keys without an owner.
struct unassigned_keys {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::string handover; ///< of the last holder; empty: none
};

/// Divides the free keys among the candidates with the most room, in proportion to
/// it. It answers the loss of one or many targets: no more candidates take part than
/// keep the additional load of each small, since each piece costs a grant and stays in
/// the directory. `loads` holds the present load of each candidate and is brought up
/// to date. Precondition: candidates is not empty, and `free` is in the order of keys.
std::vector<segment> distribute_keys(const key_load_table& keys,
                                     std::span<const unassigned_keys> free,
                                     std::span<const owner_candidate> candidates,
                                     std::vector<double>& loads);

/// Keys that should move to even the load.
struct key_move {
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    incarnation_id from;
    owner_candidate to;
};

struct balance_limits {
    /// Load of a target over the mean of all, by capacity, from which keys move.
    double overload_ratio = 1.15;
    /// Standard deviations of a count that an overload must exceed besides.
    double overload_deviations = 2;
    /// Load of a target over the mean from below which it gets keys: one that has
    /// just joined must not wait for an overload.
    double underload_ratio = 0.5;
    /// Part of the overloaded target's excess that a move must remove to be worth
    /// the time in which nobody serves the keys.
    double min_gain = 0.15;
};

/// The one move that evens the load most, or none when it is even enough. A key
/// that alone overloads its target stays alone there, or goes to a faster one.
/// Segments that are `releasing` count for their owner and do not move.
std::optional<key_move> find_move(const key_load_table& keys, std::span<const segment> segments,
                                  std::span<const owner_candidate> candidates,
                                  const balance_limits& limits = {});

/// Divides the segment that holds `start` behind its other keys, so that one begins
/// there. All segments must be of one service.
void split_segments(std::vector<segment>& segments, std::uint32_t start);

/// Up to `max_moves` moves, each found as if those before it were done.
std::vector<key_move> find_moves(const key_load_table& keys, std::vector<segment> segments,
                                 std::span<const owner_candidate> candidates, std::size_t max_moves,
                                 const balance_limits& limits = {});

} // namespace bulrushgw::assignment
