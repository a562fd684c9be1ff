#include "sidecar/forward_intake.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr incarnation_id self{1};
constexpr incarnation_id sender{2};
constexpr std::size_t budget_bytes = 100000;

} // namespace

// An intake with a budget of 100,000 bytes and a link of 10 Mbit/s. `running` holds the requests
// that the gate has.
TEST_GROUP(forward_intake)
{
    time_point now{std::chrono::hours{1}};
    std::shared_ptr<net::memory_budget> budget = std::make_shared<net::memory_budget>(budget_bytes);
    std::map<request_key, std::pair<wire::forward, gate::completion>> running;
    std::vector<wire::forward_reply> replies;
    std::vector<wire::forward_credit> credits;
    std::vector<milliseconds> waits; ///< after which `on_rate` is to be called
    std::string lost_key = "lost";   ///< that moved to another target
    bool takes_frames = true;
    std::vector<std::string> events;
    std::unique_ptr<forward_intake> tested;

    void setup() override
    {
        forward_intake::hooks hooks;
        hooks.now = [this] { return now; };
        hooks.run = [this](request_key key, wire::forward request, gate::completion done) {
            running[key] = {std::move(request), std::move(done)};
        };
        hooks.run_later = hooks.run;
        hooks.cancel = [this](request_key key) { return running.erase(key) > 0; };
        hooks.load = [this] { return running.size(); };
        hooks.expected_refusal = [this](const wire::forward& request) {
            return request.key == lost_key ? std::optional{request::reason::not_owner}
                                           : std::nullopt;
        };
        hooks.expected_work = [](const wire::forward&) { return milliseconds{50}; };
        hooks.call_on_rate_after = [this](milliseconds time) { waits.push_back(time); };
        hooks.send = [this](const std::string&, incarnation_id, const wire::body& content) {
            if (const auto* credit = std::get_if<wire::forward_credit>(&content)) {
                if (takes_frames) {
                    credits.push_back(*credit);
                }
            }
            else {
                replies.push_back(std::get<wire::forward_reply>(content));
            }
            return takes_frames;
        };
        hooks.log = [this](std::string_view event, const journal::fields&) {
            events.emplace_back(event);
        };
        tested = std::make_unique<forward_intake>(budget, 10, std::move(hooks));
    }
    void teardown() override
    {
        running.clear();
        tested.reset();
    }

    wire::forward request_for(std::uint64_t number, std::size_t body, std::size_t in_parts = 0)
    {
        wire::forward result;
        result.number = number;
        result.request_id = "r-" + std::to_string(number);
        result.deadline = milliseconds{1000};
        result.body.assign(body, 'a');
        result.body_bytes = in_parts;
        return result;
    }
    void receive(const wire::forward& request, incarnation_id from = sender)
    {
        tested->on_forward({from, self, "n2", request}, request);
    }
    void receive_part(std::uint64_t number, std::uint64_t index, std::size_t size)
    {
        const wire::forward_part part{number, index, std::string(size, 'b')};
        tested->on_part({sender, self, "n2", part}, part);
    }
    void finish(request_key key)
    {
        auto node = running.extract(key);
        wire::forward_reply reply;
        reply.number = key.second;
        reply.outcome = wire::forward_outcome::answered;
        node.mapped().second(std::move(reply));
    }
};

// Guards against more memory than the budget for the requests at the gate, and against a request
// without room that is not refused as not run at once, or that takes the room of others.
TEST(forward_intake, requests_without_room_are_refused)
{
    receive(request_for(1, 40000));
    tested->run_local({self, 1}, request_for(1, 40000), [](const wire::forward_reply&) {});
    LONGS_EQUAL(2, running.size());
    receive(request_for(2, 40000));
    receive(request_for(3, 0, 40000));
    bool refused = false;
    tested->run_local({self, 2}, request_for(2, 40000), [&](const wire::forward_reply& reply) {
        refused = reply.outcome == wire::forward_outcome::not_run;
    });
    CHECK(refused);
    LONGS_EQUAL(2, replies.size());
    for (const auto& reply : replies) {
        CHECK(reply.outcome == wire::forward_outcome::not_run);
        STRCMP_EQUAL("overloaded", reply.reason.c_str());
    }
    LONGS_EQUAL(3, tested->counters().refused);
    tested->on_tick();
    tested->on_tick();
    LONGS_EQUAL(1, events.size());
    finish({sender, 1});
    tested->cancel({self, 1});
    LONGS_EQUAL(0, budget->used());
}

// Guards against a body in parts that does not run when it is complete, runs after its
// cancellation, or keeps its memory after the answer.
TEST(forward_intake, body_in_parts_runs_once_complete)
{
    receive(request_for(1, 0, 30000));
    receive(request_for(2, 0, 30000));
    receive_part(1, 0, 20000);
    receive_part(2, 0, 20000);
    LONGS_EQUAL(0, running.size());
    tested->cancel({sender, 2});
    receive_part(1, 1, 10000);
    receive_part(2, 1, 10000);
    LONGS_EQUAL(1, running.size());
    LONGS_EQUAL(30000, running.at({sender, 1}).first.body.size());
    finish({sender, 1});
    LONGS_EQUAL(1, replies.size());
    LONGS_EQUAL(0, budget->used());
}

// Guards against a sender that waits until the deadline for the answer to a body whose part was
// lost.
TEST(forward_intake, body_with_a_missing_part_is_refused)
{
    receive(request_for(1, 0, 30000));
    receive_part(1, 1, 10000);
    LONGS_EQUAL(1, replies.size());
    CHECK(replies[0].outcome == wire::forward_outcome::not_run);
    STRCMP_EQUAL("r-1", replies[0].request_id.c_str());
    receive_part(1, 2, 10000);
    LONGS_EQUAL(1, replies.size());
}

// Guards against a large body that is received in full although its target is known to refuse it.
TEST(forward_intake, body_that_the_target_would_refuse_is_refused_before_its_parts)
{
    auto request = request_for(1, 0, 30000);
    request.key = "lost";
    receive(request);
    LONGS_EQUAL(1, replies.size());
    CHECK(replies[0].outcome == wire::forward_outcome::not_owner);
    LONGS_EQUAL(0, tested->incomplete());
}

// Guards against bodies that are kept after their sender has gone or their deadline has passed.
TEST(forward_intake, abandoned_bodies_are_dropped)
{
    receive(request_for(1, 0, 30000));
    tested->on_sender_lost(incarnation_id{3});
    LONGS_EQUAL(1, tested->incomplete());
    tested->on_sender_lost(sender);
    LONGS_EQUAL(0, budget->used());
    receive(request_for(2, 0, 30000));
    now += milliseconds{999};
    tested->on_tick();
    LONGS_EQUAL(1, tested->incomplete());
    now += milliseconds{1};
    tested->on_tick();
    LONGS_EQUAL(0, budget->used());
    LONGS_EQUAL(2, tested->counters().dropped);
}

// Guards against bodies of many hosts on the link at the same time, against credits that never
// follow although the link is free, and against hosts that are not told how long a body waits.
TEST(forward_intake, bodies_are_credited_within_the_window)
{
    receive(request_for(1, 0, 45000));
    receive(request_for(2, 0, 45000));
    LONGS_EQUAL(1, credits.size());
    LONGS_EQUAL(45000, credits[0].bytes);
    LONGS_EQUAL(0, waits.size());
    auto lost = request_for(3, 0, 10000);
    lost.key = "lost";
    receive(lost);
    CHECK(replies.at(0).intake_wait > milliseconds{60});
    now += milliseconds{10};
    receive_part(1, 0, 45000);
    LONGS_EQUAL(1, credits.size());
    LONGS_EQUAL(1, waits.size());
    now += waits[0];
    tested->on_rate();
    LONGS_EQUAL(2, credits.size());
    LONGS_EQUAL(2, credits[1].number);
    receive_part(2, 0, 45000);
    finish({sender, 1});
    finish({sender, 2});
    now += milliseconds{100};
    receive(lost);
    LONGS_EQUAL(0, replies.back().intake_wait.count());
    LONGS_EQUAL(0, budget->used());
    LONGS_EQUAL(90000, tested->schedule().counters().bytes_arrived);
}

// Guards against credit that stays in the window after its body was cancelled, its sender has gone,
// or its part was wrong.
TEST(forward_intake, unused_credit_goes_to_the_next_body)
{
    const incarnation_id other_sender{3};
    receive(request_for(1, 0, 60000));
    receive(request_for(2, 0, 60000));
    receive(request_for(3, 0, 60000), other_sender);
    receive(request_for(4, 0, 60000), other_sender);
    now += milliseconds{100};
    tested->cancel({sender, 1});
    LONGS_EQUAL(2, credits.size());
    LONGS_EQUAL(2, credits[1].number);
    now += milliseconds{100};
    tested->on_sender_lost(sender);
    LONGS_EQUAL(3, credits.size());
    LONGS_EQUAL(3, credits[2].number);
    now += milliseconds{100};
    const wire::forward_part wrong{3, 1, "b"};
    tested->on_part({other_sender, self, "n3", wrong}, wrong);
    LONGS_EQUAL(4, credits.size());
    LONGS_EQUAL(180000, tested->schedule().counters().bytes_returned);
}

// Guards against bodies that cross the link although their key has moved while they waited.
TEST(forward_intake, body_whose_key_moved_gets_no_credit)
{
    receive(request_for(1, 0, 60000));
    auto keyed = request_for(2, 0, 60000);
    keyed.key = "moving";
    receive(keyed);
    lost_key = "moving";
    now += milliseconds{100};
    tested->cancel({sender, 1});
    LONGS_EQUAL(1, credits.size());
    LONGS_EQUAL(1, replies.size());
    CHECK(replies[0].outcome == wire::forward_outcome::not_owner);
    LONGS_EQUAL(0, tested->incomplete());
}

// Guards against a request that waits until its deadline because its credit was lost with a
// connection, or was never accepted by the transport, and against memory for parts without credit.
TEST(forward_intake, lost_credit_is_repeated)
{
    takes_frames = false;
    receive(request_for(1, 0, 28000));
    LONGS_EQUAL(0, credits.size());
    takes_frames = true;
    tested->on_tick();
    LONGS_EQUAL(1, credits.size());
    tested->on_tick();
    LONGS_EQUAL(1, credits.size());
    tested->on_connection_lost("n3");
    tested->on_connection_lost("n2");
    tested->on_tick();
    LONGS_EQUAL(2, credits.size());
    LONGS_EQUAL(28000, credits[1].bytes);
    now += milliseconds{500};
    tested->on_tick(); // without progress, also if no connection broke
    LONGS_EQUAL(3, credits.size());
    receive(request_for(2, 0, 28000));
    receive_part(2, 0, 28000);
    LONGS_EQUAL(0, running.count({sender, 1}));
    LONGS_EQUAL(1, running.count({sender, 2}));
    receive(request_for(3, 0, 28000));
    receive(request_for(4, 0, 28000));
    LONGS_EQUAL(3, credits.back().number);
    receive_part(4, 0, 28000);
    LONGS_EQUAL(0, running.count({sender, 4}));
    LONGS_EQUAL(1, tested->counters().invalid);
}

// Guards against uploads that wait although they cannot arrive in time, at their announcement or
// later, and against a log line for each of them.
TEST(forward_intake, late_bodies_are_refused_and_the_backlog_is_logged)
{
    for (std::uint64_t number = 1; number <= 30; ++number) {
        receive(request_for(number, 0, 60000));
    }
    CHECK(replies.size() >= 14);
    for (const auto& reply : replies) {
        STRCMP_EQUAL("overloaded", reply.reason.c_str());
        CHECK(reply.retry_after >= milliseconds{500});
    }
    LONGS_EQUAL(1, credits.size());
    tested->on_tick();
    tested->on_tick();
    const auto lines = [&](const std::string& event) {
        return std::count(events.begin(), events.end(), event);
    };
    LONGS_EQUAL(1, lines("body_backlog_began"));
    LONGS_EQUAL(1, lines("bodies_lost"));
    now += milliseconds{950};
    const auto refused_before = replies.size();
    tested->on_tick();
    CHECK(replies.size() > refused_before);
    LONGS_EQUAL(1, lines("body_backlog_ended"));
    CHECK(tested->counters().late >= replies.size());
}

// Guards against a sender that does not learn that its request has not run, because the body was
// incomplete or the gate had not sent it, and against one that is told so of a request that the
// gate has sent.
TEST(forward_intake, cancellation_of_a_request_that_has_not_run_is_confirmed)
{
    receive(request_for(1, 0, 30000));
    receive(request_for(2, 100));
    for (std::uint64_t number = 1; number <= 3; ++number) {
        const wire::cancel cancellation{number};
        tested->on_cancel({sender, self, "n2", cancellation}, cancellation);
    }
    LONGS_EQUAL(2, replies.size()); // the gate does not confirm the third
    for (std::size_t i = 0; i < replies.size(); ++i) {
        LONGS_EQUAL(i + 1, replies[i].number);
        CHECK(replies[i].outcome == wire::forward_outcome::not_run);
        STRCMP_EQUAL("cancelled-not-sent", replies[i].reason.c_str());
    }
    receive_part(1, 0, 30000);
    LONGS_EQUAL(0, running.size());
    LONGS_EQUAL(2, tested->counters().cancelled_not_run);
}
