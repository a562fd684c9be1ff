#pragma once

/// Analytical model of leases in the store (way A of the design page). Each owner renews its lease
/// in the store, and another host takes over an expired lease. This is the baseline of the
/// benchmarks.

#include <cstddef>

#include "common/boot_clock.h"

namespace bulrushgw::fakes {

struct store_lease_times {
    milliseconds renewal{200};
    milliseconds lease{1200};
    /// The lease plus the drift of two clocks, as in `ownership::promise_duration`.
    milliseconds promise{1225};
    milliseconds watch{200};            ///< interval at which the other hosts read the leases
    milliseconds store_request_time{4}; ///< duration of one store request
};

/// Unavailable time of the keys of an owner after its loss. The owner is lost `after_renewal` after
/// its last renewal, and another host reads the lease `until_watch` after the end of the promise.
/// If the store is down, it stays down for `outage_left` after the loss, and no host can take over
/// before that.
milliseconds store_lease_takeover(const store_lease_times& times, milliseconds after_renewal,
                                  milliseconds until_watch, milliseconds outage_left);

/// Unavailable time of every key in a store outage in which no owner is lost.
milliseconds store_lease_outage(const store_lease_times& times, milliseconds outage);

/// Store writes per second.
double store_lease_writes(const store_lease_times& times, std::size_t nodes);

} // namespace bulrushgw::fakes
