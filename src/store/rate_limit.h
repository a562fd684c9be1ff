#pragma once

/// Rate limits of one node for its calls to the platform store.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include "common/boot_clock.h"

namespace bulrushgw::store {

/// Part of the budget that nodes use. Send slots of many nodes are independent,
/// so that their sum varies around its mean; the rest of the budget covers this.
inline constexpr double rate_share = 0.75;

/// Longest time for which unused tokens accumulate. All nodes together send at
/// most this long a burst at once.
inline constexpr milliseconds rate_burst{200};

/// A send slot that is not used within this time passes unused.
inline constexpr milliseconds rate_slot_grace{100};

/// Tokens kept for interactive requests, which must not wait for a slot. They
/// refill at `rate_reserve_share` of the node's rate. Operators' calls go to one
/// node each, so that reserves are not used by many nodes at once.
inline constexpr double rate_reserve = 4;
inline constexpr double rate_reserve_share = 0.05;

/// Grants tokens at a fixed period with a random phase.
///
/// A plain token bucket would hold at least one token at each node, and 18,000
/// nodes that want to write after an outage or the loss of an availability zone
/// would spend them in the same second. Therefore a bucket that cannot fill one
/// token within `rate_burst` grants it only in its own send slot. Not
/// thread-safe.
class rate_limit {
public:
    rate_limit(double total_per_second, std::size_t nodes, std::uint64_t seed, time_point now);

    /// Keeps the phase. Precondition: nodes > 0.
    void set_nodes(time_point now, std::size_t nodes);
    /// Takes a token if there is one.
    bool take(time_point now);
    /// Takes a token of the reserve if there is one.
    bool take_reserve(time_point now);
    /// Time between two tokens.
    [[nodiscard]] boot_clock::duration period() const { return period_; }

private:
    void refill(time_point now);

    double total_ = 0;
    double phase_ = 0; ///< in [0, 1), part of a period
    boot_clock::duration period_{};
    double capacity_ = 0;
    double tokens_ = 0;
    double reserve_ = rate_reserve;
    time_point next_slot_;
    time_point reserve_filled_;
};

} // namespace bulrushgw::store
