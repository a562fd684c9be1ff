#pragma once

/// Clock that also advances while the host is suspended.

#include <chrono>
#include <cstdint>

namespace bulrushgw {

/// std::chrono clock on CLOCK_BOOTTIME. CLOCK_MONOTONIC does not advance while a host is
/// suspended, but leases must expire during that time. Thread-safe.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

using time_point = boot_clock::time_point;
using std::chrono::milliseconds;

} // namespace bulrushgw
