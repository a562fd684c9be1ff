#include "request/admission.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::request;

namespace {

constexpr time_point base_time{std::chrono::hours{1}};

time_point at(int ms)
{
    return base_time + milliseconds{ms};
}

struct outcome_log {
    std::vector<ticket> started;
    std::vector<std::pair<ticket, reason>> refused;
    int silent = 0;
    int answering_again = 0;
};

outcome_log take_log(admission& limiter)
{
    outcome_log log;
    for (const auto& effect : limiter.take_effects()) {
        if (const auto* start = std::get_if<start_request>(&effect)) {
            log.started.push_back(start->id);
        }
        else if (const auto* refuse = std::get_if<refuse_request>(&effect)) {
            log.refused.emplace_back(refuse->id, refuse->why);
        }
        else if (std::holds_alternative<target_went_silent>(effect)) {
            ++log.silent;
        }
        else {
            ++log.answering_again;
        }
    }
    return log;
}

admission make_limiter(std::uint32_t slots, std::uint32_t queue)
{
    return {{.slots = slots, .queue = queue}, at(0), false};
}

void offer(admission& limiter, ticket id, std::uint32_t worth = 1, int deadline = 10000)
{
    limiter.offer(at(0), {id, worth, at(deadline)});
}

} // namespace

TEST_GROUP(admission){};

// Guards against more concurrent requests than the target has slots, and against a request of high
// worth that waits behind requests of lower worth.
TEST(admission, queue_is_ordered_by_worth_then_arrival)
{
    auto limiter = make_limiter(1, 8);
    offer(limiter, 1);
    offer(limiter, 2, 1);
    offer(limiter, 3, 5);
    offer(limiter, 4, 5);
    UNSIGNED_LONGS_EQUAL(1, take_log(limiter).started.size());
    std::vector<ticket> order;
    for (ticket running = 1; order.size() < 3; running = order.back()) {
        limiter.finish(at(1), running, finish_kind::answered);
        const auto log = take_log(limiter);
        UNSIGNED_LONGS_EQUAL(1, log.started.size());
        order.push_back(log.started.front());
    }
    CHECK((order == std::vector<ticket>{3, 4, 2}));
}

// Guards against a full queue that refuses a request of higher worth than the queued ones.
TEST(admission, full_queue_refuses_the_request_of_least_worth)
{
    auto limiter = make_limiter(1, 2);
    offer(limiter, 1);
    offer(limiter, 2, 3);
    offer(limiter, 3, 2);
    offer(limiter, 4, 2);
    auto log = take_log(limiter);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{4, reason::overloaded}}));
    offer(limiter, 5, 9);
    log = take_log(limiter);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{3, reason::overloaded}}));
    UNSIGNED_LONGS_EQUAL(2, limiter.waiting());
}

// Guards against expired requests that take a slot, or displace requests with time left.
TEST(admission, expired_requests_leave_the_queue_first)
{
    auto limiter = make_limiter(1, 1);
    offer(limiter, 1);
    offer(limiter, 2, 9, 50);
    limiter.offer(at(60), {3, 1, at(500)});
    const auto log = take_log(limiter);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{2, reason::deadline_not_sent}}));
    UNSIGNED_LONGS_EQUAL(1, limiter.waiting());
}

// Guards against a cold target that gets its full load at once, and against a slow start that does
// not reach the full limit.
TEST(admission, cold_target_starts_with_a_quarter_and_ramps_up)
{
    admission limiter({.slots = 12}, at(0));
    UNSIGNED_LONGS_EQUAL(3, limiter.concurrency_limit(at(0)));
    UNSIGNED_LONGS_EQUAL(7, limiter.concurrency_limit(at(5000)));
    UNSIGNED_LONGS_EQUAL(12, limiter.concurrency_limit(at(10000)));
    limiter.on_restart(at(20000));
    UNSIGNED_LONGS_EQUAL(3, limiter.concurrency_limit(at(20000)));
    admission wide({.slots = 500}, at(0), false);
    UNSIGNED_LONGS_EQUAL(100, wide.concurrency_limit(at(0)));
}

// Guards against a load report that raises the concurrency limit, or lowers it so far that the
// target's ranges are out of service.
TEST(admission, report_only_lowers_the_concurrency_limit)
{
    auto limiter = make_limiter(6, 8);
    limiter.on_report(at(0), {.in_flight = 2});
    UNSIGNED_LONGS_EQUAL(4, limiter.concurrency_limit(at(0)));
    limiter.on_report(at(1), {.in_flight = 4000000000U});
    UNSIGNED_LONGS_EQUAL(3, limiter.concurrency_limit(at(1)));
    limiter.on_report(at(1), {.in_flight = 0, .ready = false});
    UNSIGNED_LONGS_EQUAL(2, limiter.concurrency_limit(at(1)));
    limiter.on_report(at(2), {.in_flight = 0});
    UNSIGNED_LONGS_EQUAL(6, limiter.concurrency_limit(at(2)));
    // A report that still counts a finished request of this node does not lower the limit.
    offer(limiter, 1);
    limiter.finish(at(3), 1, finish_kind::answered);
    limiter.on_report(at(4), {.in_flight = 1});
    UNSIGNED_LONGS_EQUAL(6, limiter.concurrency_limit(at(4)));
}

// Guards against new requests to a target that is draining, or while admission is closed.
TEST(admission, draining_target_gets_no_new_requests)
{
    auto limiter = make_limiter(1, 8);
    offer(limiter, 1);
    offer(limiter, 2);
    take_log(limiter);
    limiter.on_report(at(1), {.in_flight = 1, .draining = true});
    offer(limiter, 3);
    auto log = take_log(limiter);
    UNSIGNED_LONGS_EQUAL(2, log.refused.size());
    CHECK(log.refused[0].second == reason::draining && log.refused[1].second == reason::draining);
    limiter.finish(at(2), 1, finish_kind::answered);
    CHECK(take_log(limiter).started.empty());
    limiter.close(at(3), reason::lease_over);
    offer(limiter, 4);
    CHECK(take_log(limiter).refused[0].second == reason::lease_over);
}

// Guards against a frozen target that is not detected and so keeps its ranges, and against a target
// that is reported as silent although it answered or this process was paused.
TEST(admission, silence_is_reported_once_and_ends_with_an_answer)
{
    auto limiter = make_limiter(2, 8);
    for (int ms = 0; ms <= 3000; ms += 20) {
        limiter.on_tick(at(ms));
    }
    CHECK_EQUAL(0, take_log(limiter).silent); // no answer is awaited
    limiter.on_probe_sent(at(3000));
    limiter.on_target_answer(at(3500));
    limiter.on_probe_sent(at(3600));
    int silent = 0;
    for (int ms = 3020; ms < 4600; ms += 20) {
        limiter.on_tick(at(ms));
        silent += take_log(limiter).silent;
    }
    CHECK_EQUAL(0, silent);
    for (int ms = 4600; ms < 6000; ms += 20) {
        limiter.on_tick(at(ms));
        silent += take_log(limiter).silent;
    }
    CHECK_EQUAL(1, silent);
    offer(limiter, 1);
    CHECK(take_log(limiter).refused[0].second == reason::target_silent);
    limiter.on_target_answer(at(6000));
    CHECK_EQUAL(1, take_log(limiter).answering_again);
    limiter.on_probe_sent(at(6000));
    limiter.on_tick(at(9000)); // this process was paused
    CHECK_EQUAL(0, take_log(limiter).silent);
}

// Guards against a request that starts after it was cancelled in the queue.
TEST(admission, cancelled_request_leaves_the_queue)
{
    auto limiter = make_limiter(1, 8);
    offer(limiter, 1);
    offer(limiter, 2);
    CHECK(limiter.cancel_queued(at(1), 2));
    CHECK_FALSE(limiter.cancel_queued(at(1), 1));
    limiter.finish(at(2), 1, finish_kind::answered);
    limiter.finish(at(2), 1, finish_kind::answered);
    UNSIGNED_LONGS_EQUAL(1, take_log(limiter).started.size());
    UNSIGNED_LONGS_EQUAL(0, limiter.in_flight());
}

// Guards against a request that starts with too little time left to be answered, and against a slow
// target that never gets a request again.
TEST(admission, request_without_time_for_an_answer_is_refused_in_the_queue)
{
    auto limiter = make_limiter(1, 8);
    for (int i = 0; i < 100; ++i) { // answers take 100 ms
        limiter.offer(at(i * 100), {1, 1, at(100000)});
        limiter.finish(at(i * 100 + 100), 1, finish_kind::answered);
    }
    take_log(limiter);
    limiter.offer(at(10000), {2, 1, at(11000)});
    limiter.offer(at(10000), {3, 1, at(10150)});
    limiter.finish(at(10090), 2, finish_kind::answered);
    auto log = take_log(limiter);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{3, reason::deadline_not_sent}}));
    limiter.offer(at(10100), {4, 1, at(10110)});
    CHECK((take_log(limiter).started == std::vector<ticket>{4}));
}

// Guards against requests that are sent to a frozen target before it counts as silent: it may run
// them after it resumes, while a successor serves.
TEST(admission, a_target_without_an_answer_for_400_ms_gets_no_new_requests)
{
    auto limiter = make_limiter(4, 8);
    offer(limiter, 1);
    UNSIGNED_LONGS_EQUAL(1, take_log(limiter).started.size());
    limiter.on_tick(at(350));
    CHECK_FALSE(limiter.is_suspect(at(399)));
    limiter.on_tick(at(400));
    limiter.offer(at(410), {2, 1, at(10000)});
    CHECK(take_log(limiter).started.empty());
    limiter.on_target_answer(at(500));
    UNSIGNED_LONGS_EQUAL(1, take_log(limiter).started.size());
}
