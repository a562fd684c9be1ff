#pragma once

/// Estimates how long a caller has already waited when a request arrives. A caller that was refused
/// sends a new request with less time left, but its wait counts from its first attempt. Without the
/// estimate, such a retry on a route with a latency goal (the time after which an answer is worth
/// less) would get the same goal as a first attempt that arrives now. The retry would also run
/// before a first attempt of the same rank, because its deadline is earlier, see `slot_queue`.
/// Under overload, most answers would therefore be late.

#include <map>
#include <string>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class time_spent {
public:
    /// Records a request on `route` whose caller waits for `left`, and returns how long the caller
    /// has already waited: the difference between `left` and the time limit of first attempts on
    /// the route. Returns 0 for a first attempt, or if too few requests arrive with about that
    /// limit.
    milliseconds observe(const std::string& route, milliseconds left);
    /// Returns what `observe` would return, and records nothing.
    [[nodiscard]] milliseconds estimate(const std::string& route, milliseconds left) const;

private:
    struct route_times {
        milliseconds longest_limit{0};  ///< longest time limit of a request
        double first_attempt_share = 1; ///< share of recent requests with about `longest_limit`
    };

    static milliseconds add(route_times& times, milliseconds left);

    std::map<std::string, route_times, std::less<>> routes_;
};

} // namespace bulrushgw::dispatch
