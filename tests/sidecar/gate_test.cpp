#include "sidecar/gate.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr milliseconds wait_limit{3000};
constexpr const char* service = "s";

platform_protocol protocol_for_tests()
{
    platform_protocol result;
    result.names.request_id = "x-id";
    result.names.deadline = "x-left";
    result.names.answer_seal = "x-seal";
    result.names.expected_target = "x-target";
    result.names.not_run = "x-not-run";
    result.names.target_id = "x-target-id";
    result.names.load = "x-load";
    result.parse_load = [](std::string_view) { return target_load{1, 0, 2, 300}; };
    return result;
}

wire::forward request_for(std::uint64_t number)
{
    wire::forward result;
    result.number = number;
    result.service = service;
    result.route = "r";
    result.request_id = "r-" + std::to_string(number);
    result.deadline = milliseconds{2000};
    result.aim = milliseconds{1000};
    result.method = "GET";
    result.path = "/";
    return result;
}

} // namespace

// A gate and a target with two slots, which answers after `work`.
TEST_GROUP(gate)
{
    net::loop loop;
    platform_protocol protocol = protocol_for_tests();
    milliseconds work{20};
    bool hold_covers = true;
    std::vector<std::string> arrived;
    /// Replaces the target's normal answer, if set.
    std::function<void(const net::http_exchange&)> answer_override;
    std::unique_ptr<net::http_server> target;
    std::unique_ptr<target_watch> watch;
    std::unique_ptr<gate> tested_gate;
    std::vector<wire::forward_reply> replies;

    void setup() override
    {
        target = std::make_unique<net::http_server>(
            loop, net::endpoint{"127.0.0.1", 0}, [this](const net::http_exchange& exchange) {
                const std::string id(
                    net::find_header(exchange.request.headers, "x-id").value_or(""));
                arrived.push_back(id);
                if (answer_override) {
                    answer_override(exchange);
                    return;
                }
                loop.after(work, [exchange, id] {
                    exchange.respond({200, {{"x-id", id}, {"x-seal", "s"}}, "ok"});
                });
            });
        const auto address = net::to_string(target->address());
        watch = std::make_unique<target_watch>(target_watch_settings{milliseconds{2000}}, service,
                                               address);
        gate::hooks hooks;
        hooks.may_serve = [](const std::string&, std::uint32_t) {
            return assignment::serve_verdict::serve;
        };
        hooks.covers_work = [this](const std::string&, std::uint32_t, milliseconds) {
            return hold_covers;
        };
        hooks.on_target_changed = [] {};
        hooks.on_failure = [](const wire::forward&, request::reason, const std::string&) {};
        tested_gate =
            std::make_unique<gate>(loop, target->address(), protocol, *watch, std::move(hooks));
        heartbeat beat;
        beat.target = {"t1", 1, service, 2, assignment::target_phase::ready};
        beat.address = address;
        beat.sequence = 1;
        CHECK(watch->on_heartbeat(loop.now(), beat));
        watch->on_health(loop.now(), {"t1", 2, true});
        tested_gate->on_target();
    }
    void teardown() override
    {
        tested_gate.reset();
        target.reset();
    }

    void run(std::uint64_t number)
    {
        tested_gate->run({incarnation_id{9}, number}, request_for(number),
                         [this](const wire::forward_reply& reply) { replies.push_back(reply); });
    }
    void run_for_key(std::uint64_t number)
    {
        auto request = request_for(number);
        request.key = "5";
        tested_gate->run({incarnation_id{9}, number}, request,
                         [this](const wire::forward_reply& reply) { replies.push_back(reply); });
    }
    void wait_for(std::size_t count)
    {
        CHECK(loop.run_until([&] { return replies.size() >= count; }, wait_limit));
    }
};

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

// Guards against an explanation that differs from what happens to the next request, and against
// one that changes the queue.
TEST(gate, explanation_agrees_with_the_next_request_and_changes_nothing)
{
    using verdict = gate_explanation::verdict;
    std::vector<verdict> expected;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        const auto before = tested_gate->explain(request_for(i));
        CHECK(before.result == tested_gate->explain(request_for(i)).result);
        const auto running = tested_gate->running();
        const auto queued = tested_gate->queued();
        const auto answers = replies.size();
        LONGS_EQUAL(before.running, running);
        run(i);
        const auto actual = tested_gate->running() > running ? verdict::start
                            : tested_gate->queued() > queued ? verdict::queue
                                                             : verdict::refuse;
        CHECK(before.result == actual);
        if (before.result == verdict::refuse) {
            CHECK(replies.size() > answers);
            STRCMP_EQUAL(std::string(request::to_text(before.why)).c_str(),
                         replies.back().reason.c_str());
            LONGS_EQUAL(before.retry_after.count(), replies.back().retry_after.count());
        }
        expected.push_back(actual);
    }
    CHECK(expected.front() == verdict::start);
    CHECK(expected.back() == verdict::refuse);
    wait_for(60);
    tested_gate->refuse_from(loop.now());
    CHECK(tested_gate->explain(request_for(99)).why == request::reason::zone_evacuated);
}
