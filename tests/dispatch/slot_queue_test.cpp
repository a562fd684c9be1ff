#include "dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

waiting_request request(ticket id, long now, long aim, long deadline, std::uint32_t rank = 0,
                        std::string kind = "k")
{
    return {id, std::move(kind), rank, at(now + aim), at(now + deadline)};
}

/// Gives the queue a mean of about `work` ms for the kind. This happens so long before the test
/// that the arrivals no longer count as load.
void train_work_time(slot_queue& queue, long work, const std::string& kind = "k")
{
    constexpr long arrival_ms = -60000;
    for (ticket id = 1000; id < 1060; ++id) {
        queue.offer(at(arrival_ms), request(id, arrival_ms, 5000, 10000, 0, kind));
        queue.finish(at(arrival_ms + work), id, true);
    }
}

} // namespace

TEST_GROUP(slot_queue){};

// Guards against more requests at the target than it has slots. Such a target resets connections,
// and the outcome of the requests on them is unknown.
TEST(slot_queue, running_requests_are_limited_to_slots)
{
    slot_queue queue(2);
    LONGS_EQUAL(1, queue.offer(at(0), request(1, 0, 200, 500)).start.size());
    LONGS_EQUAL(1, queue.offer(at(0), request(2, 0, 200, 500)).start.size());
    LONGS_EQUAL(0, queue.offer(at(0), request(3, 0, 200, 500)).start.size());
    const auto next = queue.finish(at(40), 1, true);
    LONGS_EQUAL(1, next.start.size());
    LONGS_EQUAL(3, next.start[0]);
}

// Guards against a request that stays queued although it can no longer be answered in time.
TEST(slot_queue, requests_that_cannot_finish_are_refused_with_retry_after)
{
    slot_queue queue(1);
    train_work_time(queue, 100);
    queue.offer(at(200), request(1, 200, 200, 500));
    queue.offer(at(200), request(2, 200, 200, 500));
    queue.offer(at(200), request(3, 200, 200, 500));
    const auto decisions = queue.offer(at(200), request(4, 200, 100, 150));
    LONGS_EQUAL(1, decisions.refuse.size());
    LONGS_EQUAL(4, decisions.refuse[0].id);
    CHECK(decisions.refuse[0].retry_after >= milliseconds{50});
}

// Guards against urgent requests that wait behind less urgent ones. Also guards against requests
// that will miss their latency goal and make other requests miss theirs.
TEST(slot_queue, requests_that_can_meet_their_aim_run_first_by_rank)
{
    slot_queue queue(1);
    train_work_time(queue, 50);
    queue.offer(at(1000), request(1, 1000, 300, 900));
    queue.offer(at(1000), request(2, 1000, 10, 900, 0)); // will miss its latency goal
    queue.offer(at(1000), request(3, 1000, 300, 900, 2));
    queue.offer(at(1000), request(4, 1000, 300, 900, 1));
    std::vector<ticket> order;
    ticket running = 1;
    for (long now = 1050; order.size() < 3; now += 50) {
        const auto next = queue.finish(at(now), running, true);
        LONGS_EQUAL(1, next.start.size());
        running = next.start[0];
        order.push_back(running);
    }
    CHECK((order == std::vector<ticket>{4, 3, 2}));
}

// Guards against requests that stay queued for a target that accepts no further requests.
TEST(slot_queue, requests_are_refused_without_slots)
{
    slot_queue queue(0);
    LONGS_EQUAL(1, queue.offer(at(0), request(1, 0, 200, 500)).refuse.size());
}

// Guards against first-come-first-served order under overload. The load is one and a half times
// what the target can process, in two ranks. Nearly all urgent requests must be answered, and most
// answers must meet the latency goal.
TEST(slot_queue, overload_serves_urgent_requests_and_meets_aims)
{
    constexpr long work = 60;
    constexpr std::uint32_t slots = 6;
    slot_queue queue(slots);
    train_work_time(queue, work);
    std::mt19937_64 random(7);
    std::multimap<long, ticket> run_ends;
    std::map<ticket, waiting_request> offered;
    std::map<std::uint32_t, int> arrived;
    std::map<std::uint32_t, int> served;
    int answered_within_aim = 0;
    int answered_in_time = 0;
    const auto apply = [&](long now, const slot_decisions& decisions) {
        for (const ticket id : decisions.start) {
            run_ends.emplace(now + work, id);
        }
    };
    ticket next = 1;
    for (long now = 1000; now < 21000; ++now) {
        while (!run_ends.empty() && run_ends.begin()->first <= now) {
            const ticket id = run_ends.begin()->second;
            run_ends.erase(run_ends.begin());
            const auto& done = offered.at(id);
            if (at(now) <= done.deadline) {
                ++served[done.rank];
                ++answered_in_time;
                answered_within_aim += at(now) <= done.aim ? 1 : 0;
            }
            apply(now, queue.finish(at(now), id, true));
        }
        // 150 requests per second against a capacity of 100; a third is urgent.
        if (random() % 1000 < 150) {
            const std::uint32_t rank = random() % 3 == 0 ? 0 : 2;
            auto wanted = request(next, now, 200, 500, rank);
            ++arrived[rank];
            offered.emplace(next++, wanted);
            apply(now, queue.offer(at(now), std::move(wanted)));
        }
    }
    CHECK(served[0] >= arrived[0] * 95 / 100);
    CHECK(answered_in_time >= (arrived[0] + arrived[2]) * 60 / 100);
    CHECK(answered_within_aim >= answered_in_time * 80 / 100);
}

// Guards against answers that are nearly all late under overload, because the oldest requests run
// first and start with only the mean work time left. The load is twice what the target can process,
// and work times vary by as much as their mean.
TEST(slot_queue, overload_with_varied_work_times_meets_aims)
{
    constexpr std::uint32_t slots = 6;
    slot_queue queue(slots);
    train_work_time(queue, 150);
    std::mt19937_64 random(11);
    std::lognormal_distribution<double> work(std::log(150.0) - 0.25, 0.7);
    std::multimap<long, ticket> run_ends;
    std::map<ticket, waiting_request> offered;
    int answered_within_aim = 0;
    int answered_in_time = 0;
    const auto apply = [&](long now, const slot_decisions& decisions) {
        for (const ticket id : decisions.start) {
            run_ends.emplace(now + std::lround(work(random)), id);
        }
    };
    ticket next = 1;
    for (long now = 1000; now < 41000; ++now) {
        while (!run_ends.empty() && run_ends.begin()->first <= now) {
            const ticket id = run_ends.begin()->second;
            run_ends.erase(run_ends.begin());
            const auto& done = offered.at(id);
            answered_in_time += at(now) <= done.deadline ? 1 : 0;
            answered_within_aim += at(now) <= done.aim ? 1 : 0;
            apply(now, queue.finish(at(now), id, true));
        }
        if (random() % 1000 < 80) {
            auto wanted = request(next, now, 500, 1200);
            offered.emplace(next++, wanted);
            apply(now, queue.offer(at(now), std::move(wanted)));
        }
        if (now % 50 == 0) {
            apply(now, queue.on_tick(at(now)));
        }
    }
    // The capacity of the target is 40 requests per second.
    CHECK(answered_in_time >= 40 * 38);
    CHECK(answered_within_aim >= answered_in_time * 85 / 100);
}

// Guards against requests that wait until their time is over, because later arrivals run first, and
// are refused only then. The load is one and a half times what the target can process, in two
// ranks, and work times vary by as much as their mean. Requests that will not be served must be
// refused while the caller can still go elsewhere, and the slots must stay busy.
TEST(slot_queue, overload_refuses_early)
{
    constexpr std::uint32_t slots = 5;
    constexpr long aim = 300;
    constexpr long deadline = 1200;
    slot_queue queue(slots);
    train_work_time(queue, 100);
    std::mt19937_64 random(5);
    std::lognormal_distribution<double> work(std::log(100.0) - 0.25, 0.7);
    std::multimap<long, ticket> run_ends;
    std::map<ticket, std::pair<waiting_request, long>> offered; // request and arrival time in ms
    int answered_in_time = 0;
    int answered_within_aim = 0;
    int refused = 0;
    int refused_late = 0;
    const auto apply = [&](long now, const slot_decisions& decisions) {
        for (const ticket id : decisions.start) {
            run_ends.emplace(now + std::lround(work(random)), id);
        }
        for (const auto& item : decisions.refuse) {
            ++refused;
            refused_late += now - offered.at(item.id).second > aim / 2 ? 1 : 0;
        }
    };
    ticket next = 1;
    for (long now = 1000; now < 41000; ++now) {
        while (!run_ends.empty() && run_ends.begin()->first <= now) {
            const ticket id = run_ends.begin()->second;
            run_ends.erase(run_ends.begin());
            const auto& done = offered.at(id).first;
            answered_in_time += at(now) <= done.deadline ? 1 : 0;
            answered_within_aim += at(now) <= done.aim ? 1 : 0;
            apply(now, queue.finish(at(now), id, true));
        }
        // 75 requests per second against a capacity of 50; half of them are urgent.
        if (random() % 1000 < 75) {
            auto wanted = request(next, now, aim, deadline, random() % 2 == 0 ? 0 : 3);
            offered.emplace(next++, std::pair{wanted, now});
            apply(now, queue.offer(at(now), std::move(wanted)));
        }
        if (now % 50 == 0) {
            apply(now, queue.on_tick(at(now)));
        }
    }
    CHECK(answered_in_time >= 50 * 40 * 90 / 100);
    CHECK(answered_within_aim >= answered_in_time * 85 / 100);
    CHECK(refused_late <= refused / 10);
}

// Guards against refusing a short call at a target whose slots are all taken by long runs. The
// refusal would fail the run that made the call. It is not needed, because one of the six slots
// becomes free within a sixth of the rest of a run.
TEST(slot_queue, short_urgent_request_waits_for_the_first_free_slot)
{
    slot_queue queue(6);
    train_work_time(queue, 370, "long");
    train_work_time(queue, 23, "call");
    for (ticket id = 1; id <= 60; ++id) {
        queue.offer(at(0), request(id, 0, 1000, 2000, 2, "long"));
    }
    LONGS_EQUAL(6, queue.running());
    const auto first = queue.offer(at(1), request(101, 1, 100, 300, 0, "call"));
    LONGS_EQUAL(0, first.start.size());
    CHECK(std::none_of(first.refuse.begin(), first.refuse.end(),
                       [](const auto& item) { return item.id == 101; }));
    LONGS_EQUAL(101, queue.finish(at(40), 1, true).start.at(0));
}

// Guards against an estimate that lets each queued call wait for all long runs. Only one call would
// then stay queued, and each further one would be refused, although a slot becomes free about every
// 40 ms.
TEST(slot_queue, several_short_calls_wait_behind_long_runs)
{
    slot_queue queue(9);
    train_work_time(queue, 360, "report");
    train_work_time(queue, 22, "call");
    for (ticket id = 1; id <= 60; ++id) {
        queue.offer(at(0), request(id, 0, 1000, 2000, 2, "report"));
    }
    LONGS_EQUAL(9, queue.running());
    for (ticket id = 101; id <= 103; ++id) {
        const auto decisions = queue.offer(at(1), request(id, 1, 100, 250, 1, "call"));
        CHECK(std::none_of(decisions.refuse.begin(), decisions.refuse.end(),
                           [](const auto& item) { return item.id > 100; }));
    }
}

// Guards against long runs that take all slots of a target on whose short calls other runs depend.
// The target gets a quarter more work than it can do. A call is answered if it starts well within
// its time limit; a refused call would fail the run that made it.
TEST(slot_queue, overload_by_long_runs_leaves_room_for_urgent_calls)
{
    constexpr std::uint32_t slots = 9;
    slot_queue queue(slots);
    train_work_time(queue, 360, "report");
    train_work_time(queue, 22, "call");
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> report_ms(std::log(360.0) - 0.25, 0.7);
    std::multimap<long, ticket> run_ends;
    std::map<ticket, std::pair<waiting_request, long>> offered; // request and arrival time in ms
    int calls = 0;
    int calls_in_aim = 0;
    int calls_in_time = 0;
    int reports_in_time = 0;
    const auto apply = [&](long now, const slot_decisions& decisions) {
        for (const ticket id : decisions.start) {
            const bool is_call = offered.at(id).first.kind == "call";
            run_ends.emplace(now + (is_call ? 22 : std::lround(report_ms(random))), id);
        }
    };
    ticket next = 1;
    for (long now = 1000; now < 61000; ++now) {
        while (!run_ends.empty() && run_ends.begin()->first <= now) {
            const ticket id = run_ends.begin()->second;
            run_ends.erase(run_ends.begin());
            const auto& done = offered.at(id).first;
            const bool is_call = done.kind == "call";
            calls_in_aim += is_call && at(now) <= done.aim ? 1 : 0;
            calls_in_time += is_call && at(now) <= done.deadline ? 1 : 0;
            reports_in_time += !is_call && at(now) <= done.deadline ? 1 : 0;
            apply(now, queue.finish(at(now), id, true));
        }
        // 30 calls and 30 reports a second want 0.7 and 10.8 of 9 slots.
        const auto drawn = random() % 1000;
        if (drawn < 60) {
            const bool is_call = drawn < 30;
            calls += is_call ? 1 : 0;
            auto wanted = is_call ? request(next, now, 100, 250, 1, "call")
                                  : request(next, now, 1000, 2000, 2, "report");
            offered.emplace(next++, std::pair{wanted, now});
            apply(now, queue.offer(at(now), std::move(wanted)));
        }
        if (now % 50 == 0) {
            apply(now, queue.on_tick(at(now)));
        }
    }
    CHECK(calls_in_time >= calls * 99 / 100);
    CHECK(calls_in_aim >= calls * 95 / 100);
    // The reports can use at most the other 8.3 slots, that is 23 runs a second.
    CHECK(reports_in_time >= 23 * 60 * 80 / 100);
}

// Guards against idle slots that are kept from late requests for others of the same kind.
TEST(slot_queue, late_request_takes_a_free_slot)
{
    slot_queue queue(9);
    train_work_time(queue, 100, "sheet");
    for (ticket id = 1; id <= 200; ++id) {
        queue.offer(at(static_cast<long>(id)), request(id, static_cast<long>(id), 300, 1200));
        queue.finish(at(static_cast<long>(id)), id, false);
    }
    LONGS_EQUAL(0, queue.running());
    LONGS_EQUAL(1, queue.offer(at(201), request(500, 201, 10, 900)).start.size());
}

// Guards against idle slots that are kept for calls that do not come.
TEST(slot_queue, long_runs_take_all_slots_without_urgent_calls)
{
    slot_queue queue(9);
    train_work_time(queue, 360, "report");
    train_work_time(queue, 22, "call");
    for (ticket id = 1; id <= 9; ++id) {
        LONGS_EQUAL(1, queue.offer(at(0), request(id, 0, 1000, 2000, 2, "report")).start.size());
    }
}

// Guards against a kind of request that is refused for ever because it once ran slowly, for example
// on a cold target: refused requests are never answered, so no answer would correct the estimate.
TEST(slot_queue, kind_that_ran_slowly_is_tried_again)
{
    slot_queue queue(9);
    queue.offer(at(0), request(1, 0, 2000, 5000, 1, "call"));
    queue.finish(at(900), 1, true);
    LONGS_EQUAL(1, queue.offer(at(1000), request(2, 1000, 100, 250, 1, "call")).refuse.size());
    LONGS_EQUAL(1, queue.offer(at(3000), request(3, 3000, 100, 250, 1, "call")).start.size());
    queue.finish(at(3022), 3, true);
    LONGS_EQUAL(1, queue.offer(at(3100), request(4, 3100, 100, 250, 1, "call")).start.size());
}

// Guards against calls that a target has not run yet and refuses because its other requests take
// long.
TEST(slot_queue, unknown_kind_is_tried_beside_long_runs)
{
    slot_queue queue(9);
    train_work_time(queue, 700, "report");
    for (ticket id = 1; id <= 9; ++id) {
        queue.offer(at(0), request(id, 0, 1000, 2000, 2, "report"));
    }
    queue.finish(at(700), 1, true);
    LONGS_EQUAL(1, queue.offer(at(701), request(101, 701, 100, 250, 1, "call")).start.size());
}

// Guards against a request that waits for the limit of a cold target although it cannot be answered
// in time, and against one that waits there beyond its latency goal although others could run it.
TEST(slot_queue, requests_that_the_warm_up_limit_delays_too_long_are_refused_at_once)
{
    warm_up_limiter limiter(at(0));
    limiter.set_bound({2, 1, 0}); // one start in each 1,100 ms
    slot_queue queue(5);
    train_work_time(queue, 20);
    queue.set_limiter(&limiter);
    LONGS_EQUAL(1, queue.offer(at(5000), request(1, 5000, 200, 500)).start.size());
    const auto too_late = queue.offer(at(5000), request(2, 5000, 200, 500));
    LONGS_EQUAL(1, too_late.refuse.size());
    CHECK(too_late.refuse[0].cause == refusal_cause::warm_up_limit);
    LONGS_EQUAL(1100, too_late.refuse[0].retry_after.count());
    auto movable = request(3, 5000, 200, 3000);
    movable.has_alternative = true;
    LONGS_EQUAL(1, queue.offer(at(5000), movable).refuse.size());
    LONGS_EQUAL(0, queue.offer(at(5000), request(4, 5000, 1500, 3000)).refuse.size());
    LONGS_EQUAL(1, queue.queued());
    LONGS_EQUAL(0, queue.on_tick(at(6099)).start.size());
    LONGS_EQUAL(1, queue.on_tick(at(6100)).start.size());
    LONGS_EQUAL(1, queue.delayed_starts());
}

// Guards against expecting the usual work time from a machine that is slow for a moment, and
// against learning the slow time as the usual one.
TEST(slot_queue, reported_duration_of_work_scales_the_expected_time_while_it_is_valid)
{
    slot_queue queue(1);
    train_work_time(queue, 100);
    queue.set_work_percent(at(0), 300);
    queue.offer(at(0), request(1, 0, 200, 1000));
    // The run before it takes about 300 ms, and a short run of its own 150 ms.
    LONGS_EQUAL(1, queue.offer(at(0), request(2, 0, 200, 400)).refuse.size());
    queue.set_work_percent(at(300), 300);
    queue.finish(at(300), 1, true);
    LONGS_EQUAL(100, queue.expected("k").count());
    LONGS_EQUAL(100, queue.work_percent(at(701)));
    queue.offer(at(710), request(3, 710, 200, 1000));
    LONGS_EQUAL(0, queue.offer(at(710), request(4, 710, 200, 400)).refuse.size());
}

// Guards against a saturated cold target that runs far less than it tolerates, and against requests
// that wait there until they are late.
TEST(slot_queue, saturated_cold_target_runs_near_its_limit_and_in_time)
{
    constexpr long work = 60;
    constexpr long aim = 250;
    warm_up_limiter limiter(at(0));
    limiter.set_bound({12, 1.5, 8});
    slot_queue queue(6);
    train_work_time(queue, work);
    queue.set_limiter(&limiter);
    std::mt19937 random(11);
    std::map<ticket, long> arrivals;
    std::multimap<long, ticket> run_ends;
    int runs = 0;
    int late = 0;
    long now = 5000;
    const auto apply = [&](const slot_decisions& decisions) {
        for (const auto id : decisions.start) {
            ++runs;
            late += now + work > arrivals[id] + aim ? 1 : 0;
            run_ends.emplace(now + work, id);
        }
    };
    for (ticket next = 1; now < 15000; ++now) {
        for (; !run_ends.empty() && run_ends.begin()->first <= now;) {
            const ticket id = run_ends.extract(run_ends.begin()).mapped();
            apply(queue.finish(at(now), id, true));
        }
        if (random() % 25 == 0) { // 40 requests a second
            arrivals[next] = now;
            apply(queue.offer(at(now), request(next++, now, aim, 1000)));
        }
        apply(queue.on_tick(at(now)));
    }
    CHECK(runs >= 10 * 15);
    CHECK(runs <= 10 * 18 + 8);
    CHECK(late <= runs / 20);
}
