#pragma once

/// Repeats of requests to one service. All nodes together may make a share of the
/// service's requests, and some more, within a window. A node knows its own part
/// only: the share of its own requests, and an equal part of the rest, add up to
/// no more than the whole.

#include <chrono>
#include <cstdint>
#include <deque>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

struct allowance_settings {
    double ratio = 0.2; ///< of the service's requests in the window
    double slack = 50;  ///< further repeats in the window, of all nodes
    milliseconds window{10000};
    std::uint32_t nodes = 1; ///< that share the slack
};

/// Not thread-safe.
class retry_allowance {
public:
    void configure(const allowance_settings& settings) { settings_ = settings; }
    void on_request(time_point now);
    /// Takes one repeat, if there is one.
    bool try_spend(time_point now);

private:
    void drop_expired(time_point now);

    allowance_settings settings_;
    std::deque<time_point> requests_;
    std::deque<time_point> repeats_;
};

} // namespace bulrushgw::dispatch
