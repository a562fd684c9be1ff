#include "sidecar/planned_stop.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr milliseconds grace{6000};
const time_point begin = time_point{} + milliseconds{10000};

} // namespace

TEST_GROUP(planned_stop){};

// Guards against an exit at the end of the first grace time after the platform stopped the host a
// second time: a request that was still running was answered with 502.
TEST(planned_stop, repeated_signal_extends_the_time_for_running_requests)
{
    planned_stop stop;
    CHECK_FALSE(stop.is_stopping());
    stop.on_signal(begin, grace);
    stop.on_signal(begin + milliseconds{2300}, grace);
    const stop_progress busy{false, begin};
    CHECK(stop.is_closed(begin + milliseconds{3000}, busy));
    CHECK_FALSE(stop.is_over(begin + milliseconds{5500}, busy));
    CHECK_FALSE(stop.is_over(begin + milliseconds{7700}, busy));
    CHECK(stop.is_over(begin + milliseconds{7800}, busy));
}

// Guards against an exit while clients still send requests, and against one that waits for the
// whole grace time although the node is idle.
TEST(planned_stop, idle_node_refuses_requests_before_it_exits)
{
    planned_stop stop;
    stop.on_signal(begin, grace);
    const stop_progress idle{true, begin};
    CHECK_FALSE(stop.is_closed(begin + milliseconds{2400}, idle));
    CHECK_FALSE(stop.is_over(begin + milliseconds{2400}, idle));
    const stop_progress recent{true, begin + milliseconds{2400}};
    CHECK_FALSE(stop.is_closed(begin + milliseconds{2500}, recent));
    CHECK(stop.is_closed(begin + milliseconds{2700}, recent));
    CHECK_FALSE(stop.is_over(begin + milliseconds{2900}, recent));
    CHECK(stop.is_over(begin + milliseconds{3000}, recent));
}
