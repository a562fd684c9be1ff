#include "fakes/driver.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

TEST_GROUP(driver){};

// Guards against a simulation in which no engine can serve. All other tests would then check empty
// histories.
TEST(driver, hosts_join_and_serve_every_range)
{
    driver world{driver_settings{}};
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        world.start(host);
    }
    world.run_for(milliseconds{10'000});
    CHECK(world.all_served());
    const history& record = world.finish();
    LONGS_EQUAL(0, check(record).size());
    CHECK(record.executions.size() > 50);
    CHECK(!record.placements.empty());
}

// Guards against a clock conversion error that shortens or extends a lease.
TEST(driver, drifting_clock_converts_both_ways)
{
    const drifting_clock clock{std::chrono::seconds{1000}, 10'000};
    const true_time at{milliseconds{123'457}};
    const auto error = clock.when(clock.local(at)) - at;
    CHECK(error >= std::chrono::nanoseconds{0});
    CHECK(error < std::chrono::nanoseconds{10});
}
