#include "assignment/work_average.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

TEST_GROUP(work_average){};

// Guards against keys that move back and forth because the few latest runs of a target took long.
TEST(work_average, single_report_has_little_weight)
{
    work_average average;
    LONGS_EQUAL(0, average.mean().count());
    time_point now{};
    for (int i = 0; i < 20; ++i) {
        average.add(now += milliseconds{250}, std::chrono::microseconds{300'000});
    }
    average.add(now += milliseconds{250}, std::chrono::microseconds{450'000});
    CHECK(average.mean().count() < 315'000);
    for (int i = 0; i < 40; ++i) {
        average.add(now += milliseconds{250}, std::chrono::microseconds{600'000});
    }
    CHECK(average.mean().count() > 570'000);
}

// Guards against an average that reports without a figure or in quick succession distort.
TEST(work_average, reports_without_news_are_ignored)
{
    work_average average;
    time_point now{milliseconds{1000}};
    average.add(now, std::chrono::microseconds{0});
    average.add(now, std::chrono::microseconds{300'000});
    for (int i = 0; i < 50; ++i) {
        average.add(now += milliseconds{1}, std::chrono::microseconds{900'000});
    }
    LONGS_EQUAL(300'000, average.mean().count());
}
