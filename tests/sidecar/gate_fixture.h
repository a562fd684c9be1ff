#pragma once

/// A gate with a target for tests.

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sidecar/gate.h"

#include <CppUTest/TestHarness.h>

namespace bulrushgw::sidecar::test {

inline constexpr milliseconds wait_limit{3000};
inline constexpr const char* service = "s";

inline platform_protocol protocol_for_tests()
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

inline wire::forward request_for(std::uint64_t number)
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

// A gate and a target with two slots, which answers after `work`.
TEST_BASE(gate_fixture)
{
    net::loop loop;
    platform_protocol protocol = protocol_for_tests();
    milliseconds work{20};
    bool hold_covers = true;
    assignment::serve_verdict ownership = assignment::serve_verdict::serve;
    std::vector<std::string> arrived;
    /// Replaces the target's normal answer, if set.
    std::function<void(const net::http_exchange&)> answer_override;
    std::unique_ptr<net::http_server> target;
    std::unique_ptr<target_watch> watch;
    std::uint64_t beats = 0;
    std::unique_ptr<gate> tested_gate;
    std::vector<wire::forward_reply> replies;
    std::vector<std::pair<std::uint64_t, std::string>> identified; ///< session and target id

    void setup() override
    {
        start_target({"127.0.0.1", 0});
        const auto address = net::to_string(target->address());
        watch = std::make_unique<target_watch>(target_watch_settings{milliseconds{2000}}, service,
                                               address);
        gate::hooks hooks;
        hooks.may_serve = [this](const std::string&, std::uint32_t) { return ownership; };
        hooks.covers_work = [this](const std::string&, std::uint32_t, milliseconds) {
            return hold_covers;
        };
        hooks.on_target_changed = [] {};
        hooks.on_identified = [this](std::uint64_t session, const std::string& id) {
            identified.emplace_back(session, id);
        };
        hooks.on_failure = [](const wire::forward&, request::reason, const std::string&) {};
        tested_gate =
            std::make_unique<gate>(loop, target->address(), protocol, *watch, std::move(hooks));
        beat_with_slots(2);
        watch->on_health(loop.now(), {"t1", 2, true});
        tested_gate->on_target();
    }
    void start_target(const net::endpoint& address)
    {
        target = std::make_unique<net::http_server>(
            loop, address, [this](const net::http_exchange& exchange) {
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
    }
    /// The target's process ends, and another one starts at the same address.
    void restart_target()
    {
        const auto address = target->address();
        target.reset();
        start_target(address);
    }
    void beat_with_slots(std::uint32_t slots)
    {
        heartbeat beat;
        beat.target = {"t1", 1, service, slots, assignment::target_phase::ready};
        beat.address = net::to_string(target->address());
        beat.sequence = ++beats;
        CHECK(watch->on_heartbeat(loop.now(), beat));
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
    void run_with_deadline(std::uint64_t number, milliseconds deadline, const char* key = "")
    {
        auto request = request_for(number);
        request.deadline = deadline;
        request.aim = deadline;
        request.key = key;
        tested_gate->run({incarnation_id{9}, number}, request,
                         [this](const wire::forward_reply& reply) { replies.push_back(reply); });
    }
    /// Ends the calls to the target, which refer to the gate.
    void cancel_until(std::uint64_t last)
    {
        for (std::uint64_t number = 1; number <= last; ++number) {
            tested_gate->cancel({incarnation_id{9}, number});
        }
        CHECK(loop.run_until([&] { return tested_gate->running() == 0; }, wait_limit));
    }
    void wait_for(std::size_t count)
    {
        CHECK(loop.run_until([&] { return replies.size() >= count; }, wait_limit));
    }
};

} // namespace bulrushgw::sidecar::test
