#include "dispatch/time_spent.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

TEST_GROUP(time_spent){};

// Guards against counting a retry as a first attempt.
TEST(time_spent, retries_count_from_the_first_attempt)
{
    time_spent times;
    for (int i = 0; i < 50; ++i) {
        LONGS_EQUAL(0, times.observe("r", milliseconds{1200}).count());
        times.observe("r", milliseconds{800});
    }
    LONGS_EQUAL(400, times.observe("r", milliseconds{800}).count());
    LONGS_EQUAL(0, times.observe("r", milliseconds{1190}).count());
}

// Guards against estimating a wait for calls that inherit the rest of another request's time. That
// rest differs from call to call.
TEST(time_spent, varied_times_give_no_estimate)
{
    time_spent times;
    std::mt19937 random(3);
    milliseconds max_estimate{0};
    for (int i = 0; i < 500; ++i) {
        times.observe("call", milliseconds{20 + random() % 480});
    }
    for (int i = 0; i < 100; ++i) {
        max_estimate =
            std::max(max_estimate, times.observe("call", milliseconds{20 + random() % 480}));
    }
    LONGS_EQUAL(0, max_estimate.count());
}

// Guards against using the time limits of one route for another.
TEST(time_spent, routes_are_independent)
{
    time_spent times;
    times.observe("long", milliseconds{5000});
    LONGS_EQUAL(0, times.observe("short", milliseconds{400}).count());
}

// Guards against an estimate that differs from what the next request gets, and against one that
// counts as a request.
TEST(time_spent, estimate_agrees_with_the_next_request)
{
    time_spent times;
    std::mt19937 random(3);
    for (int i = 0; i < 200; ++i) {
        const milliseconds left{i % 4 == 0 ? 300 + random() % 600 : 1000};
        const auto estimate = times.estimate("r", left);
        LONGS_EQUAL(estimate.count(), times.estimate("r", left).count());
        LONGS_EQUAL(estimate.count(), times.observe("r", left).count());
    }
}
