#pragma once

/// How long a caller has waited already when a request arrives. A caller that was
/// refused comes back as a new request with less time left, but its wait counts from
/// its first attempt. It answers overload: without it, requests that came back look as
/// timely as fresh ones and go before them, so that most answers come late.

#include <map>
#include <string>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class time_spent {
public:
    /// Takes note of a request on `route` whose caller waits for `left`, and returns how
    /// much of its time is over: what is missing to the time that callers of that route
    /// start with, if many start with the same.
    milliseconds observe(const std::string& route, milliseconds left);

private:
    struct route_times {
        milliseconds full_time{0};      ///< the longest time told
        double first_attempt_share = 1; ///< of recent requests, that told about that time
    };
    std::map<std::string, route_times, std::less<>> routes_;
};

} // namespace bulrushgw::dispatch
