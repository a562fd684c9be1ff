#pragma once

/// Limits the rate of a node's store calls.

#include <algorithm>
#include <cstddef>

#include "common/boot_clock.h"
#include "ownership/random_source.h"
#include "store/types.h"

namespace bulrushgw::ownership {

/// One token bucket for reads and one for writes, each with exponential backoff with full jitter
/// after failures. They back off independently, because a store may answer reads while writes
/// fail. Not thread-safe.
class store_schedule {
public:
    /// Rate limits of all nodes together, per second.
    static constexpr double total_writes_per_second = 300;
    static constexpr double total_reads_per_second = 1500;
    /// Bounds on the bucket size of one node, in tokens. `total_burst` bounds the sum of the bucket
    /// sizes of all nodes. With more than 1500 nodes, the sum exceeds it, because each bucket then
    /// has the size `min_burst`.
    static constexpr double max_burst = 6;
    static constexpr double min_burst = 2;
    static constexpr double total_burst = 3000;

    void set_node_count(std::size_t nodes) { nodes_ = std::max<std::size_t>(nodes, 1); }
    /// Takes a token and returns true, or returns false during a backoff or if no token is left.
    bool try_spend(time_point now, bool is_write);
    /// Records the outcome of a call. A failure starts or extends the backoff, and any reply of the
    /// store ends it.
    void on_result(time_point now, bool is_write, store::status result, random_source& random);
    /// True if the last read failed, so that the store is probably down.
    [[nodiscard]] bool is_failing() const { return reads_.failures > 0; }
    [[nodiscard]] bool ever_answered() const { return answered_; }
    [[nodiscard]] time_point last_answer() const { return last_answer_; }
    [[nodiscard]] time_point blocked_until(bool is_write) const
    {
        return (is_write ? writes_ : reads_).blocked_until;
    }

private:
    struct token_bucket {
        double tokens = max_burst;
        bool filled = false;    ///< true after the first call of `try_spend`
        time_point filled_at{}; ///< when `tokens` was last updated
        unsigned failures = 0;  ///< consecutive failures
        time_point blocked_until{};
    };

    std::size_t nodes_ = 1;
    token_bucket writes_;
    token_bucket reads_;
    bool answered_ = false;
    time_point last_answer_{};
};

} // namespace bulrushgw::ownership
