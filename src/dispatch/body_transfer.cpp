#include "dispatch/body_transfer.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the speed of the link.
constexpr double sample_weight = 0.15;
/// Slowest speed that is assumed, 1 Mbit/s. Answers may be late for another reason than the link.
constexpr double max_ms_per_byte = 8e-3;
/// A reported wait counts less with age and not at all after this time.
constexpr std::chrono::duration<double> wait_valid{1};

} // namespace

void body_transfer::on_intake_wait(time_point now, milliseconds wait)
{
    reported_wait_ms_ = static_cast<double>(wait.count());
    reported_at_ = now;
}

double body_transfer::on_answer(std::size_t bytes, double extra_ms)
{
    if (bytes <= direct_body_bytes) {
        return extra_ms;
    }
    const auto size = static_cast<double>(bytes);
    const double sample = std::clamp(extra_ms / size, 0.0, max_ms_per_byte);
    ms_per_byte_ += sample_weight * (sample - ms_per_byte_);
    return std::max(0.0, extra_ms - sample * size);
}

double body_transfer::wait_ms(time_point now, std::size_t bytes) const
{
    if (bytes <= direct_body_bytes) {
        return 0;
    }
    const double left = 1 - std::chrono::duration<double>(now - reported_at_) / wait_valid;
    return std::max(reported_wait_ms_ * std::max(0.0, left), own_wait_ms(bytes));
}

double body_transfer::own_wait_ms(std::size_t bytes) const
{
    return bytes > direct_body_bytes ? static_cast<double>(own_bytes_) * ms_per_byte_ : 0;
}

double body_transfer::transfer_ms(std::size_t bytes) const
{
    return bytes > direct_body_bytes ? static_cast<double>(bytes) * ms_per_byte_ : 0;
}

} // namespace bulrushgw::dispatch
