#include "tests/sidecar/gate_fixture.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;
using namespace bulrushgw::sidecar::test;

TEST_GROUP_BASE(gate, gate_fixture){};

// Guards against running more requests at once than the target has slots, and against failing to
// pass on answers with the target's mark.
TEST(gate, requests_run_within_the_slots)
{
    for (std::uint64_t i = 1; i <= 4; ++i) {
        run(i);
    }
    LONGS_EQUAL(2, tested_gate->running());
    LONGS_EQUAL(2, tested_gate->queued());
    wait_for(4);
    for (const auto& reply : replies) {
        CHECK(reply.outcome == wire::forward_outcome::answered);
        STRCMP_EQUAL("ok", reply.body.c_str());
    }
}

// Guards against a request that is reported as not run although only its answer was lost: by a
// reset, by a timeout, by an answer without the target's mark, or by the answer to another request.
TEST(gate, lost_answer_leaves_the_outcome_unknown)
{
    const std::vector<std::function<void(const net::http_exchange&)>> faults{
        [](const net::http_exchange& exchange) { exchange.drop(); },
        [](const net::http_exchange&) {},
        [](const net::http_exchange& exchange) {
            exchange.respond({503, {{"x-id", "r-2"}}, ""});
        },
        [](const net::http_exchange& exchange) {
            exchange.respond({200, {{"x-id", "r-9"}, {"x-seal", "s"}}, "other"});
        }};
    std::uint64_t number = 1;
    for (const auto& fault : faults) {
        answer_override = fault;
        replies.clear();
        auto request = request_for(++number);
        request.deadline = milliseconds{100};
        tested_gate->run({incarnation_id{9}, number}, request,
                         [this](const wire::forward_reply& reply) { replies.push_back(reply); });
        wait_for(1);
        CHECK(replies[0].outcome == wire::forward_outcome::unknown);
    }
    LONGS_EQUAL(faults.size(), arrived.size());
}

// Guards against accepting requests so shortly before the end of a planned stop that the exit
// aborts them. A node serves its keys until the exit if no other node can take them over.
TEST(gate, stopping_node_refuses_requests_that_the_exit_would_abort)
{
    run(1);
    wait_for(1); // so that the mean run time is known
    run(2);
    tested_gate->stop_at(loop.now() + work * 3);
    run(3);
    wait_for(3);
    CHECK(replies[1].request_id == "r-3");
    CHECK(replies[1].outcome == wire::forward_outcome::not_run);
    STRCMP_EQUAL("shut-down", replies[1].reason.c_str());
    CHECK(replies[2].outcome == wire::forward_outcome::answered);
    LONGS_EQUAL(2, arrived.size());
}

// Guards against a queued request that is started too shortly before the exit.
TEST(gate, stopping_node_refuses_requests_that_are_queued_too_long)
{
    run(1);
    wait_for(1);
    for (std::uint64_t i = 2; i <= 4; ++i) {
        run(i);
    }
    tested_gate->stop_at(loop.now() + work * 2);
    wait_for(4);
    LONGS_EQUAL(3, arrived.size());
    std::size_t not_run = 0;
    for (const auto& reply : replies) {
        not_run += reply.outcome == wire::forward_outcome::not_run ? 1 : 0;
    }
    LONGS_EQUAL(1, not_run);
}

// Guards against requests that reach the target of an evacuated zone after the time for its keys is
// over, and against running requests that are lost with the queued ones.
TEST(gate, evacuated_gate_refuses_queued_and_new_requests)
{
    tested_gate->refuse_from(loop.now() + work / 2);
    for (std::uint64_t i = 1; i <= 4; ++i) {
        run(i);
    }
    LONGS_EQUAL(2, tested_gate->running());
    CHECK(loop.run_until([&] { return tested_gate->is_evacuated(); }, wait_limit));
    tested_gate->on_tick();
    LONGS_EQUAL(2, replies.size());
    run(5);
    LONGS_EQUAL(3, replies.size());
    for (const auto& reply : replies) {
        CHECK(reply.outcome == wire::forward_outcome::not_run);
        STRCMP_EQUAL("zone-evacuated", reply.reason.c_str());
    }
    wait_for(5);
    CHECK(replies[3].outcome == wire::forward_outcome::answered);
    CHECK(replies[4].outcome == wire::forward_outcome::answered);
    LONGS_EQUAL(2, arrived.size());
    tested_gate->refuse_from(std::nullopt);
    run(6);
    wait_for(6);
    CHECK(replies[5].outcome == wire::forward_outcome::answered);
}

// Guards against running requests whose clients left while this process was paused: the request and
// its cancellation are read together, and a kept connection to the target is free.
TEST(gate, request_that_is_cancelled_on_arrival_does_not_reach_the_target)
{
    run(1);
    wait_for(1);
    const auto run_later = [&](std::uint64_t number) {
        tested_gate->run_later(
            {incarnation_id{9}, number}, request_for(number),
            [this](const wire::forward_reply& reply) { replies.push_back(reply); });
    };
    run_later(2);
    run_later(3);
    LONGS_EQUAL(2, tested_gate->active());
    tested_gate->cancel({incarnation_id{9}, 2});
    wait_for(2);
    STRCMP_EQUAL("r-3", replies[1].request_id.c_str());
    LONGS_EQUAL(0, tested_gate->active());
    CHECK(arrived == std::vector<std::string>({"r-1", "r-3"}));
}

// Guards against keys that go to another target while the last one still works on them: a second
// copy of the answer to a grant, on the same connection, was taken for the answer to a release.
TEST(gate, order_on_a_new_connection_uses_no_kept_one)
{
    answer_override = [&](const net::http_exchange& exchange) {
        loop.after(work, [exchange] { exchange.respond({200, {}, ""}); });
    };
    std::size_t answers = 0;
    const auto count = [&](const net::http_result& result) {
        CHECK(result.response.has_value());
        ++answers;
    };
    const net::http_request order{"POST", "/order", {}, "{}"};
    // A grant is sent only on a connection to a process that has answered.
    bool checked = false;
    tested_gate->check({"GET", "/health", {}, ""}, wait_limit,
                       [&](const net::http_result&) { checked = true; });
    CHECK(loop.run_until([&] { return checked; }, wait_limit));
    arrived.clear();
    tested_gate->order(order, wait_limit, wait_limit, count);
    CHECK(loop.run_until([&] { return answers == 1; }, wait_limit));
    LONGS_EQUAL(1, target->connections());
    for (std::size_t i = 2; i <= 3; ++i) {
        tested_gate->order_on_new_connection(order, wait_limit, count);
        CHECK(loop.run_until([&] { return arrived.size() == i; }, wait_limit));
        LONGS_EQUAL(2, target->connections());
        CHECK(loop.run_until([&] { return answers == i; }, wait_limit));
        CHECK(loop.run_until([&] { return target->connections() == 1; }, wait_limit));
    }
}

// Guards against keys that a new process of the target gets under the fence of the one before: a
// grant that was ordered while connections led to the old process went to whatever process
// listened when it was written.
TEST(gate, grant_is_not_sent_to_a_process_that_started_meanwhile)
{
    answer_override = [&](const net::http_exchange& exchange) {
        exchange.respond({200, {{"x-target-id", "t1"}}, ""});
    };
    std::vector<net::http_result> results;
    const auto record = [&](const net::http_result& result) { results.push_back(result); };
    const net::http_request order{"POST", "/order", {}, "{}"};
    const auto send_order = [&](std::size_t results_after) {
        tested_gate->order(order, wait_limit, wait_limit, record);
        CHECK(loop.run_until([&] { return results.size() == results_after; }, wait_limit));
    };
    const auto send_check = [&](std::size_t results_after) {
        tested_gate->check({"GET", "/health", {}, ""}, wait_limit, record);
        CHECK(loop.run_until([&] { return results.size() == results_after; }, wait_limit));
    };
    send_order(1); // no process has answered yet
    CHECK(net::is_unwritten(results[0]));
    send_check(2);
    const auto first_session = tested_gate->target_session();
    CHECK(identified.back() == std::pair(first_session, std::string("t1")));
    send_order(3);
    CHECK(results[2].response.has_value());
    arrived.clear();
    // Another process takes the address. The end of the connection is not read yet.
    restart_target();
    send_order(4);
    CHECK_FALSE(results[3].response.has_value());
    CHECK(arrived.empty());
    send_check(5);
    CHECK(tested_gate->target_session() > first_session);
    CHECK(tested_gate->last_broken_session() >= first_session);
    send_order(6);
    CHECK(results[5].response.has_value());
}

// Guards against a node that keeps a target for the known one after another answered in its place.
TEST(gate, refusal_of_another_target_makes_the_known_one_absent)
{
    answer_override = [](const net::http_exchange& exchange) {
        exchange.respond({421, {{"x-target-id", "t2"}}, ""});
    };
    run(1);
    wait_for(1);
    CHECK(replies[0].outcome == wire::forward_outcome::not_run);
    CHECK(watch->status().phase == assignment::target_phase::absent);
    CHECK(watch->needs_check(loop.now()));
}

// Guards against requests and health checks that reach a cold target beyond the limit of its
// service, and against a refusal that does not tell when a start is allowed.
TEST(gate, requests_and_health_checks_to_a_cold_target_are_limited)
{
    work = milliseconds{1};
    tested_gate->set_start_bound({3, 1, 0}); // two starts in each 1,100 ms
    std::size_t checks = 0;
    tested_gate->check({"GET", "/health", {}, ""}, wait_limit,
                       [&](const net::http_result&) { ++checks; });
    // The process before this one may have sent as many requests as the limit allows.
    CHECK_FALSE(loop.run_until([&] { return !arrived.empty(); }, milliseconds{300}));
    auto urgent = request_for(1);
    urgent.aim = milliseconds{200};
    urgent.has_alternative = true;
    tested_gate->run({incarnation_id{9}, 1}, urgent,
                     [this](const wire::forward_reply& reply) { replies.push_back(reply); });
    wait_for(1);
    CHECK(replies[0].outcome == wire::forward_outcome::not_run);
    STRCMP_EQUAL("warming-up", replies[0].reason.c_str());
    CHECK(replies[0].retry_after > milliseconds{500});
    LONGS_EQUAL(1, tested_gate->warm_up_refusals());
    CHECK(loop.run_until([&] { return arrived.size() == 1; }, wait_limit));
    run(2);
    LONGS_EQUAL(1, tested_gate->queued());
    tested_gate->set_cold(false);
    wait_for(2);
    CHECK(replies[1].outcome == wire::forward_outcome::answered);
    LONGS_EQUAL(1, checks);
    LONGS_EQUAL(1, tested_gate->warm_up_delays());
}

// Guards against runs that the end of their hold cuts off because they start just before its
// renewal, and against a slot that stays taken when such a request is refused or cancelled.
TEST(gate, request_waits_for_the_renewal_of_its_hold)
{
    hold_covers = false;
    run_for_key(1);
    run_for_key(2);
    run(3);
    LONGS_EQUAL(2, tested_gate->running());
    LONGS_EQUAL(2, tested_gate->renewal_waits());
    tested_gate->cancel({incarnation_id{9}, 2});
    wait_for(1);
    STRCMP_EQUAL("r-3", replies[0].request_id.c_str());
    LONGS_EQUAL(1, arrived.size());
    hold_covers = true;
    wait_for(2);
    CHECK(replies[1].outcome == wire::forward_outcome::answered);
    hold_covers = false;
    run_for_key(4);
    wait_for(3);
    CHECK(replies[2].outcome == wire::forward_outcome::not_owner);
    LONGS_EQUAL(0, tested_gate->running());
    LONGS_EQUAL(2, arrived.size());
}

// Guards against a body that does not reach the target, whether the request brings it along or the
// entry of this process keeps it.
TEST(gate, body_reaches_the_target)
{
    std::vector<std::string> bodies;
    answer_override = [&](const net::http_exchange& exchange) {
        bodies.push_back(exchange.request.body);
        exchange.drop();
    };
    for (std::uint64_t number = 1; number <= 2; ++number) {
        auto request = request_for(number);
        if (number == 1) {
            request.body.assign(100000, 'a');
        }
        else {
            request.shared_body = std::make_shared<const std::string>(100000, 'a');
        }
        tested_gate->run({incarnation_id{9}, number}, request,
                         [this](const wire::forward_reply& reply) { replies.push_back(reply); });
    }
    wait_for(2);
    for (const auto& body : bodies) {
        CHECK(body == std::string(100000, 'a'));
    }
    LONGS_EQUAL(2, bodies.size());
}

// Guards against a cancelled request that is reported as not run although the target got it, or
// still gets it because the cancellation overtook it, and against one that is not reported.
TEST(gate, cancellation_tells_whether_the_request_was_sent)
{
    const auto cancel = [&](std::uint64_t number) {
        return tested_gate->cancel({incarnation_id{9}, number});
    };
    for (std::uint64_t number = 1; number <= 3; ++number) {
        run(number);
    }
    CHECK(cancel(3)); // queued
    CHECK(cancel(2)); // no connection yet
    CHECK(loop.run_until([&] { return arrived.size() == 1; }, wait_limit));
    CHECK_FALSE(cancel(1));
    CHECK_FALSE(cancel(1));
    run(4);
    wait_for(1);
    CHECK_FALSE(cancel(4)); // answered
    CHECK(cancel(5));       // unknown
    run(5);
    LONGS_EQUAL(0, tested_gate->active());
    run(6);
    wait_for(2);
    CHECK(arrived == std::vector<std::string>({"r-1", "r-4", "r-6"}));
}

// Guards against a request that waits for the grant of its key although its time limit is over.
TEST(gate, time_limit_bounds_the_wait_for_a_grant)
{
    ownership = assignment::serve_verdict::pending;
    run_with_deadline(1, milliseconds{0}, "5");
    LONGS_EQUAL(1, replies.size());
    CHECK(replies[0].outcome == wire::forward_outcome::not_owner);
}

// Guards against a request that waits for longer than its time limit for the renewal of its hold,
// and then still runs.
TEST(gate, time_limit_bounds_the_wait_for_a_renewal)
{
    hold_covers = false;
    run_with_deadline(1, milliseconds{100}, "5");
    LONGS_EQUAL(1, tested_gate->renewal_waits());
    loop.after(milliseconds{120}, [this] { hold_covers = true; });
    wait_for(1);
    CHECK(replies[0].outcome == wire::forward_outcome::not_owner);
}

// Guards against a request that waits for a slot beyond its time limit while no other request ends.
TEST(gate, time_limit_bounds_the_wait_for_a_slot)
{
    answer_override = [](const net::http_exchange&) {};
    run_with_deadline(1, milliseconds{60000});
    run_with_deadline(2, milliseconds{60000});
    CHECK(loop.run_until([&] { return arrived.size() == 2; }, wait_limit));
    run_with_deadline(3, milliseconds{300});
    LONGS_EQUAL(1, tested_gate->queued());
    loop.after(milliseconds{300}, [this] { tested_gate->on_tick(); });
    wait_for(1);
    STRCMP_EQUAL("r-3", replies[0].request_id.c_str());
    CHECK(replies[0].outcome == wire::forward_outcome::not_run);
    cancel_until(2);
}

// Guards against a request that is reported as possibly run although it never got a connection to
// the target before its time limit, and against a target that is taken for lost because of that.
TEST(gate, request_without_a_connection_in_time_has_not_run)
{
    constexpr std::uint64_t connections = 64;
    answer_override = [](const net::http_exchange&) {};
    beat_with_slots(connections + 10);
    tested_gate->on_target();
    for (std::uint64_t number = 1; number <= connections; ++number) {
        run_with_deadline(number, milliseconds{60000});
    }
    for (std::uint64_t number = connections + 1; number <= connections + 5; ++number) {
        run_with_deadline(number, milliseconds{50});
    }
    wait_for(5);
    for (const auto& reply : replies) {
        CHECK(reply.outcome == wire::forward_outcome::not_run);
    }
    CHECK(watch->accepts(loop.now()));
    LONGS_EQUAL(connections, tested_gate->running());
    cancel_until(connections);
}
