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

    /// The target confirms to this process that it is ready.
    void confirm(long ms, const std::string& id)
    {
        watch.on_health(at(ms), {id, 6, true});
    }
};

// Guards against sending requests to a deregistered target if the node was restarted before the
// deregistration. Late heartbeats still report the state ready.
TEST(target_watch, deregistration_of_an_unknown_target_takes_effect)
{
    watch.on_deregistration(at(1000), "i-1", milliseconds{5000});
    CHECK_FALSE(watch.on_heartbeat(at(1500), beat("i-1", 4000, 9)));
    CHECK_FALSE(watch.accepts(at(1500)));
    confirm(1600, "i-1");
    CHECK_FALSE(watch.accepts(at(1600)));
    CHECK(watch.on_heartbeat(at(2000), beat("i-1", 6000, 1)));
    CHECK(watch.accepts(at(2000)));
}

// Guards against requests to a draining target after the drain bound.
TEST(target_watch, draining_target_gets_no_request_after_the_bound)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 1));
    confirm(0, "i-1");
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
    confirm(0, "i-2");
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
    confirm(0, "i-1");
    watch.on_refused(at(10));
    CHECK(watch.accepts(at(10)));
    watch.on_refused(at(20));
    CHECK_FALSE(watch.accepts(at(20)));
    watch.on_answer(at(30));
    CHECK_FALSE(watch.accepts(at(30)));
    CHECK(watch.needs_check(at(30)));
    confirm(35, "i-1");
    CHECK(watch.accepts(at(35)));
    CHECK_FALSE(watch.needs_check(at(35)));
    for (int i = 0; i < 3; ++i) {
        watch.on_no_answer(at(100));
    }
    CHECK(watch.accepts(at(100)));
    watch.on_no_answer(at(1000));
    CHECK_FALSE(watch.accepts(at(1000)));
}

// Guards against requests to a target that had left: an earlier process of the host confirmed the
// deregistration, and a late heartbeat with the state ready reached the process after it.
TEST(target_watch, late_heartbeat_of_a_leaving_target_does_not_make_it_ready)
{
    CHECK(watch.on_heartbeat(at(0), beat("i-1", 4000, 7)));
    CHECK_FALSE(watch.accepts(at(0)));
    CHECK(watch.status().id.empty());
    CHECK(watch.needs_check(at(0)));
    watch.on_health(at(20), {"i-1", 6, false});
    CHECK_FALSE(watch.accepts(at(20)));
    CHECK(watch.status().phase == target_phase::draining);
    CHECK(watch.on_heartbeat(at(100), beat("i-1", 4000, 8)));
    CHECK_FALSE(watch.accepts(at(100)));
    CHECK_FALSE(watch.needs_check(at(5000)));
}

// Guards against a restarted process that begins the drain of its target anew: the bound counts
// from the confirmation, which an earlier process may have given.
TEST(target_watch, target_that_drains_when_the_process_starts_gets_no_requests)
{
    CHECK(watch.on_heartbeat(at(0), beat("i-1", 4000, 7, target_phase::draining)));
    CHECK(watch.status().phase == target_phase::draining);
    CHECK_FALSE(watch.accepts(at(0)));
    CHECK_FALSE(watch.on_heartbeat(at(10), beat("i-1", 4000, 6)));
    CHECK_FALSE(watch.accepts(at(10)));
    CHECK(watch.on_heartbeat(at(500), beat("i-2", 9000, 1)));
    confirm(520, "i-2");
    CHECK(watch.accepts(at(520)));
}

// Guards against a new run of the target that waits for a health check although no earlier process
// of the host knew it.
TEST(target_watch, later_run_of_a_known_target_is_ready_at_once)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 1));
    confirm(10, "i-1");
    CHECK(watch.on_heartbeat(at(900), beat("i-2", 5000, 1)));
    CHECK(watch.accepts(at(900)));
    CHECK(watch.on_heartbeat(at(1800), beat("i-2", 6000, 1)));
    CHECK(watch.accepts(at(1800)));
}

// Guards against a target that is taken for another one: the heartbeat came from the run before.
TEST(target_watch, health_check_identifies_the_present_target)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 7));
    confirm(20, "i-2");
    STRCMP_EQUAL("i-2", watch.status().id.c_str());
    CHECK(watch.accepts(at(20)));
    CHECK(watch.on_heartbeat(at(30), beat("i-1", 4000, 8)));
    STRCMP_EQUAL("i-2", watch.status().id.c_str());
    CHECK(watch.needs_check(at(30)));
    confirm(40, "i-2");
    CHECK(watch.on_heartbeat(at(900), beat("i-2", 5000, 1)));
    LONGS_EQUAL(5000, watch.status().start_time_ms);
    CHECK(watch.accepts(at(900)));
}

// Guards against a sound target that is never used because its health check fails. Only a target
// that does not leave continues to send heartbeats with the state ready.
TEST(target_watch, heartbeats_for_long_outweigh_a_failing_health_check)
{
    for (int i = 0; i <= 6; ++i) {
        CHECK_FALSE(watch.accepts(at(i * 900)));
        watch.on_heartbeat(at(i * 900), beat("i-1", 4000, 10 + static_cast<std::uint64_t>(i)));
        watch.on_health(at(i * 900 + 10), {"i-1", 6, false});
    }
    watch.on_heartbeat(at(6300), beat("i-1", 4000, 17));
    CHECK(watch.accepts(at(6300)));
}

// Guards against a target that leaves and is used again because it was not known yet when its
// deregistration arrived, between its first heartbeat and its health check.
TEST(target_watch, deregistration_during_the_health_check_takes_effect)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 7));
    watch.on_deregistration(at(10), "i-1", milliseconds{9000});
    confirm(20, "i-1");
    CHECK_FALSE(watch.accepts(at(20)));
    CHECK(watch.status().phase == target_phase::draining);
    CHECK_FALSE(watch.on_heartbeat(at(30), beat("i-1", 4000, 8)));
}

// Guards against a new target that is granted keys under the fence of the one before it, because
// its first heartbeat comes later than its first answer.
TEST(target_watch, another_target_that_answers_makes_the_known_one_absent)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 1));
    confirm(10, "i-1");
    watch.on_other_target(at(100));
    CHECK(watch.status().phase == target_phase::absent);
    CHECK(watch.needs_check(at(100)));
    watch.on_answer(at(110));
    CHECK(watch.on_heartbeat(at(120), beat("i-1", 4000, 2)));
    CHECK(watch.status().phase == target_phase::absent);
    confirm(130, "i-2");
    STRCMP_EQUAL("i-2", watch.status().id.c_str());
    CHECK(watch.accepts(at(130)));
    CHECK(watch.on_heartbeat(at(900), beat("i-2", 5000, 1)));
    LONGS_EQUAL(5000, watch.status().start_time_ms);
}

// Guards against a target that stays absent because one answer named another one wrongly.
TEST(target_watch, known_target_that_answers_the_check_is_present_again)
{
    watch.on_heartbeat(at(0), beat("i-1", 4000, 1));
    confirm(10, "i-1");
    watch.on_other_target(at(100));
    confirm(120, "i-1");
    CHECK(watch.accepts(at(120)));
    LONGS_EQUAL(4000, watch.status().start_time_ms);
    CHECK_FALSE(watch.needs_check(at(120)));
}
