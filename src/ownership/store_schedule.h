#pragma once

/// Bounds the rate of a node's store calls.

#include <algorithm>
#include <cstddef>

#include "common/boot_clock.h"
#include "ownership/random_source.h"
#include "store/types.h"

namespace bulrushgw::ownership {

/// Token buckets for reads and writes, and exponential backoff with full jitter
/// while the store fails. Not thread-safe.
class store_schedule {
public:
    /// Budget of all nodes together, per second.
    static constexpr double total_writes = 300;
    static constexpr double total_reads = 1500;
    /// Largest burst of one node.
    static constexpr double burst = 6;
    static constexpr milliseconds backoff_low{100};
    static constexpr milliseconds backoff_high{10000};

    void set_node_count(std::size_t nodes) { nodes_ = std::max<std::size_t>(nodes, 1); }
    /// Takes a token when one is there and no backoff runs.
    bool take(time_point now, bool is_write);
    /// Learns the outcome of a call.
    void on_result(time_point now, store::status result, random_source& random);
    /// True after a failure until the next success.
    [[nodiscard]] bool is_failing() const { return failures_ > 0; }
    [[nodiscard]] bool ever_answered() const { return answered_; }
    [[nodiscard]] time_point last_answer() const { return last_answer_; }
    [[nodiscard]] time_point blocked_until() const { return blocked_until_; }

private:
    void refill(time_point now);

    std::size_t nodes_ = 1;
    double writes_ = burst;
    double reads_ = burst;
    bool filled_ = false;
    time_point filled_at_{};
    unsigned failures_ = 0;
    time_point blocked_until_{};
    bool answered_ = false;
    time_point last_answer_{};
};

} // namespace bulrushgw::ownership
