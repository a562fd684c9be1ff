#include "assignment/relay_plan.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace bulrushgw::assignment {

namespace {

using zone_members = std::vector<const relay_member*>;

void add_direct(const zone_members& members, std::vector<relay_route>& routes)
{
    for (const auto* member : members) {
        routes.push_back({member->address, {}});
    }
}

// The hosts with the largest processor share become the relays. The same hosts are chosen each
// time, because the connections to them are already open and data sent over these connections
// compresses well.
void add_relayed(zone_members members, const relay_limits& limits, std::vector<relay_route>& routes)
{
    const auto group_size = limits.max_forwards + 1;
    const auto wanted_relays = (members.size() + group_size - 1) / group_size;
    const auto can_relay = [&](const relay_member* member) {
        return member->silence <= limits.max_relay_silence && !member->leaving;
    };
    std::sort(members.begin(), members.end(), [&](const auto* a, const auto* b) {
        return std::tuple(can_relay(a), a->cpu_millicores, a->node) >
               std::tuple(can_relay(b), b->cpu_millicores, b->node);
    });
    const auto relay_capable =
        static_cast<std::size_t>(std::count_if(members.begin(), members.end(), can_relay));
    const auto relay_count = std::min(wanted_relays, relay_capable);
    if (relay_count == 0) {
        add_direct(members, routes);
        return;
    }
    const auto first_route = routes.size();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (i < relay_count) {
            routes.push_back({members[i]->address, {}});
            continue;
        }
        auto& forward_to = routes[first_route + i % relay_count].forward_to;
        if (forward_to.size() < limits.max_forwards) {
            forward_to.push_back(members[i]->address);
        }
        else {
            routes.push_back({members[i]->address, {}});
        }
    }
}

} // namespace

std::vector<relay_route> plan_relays(std::span<const relay_member> members,
                                     const relay_limits& limits)
{
    std::map<std::string, zone_members> zones;
    for (const auto& member : members) {
        zones[member.zone].push_back(&member);
    }
    std::vector<relay_route> routes;
    for (auto& [zone, members_in_zone] : zones) {
        if (members_in_zone.size() < limits.min_zone_members) {
            add_direct(members_in_zone, routes);
        }
        else {
            add_relayed(std::move(members_in_zone), limits, routes);
        }
    }
    return routes;
}

} // namespace bulrushgw::assignment
