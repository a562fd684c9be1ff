#include "dispatch/offered_load.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

double slots_of(const offered_load& load, time_point now, const std::string& kind)
{
    for (const auto& item : load.loads(now)) {
        if (item.kind == kind) {
            return item.slots;
        }
    }
    return 0;
}

} // namespace

TEST_GROUP(offered_load){};

// Guards against a load that mixes kinds or that never decays.
TEST(offered_load, work_is_counted_by_kind_and_decays)
{
    offered_load load;
    // 20 requests of 100 ms per second occupy two slots, and 10 requests of 50 ms per second occupy
    // half a slot.
    for (long now = 0; now < 20000; now += 50) {
        load.add(at(now), "long", 1, 100);
        if (now % 100 == 0) {
            load.add(at(now), "short", 3, 50);
        }
    }
    const auto now = at(20000);
    DOUBLES_EQUAL(2, slots_of(load, now, "long"), 0.1);
    DOUBLES_EQUAL(0.5, slots_of(load, now, "short"), 0.02);
    LONGS_EQUAL(2, load.loads(now).size());
    LONGS_EQUAL(1, load.loads(now).at(0).rank);
    LONGS_EQUAL(3, load.loads(now).at(1).rank);
    CHECK(slots_of(load, at(40000), "long") + slots_of(load, at(40000), "short") < 0.01);
}

// Guards against memory use that grows with the routes of a large manifest, and against work that
// is not counted.
TEST(offered_load, kinds_beyond_the_limit_are_counted_together)
{
    offered_load load;
    double total = 0;
    for (int kind = 0; kind < 10000; ++kind) {
        load.add(at(0), std::to_string(kind), 1, 20);
    }
    const auto loads = load.loads(at(0));
    for (const auto& item : loads) {
        total += item.slots;
    }
    CHECK(loads.size() <= 65);
    DOUBLES_EQUAL(100, total, 0.001);
}

// Guards against routes that got requests long ago and keep new routes from being counted.
TEST(offered_load, idle_kinds_make_room_for_new_ones)
{
    offered_load load;
    for (int kind = 0; kind < 100; ++kind) {
        load.add(at(0), std::to_string(kind), 1, 20);
    }
    load.add(at(60000), "new", 1, 200);
    DOUBLES_EQUAL(0.1, slots_of(load, at(60000), "new"), 0.001);
}
