#include "request/forward_tracker.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::request;
using rules::repeat_kind;
using rules::service_kind;

namespace {

constexpr time_point base_time{std::chrono::hours{1}};
constexpr incarnation_id first{1};
constexpr incarnation_id second{2};

time_point at(int ms)
{
    return base_time + milliseconds{ms};
}

struct effect_log {
    std::vector<send_forward> sends;
    std::vector<send_cancel> cancels;
    std::vector<end_forward> ends;
    std::vector<accept_reply> accepts;
};

} // namespace

TEST_GROUP(forwards)
{
    std::vector<incarnation_id> peers{first};
    placement_version version{1};
    bool retry_allowed = true;
    forward_tracker tracker{
        {},
        [this](const forward_request&,
               const std::vector<incarnation_id>& avoid) -> std::optional<forward_choice> {
            for (const auto peer : peers) {
                if (std::find(avoid.begin(), avoid.end(), peer) == avoid.end()) {
                    return forward_choice{peer, version};
                }
            }
            if (peers.empty()) {
                return std::nullopt;
            }
            return forward_choice{peers.front(), version};
        },
        [this](time_point, const std::string&) { return retry_allowed; }};

    effect_log take_log()
    {
        effect_log log;
        for (const auto& effect : tracker.take_effects()) {
            if (const auto* send = std::get_if<send_forward>(&effect)) {
                log.sends.push_back(*send);
            }
            else if (const auto* cancel = std::get_if<send_cancel>(&effect)) {
                log.cancels.push_back(*cancel);
            }
            else if (const auto* end = std::get_if<end_forward>(&effect)) {
                log.ends.push_back(*end);
            }
            else {
                log.accepts.push_back(std::get<accept_reply>(effect));
            }
        }
        return log;
    }
    send_forward submit(repeat_kind repeat, service_kind kind = service_kind::keyed)
    {
        tracker.submit(at(0), {"s", kind, range_id{1}, "id", repeat, at(800)});
        const auto log = take_log();
        UNSIGNED_LONGS_EQUAL(1, log.sends.size());
        return log.sends.front();
    }
    void reply(int ms, incarnation_id peer, std::uint64_t number, reply_kind kind,
               reason why = reason::none, std::uint64_t peer_version = 0)
    {
        tracker.on_reply(at(ms), peer, {number, "id", kind, why, placement_version{peer_version}});
    }
};

// Guards against a client that receives a late or duplicate answer, or another client's answer.
TEST(forwards, only_the_matching_reply_is_accepted)
{
    const auto sent = submit(repeat_kind::once);
    LONGS_EQUAL(795, sent.deadline.count());
    reply(1, second, sent.number, reply_kind::answered);
    tracker.on_reply(at(1), first, {sent.number, "other", reply_kind::answered, {}, {}});
    CHECK(take_log().accepts.empty());
    UNSIGNED_LONGS_EQUAL(2, tracker.counters().mismatched);
    UNSIGNED_LONGS_EQUAL(1, tracker.in_flight(first));
    reply(2, first, sent.number, reply_kind::answered);
    reply(3, first, sent.number, reply_kind::answered);
    UNSIGNED_LONGS_EQUAL(1, take_log().accepts.size());
    UNSIGNED_LONGS_EQUAL(1, tracker.counters().late);
    UNSIGNED_LONGS_EQUAL(0, tracker.in_flight(first));
}

// Guards against a second run of a `once` request after its connection broke, and against reporting
// it as not-run.
TEST(forwards, broken_connection_ends_once_as_unknown_and_retries_idempotent)
{
    submit(repeat_kind::once);
    tracker.on_disconnect(at(5), first);
    auto log = take_log();
    CHECK(log.sends.empty() && log.ends.at(0).why == reason::connection_lost);
    submit(repeat_kind::idempotent);
    tracker.on_disconnect(at(5), first);
    UNSIGNED_LONGS_EQUAL(1, take_log().sends.size());
    retry_allowed = false;
    tracker.on_disconnect(at(6), first);
    CHECK(take_log().ends.at(0).why == reason::connection_lost);
    UNSIGNED_LONGS_EQUAL(1, tracker.counters().retries_refused);
}

// Guards against reporting not-run for a request whose earlier attempt may have run.
TEST(forwards, a_refused_retry_does_not_hide_that_the_first_may_have_run)
{
    submit(repeat_kind::idempotent);
    tracker.on_disconnect(at(5), first);
    const auto resent = take_log().sends.at(0);
    reply(6, first, resent.number, reply_kind::not_run, reason::overloaded);
    const auto log = take_log();
    CHECK(log.accepts.empty());
    CHECK(log.ends.at(0).why == reason::connection_lost);
}

// Guards against a request that is lost, or sent in a tight loop, while its range moves.
TEST(forwards, not_owner_waits_for_newer_placement)
{
    const auto sent = submit(repeat_kind::once);
    reply(10, first, sent.number, reply_kind::not_owner, reason::none, 2);
    tracker.on_tick(at(60));
    tracker.on_placement(at(70), "s");
    CHECK(take_log().sends.empty()); // the known placement is still older than that of the peer
    version = placement_version{2};
    peers = {second};
    tracker.on_placement(at(80), "s");
    const auto moved = take_log().sends.at(0);
    CHECK(moved.peer == second);
    LONGS_EQUAL(715, moved.deadline.count());
    reply(90, first, sent.number, reply_kind::answered); // late reply to the first attempt
    CHECK(take_log().accepts.empty());
    reply(91, second, moved.number, reply_kind::answered);
    UNSIGNED_LONGS_EQUAL(1, take_log().accepts.size());
}

// Guards against a request that waits until its deadline because its owner was restarted: the new
// process replies under another incarnation.
TEST(forwards, not_owner_of_a_new_incarnation_is_accepted)
{
    const auto sent = submit(repeat_kind::once);
    reply(10, incarnation_id{99}, sent.number, reply_kind::not_owner);
    tracker.on_tick(at(40));
    UNSIGNED_LONGS_EQUAL(1, take_log().sends.size());
    UNSIGNED_LONGS_EQUAL(0, tracker.counters().mismatched);
}

// Guards against resending a request without bound if two nodes disagree about the owner.
TEST(forwards, resends_are_bounded)
{
    tracker.submit(at(0),
                   {"s", service_kind::keyed, range_id{1}, "id", repeat_kind::once, at(60000)});
    std::size_t sends = 0;
    std::optional<reason> ended;
    for (int ms = 0; ms < 60000 && !ended; ms += 10) {
        tracker.on_tick(at(ms));
        const auto log = take_log();
        sends += log.sends.size();
        for (const auto& sent : log.sends) {
            reply(ms, first, sent.number, reply_kind::not_owner, reason::none, 1);
        }
        if (!log.ends.empty()) {
            ended = log.ends.front().why;
        }
    }
    UNSIGNED_LONGS_EQUAL(17, sends);
    CHECK(ended == reason::not_owner);
}

// Guards against a refusal that does not tell why the request was never sent.
TEST(forwards, deadline_without_an_owner_is_not_run)
{
    peers.clear();
    tracker.submit(at(0),
                   {"s", service_kind::keyed, range_id{1}, "id", repeat_kind::once, at(100)});
    tracker.on_tick(at(50));
    CHECK(take_log().ends.empty());
    tracker.on_tick(at(100));
    CHECK(take_log().ends.at(0).why == reason::no_owner);
    UNSIGNED_LONGS_EQUAL(0, tracker.pending());
}

// Guards against a peer that continues with a request whose client disconnected or whose deadline
// passed.
TEST(forwards, deadline_and_cancel_reach_the_peer)
{
    auto sent = submit(repeat_kind::once);
    tracker.on_tick(at(800));
    auto log = take_log();
    CHECK(log.cancels.at(0).number == sent.number);
    CHECK(log.ends.at(0).why == reason::deadline_sent);
    sent = submit(repeat_kind::once);
    tracker.cancel(at(1), sent.id);
    log = take_log();
    CHECK(log.cancels.at(0).number == sent.number);
    CHECK(log.ends.empty());
    UNSIGNED_LONGS_EQUAL(0, tracker.in_flight(first));
}

// Guards against a request to a balanced service that waits for an unreachable node although
// another node can serve it.
TEST(forwards, balanced_request_goes_to_another_node_at_once)
{
    peers = {first, second};
    const auto sent = submit(repeat_kind::once, service_kind::balanced);
    tracker.on_not_sent(at(1), sent.number);
    CHECK(take_log().sends.at(0).peer == second);
}

// Guards against a reason from another build that changes the outcome from unknown to not-run.
TEST(forwards, a_contradicting_reason_does_not_change_the_outcome)
{
    const auto sent = submit(repeat_kind::idempotent);
    reply(1, first, sent.number, reply_kind::unknown, reason::overloaded);
    const auto resent = take_log().sends.at(0); // retried as a lost connection
    reply(2, first, resent.number, reply_kind::not_run, reason::none);
    CHECK(take_log().ends.at(0).why == reason::connection_lost);
}

// Guards against reporting unknown for a request that was certainly not sent, because its peer's
// host is dead and no connection could be established. The outcome of requests that were sent over
// an earlier connection remains unknown.
TEST(forwards, unreachable_peer_makes_only_earlier_sends_unknown)
{
    submit(repeat_kind::once);
    tracker.submit(at(50),
                   {"s", service_kind::keyed, range_id{1}, "id2", repeat_kind::once, at(800)});
    UNSIGNED_LONGS_EQUAL(1, take_log().sends.size());
    tracker.on_unreachable(at(100), first, at(50));
    const auto log = take_log();
    UNSIGNED_LONGS_EQUAL(1, log.ends.size());
    CHECK(log.ends.front().why == reason::connection_lost);
    UNSIGNED_LONGS_EQUAL(1, tracker.pending()); // waits to be sent again
}
