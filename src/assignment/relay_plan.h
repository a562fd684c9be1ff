#pragma once

/// How a change of the directory reaches many members: it goes to a few of them in each
/// availability zone, which pass it on within the zone. It answers deployments of hundreds
/// of hosts, where a copy from the leader to each member takes most of the bytes between
/// zones and of the leader's link. A member that its relay does not reach reports its old
/// version and gets the change with the reply.

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
    std::uint32_t cpu_millicores = 0; ///< of its host, see `report::cpu_millicores`
    milliseconds silence{0};          ///< since its last report
    bool leaving = false;             ///< its process ends soon, and with it what it passes on
};

struct relay_limits {
    /// Fewer members of one zone than this get their copies from the leader: a relay would
    /// save nothing or one copy, and adds a hop.
    std::size_t min_zone_members = 3;
    /// Members that one relay passes a change on to. Its host has as little as a tenth of
    /// a core, and a copy takes tens of microseconds.
    std::size_t max_forwards = 16;
    /// A member that is silent for longer is no relay: reports come each 250 ms.
    milliseconds max_relay_silence{400};
};

/// One copy that the leader sends.
struct relay_route {
    std::string address;
    std::vector<std::string> forward_to; ///< addresses that the receiver passes it on to
};

/// Each member is in one route, once. Pure; thread-safe.
std::vector<relay_route> plan_relays(std::span<const relay_member> members,
                                     const relay_limits& limits = {});

} // namespace bulrushgw::assignment
