#include "dispatch/link_pacer.h"

#include <chrono>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

constexpr double bytes_per_s_at_1_mbps = 125000;
/// Together with `link_pacer::window`, which is 0.05 s of the link, bodies take at most four fifths
/// of the link over each second.
constexpr double steady_share = 0.75;
/// Smaller pieces cost more in frames than they shorten the queue.
constexpr std::uint64_t min_window_bytes = std::uint64_t{8} * 1024;
constexpr double ms_per_s = 1000;
constexpr double max_time_ms = 3600 * ms_per_s;

milliseconds to_ms(double value)
{
    return milliseconds{static_cast<milliseconds::rep>(std::ceil(std::min(value, max_time_ms)))};
}

} // namespace

link_pacer::link_pacer(double link_mbps)
    : bytes_per_s_(link_mbps * bytes_per_s_at_1_mbps * steady_share),
      window_bytes_(std::max(min_window_bytes, static_cast<std::uint64_t>(
                                                   link_mbps * bytes_per_s_at_1_mbps *
                                                   std::chrono::duration<double>(window).count()))),
      available_(static_cast<double>(window_bytes_))
{
}

double link_pacer::available(time_point now) const
{
    const double passed_s = std::chrono::duration<double>(now - updated_at_).count();
    return std::min(static_cast<double>(window_bytes_),
                    available_ + std::max(0.0, passed_s) * bytes_per_s_);
}

bool link_pacer::try_take(time_point now, std::uint64_t bytes)
{
    const double left = available(now) - static_cast<double>(bytes);
    if (left < 0) {
        return false;
    }
    available_ = left;
    updated_at_ = now;
    return true;
}

milliseconds link_pacer::wait(time_point now, std::uint64_t bytes) const
{
    const double missing = static_cast<double>(std::min(bytes, window_bytes_)) - available(now);
    return missing <= 0 ? milliseconds{0} : to_ms(missing / bytes_per_s_ * ms_per_s);
}

milliseconds link_pacer::time_for(std::uint64_t bytes) const
{
    return to_ms(static_cast<double>(bytes) / bytes_per_s_ * ms_per_s);
}

} // namespace bulrushgw::dispatch
