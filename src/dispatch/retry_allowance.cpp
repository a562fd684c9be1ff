#include "dispatch/retry_allowance.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {
/// Share of the allowance that this node uses for its own retries. The rest is left for the calls
/// that a retried request makes, because they count as retries of the called service. With up to
/// three such calls per request, the own retries and these calls together take at most four
/// quarters of the allowance.
constexpr double used_share = 0.25;
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

bool retry_allowance::try_spend(time_point now)
{
    drop_expired(now);
    const double node_slack = settings_.slack / std::max<std::uint32_t>(settings_.nodes, 1);
    const double allowed =
        used_share * (settings_.ratio * static_cast<double>(request_times_.size()) + node_slack);
    if (static_cast<double>(retry_times_.size()) + 1 > allowed) {
        return false;
    }
    retry_times_.push_back(now);
    return true;
}

} // namespace bulrushgw::dispatch
