#include "dispatch/retry_allowance.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {
/// Share of the allowance that this node uses for its own retries. The rest is left for the calls
/// that a retried request makes, because they count as retries of the called service. With up to
/// three such calls per request, the own retries and these calls together take at most four
/// quarters of the allowance.
constexpr double used_share = 0.25;

/// Number of times, which are in order, since `begin`.
double count_since(const std::deque<time_point>& times, time_point begin)
{
    return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), begin));
}
} // namespace

void retry_allowance::drop_expired(time_point now)
{
    while (!request_times_.empty() && now - request_times_.front() > settings_.window) {
        request_times_.pop_front();
    }
    while (!retry_times_.empty() && now - retry_times_.front() > settings_.window) {
        retry_times_.pop_front();
    }
}

void retry_allowance::on_request(time_point now)
{
    drop_expired(now);
    request_times_.push_back(now);
}

double retry_allowance::left(time_point now) const
{
    const auto begin = now - settings_.window;
    const double node_slack = settings_.slack / std::max<std::uint32_t>(settings_.nodes, 1);
    const double allowed =
        used_share * (settings_.ratio * count_since(request_times_, begin) + node_slack);
    return allowed - count_since(retry_times_, begin);
}

bool retry_allowance::try_spend(time_point now)
{
    drop_expired(now);
    if (left(now) < 1) {
        return false;
    }
    retry_times_.push_back(now);
    return true;
}

} // namespace bulrushgw::dispatch
