#include "dispatch/probe_schedule.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

using ms_double = std::chrono::duration<double, std::milli>;

/// Bounds of the mean time between two probes of one host. The longest one is about the time in
/// which a recovered target should be in use again by most hosts.
constexpr ms_double min_interval{500};
constexpr ms_double max_interval{4000};
/// The first and the longest mean interval as multiples of the time between requests before. In a
/// short silence the target gets a quarter of its usual requests, in a long one few.
constexpr double first_interval_in_gaps = 4;
constexpr double longest_interval_in_gaps = 32;
/// Bounds of the random length of an interval as a multiple of its mean.
constexpr double min_length = 0.6;
constexpr double max_length = 1.4;
/// Weight of one observation in the mean time between requests.
constexpr double gap_weight = 0.1;

ms_double interval_of(double multiple, double gap_ms)
{
    return std::clamp(ms_double{multiple * gap_ms}, min_interval, max_interval);
}

} // namespace

bool probe_schedule::update(time_point now, bool avoided, std::mt19937_64& random)
{
    if (!avoided) {
        interval_ = ms_double{0};
        return false;
    }
    if (!is_avoided()) {
        interval_ = interval_of(first_interval_in_gaps, mean_gap_ms_);
        schedule(now, random);
    }
    return now >= next_probe_;
}

void probe_schedule::on_pick(time_point now, std::mt19937_64& random)
{
    if (is_avoided()) {
        interval_ = std::min(interval_ * 2, interval_of(longest_interval_in_gaps, mean_gap_ms_));
        schedule(now, random);
    }
    else if (last_pick_ != time_point{}) {
        const double gap = std::min(ms_double(now - last_pick_), max_interval).count();
        mean_gap_ms_ += mean_gap_ms_ > 0 ? gap_weight * (gap - mean_gap_ms_) : gap;
    }
    last_pick_ = now;
}

void probe_schedule::schedule(time_point now, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> length(min_length, max_length);
    next_probe_ =
        now + std::chrono::duration_cast<boot_clock::duration>(interval_ * length(random));
}

} // namespace bulrushgw::dispatch
