#include "ownership/types.h"

namespace bulrushgw::ownership {

milliseconds promise_duration(const lease_times& times)
{
    constexpr std::int64_t permille = 1000;
    constexpr std::int64_t rounding_ms = 5;
    const std::int64_t drift = times.drift_permille;
    const std::int64_t numerator = times.lease.count() * (permille + drift);
    const std::int64_t denominator = permille - drift;
    const std::int64_t exact = (numerator + denominator - 1) / denominator;
    return milliseconds{(exact + rounding_ms - 1) / rounding_ms * rounding_ms};
}

} // namespace bulrushgw::ownership
