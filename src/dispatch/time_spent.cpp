#include "dispatch/time_spent.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one request in the share of first attempts.
constexpr double sample_weight = 0.02;
/// If the share of first attempts is below this value, the longest time limit is not typical of the
/// route. This happens for calls that inherit the rest of another request's time.
constexpr double min_first_attempt_share = 0.25;
/// Number of routes that are tracked; a further route clears them all. There is a limit because the
/// manifest, from which the routes come, may be large.
constexpr std::size_t max_routes = 1024;

} // namespace

milliseconds time_spent::observe(const std::string& route, milliseconds left)
{
    if (routes_.size() >= max_routes && !routes_.contains(route)) {
        routes_.clear();
    }
    return add(routes_[route], left);
}

milliseconds time_spent::estimate(const std::string& route, milliseconds left) const
{
    const auto found = routes_.find(route);
    auto times = found == routes_.end() ? route_times{} : found->second;
    return add(times, left);
}

milliseconds time_spent::add(route_times& times, milliseconds left)
{
    if (left > times.longest_limit) {
        // The transfer to the host takes some of the time, so the time limits of first attempts
        // differ a little. Only a limit that is longer by more than 5 % resets the share of first
        // attempts.
        times.first_attempt_share =
            left > times.longest_limit + times.longest_limit / 20 ? 1 : times.first_attempt_share;
        times.longest_limit = left;
    }
    const auto spent = times.longest_limit - left;
    const bool first_attempt = spent <= times.longest_limit / 20;
    times.first_attempt_share +=
        sample_weight * ((first_attempt ? 1 : 0) - times.first_attempt_share);
    return first_attempt || times.first_attempt_share < min_first_attempt_share ? milliseconds{0}
                                                                                : spent;
}

} // namespace bulrushgw::dispatch
