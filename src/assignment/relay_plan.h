#pragma once

/// Distribution of a directory change to many members: the leader sends it to a few members in each
/// availability zone, the relays, which forward it within the zone. In deployments of hundreds of
/// hosts, a copy from the leader to each member would take most of the traffic between zones and of
/// the leader's link. If a relay does not reach a member, that member reports its old version and
/// gets the change with the reply.

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::assignment {

/// A member that lacks the change.
struct relay_member {
    incarnation_id node;
    std::string address;
    std::string zone;
    std::uint32_t cpu_millicores = 0; ///< see `report::cpu_millicores`
    milliseconds silence{0};          ///< time since its last report
    bool leaving = false;             ///< the process ends soon and may not forward the change
};

struct relay_limits {
    /// In a zone with fewer members than this, the leader sends the change directly to each member,
    /// because a relay would save the leader at most one copy of the change and add a hop.
    std::size_t min_zone_members = 3;
    /// Maximum number of members to which one relay forwards a change. The host of a relay may have
    /// only a tenth of a core, and a copy takes tens of microseconds.
    std::size_t max_forwards = 16;
    /// A member is not used as relay if its last report is older than this. Members send a report
    /// every 250 ms.
    milliseconds max_relay_silence{400};
};

/// One copy that the leader sends.
struct relay_route {
    std::string address;
    std::vector<std::string> forward_to; ///< addresses to which the receiver forwards it
};

/// Returns routes that contain each member exactly once. Pure function; thread-safe.
std::vector<relay_route> plan_relays(std::span<const relay_member> members,
                                     const relay_limits& limits = {});

} // namespace bulrushgw::assignment
