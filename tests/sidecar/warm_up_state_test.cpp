#include "sidecar/warm_up_state.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;
using assignment::target_phase;

namespace {

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

assignment::target_status target(std::uint64_t start_time_ms,
                                 target_phase phase = target_phase::ready)
{
    return {"i-1", start_time_ms, "desk", 6, phase};
}

} // namespace

TEST_GROUP(warm_up_state)
{
    warm_up_state state{at(0)};

    void setup() override
    {
        state.set_service(true, milliseconds{3000});
    }
    /// The target answers a check that was sent at `sent`.
    void answer(long sent, long left)
    {
        state.on_check_sent(at(sent));
        state.on_target(at(sent + 5), target(1));
        state.on_check_answer(at(sent + 5), "i-1", milliseconds{left});
    }
};

// Guards against a target that counts as warm without evidence, and against one that stays limited
// after a health check told that it is warm.
TEST(warm_up_state, first_answer_of_a_health_check_decides)
{
    CHECK(state.is_cold());
    answer(100, 0);
    CHECK_FALSE(state.is_cold());
    CHECK_FALSE(state.is_warming_up(at(5000)));
    CHECK_FALSE(state.needs_check(at(5000), false));
    CHECK(state.needs_check(at(5000), true));
    state.on_check_answer(at(5000), "i-9", milliseconds{900});
    CHECK_FALSE(state.is_cold());
}

// Guards against limiting the targets of a service without a limit.
TEST(warm_up_state, service_without_a_limit_is_never_cold)
{
    state.set_service(false, milliseconds{0});
    state.on_target(at(10), target(1));
    CHECK_FALSE(state.is_cold());
    CHECK_FALSE(state.needs_check(at(5000), true));
}

// Guards against warmth that outlives a restart, an absence or an evacuation, also if a health
// check from before it is answered later.
TEST(warm_up_state, warmth_ends_with_its_cause)
{
    answer(100, 0);
    state.on_target(at(200), target(2));
    CHECK(state.is_cold());
    answer(300, 0);
    state.on_target(at(400), target(1, target_phase::absent));
    CHECK(state.is_cold());
    state.on_target(at(500), target(1));
    CHECK(state.is_cold());
    answer(600, 0);
    CHECK_FALSE(state.is_cold());
    state.on_check_sent(at(700));
    state.forget_warmth(at(710));
    state.on_check_answer(at(720), "i-1", milliseconds{0});
    CHECK(state.is_cold());
    answer(1100, 0);
    CHECK_FALSE(state.is_cold());
}

// Guards against a late heartbeat from before a restart of the warm-up that lifts the limit.
TEST(warm_up_state, heartbeat_counts_only_if_it_cannot_be_from_before)
{
    answer(100, 2000);
    state.on_heartbeat(at(500), milliseconds{0}, milliseconds{60000});
    CHECK(state.is_cold());
    state.on_heartbeat(at(6200), milliseconds{0}, milliseconds{6000});
    CHECK(state.is_cold());
    // The start time is not known, and this process has not known the run for long.
    state.on_heartbeat(at(6200), milliseconds{0}, std::nullopt);
    CHECK(state.is_cold());
    state.on_heartbeat(at(6200), milliseconds{0}, milliseconds{60000});
    CHECK_FALSE(state.is_cold());
}

// Guards against a limit that is lifted late, against more health checks than the answers are
// worth, and against a state that other nodes see change for each doubt.
TEST(warm_up_state, doubt_is_checked_at_once_and_not_reported)
{
    answer(100, 0);
    state.on_heartbeat(at(1000), milliseconds{200}, milliseconds{2800});
    CHECK(state.is_cold());
    CHECK_FALSE(state.is_warming_up(at(1000)));
    CHECK(state.needs_check(at(1000), false));
    answer(1000, 0);
    CHECK_FALSE(state.is_cold());
    answer(2000, 1500);
    CHECK(state.is_warming_up(at(2005)));
    CHECK_FALSE(state.needs_check(at(2400), false));
    CHECK(state.needs_check(at(3510), false));
    state.on_check_sent(at(3510));
    CHECK_FALSE(state.needs_check(at(3700), false));
    CHECK(state.needs_check(at(3810), false));
}

// Guards against a target that cannot be checked and is not reported as warming up.
TEST(warm_up_state, unanswered_doubt_is_reported)
{
    answer(100, 0);
    state.forget_warmth(at(1000));
    CHECK_FALSE(state.is_warming_up(at(1500)));
    CHECK(state.is_warming_up(at(1700)));
}

// Guards against a warm target that stays limited for ever because it leaves out the warm-up time
// in its answers, and against an unreadable time that counts as warm.
TEST(warm_up_state, health_check_without_a_warm_up_time_is_that_of_a_warm_target)
{
    const auto parse = [](std::string_view text) {
        return text == "900" ? std::optional{milliseconds{900}} : std::nullopt;
    };
    CHECK(warm_up_left("900", parse) == milliseconds{900});
    CHECK_FALSE(warm_up_left("soon", parse).has_value());
    answer(100, 2000);
    CHECK(state.is_cold());
    const auto left = warm_up_left(std::nullopt, parse);
    CHECK(left.has_value());
    answer(500, left->count());
    CHECK_FALSE(state.is_cold());
    CHECK_FALSE(state.is_warming_up(at(505)));
}
