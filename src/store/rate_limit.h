#pragma once

/// Rate limits of one node for its calls to the platform store.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include "common/boot_clock.h"

namespace bulrushgw::store {

/// Fraction of the total budget that the nodes use. The send slots of the nodes are independent,
/// so the total rate varies around its mean; the rest of the budget absorbs the variation.
inline constexpr double rate_share = 0.75;

/// Longest time for which unused tokens accumulate. This limits a burst of all nodes together to
/// the number of requests that the budget allows in this time.
inline constexpr milliseconds rate_burst{200};

/// A send slot that is not used within this time after its start is lost.
inline constexpr milliseconds rate_slot_grace{100};

/// Tokens reserved for interactive requests, which must not wait for a send slot. They refill at
/// `rate_reserve_share` of the node's rate. Each operator call goes to a single node, so the
/// reserves of many nodes are not used at the same time.
inline constexpr double rate_reserve_tokens = 4;
inline constexpr double rate_reserve_share = 0.05;

/// Provides send tokens at a fixed period with a random phase.
///
/// A plain token bucket would hold at least one token on each node, and 18,000 nodes that all
/// write after an outage or the loss of an availability zone would spend them in the same second.
/// Therefore, when less than one token accumulates within `rate_burst`, a token is available only
/// during a periodic send slot of this node. Not thread-safe.
class rate_limit {
public:
    rate_limit(double total_per_second, std::size_t nodes, std::uint64_t seed, time_point now);

    /// Changes the number of nodes that share the budget. Preserves the elapsed fraction of the
    /// current period. Precondition: nodes > 0.
    void set_nodes(time_point now, std::size_t nodes);
    /// Takes a token. Returns false if none is available.
    bool take(time_point now);
    /// Takes a token from the reserve. Returns false if it is empty.
    bool take_reserve(time_point now);
    /// Time between two tokens.
    [[nodiscard]] boot_clock::duration period() const { return period_; }

private:
    void refill(time_point now);

    double total_ = 0; ///< requests per second of all nodes together
    double phase_ = 0; ///< start of the first slot as a fraction of a period, in [0, 1)
    boot_clock::duration period_{};
    double capacity_ = 0; ///< tokens that can accumulate; 0 when tokens are bound to send slots
    double tokens_ = 0;
    double reserve_ = rate_reserve_tokens;
    time_point next_slot_;
    time_point reserve_filled_;
};

} // namespace bulrushgw::store
