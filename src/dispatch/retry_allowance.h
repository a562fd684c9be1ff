#pragma once

/// Limits the retries of requests to one service. Within a window, all nodes together may retry a
/// fixed share of the service's requests and a fixed number in addition. A node knows only its own
/// requests. It may therefore retry at most the same share of its own requests, and an equal part
/// of the additional number. Summed over all nodes, this does not exceed the limit.

#include <chrono>
#include <cstdint>
#include <deque>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

struct allowance_settings {
    /// Maximum number of retries within `window` per request to the service within `window`.
    double ratio = 0.2;
    /// Number of retries within `window` that all nodes together may make in addition.
    double slack = 50;
    /// Length of the sliding window, which ends at the present time.
    milliseconds window{10000};
    std::uint32_t nodes = 1; ///< number of nodes among which `slack` is divided
};

/// Not thread-safe.
class retry_allowance {
public:
    void configure(const allowance_settings& settings) { settings_ = settings; }
    void on_request(time_point now);
    /// Takes one retry from the allowance. Returns false if none is left.
    bool try_spend(time_point now);
    /// Number of retries that can be taken now; may be below 0 and need not be whole.
    [[nodiscard]] double left(time_point now) const;

private:
    void drop_expired(time_point now);

    allowance_settings settings_;
    std::deque<time_point> request_times_;
    std::deque<time_point> retry_times_;
};

} // namespace bulrushgw::dispatch
