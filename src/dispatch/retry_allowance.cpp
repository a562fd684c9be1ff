#include "dispatch/retry_allowance.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {
/// Part of the allowance that is used. The calls made by a retried request count as retries of the
/// called service: with up to three calls per request, a quarter for each service keeps the sum
/// within the allowance.
constexpr double used_share = 0.25;
} // namespace

void retry_allowance::drop_expired(time_point now)
{
    while (!requests_.empty() && now - requests_.front() > settings_.window) {
        requests_.pop_front();
    }
    while (!retries_.empty() && now - retries_.front() > settings_.window) {
        retries_.pop_front();
    }
}

void retry_allowance::on_request(time_point now)
{
    drop_expired(now);
    requests_.push_back(now);
}

bool retry_allowance::try_spend(time_point now)
{
    drop_expired(now);
    const double node_slack = settings_.slack / std::max<std::uint32_t>(settings_.nodes, 1);
    const double allowed =
        used_share * (settings_.ratio * static_cast<double>(requests_.size()) + node_slack);
    if (static_cast<double>(retries_.size()) + 1 > allowed) {
        return false;
    }
    retries_.push_back(now);
    return true;
}

} // namespace bulrushgw::dispatch
