#include "dispatch/unanswered_requests.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

constexpr double usual_ms = 80;

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

} // namespace

TEST_GROUP(unanswered_requests)
{
    unanswered_requests requests;

    double shown(long ms) const
    {
        return requests.shown_ms(at(ms), usual_ms, {});
    }
};

// Guards against avoiding a target because of one run that takes seven times as long as usual, and
// against waiting for the deadline when two requests show that nothing is answered.
TEST(unanswered_requests, several_late_requests_are_evidence_and_a_single_one_is_not)
{
    requests.on_sent(at(1000));
    DOUBLES_EQUAL(0, shown(1560), 0);
    requests.on_sent(at(1100));
    DOUBLES_EQUAL(0, shown(1200), 0);
    DOUBLES_EQUAL(600, shown(1600), 1);
}

// Guards against avoiding a target that answers, because long runs accumulate in flight.
TEST(unanswered_requests, requests_overtaken_by_an_answered_one_are_no_evidence)
{
    requests.on_sent(at(1000));
    requests.on_sent(at(1010));
    requests.on_sent(at(1020));
    requests.on_answer(at(1020));
    DOUBLES_EQUAL(0, shown(1900), 0);
    CHECK_FALSE(requests.on_missed(at(2000), at(1000), usual_ms));
    DOUBLES_EQUAL(0, shown(2000), 0);
}

// Guards against forgetting at its deadline what a request showed, and against an answer of an
// earlier request that ends the avoidance.
TEST(unanswered_requests, missed_requests_count_until_a_later_request_is_answered)
{
    for (const long sent : {1000, 1010, 1020}) {
        requests.on_sent(at(sent));
    }
    CHECK(requests.on_missed(at(2010), at(1010), usual_ms));
    CHECK(requests.on_missed(at(2020), at(1020), usual_ms));
    requests.on_answer(at(1000));
    CHECK(shown(2030) > 900);
    requests.on_sent(at(3000));
    requests.on_answer(at(3000));
    DOUBLES_EQUAL(0, shown(3080), 0);
}

// Guards against requests without useful time that count against a good target.
TEST(unanswered_requests, request_that_ended_before_the_usual_time_shows_nothing)
{
    requests.on_sent(at(1000));
    CHECK_FALSE(requests.on_missed(at(1060), at(1000), usual_ms));
    DOUBLES_EQUAL(0, shown(1060), 0);
}

// Guards against a target that is avoided for ever, because its answers take longer than before or
// because it had not answered before.
TEST(unanswered_requests, slower_target_and_new_target_are_not_silent)
{
    requests.on_sent(at(1000));
    requests.on_missed(at(2000), at(1000), usual_ms);
    CHECK(requests.is_as_late(900, usual_ms));
    CHECK_FALSE(requests.is_as_late(400, usual_ms));
    CHECK_FALSE(requests.is_as_late(900, 0));
}
