#include "dispatch/offered_load.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

} // namespace

TEST_GROUP(offered_load){};

// Guards against a load that includes less urgent requests or that never decays.
TEST(offered_load, work_is_counted_by_rank_and_decays)
{
    offered_load load;
    // 20 requests of 100 ms per second occupy two slots, and 10 requests of 50 ms per second occupy
    // half a slot.
    for (long now = 0; now < 20000; now += 50) {
        load.add(at(now), 1, milliseconds{100});
        if (now % 100 == 0) {
            load.add(at(now), 3, milliseconds{50});
        }
    }
    const auto now = at(20000);
    DOUBLES_EQUAL(0, load.load_up_to_rank(now, 1, false), 0.001);
    DOUBLES_EQUAL(2, load.load_up_to_rank(now, 1, true), 0.1);
    DOUBLES_EQUAL(2, load.load_up_to_rank(now, 3, false), 0.1);
    DOUBLES_EQUAL(2.5, load.total(now), 0.12);
    CHECK(load.total(at(40000)) < 0.01);
}

// Guards against memory use that grows with the ranks of a large manifest.
TEST(offered_load, ranks_beyond_the_limit_are_counted_together)
{
    offered_load load;
    for (std::uint32_t rank = 0; rank < 10000; ++rank) {
        load.add(at(0), rank, milliseconds{20});
    }
    DOUBLES_EQUAL(100, load.total(at(0)), 0.001);
    DOUBLES_EQUAL(0.1, load.load_up_to_rank(at(0), 10, false), 0.001);
}
