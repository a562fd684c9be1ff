#include "dispatch/warm_up_limiter.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

/// Share of the hard bound that one process uses.
constexpr double used_share = 0.8;
/// Share of the hard bound that a process uses together with an earlier process of its host.
constexpr double used_share_with_earlier = 0.9;
/// Upper bound of the window, for services that tolerate less than a request in this time.
constexpr std::chrono::duration<double> max_window{60};
/// Starts that are remembered while no bound is known. With a later bound, more than this many
/// starts count as this many.
constexpr std::size_t max_remembered = 4096;

/// The whole number of starts, at least one: a target that tolerates less would never warm up
/// by the requests that it gets.
std::size_t whole_starts(double value)
{
    return static_cast<std::size_t>(
        std::clamp(std::floor(value), 1.0, static_cast<double>(max_remembered)));
}

} // namespace

void warm_up_limiter::set_bound(const start_bound& bound)
{
    if (bound == bound_) {
        return;
    }
    bound_ = bound;
    max_starts_ = 0;
    earlier_starts_ = 0;
    if (bound.requests_per_s <= 0) {
        return;
    }
    const double rate = bound.requests_per_s * bound.overage;
    const double hard_bound = rate + bound.slack;
    // The window has room for one start, at least.
    const std::chrono::duration<double> time_per_start(1 / rate);
    window_ = std::max<boot_clock::duration>(
        min_window, std::chrono::ceil<milliseconds>(std::min(time_per_start, max_window)));
    max_starts_ = whole_starts(
        std::min(hard_bound * used_share, rate * std::chrono::duration<double>(window_).count()));
    const double left = std::max(0.0, std::floor(hard_bound * used_share_with_earlier) -
                                          static_cast<double>(max_starts_));
    earlier_starts_ = max_starts_ - std::min(max_starts_, static_cast<std::size_t>(left));
}

void warm_up_limiter::drop_expired(time_point now)
{
    const std::size_t max_kept = max_starts_ > 0 ? max_starts_ : max_remembered;
    while (!starts_.empty() && (now - starts_.front() >= window_ || starts_.size() > max_kept)) {
        starts_.pop_front();
    }
}

void warm_up_limiter::on_start(time_point now)
{
    starts_.push_back(now);
    drop_expired(now);
}

std::optional<time_point> warm_up_limiter::latest(std::size_t n) const
{
    if (n <= starts_.size()) {
        return starts_[starts_.size() - n];
    }
    return n <= starts_.size() + earlier_starts_ ? std::optional(process_start_) : std::nullopt;
}

bool warm_up_limiter::is_window_full(time_point now) const
{
    const auto first = max_starts_ > 0 ? latest(max_starts_) : std::nullopt;
    return first && *first + window_ > now;
}

time_point warm_up_limiter::next_start(time_point now) const
{
    if (!is_limiting()) {
        return now;
    }
    time_point result = now;
    if (const auto first = latest(max_starts_)) {
        result = std::max(result, *first + window_);
    }
    const std::size_t burst = (max_starts_ + 1) / 2;
    const auto burst_start = latest(burst);
    if (burst_start && *burst_start + window_ > now) {
        result = std::max(result, *latest(1) + window_ / static_cast<int>(max_starts_));
    }
    return result;
}

double warm_up_limiter::starts_per_s() const
{
    return static_cast<double>(max_starts_) / std::chrono::duration<double>(window_).count();
}

} // namespace bulrushgw::dispatch
