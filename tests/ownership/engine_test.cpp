#include "tests/ownership/cluster.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;
using namespace std::chrono_literals;

TEST_GROUP(engine)
{
    test_cluster cluster;
    void teardown() override
    {
        UNSIGNED_LONGS_EQUAL(0, cluster.two_owners);
        UNSIGNED_LONGS_EQUAL(0, cluster.fence_regressions);
    }
};

// Guards against a start in which hosts never find witnesses or a placement.
TEST(engine, hosts_that_start_together_share_all_ranges)
{
    cluster.start(6);
    UNSIGNED_LONGS_EQUAL(0, cluster.unserved());
    const auto record = cluster.nodes[0]->core->placement_of(test_cluster::service);
    CHECK(record.has_value());
    UNSIGNED_LONGS_EQUAL(6, record->current.members.size());
}

// Guards against a takeover that needs the store or lasts longer than 2 s.
TEST(engine, ranges_of_a_killed_node_are_served_within_two_seconds_without_the_store)
{
    cluster.start(6);
    cluster.store.up = false;
    cluster.nodes[1]->running = false;
    cluster.run(20ms);
    CHECK(cluster.unserved() > 0);
    CHECK(cluster.outage(5s) < 2s);
}

// Guards against a planned stop that leaves ranges unserved until a lease ends.
TEST(engine, a_planned_leave_hands_over_within_100_ms)
{
    cluster.start(6);
    cluster.nodes[2]->core->leave(cluster.now);
    milliseconds longest{0};
    for (int i = 0; i < 200 && !cluster.nodes[2]->left; ++i) {
        cluster.run(20ms);
        longest = std::max(longest, cluster.outage(2s));
    }
    CHECK(cluster.nodes[2]->left);
    CHECK(longest < 100ms);
    UNSIGNED_LONGS_EQUAL(0, cluster.unserved());
}
