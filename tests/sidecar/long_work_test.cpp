#include "tests/sidecar/simulated_cluster.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using bulrushgw::sidecar::test::cluster_settings;
using bulrushgw::sidecar::test::simulated_cluster;

namespace {

/// A deployment whose requests run for up to `timeout`.
cluster_settings settings_with_requests(milliseconds timeout)
{
    cluster_settings settings;
    settings.request_interval = milliseconds{20};
    settings.route_timeout = timeout;
    return settings;
}

} // namespace

TEST_GROUP(long_work){};

// Guards against a checker that misses runs which outlast the hold under which they began, or that
// counts runs which do not: no work of up to 700 ms outlasts a hold that is renewed when half of a
// lease is left.
TEST(long_work, checker_reports_runs_that_outlast_their_hold)
{
    simulated_cluster short_work(1, settings_with_requests(milliseconds{700}));
    short_work.run(milliseconds{20000});
    CHECK(short_work.runs().started > 1000);
    LONGS_EQUAL(0, short_work.runs().cut);
    simulated_cluster long_work(1, settings_with_requests(milliseconds{3800}));
    long_work.run(milliseconds{20000});
    CHECK(long_work.runs().started > 1000);
    CHECK(long_work.runs().cut > 0);
    CHECK(long_work.violations().empty());
}
