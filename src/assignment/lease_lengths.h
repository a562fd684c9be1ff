#pragma once

/// Lengths of the leases that a leader gives. A run (execution of a request) at a target ends at
/// the latest with the hold under which it began, so the members beside targets whose requests take
/// long get longer leases. Has no I/O: no socket, clock or store.

#include <map>
#include <string>

#include "assignment/types.h"

namespace bulrushgw::assignment {

/// Length of the lease of a member whose target runs a request for up to `longest_work`; 0: not
/// specified. Between `timing::lease` and `timing::longest_lease`.
[[nodiscard]] milliseconds lease_length(const timing& times, milliseconds longest_work);

/// Longest hold that a grant may have when `left` is left of the lease, so that the target holds no
/// keys after the lease, even if it carries out the grant late.
[[nodiscard]] milliseconds longest_hold(const timing& times, milliseconds left);
/// Latest end of a hold of a grant, counted from the sending of the grant.
[[nodiscard]] milliseconds latest_hold_end(const timing& times, milliseconds hold);
/// Time for which the host relies on a hold. If the target's clock is fast, the hold ends sooner
/// than `hold` on the host's clock.
[[nodiscard]] milliseconds relied_hold(const timing& times, milliseconds hold);

/// Not thread-safe.
class lease_lengths {
public:
    explicit lease_lengths(const timing& times) : times_(times) {}

    /// Sets the longest time for which a target of each service runs a request for a key. Services
    /// that are not named get leases of `timing::lease`.
    void set_longest_work(const std::map<std::string, milliseconds>& longest_work);
    /// Length of a new lease of a member beside a target of `service`. `confirmed`: the longest
    /// lease for which the next leader will allow.
    [[nodiscard]] milliseconds length_for(const std::string& service, milliseconds confirmed) const;
    /// Notes that a lease of this length may run until `end`.
    void note_lease(milliseconds length, time_point end);
    /// Longest of the lengths in force and of the leases that may still run at `now`. The record of
    /// the leader must name at least this length.
    [[nodiscard]] milliseconds longest(time_point now) const;

private:
    timing times_;
    std::map<std::string, milliseconds> lengths_;    ///< by service
    std::map<milliseconds, time_point> latest_ends_; ///< by length
};

} // namespace bulrushgw::assignment
