#include "assignment/relay_plan.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

namespace {

std::vector<relay_member> members_of(std::size_t count, std::size_t zones)
{
    std::vector<relay_member> result;
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back({incarnation_id{i + 1}, "n" + std::to_string(i),
                          "z" + std::to_string(i % zones), static_cast<std::uint32_t>(i % 7),
                          milliseconds{100}, false});
    }
    return result;
}

std::vector<std::string> reached_addresses(const std::vector<relay_route>& routes)
{
    std::vector<std::string> result;
    for (const auto& route : routes) {
        result.push_back(route.address);
        result.insert(result.end(), route.forward_to.begin(), route.forward_to.end());
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace

TEST_GROUP(relay_plan){};

// Guards against a member that is in no route or gets two copies.
TEST(relay_plan, each_member_is_reached_once)
{
    for (std::size_t count : {0U, 1U, 2U, 3U, 13U, 88U, 195U, 301U}) {
        auto members = members_of(count, 5);
        for (std::size_t i = 0; i < count; i += 3) {
            members[i].silence = milliseconds{900};
        }
        std::vector<std::string> expected;
        for (const auto& member : members) {
            expected.push_back(member.address);
        }
        std::sort(expected.begin(), expected.end());
        CHECK(reached_addresses(plan_relays(members)) == expected);
    }
}

// Guards against a leader that sends one copy per member. For each zone it must send one copy per
// 17 members, rounded up. No relay may forward a change to more than 16 members.
TEST(relay_plan, leader_sends_one_copy_per_group)
{
    const auto routes = plan_relays(members_of(195, 5));
    LONGS_EQUAL(15, routes.size());
    for (const auto& route : routes) {
        CHECK(route.forward_to.size() <= 16);
    }
}

// Guards against a change that is delayed because its relay is a silent host. Such a host must not
// be chosen even if it has the largest processor share.
TEST(relay_plan, silent_hosts_are_not_relays)
{
    auto members = members_of(12, 1);
    for (auto& member : members) {
        member.silence = milliseconds{member.cpu_millicores >= 2 ? 800 : 50};
    }
    const auto routes = plan_relays(members);
    LONGS_EQUAL(1, routes.size());
    const auto relay = std::find_if(members.begin(), members.end(), [&](const auto& member) {
        return member.address == routes[0].address;
    });
    LONGS_EQUAL(50, relay->silence.count());
    for (auto& member : members) {
        member.silence = milliseconds{800};
    }
    LONGS_EQUAL(12, plan_relays(members).size());
}

// Guards against a change that is lost because its relay exits.
TEST(relay_plan, leaving_hosts_are_not_relays)
{
    auto members = members_of(12, 1);
    for (auto& member : members) {
        member.leaving = member.node.value != 5;
    }
    const auto routes = plan_relays(members);
    LONGS_EQUAL(1, routes.size());
    STRCMP_EQUAL("n4", routes[0].address.c_str());
}
