#include "routing/work_bounds.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::routing;

TEST_GROUP(work_bounds){};

// Guards against leases that follow a route of another service, or only one of several routes.
TEST(work_bounds, longest_timeout_of_the_routes_of_each_sharded_service)
{
    manifest content;
    service keyed;
    keyed.name = "keyed";
    keyed.sharded = true;
    service unlimited = keyed;
    unlimited.name = "unlimited";
    service plain;
    plain.name = "plain";
    content.services = {keyed, unlimited, plain};
    route first;
    first.timeout = milliseconds{1500};
    first.destinations = {{"keyed", 1}, {"plain", 2}};
    route second = first;
    second.timeout = milliseconds{900};
    route third;
    third.destinations = {{"unlimited", 1}, {"unknown", 1}};
    content.routes = {first, second, third};
    const auto work = longest_keyed_work(content);
    LONGS_EQUAL(1, work.size());
    LONGS_EQUAL(1500, work.at("keyed").count());
}
