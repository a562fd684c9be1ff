#pragma once

/// Way A of the design page, the baseline of the measurements: each owner
/// renews its lease in the store, and another host takes over an expired one.

#include <cstddef>

#include "common/boot_clock.h"

namespace bulrushgw::fakes {

struct store_lease_times {
    milliseconds renewal{200};
    milliseconds lease{1200};
    /// The lease and the drift of two clocks, as in `ownership::promise_duration`.
    milliseconds promise{1225};
    milliseconds watch{200}; ///< interval at which the others read the leases
    milliseconds store_way{4};
};

/// Unavailable time of the lost owner's keys when it is lost `after_renewal`
/// after its last renewal and a watcher reads `until_watch` after the promise.
/// With the store down nobody can take over until `outage_left` has passed.
milliseconds store_lease_takeover(const store_lease_times& times, milliseconds after_renewal,
                                  milliseconds until_watch, milliseconds outage_left);

/// Unavailable time of every key during a store outage without any loss.
milliseconds store_lease_outage(const store_lease_times& times, milliseconds outage);

/// Writes to the store in a second.
double store_lease_writes(const store_lease_times& times, std::size_t nodes);

} // namespace bulrushgw::fakes
