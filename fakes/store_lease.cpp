#include "fakes/store_lease.h"

#include <algorithm>

namespace bulrushgw::fakes {

milliseconds store_lease_takeover(const store_lease_times& times, milliseconds after_renewal,
                                  milliseconds until_watch, milliseconds outage_left)
{
    const milliseconds expiry_seen = times.promise - after_renewal + until_watch;
    // One request reads the expired lease, a second one writes the new lease.
    return std::max(expiry_seen, outage_left) + 2 * times.store_request_time;
}

milliseconds store_lease_outage(const store_lease_times& times, milliseconds outage)
{
    const milliseconds without_lease = outage - (times.lease - times.renewal);
    return std::max(without_lease, milliseconds{0});
}

double store_lease_writes(const store_lease_times& times, std::size_t nodes)
{
    return static_cast<double>(nodes) * 1000.0 / static_cast<double>(times.renewal.count());
}

} // namespace bulrushgw::fakes
