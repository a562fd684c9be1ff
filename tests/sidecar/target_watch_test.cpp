#include "sidecar/target_watch.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;
using assignment::target_phase;

namespace {

constexpr milliseconds drain{2000};
const std::string address = "10.0.0.1:80";

heartbeat beat(const std::string& id, std::uint64_t start_time_ms, std::uint64_t sequence,
               target_phase phase = target_phase::ready)
{
    heartbeat result;
    result.target = {id, start_time_ms, "desk", 6, phase};
    result.address = address;
    result.sequence = sequence;
    return result;
}

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

} // namespace

TEST_GROUP(target_watch)
{
    target_watch watch{{drain}, "desk", address};
};

// Guards against sending requests to a deregistered target if the node was restarted before the
// deregistration. Late heartbeats still report the state ready.
TEST(target_watch, deregistration_of_an_unknown_target_takes_effect)
{
    watch.on_deregistration(at(1000), "i-1", milliseconds{5000});
    CHECK_FALSE(watch.on_heartbeat(at(1500), beat("i-1", 4000, 9)));
    CHECK_FALSE(watch.accepts(at(1500)));
    watch.on_target_id(at(1600), "i-1", 6);
    CHECK_FALSE(watch.accepts(at(1600)));
    CHECK(watch.on_heartbeat(at(2000), beat("i-1", 6000, 1)));
    CHECK(watch.accepts(at(2000)));
}

// Guards against requests to a draining target after the drain bound.
TEST(target_watch, draining_target_gets_no_request_after_the_bound)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 1));
    watch.on_heartbeat(at(1000), beat("i-1", 4000, 2, target_phase::draining));
    CHECK(watch.accepts(at(1100)));
    CHECK(watch.status().phase == target_phase::draining);
    CHECK_FALSE(watch.accepts(at(1000) + drain));
    watch.on_heartbeat(at(3500), beat("i-1", 4000, 3));
    CHECK_FALSE(watch.accepts(at(3500)));
}

// Guards against a late heartbeat of an earlier, crashed run of the target, or a duplicate, that
// overwrites the state of the current run.
TEST(target_watch, heartbeats_of_earlier_runs_and_duplicates_are_ignored)
{
    watch.on_heartbeat(at(0), beat("i-2", 5000, 4));
    CHECK_FALSE(watch.on_heartbeat(at(10), beat("i-1", 4000, 90)));
    CHECK_FALSE(watch.on_heartbeat(at(20), beat("i-2", 5000, 4, target_phase::draining)));
    STRCMP_EQUAL("i-2", watch.status().id.c_str());
    CHECK(watch.status().phase == target_phase::ready);
    CHECK(watch.on_heartbeat(at(30), beat("i-2", 6000, 1)));
    LONGS_EQUAL(6000, watch.status().start_time_ms);
}

// Guards against a heartbeat from a target with another address or service that is taken for one
// of the target on this host.
TEST(target_watch, heartbeats_of_other_targets_are_ignored)
{
    auto foreign = beat("i-1", 4000, 1);
    foreign.address = "10.0.0.2:80";
    CHECK_FALSE(watch.on_heartbeat(at(0), foreign));
    foreign = beat("i-1", 4000, 1);
    foreign.target.service = "other";
    CHECK_FALSE(watch.on_heartbeat(at(0), foreign));
    CHECK(watch.status().id.empty());
}

// Guards against a node that continues to send to a target that stopped or does not answer.
TEST(target_watch, refused_and_unanswered_calls_make_the_target_absent_until_it_answers)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 1));
    watch.on_refused(at(10));
    CHECK(watch.accepts(at(10)));
    watch.on_refused(at(20));
    CHECK_FALSE(watch.accepts(at(20)));
    watch.on_answer(at(30));
    CHECK(watch.accepts(at(30)));
    for (int i = 0; i < 3; ++i) {
        watch.on_no_answer(at(100));
    }
    CHECK(watch.accepts(at(100)));
    watch.on_no_answer(at(1000));
    CHECK_FALSE(watch.accepts(at(1000)));
}
