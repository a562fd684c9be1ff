#include "fakes/history.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

namespace {

constexpr incarnation_id first{1};
constexpr incarnation_id second{2};
constexpr range_id range{0};

true_time ms(int value)
{
    return true_time{milliseconds{value}};
}

bool finds(const history& record, violation_kind kind)
{
    const auto found = check(record);
    return std::any_of(found.begin(), found.end(),
                       [&](const violation& each) { return each.kind == kind; });
}

execution run_of(std::uint64_t request, bool idempotent, int begin, int end)
{
    return {0, range, fence{1}, request, idempotent, ms(begin), ms(end), true};
}

} // namespace

// Guards against a checker that misses a violation. Each test checks small histories for one or
// two kinds of violation.
TEST_GROUP(history_check)
{
    history record;
};

TEST(history_check, two_owners_at_once)
{
    record.served = {{0, first, range, fence{1}, ms(0), ms(100)},
                     {1, second, range, fence{2}, ms(100), ms(200)}};
    CHECK_FALSE(finds(record, violation_kind::two_owners));
    record.served.back().begin = ms(99);
    CHECK(finds(record, violation_kind::two_owners));
}

TEST(history_check, fence_that_does_not_increase)
{
    record.served = {{0, first, range, fence{2}, ms(0), ms(100)},
                     {1, second, range, fence{2}, ms(100), ms(200)}};
    CHECK(finds(record, violation_kind::fence_decreased));
}

TEST(history_check, accepted_assignment_that_is_lost)
{
    record.placements = {{ms(0), {}, 1, 7}, {ms(1), {}, 2, 8}, {ms(2), first, 2, 8}};
    CHECK_FALSE(finds(record, violation_kind::assignment_lost));
    record.placements.push_back({ms(3), first, 1, 7});
    CHECK(finds(record, violation_kind::assignment_lost));
    record.placements.back() = {ms(3), {}, 0, 0}; // the row was deleted
    CHECK(finds(record, violation_kind::assignment_lost));
    record.placements.back() = {ms(3), second, 2, 9};
    CHECK(finds(record, violation_kind::assignment_lost));
}

TEST(history_check, request_that_runs_twice)
{
    record.executions = {run_of(5, true, 0, 10), run_of(5, true, 20, 30)};
    CHECK_FALSE(finds(record, violation_kind::ran_twice));
    record.executions = {run_of(5, false, 0, 10), run_of(5, false, 20, 30)};
    CHECK(finds(record, violation_kind::ran_twice));
}

TEST(history_check, false_not_run_and_wrong_answer)
{
    record.executions = {run_of(5, false, 0, 10)};
    record.answers = {{ms(20), 5, client_outcome::answered, 5}};
    CHECK(check(record).empty());
    record.answers = {{ms(20), 5, client_outcome::not_run, 0}};
    CHECK(finds(record, violation_kind::untrue_not_run));
    record.answers = {{ms(20), 5, client_outcome::answered, 6}};
    CHECK(finds(record, violation_kind::wrong_answer));
}

TEST(history_check, rules_that_revert_or_are_late)
{
    record.rules = {{ms(0), {}, 1, 1}, {ms(1), {}, 2, 2}, {ms(2), first, 2, 2}};
    record.must_know_rules = {{ms(5), first, 2}};
    CHECK(check(record).empty());
    record.rules.push_back({ms(3), first, 1, 1});
    CHECK(finds(record, violation_kind::rules_reverted));
    record.must_know_rules = {{ms(5), second, 2}};
    CHECK(finds(record, violation_kind::rules_late));
}

TEST(history_check, work_after_a_leave)
{
    record.departures = {{ms(0), 0, first}};
    record.served = {{0, first, range, fence{1}, ms(0), ms(3000)}};
    CHECK_FALSE(finds(record, violation_kind::work_after_leave));
    record.served.back().end = ms(3001);
    CHECK(finds(record, violation_kind::work_after_leave));
}

TEST(history_check, range_that_is_unavailable_for_too_long)
{
    record.ranges = 1;
    record.served = {{0, first, range, fence{1}, ms(0), ms(100)},
                     {1, second, range, fence{2}, ms(2100), ms(5000)}};
    record.must_serve = {{ms(0), ms(5000), milliseconds{2000}}};
    CHECK_FALSE(finds(record, violation_kind::unavailable));
    record.must_serve.back().bound = milliseconds{1999};
    CHECK(finds(record, violation_kind::unavailable));
    // A range with a target that does not respond counts as unavailable.
    record.must_serve.back().bound = milliseconds{2000};
    record.served.back().target_responds = false;
    CHECK(finds(record, violation_kind::unavailable));
}
