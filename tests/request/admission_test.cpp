#include "request/admission.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::request;

namespace {

constexpr time_point origin{std::chrono::hours{1}};

time_point at(int ms)
{
    return origin + milliseconds{ms};
}

struct outcome_log {
    std::vector<ticket> started;
    std::vector<std::pair<ticket, reason>> refused;
    int silent = 0;
    int awake = 0;
};

outcome_log drain(admission& gate)
{
    outcome_log log;
    for (const auto& effect : gate.take_effects()) {
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
            ++log.awake;
        }
    }
    return log;
}

admission make_gate(std::uint32_t slots, std::uint32_t queue)
{
    return {{.slots = slots, .queue = queue}, at(0), false};
}

void offer(admission& gate, ticket id, std::uint32_t worth = 1, int deadline = 10000)
{
    gate.offer(at(0), {id, worth, at(deadline)});
}

} // namespace

TEST_GROUP(admission){};

// Guards against more concurrent requests than the target has slots, and
// against a worthy request that waits behind unworthy ones.
TEST(admission, queue_goes_by_worth_and_then_arrival)
{
    auto gate = make_gate(1, 8);
    offer(gate, 1);
    offer(gate, 2, 1);
    offer(gate, 3, 5);
    offer(gate, 4, 5);
    UNSIGNED_LONGS_EQUAL(1, drain(gate).started.size());
    std::vector<ticket> order;
    for (ticket running = 1; order.size() < 3; running = order.back()) {
        gate.finish(at(1), running, finish_kind::answered);
        const auto log = drain(gate);
        UNSIGNED_LONGS_EQUAL(1, log.started.size());
        order.push_back(log.started.front());
    }
    CHECK((order == std::vector<ticket>{3, 4, 2}));
}

// Guards against a full queue that refuses the most worthy request.
TEST(admission, full_queue_drops_the_least_worth)
{
    auto gate = make_gate(1, 2);
    offer(gate, 1);
    offer(gate, 2, 3);
    offer(gate, 3, 2);
    offer(gate, 4, 2);
    auto log = drain(gate);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{4, reason::overloaded}}));
    offer(gate, 5, 9);
    log = drain(gate);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{3, reason::overloaded}}));
    UNSIGNED_LONGS_EQUAL(2, gate.waiting());
}

// Guards against expired requests that take a slot or push out live ones.
TEST(admission, expired_requests_leave_the_queue_first)
{
    auto gate = make_gate(1, 1);
    offer(gate, 1);
    offer(gate, 2, 9, 50);
    gate.offer(at(60), {3, 1, at(500)});
    const auto log = drain(gate);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{2, reason::deadline_not_sent}}));
    UNSIGNED_LONGS_EQUAL(1, gate.waiting());
}

// Guards against a cold target that is flooded, and against a ramp that stops early.
TEST(admission, cold_target_starts_with_a_quarter_and_ramps_up)
{
    admission gate({.slots = 12}, at(0));
    UNSIGNED_LONGS_EQUAL(3, gate.share(at(0)));
    UNSIGNED_LONGS_EQUAL(7, gate.share(at(5000)));
    UNSIGNED_LONGS_EQUAL(12, gate.share(at(10000)));
    gate.on_restart(at(20000));
    UNSIGNED_LONGS_EQUAL(3, gate.share(at(20000)));
    admission wide({.slots = 500}, at(0), false);
    UNSIGNED_LONGS_EQUAL(100, wide.share(at(0)));
}

// Guards against a load report that raises the share or takes the target's ranges
// out of service.
TEST(admission, report_only_lowers_the_share)
{
    auto gate = make_gate(6, 8);
    gate.on_report(at(0), {.in_flight = 2});
    UNSIGNED_LONGS_EQUAL(4, gate.share(at(0)));
    gate.on_report(at(1), {.in_flight = 4000000000U});
    UNSIGNED_LONGS_EQUAL(3, gate.share(at(1)));
    gate.on_report(at(1), {.in_flight = 0, .ready = false});
    UNSIGNED_LONGS_EQUAL(2, gate.share(at(1)));
    gate.on_report(at(2), {.in_flight = 0});
    UNSIGNED_LONGS_EQUAL(6, gate.share(at(2)));
    // A report that lags behind this node's own requests is no other load.
    offer(gate, 1);
    gate.finish(at(3), 1, finish_kind::answered);
    gate.on_report(at(4), {.in_flight = 1});
    UNSIGNED_LONGS_EQUAL(6, gate.share(at(4)));
}

// Guards against new work at a target that is leaving.
TEST(admission, draining_target_gets_no_new_work)
{
    auto gate = make_gate(1, 8);
    offer(gate, 1);
    offer(gate, 2);
    drain(gate);
    gate.on_report(at(1), {.in_flight = 1, .draining = true});
    offer(gate, 3);
    auto log = drain(gate);
    UNSIGNED_LONGS_EQUAL(2, log.refused.size());
    CHECK(log.refused[0].second == reason::draining && log.refused[1].second == reason::draining);
    gate.finish(at(2), 1, finish_kind::answered);
    CHECK(drain(gate).started.empty());
    gate.close(at(3), reason::lease_over);
    offer(gate, 4);
    CHECK(drain(gate).refused[0].second == reason::lease_over);
}

// Guards against a frozen target that keeps its ranges, and against an alarm
// after an answer or after a pause of this process.
TEST(admission, silence_is_reported_once_and_ends_with_an_answer)
{
    auto gate = make_gate(2, 8);
    for (int ms = 0; ms <= 3000; ms += 20) {
        gate.on_tick(at(ms));
    }
    CHECK_EQUAL(0, drain(gate).silent); // nothing waits
    gate.on_probe_sent(at(3000));
    gate.on_target_response(at(3500));
    gate.on_probe_sent(at(3600));
    int silent = 0;
    for (int ms = 3020; ms < 4600; ms += 20) {
        gate.on_tick(at(ms));
        silent += drain(gate).silent;
    }
    CHECK_EQUAL(0, silent);
    for (int ms = 4600; ms < 6000; ms += 20) {
        gate.on_tick(at(ms));
        silent += drain(gate).silent;
    }
    CHECK_EQUAL(1, silent);
    offer(gate, 1);
    CHECK(drain(gate).refused[0].second == reason::target_silent);
    gate.on_target_response(at(6000));
    CHECK_EQUAL(1, drain(gate).awake);
    gate.on_probe_sent(at(6000));
    gate.on_tick(at(9000)); // this process was paused
    CHECK_EQUAL(0, drain(gate).silent);
}

// Guards against a request that was cancelled in the queue and starts later.
TEST(admission, cancelled_request_leaves_the_queue)
{
    auto gate = make_gate(1, 8);
    offer(gate, 1);
    offer(gate, 2);
    CHECK(gate.cancel_queued(at(1), 2));
    CHECK_FALSE(gate.cancel_queued(at(1), 1));
    gate.finish(at(2), 1, finish_kind::answered);
    gate.finish(at(2), 1, finish_kind::answered);
    UNSIGNED_LONGS_EQUAL(1, drain(gate).started.size());
    UNSIGNED_LONGS_EQUAL(0, gate.in_flight());
}

// Guards against a request that is started without the time to finish, and
// against a slow target that never gets a request again.
TEST(admission, request_without_time_for_an_answer_is_refused_in_the_queue)
{
    auto gate = make_gate(1, 8);
    for (int i = 0; i < 100; ++i) { // answers take 100 ms
        gate.offer(at(i * 100), {1, 1, at(100000)});
        gate.finish(at(i * 100 + 100), 1, finish_kind::answered);
    }
    drain(gate);
    gate.offer(at(10000), {2, 1, at(11000)});
    gate.offer(at(10000), {3, 1, at(10150)});
    gate.finish(at(10090), 2, finish_kind::answered);
    auto log = drain(gate);
    CHECK((log.refused == std::vector<std::pair<ticket, reason>>{{3, reason::deadline_not_sent}}));
    gate.offer(at(10100), {4, 1, at(10110)});
    CHECK((drain(gate).started == std::vector<ticket>{4}));
}

// Guards against requests that are written to a frozen target until its silence
// is noticed: it may run them after it resumes, beside the successor.
TEST(admission, a_target_without_an_answer_for_400_ms_gets_nothing_new)
{
    auto gate = make_gate(4, 8);
    offer(gate, 1);
    UNSIGNED_LONGS_EQUAL(1, drain(gate).started.size());
    gate.on_tick(at(350));
    CHECK_FALSE(gate.is_suspect(at(399)));
    gate.on_tick(at(400));
    gate.offer(at(410), {2, 1, at(10000)});
    CHECK(drain(gate).started.empty());
    gate.on_target_response(at(500));
    UNSIGNED_LONGS_EQUAL(1, drain(gate).started.size());
}
