#include "sidecar/entry.h"

#include <functional>
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
constexpr incarnation_id peer{2};
constexpr incarnation_id other{3};

platform_protocol protocol_for_tests()
{
    platform_protocol result;
    result.names.request_id = "x-id";
    result.names.deadline = "x-left";
    result.names.shard_key = "x-key";
    result.names.retry_after = "retry-after";
    return result;
}

routing::route route_to(const std::string& service, bool idempotent)
{
    routing::route result;
    result.name = service + (idempotent ? "-read" : "-write");
    result.host = "h";
    result.prefix = "/" + result.name + "/";
    result.idempotent = idempotent;
    result.attempts = 3;
    result.destinations = {{service, 1}};
    return result;
}

assignment::node_record node_of(incarnation_id id, const std::string& service)
{
    assignment::node_record node;
    node.node = id;
    node.address = "n" + std::to_string(id.value);
    node.zone = "z";
    node.target = {"t" + std::to_string(id.value), 1, service, 4, assignment::target_phase::ready};
    return node;
}

/// A client's request; `answer` is empty until it is answered.
struct client {
    std::optional<net::http_response> answer;
    int order = 0; ///< 1 for the first request that was answered
    std::shared_ptr<std::function<void()>> on_cancel = std::make_shared<std::function<void()>>();
};

} // namespace

// The entry of the node `self`. `sent` holds its messages to other nodes with their receivers.
// `peer` owns all keys of service "keyed"; `other` has the target of service "pool".
TEST_GROUP(entry)
{
    net::loop loop;
    platform_protocol protocol = protocol_for_tests();
    assignment::member member{{}, {self, "h1", "n1", "z", 0}};
    routing::evacuations evacuations;
    assignment::directory_change view;
    std::vector<std::pair<incarnation_id, wire::body>> sent;
    std::vector<std::string> suspected;
    std::vector<std::string> events;
    std::unique_ptr<entry> tested_entry;
    int answers = 0;
    bool cancels_locally = false; ///< a request to the own target has not run when it is cancelled

    void setup() override
    {
        entry::hooks hooks;
        hooks.self = [] { return self; };
        hooks.member = [this]() -> const assignment::member& { return member; };
        hooks.evacuations = [this]() -> const routing::evacuations& { return evacuations; };
        hooks.send = [this](const std::string&, incarnation_id to, const wire::body& content) {
            sent.emplace_back(to, content);
            return true;
        };
        hooks.run_locally = [](request_key, const wire::forward&, const gate::completion&) {};
        hooks.cancel_locally = [this](request_key) { return cancels_locally; };
        hooks.on_keyed_request = [](const std::string&, std::uint32_t) {};
        hooks.suspect = [this](const std::string& address, const std::string&) {
            suspected.push_back(address);
        };
        hooks.log = [this](std::string_view event, const journal::fields&) {
            events.emplace_back(event);
        };
        hooks.on_answer_time = [](milliseconds) {};
        entry_settings settings;
        settings.zone = "z";
        settings.retries.slack = 1000;
        settings.retries.ratio = 1;
        settings.link_mbps = 1000;
        settings.regions = routing::zone_regions({{"z", "east"}, {"y", "west"}});
        tested_entry = std::make_unique<entry>(loop, settings, protocol, 7, std::move(hooks));
        std::vector<routing::route> routes;
        for (const auto* service : {"keyed", "pool"}) {
            routes.push_back(route_to(service, true));
            routes.push_back(route_to(service, false));
        }
        set_manifest(std::move(routes));
        view.term = 1;
        view.version = 1;
        view.leader = other;
        view.nodes = {node_of(peer, "keyed"), node_of(other, "pool")};
        view.segments = {{"keyed", 0, assignment::key_count - 1, peer, "t2", fence{9}, "", false}};
        member.on_leader(loop.now(), 1, other, "n3");
        member.on_directory(loop.now(), view);
        tested_entry->on_directory();
    }
    void teardown() override
    {
        tested_entry.reset();
    }

    void set_manifest(std::vector<routing::route> routes)
    {
        routing::manifest content;
        content.version = 1;
        content.services = {{"keyed", "/health", 0, true}, {"pool", "/health", 0, false}};
        content.routes = std::move(routes);
        tested_entry->set_manifest(std::make_shared<routing::route_index>(std::move(content)));
    }
    void change_directory(const std::function<void()>& change)
    {
        ++view.version;
        change();
        member.on_directory(loop.now(), view);
        tested_entry->on_directory();
    }
    void add_node(incarnation_id id, const std::string& service, const std::string& zone)
    {
        change_directory([&] {
            view.nodes.push_back(node_of(id, service));
            view.nodes.back().zone = zone;
        });
    }
    /// Moves all keys of service "keyed".
    void move_keys(incarnation_id owner, const std::string& target)
    {
        change_directory([&] {
            view.segments[0].owner = owner;
            view.segments[0].target = target;
        });
    }
    incarnation_id last_receiver() const
    {
        for (auto at = sent.rbegin(); at != sent.rend(); ++at) {
            if (std::holds_alternative<wire::forward>(at->second)) {
                return at->first;
            }
        }
        return {};
    }

    std::shared_ptr<client> call(const std::string& path, milliseconds left,
                                 const std::string& id = "r-1", const std::string& body = "")
    {
        auto result = std::make_shared<client>();
        net::http_exchange exchange;
        exchange.request = {
            "GET",
            path,
            {{"host", "h"}, {"x-id", id}, {"x-left", std::to_string(left.count())}, {"x-key", "7"}},
            body};
        exchange.respond = [this, result](net::http_response response) {
            result->answer = std::move(response);
            result->order = ++answers;
        };
        exchange.on_cancel = result->on_cancel;
        tested_entry->on_request(std::move(exchange));
        return result;
    }
    /// Calls a route of service "keyed" with this timeout, whose time limit is over on return.
    std::shared_ptr<client> call_and_time_out(milliseconds timeout, milliseconds left)
    {
        auto rule = route_to("keyed", false);
        rule.timeout = timeout;
        set_manifest({rule});
        auto result = call("/keyed-write/a", left);
        const auto timed_out = tested_entry->counters().timed_out;
        CHECK(loop.run_until([&] { return tested_entry->counters().timed_out > timed_out; },
                             milliseconds{5000}));
        return result;
    }
    /// The reply of the target's host to a cancellation. It knows the number only.
    void confirm_cancellation(incarnation_id from, std::uint64_t number)
    {
        wire::forward_reply confirmation;
        confirmation.number = number;
        confirmation.outcome = wire::forward_outcome::not_run;
        confirmation.reason = request::to_text(request::reason::cancelled_not_sent);
        tested_entry->on_reply(from, confirmation);
    }
    const wire::forward& last_forward() const
    {
        for (auto at = sent.rbegin(); at != sent.rend(); ++at) {
            if (const auto* found = std::get_if<wire::forward>(&at->second)) {
                return *found;
            }
        }
        FAIL("nothing was forwarded");
        return std::get<wire::forward>(sent.at(0).second);
    }
    std::size_t forwards() const
    {
        std::size_t count = 0;
        for (const auto& [to, content] : sent) {
            count += std::holds_alternative<wire::forward>(content) ? 1 : 0;
        }
        return count;
    }
    /// The parts that were sent of the body of a message.
    std::string parts_of(const wire::forward& message) const
    {
        std::string result;
        for (const auto& [to, content] : sent) {
            const auto* part = std::get_if<wire::forward_part>(&content);
            result += part != nullptr && part->number == message.number ? part->bytes : "";
        }
        return result;
    }
    void credit(incarnation_id from, const wire::forward& to, std::uint64_t bytes)
    {
        tested_entry->on_credit(from, {to.number, bytes});
    }
    void reply(incarnation_id from, const wire::forward& to, int status)
    {
        wire::forward_reply answer;
        answer.number = to.number;
        answer.request_id = to.request_id;
        answer.outcome = wire::forward_outcome::answered;
        answer.status = status;
        tested_entry->on_reply(from, answer);
    }
};

// Guards against requests that are taken late in a planned stop, run at another host, and are cut
// off without an answer when this process exits.
TEST(entry, stopping_node_refuses_what_would_be_answered_after_its_exit)
{
    const auto answer_last = [this](incarnation_id from) {
        wire::forward_reply reply;
        reply.number = last_forward().number;
        reply.request_id = last_forward().request_id;
        reply.outcome = wire::forward_outcome::answered;
        reply.status = 200;
        tested_entry->on_reply(from, reply);
    };
    const auto timed = call("/pool-write/a", milliseconds{5000}, "r-1");
    loop.run_until([] { return false; }, milliseconds{100});
    answer_last(other);
    LONGS_EQUAL(200, timed->answer->status);
    call("/keyed-write/a", milliseconds{5000}, "r-fast");
    answer_last(peer);
    LONGS_EQUAL(2, forwards());
    tested_entry->stop_at(loop.now() + milliseconds{150});
    const auto late = call("/pool-write/a", milliseconds{5000}, "r-2");
    CHECK(late->answer.has_value());
    LONGS_EQUAL(503, late->answer->status);
    CHECK(net::find_header(late->answer->headers, "retry-after").has_value());
    LONGS_EQUAL(2, forwards());
    // A route that is answered faster, or a later end of the process.
    call("/keyed-write/a", milliseconds{5000}, "r-3");
    LONGS_EQUAL(3, forwards());
    tested_entry->stop_at(loop.now() + milliseconds{3000});
    call("/pool-write/a", milliseconds{5000}, "r-4");
    LONGS_EQUAL(4, forwards());
}

// Guards against a time budget that overflows, or that other nodes refuse in a message.
TEST(entry, very_long_time_budgets_are_bounded)
{
    for (const auto left : {milliseconds{100'000'000}, milliseconds::max()}) {
        const auto result = call("/keyed-write/a", left, "r-" + std::to_string(left.count()));
        CHECK_FALSE(result->answer.has_value());
        CHECK(last_forward().deadline <= wire::max_duration);
        CHECK(last_forward().deadline > std::chrono::hours{23});
    }
}

// Guards against an answer with a status that HTTP does not have, from a node with another version,
// which a client got under another status.
TEST(entry, reply_with_an_invalid_status_is_no_answer)
{
    for (const int status : {0, 100, 199, 600, 999}) {
        const auto id = "r-" + std::to_string(status);
        const auto result = call("/keyed-write/a", milliseconds{1000}, id);
        wire::forward_reply reply;
        reply.number = last_forward().number;
        reply.request_id = id;
        reply.outcome = wire::forward_outcome::answered;
        reply.status = status;
        reply.headers = {{"x-seal", "s"}};
        tested_entry->on_reply(peer, reply);
        CHECK(result->answer.has_value());
        LONGS_EQUAL(502, result->answer->status);
        CHECK_FALSE(net::find_header(result->answer->headers, "x-seal").has_value());
    }
}

// Guards against failing a request when only the connection to the target's node is reset. The
// request runs at a healthy target, and its answer still arrives over the peer's connection.
TEST(entry, running_request_survives_a_reset_of_its_connection)
{
    const auto caller = call("/keyed-write/a", milliseconds{2000});
    tested_entry->on_connection_reset("n2");
    CHECK_FALSE(caller->answer.has_value());
    LONGS_EQUAL(1, forwards()); // it may have run, so it is not retried
    reply(peer, last_forward(), 200);
    CHECK(caller->answer.has_value());
    LONGS_EQUAL(200, caller->answer->status);
}

// Guards against an idempotent request that is lost with a broken connection and not retried.
TEST(entry, idempotent_request_is_retried_over_the_new_connection)
{
    const auto caller = call("/keyed-read/a", milliseconds{2000});
    const auto first = last_forward();
    tested_entry->on_connection_reset("n2");
    LONGS_EQUAL(2, forwards());
    reply(peer, first, 500); // to the first attempt, whose reply is no longer expected
    CHECK_FALSE(caller->answer.has_value());
    reply(peer, last_forward(), 200);
    LONGS_EQUAL(200, caller->answer->status);
}

// Guards against a reset of the connection to a healthy node whose target hangs. The connection
// must be probed first.
TEST(entry, peer_whose_requests_time_out_is_probed_first)
{
    std::vector<std::shared_ptr<client>> callers;
    for (int i = 0; i < 2; ++i) {
        callers.push_back(call("/keyed-write/a", milliseconds{20}, "r-" + std::to_string(i)));
    }
    CHECK(loop.run_until([&] { return callers[1]->answer.has_value(); }, milliseconds{1000}));
    LONGS_EQUAL(504, callers[0]->answer->status); // it may have run
    LONGS_EQUAL(1, suspected.size());
    STRCMP_EQUAL("n2", suspected[0].c_str());
}

// Guards against two faults after a connection breaks: a request gets no answer, or a request that
// may have run is reported as not run.
TEST(entry, outcomes_on_a_broken_connection_are_reported_correctly)
{
    const auto sent_before = call("/keyed-write/a", milliseconds{2000}, "r-1");
    tested_entry->on_disconnect("n2", std::nullopt);
    LONGS_EQUAL(502, sent_before->answer->status);
    const auto never_sent = call("/keyed-write/a", milliseconds{2000}, "r-2");
    const auto unsent_since = loop.now() - milliseconds{1};
    tested_entry->on_disconnect("n2", unsent_since);
    // The request waits, since its owner may be reachable over the next connection.
    CHECK_FALSE(never_sent->answer.has_value());
    tested_entry->on_tick();
    reply(peer, last_forward(), 200);
    LONGS_EQUAL(200, never_sent->answer->status);
}

// Guards against a large body that is sent in one frame or not in full, and against a request that
// is given up, or reported as possibly run, although its connection broke before the whole body was
// sent.
TEST(entry, request_with_unsent_parts_is_sent_again)
{
    const std::string body(16 * body_part_bytes, 'b');
    const auto caller = call("/keyed-write/a", milliseconds{2000}, "r-1", body);
    const auto first = last_forward();
    LONGS_EQUAL(body.size(), first.body_bytes);
    LONGS_EQUAL(0, first.body.size());
    tested_entry->on_drained("n2");
    LONGS_EQUAL(0, parts_of(first).size());
    credit(other, first, body.size());
    LONGS_EQUAL(0, parts_of(first).size());
    credit(peer, first, body.size());
    tested_entry->on_drained("n2");
    CHECK(parts_of(first).size() > 0 && parts_of(first).size() < body.size());
    tested_entry->on_disconnect("n2", std::nullopt);
    CHECK_FALSE(caller->answer.has_value());
    tested_entry->on_tick();
    LONGS_EQUAL(2, forwards());
    credit(peer, last_forward(), body.size());
    for (std::size_t i = 0; i < body.size() / body_part_bytes; ++i) {
        tested_entry->on_drained("n2");
    }
    CHECK(parts_of(last_forward()) == body);
    CHECK(parts_of(first).size() < body.size());
    tested_entry->on_disconnect("n2", std::nullopt);
    LONGS_EQUAL(502,
                caller->answer->status); // the whole body was sent, so the request may have run
}

// Guards against a request that is reported as possibly run although its time was over before its
// whole body was sent, and against a peer that is not told to drop the body.
TEST(entry, deadline_before_the_last_part_is_a_refusal)
{
    const auto caller =
        call("/keyed-write/a", milliseconds{20}, "r-1", std::string(16 * body_part_bytes, 'b'));
    CHECK(loop.run_until([&] { return caller->answer.has_value(); }, milliseconds{1000}));
    LONGS_EQUAL(503, caller->answer->status);
    CHECK(std::holds_alternative<wire::cancel>(sent.back().second));
}

// Guards against uploads of common sizes that fill the link of a target's host without its credit,
// and against small requests that wait for a credit.
TEST(entry, bodies_above_8_kib_wait_for_a_credit)
{
    const auto small = call("/keyed-write/a", milliseconds{2000}, "r-1", std::string(8192, 'b'));
    LONGS_EQUAL(8192, last_forward().body.size());
    LONGS_EQUAL(0, last_forward().body_bytes);
    reply(peer, last_forward(), 200);
    const auto large = call("/keyed-write/a", milliseconds{2000}, "r-2", std::string(8193, 'b'));
    LONGS_EQUAL(8193, last_forward().body_bytes);
    LONGS_EQUAL(0, parts_of(last_forward()).size());
    // The connection breaks before the credit: the request has not run.
    tested_entry->on_disconnect("n2", std::nullopt);
    CHECK_FALSE(large->answer.has_value());
    tested_entry->on_tick();
    credit(peer, last_forward(), 8193);
    LONGS_EQUAL(8193, parts_of(last_forward()).size());
    reply(peer, last_forward(), 200);
    LONGS_EQUAL(200, large->answer->status);
}

// Guards against a caller that gets the answer to another request or from another node.
TEST(entry, reply_that_matches_no_request_is_dropped)
{
    const auto caller = call("/keyed-write/a", milliseconds{2000});
    auto wrong = last_forward();
    reply(other, wrong, 200);
    wrong.request_id = "r-2";
    reply(peer, wrong, 200);
    wrong = last_forward();
    wrong.number += 1;
    reply(peer, wrong, 200);
    CHECK_FALSE(caller->answer.has_value());
    LONGS_EQUAL(3, tested_entry->counters().foreign_replies);
    reply(peer, last_forward(), 200);
    reply(peer, last_forward(), 500); // a second reply to the same message
    LONGS_EQUAL(200, caller->answer->status);
}

// Guards against requests that wait until their deadline for a target that no evacuation or region
// allows, and against requests that are sent to such a target.
TEST(entry, unkeyed_request_without_an_allowed_target_is_refused_at_once)
{
    evacuations.on_feed(loop.now(), loop.now(), {5, {{"z", 5, true}}, true});
    const auto evacuated = call("/pool-write/a", milliseconds{2000});
    LONGS_EQUAL(503, evacuated->answer->status);
    CHECK(net::find_header(evacuated->answer->headers, "retry-after").has_value());
    LONGS_EQUAL(1, tested_entry->counters().refused_evacuated);
    LONGS_EQUAL(0, forwards());
    evacuations.on_feed(loop.now(), loop.now(), {6, {{"z", 6, false}}, true});
    const auto revoked = call("/pool-write/a", milliseconds{2000}, "r-2");
    LONGS_EQUAL(1, forwards());
}

// Guards against a keyed request that fails although its key is about to leave the zone, and
// against one that waits although no other target can own its key.
TEST(entry, keyed_request_follows_its_key_out_of_an_evacuated_zone)
{
    evacuations.on_feed(loop.now(), loop.now(), {5, {{"z", 5, true}}, true});
    const auto refuse_last = [&] {
        wire::forward_reply refusal;
        refusal.number = last_forward().number;
        refusal.request_id = last_forward().request_id;
        refusal.outcome = wire::forward_outcome::not_run;
        refusal.reason = request::to_text(request::reason::zone_evacuated);
        tested_entry->on_reply(peer, refusal);
    };
    const auto stranded = call("/keyed-write/a", milliseconds{2000}, "r-1");
    LONGS_EQUAL(1, forwards()); // the owner serves its keys until the grace is over
    refuse_last();
    LONGS_EQUAL(503, stranded->answer->status);
    add_node(incarnation_id{4}, "keyed", "y");
    const auto caller = call("/keyed-write/a", milliseconds{2000}, "r-2");
    refuse_last();
    CHECK_FALSE(caller->answer.has_value());
    move_keys(incarnation_id{4}, "t4");
    LONGS_EQUAL(4, last_receiver().value);
    auto answer = last_forward();
    reply(incarnation_id{4}, answer, 200);
    LONGS_EQUAL(200, caller->answer->status);
}

// Guards against a keyed request that is held until its deadline, or refused without a time to come
// back, when its key does not leave the evacuated zone.
TEST(entry, keyed_request_that_waited_for_its_key_in_vain_is_refused)
{
    evacuations.on_feed(loop.now(), loop.now() - milliseconds{2500}, {5, {{"z", 5, true}}, true});
    add_node(incarnation_id{4}, "keyed", "y");
    const auto caller = call("/keyed-write/a", milliseconds{300});
    loop.run_until([] { return false; }, milliseconds{101}); // a third of its time
    tested_entry->on_tick();
    LONGS_EQUAL(503, caller->answer->status);
    CHECK(net::find_header(caller->answer->headers, "retry-after").has_value());
    LONGS_EQUAL(1, tested_entry->counters().refused_evacuated);
}

// Guards against requests that are sent to the owner of a key after the grace, from a node that
// knows of the order.
TEST(entry, owner_in_a_closed_zone_gets_no_requests)
{
    evacuations.on_feed(loop.now(), loop.now() - milliseconds{2500}, {5, {{"z", 5, true}}, true});
    const auto stranded = call("/keyed-write/a", milliseconds{2000}, "r-1");
    LONGS_EQUAL(503, stranded->answer->status);
    add_node(incarnation_id{4}, "keyed", "y");
    const auto caller = call("/keyed-write/a", milliseconds{2000}, "r-2");
    LONGS_EQUAL(0, forwards());
    CHECK_FALSE(caller->answer.has_value());
}

// Guards against data that leaves the regions of its route, and against a destination that is
// chosen although it has no target there. Zone "z" is in region "east", zone "y" in region "west".
TEST(entry, requests_stay_in_the_regions_of_their_route)
{
    add_node(incarnation_id{4}, "far", "y");
    const auto get = [&](const std::vector<std::string>& regions,
                         const std::vector<routing::destination>& destinations) {
        auto rule = route_to("pool", false);
        rule.regions = regions;
        rule.destinations = destinations;
        set_manifest({rule});
        return call("/pool-write/a", milliseconds{2000}, "r-" + std::to_string(sent.size()));
    };
    for (int i = 0; i < 20; ++i) {
        get({"west"}, {{"pool", 9}, {"far", 1}});
        LONGS_EQUAL(4, last_receiver().value);
        get({"east", "north"}, {{"pool", 1}, {"far", 9}});
        LONGS_EQUAL(other.value, last_receiver().value);
    }
    const auto sent_before = forwards();
    const auto refused = get({"west"}, {{"pool", 1}});
    LONGS_EQUAL(503, refused->answer->status);
    // The owner of the key is in the other region.
    const auto keyed = get({"west"}, {{"keyed", 1}});
    LONGS_EQUAL(503, keyed->answer->status);
    LONGS_EQUAL(2, tested_entry->counters().refused_by_region);
    LONGS_EQUAL(sent_before, forwards());
    get({}, {{"far", 1}});
    LONGS_EQUAL(4, last_receiver().value);
}

// Guards against an evacuation that moves the share of one destination to another.
TEST(entry, weights_of_destinations_hold_during_an_evacuation)
{
    add_node(incarnation_id{4}, "far", "y");
    evacuations.on_feed(loop.now(), loop.now(), {5, {{"y", 5, true}}, true});
    auto rule = route_to("pool", false);
    rule.destinations = {{"pool", 1}, {"far", 9}};
    set_manifest({rule});
    for (int i = 0; i < 20; ++i) {
        call("/pool-write/a", milliseconds{2000}, "r-" + std::to_string(i));
    }
    CHECK(tested_entry->counters().refused_evacuated > 0);
    LONGS_EQUAL(20, tested_entry->counters().refused_evacuated + forwards());
}

// Guards against counters that call a request refused although its client was told that the outcome
// is unknown, or that leave such a request out.
TEST(entry, counters_tell_unknown_outcomes_from_refusals)
{
    const auto timed_out = call("/keyed-write/a", milliseconds{20}, "r-1");
    CHECK(loop.run_until([&] { return timed_out->answer.has_value(); }, milliseconds{1000}));
    LONGS_EQUAL(504, timed_out->answer->status);
    LONGS_EQUAL(1, tested_entry->counters().unknown);
    const auto retried = call("/keyed-read/a", milliseconds{2000}, "r-2");
    tested_entry->on_connection_reset("n2");
    wire::forward_reply refusal;
    refusal.number = last_forward().number;
    refusal.request_id = "r-2";
    refusal.outcome = wire::forward_outcome::not_run;
    refusal.reason = request::to_text(request::reason::overloaded);
    tested_entry->on_reply(peer, refusal);
    LONGS_EQUAL(502, retried->answer->status); // the first attempt may have run
    LONGS_EQUAL(2, tested_entry->counters().unknown);
    LONGS_EQUAL(0, tested_entry->counters().refused);
}

// Guards against a request that is refused, or costs a retry, because one of several targets warms
// up, and against a refusal by all of them that does not tell when a start is allowed.
TEST(entry, warm_up_refusal_leads_to_another_target_without_a_retry)
{
    constexpr incarnation_id third{4};
    dispatch::allowance_settings no_retries;
    tested_entry->set_retry_limits(no_retries);
    assignment::directory_change view;
    view.term = 1;
    view.base = 1;
    view.version = 2;
    view.leader = other;
    view.nodes = {node_of(third, "pool")};
    member.on_directory(loop.now(), view);
    const auto refuse_last = [&](milliseconds retry_after) {
        wire::forward_reply refusal;
        refusal.number = last_forward().number;
        refusal.request_id = "r-1";
        refusal.outcome = wire::forward_outcome::not_run;
        refusal.reason = request::to_text(request::reason::warming_up);
        refusal.retry_after = retry_after;
        tested_entry->on_reply(sent.back().first, refusal);
    };
    const auto caller = call("/pool-write/a", milliseconds{2000});
    const auto first = sent.back().first;
    CHECK(last_forward().has_alternative);
    refuse_last(milliseconds{800});
    LONGS_EQUAL(2, forwards());
    CHECK(sent.back().first != first);
    CHECK_FALSE(last_forward().has_alternative);
    refuse_last(milliseconds{600});
    CHECK(caller->answer.has_value());
    LONGS_EQUAL(503, caller->answer->status);
    const auto told = net::find_header(caller->answer->headers, "retry-after");
    CHECK(told.has_value());
    CHECK(std::stod(std::string(*told)) >= 0.6);
    LONGS_EQUAL(2, tested_entry->counters().warm_up_refusals);
    LONGS_EQUAL(0, tested_entry->counters().retries);
}

// Guards against a client that cannot repeat an unsafe request although it has not run: the timeout
// of its route is over while it waits in the queue of the target's host.
TEST(entry, request_cancelled_before_it_was_sent_to_the_target_is_refused)
{
    const auto caller = call_and_time_out(milliseconds{20}, milliseconds{60000});
    CHECK(std::holds_alternative<wire::cancel>(sent.back().second));
    CHECK_FALSE(caller->answer.has_value());
    const auto number = last_forward().number;
    confirm_cancellation(other, number); // not from the receiver of the request
    confirm_cancellation(peer, number + 1);
    CHECK_FALSE(caller->answer.has_value());
    confirm_cancellation(peer, number);
    LONGS_EQUAL(503, caller->answer->status);
    CHECK(net::find_header(caller->answer->headers, "retry-after").has_value());
    confirm_cancellation(peer, number); // arrives twice
    LONGS_EQUAL(1, answers);
    LONGS_EQUAL(1, tested_entry->counters().cancelled_not_run);
    LONGS_EQUAL(0, tested_entry->counters().foreign_replies);
    LONGS_EQUAL(1, forwards());
}

// Guards against a response that is lost because it crosses the cancellation of its request, and
// against a refusal of a request that has run.
TEST(entry, response_that_crosses_its_cancellation_is_delivered)
{
    const auto caller = call_and_time_out(milliseconds{20}, milliseconds{60000});
    reply(peer, last_forward(), 200);
    LONGS_EQUAL(200, caller->answer->status);
    confirm_cancellation(peer, last_forward().number);
    LONGS_EQUAL(1, answers);
}

// Guards against a client that waits for a reply to the cancellation after its own deadline, or for
// ever if the reply is lost, and against a late reply that changes the outcome.
TEST(entry, wait_for_the_reply_to_a_cancellation_ends)
{
    const auto patient = call_and_time_out(milliseconds{20}, milliseconds{60000});
    const auto patient_number = last_forward().number;
    const auto hasty = call("/keyed-write/a", milliseconds{40}, "r-2");
    CHECK(loop.run_until([&] { return answers == 2; }, milliseconds{5000}));
    LONGS_EQUAL(504, patient->answer->status);
    LONGS_EQUAL(504, hasty->answer->status);
    LONGS_EQUAL(1, hasty->order);
    confirm_cancellation(peer, patient_number);
    LONGS_EQUAL(2, answers);
    LONGS_EQUAL(0, tested_entry->pending());
}

// Guards against a wait for a reply that cannot tell the outcome: an earlier attempt may have run.
TEST(entry, repeated_request_does_not_await_the_reply_to_its_cancellation)
{
    auto rule = route_to("keyed", true);
    rule.timeout = milliseconds{200};
    set_manifest({rule});
    const auto caller = call("/keyed-read/a", milliseconds{60000});
    tested_entry->on_connection_reset("n2");
    LONGS_EQUAL(2, forwards());
    CHECK(
        loop.run_until([&] { return tested_entry->counters().timed_out > 0; }, milliseconds{5000}));
    LONGS_EQUAL(504, caller->answer->status);
}

// Guards against a client that leaves, a connection that breaks or a node that stops while the
// reply to a cancellation is awaited.
TEST(entry, end_of_a_request_whose_cancellation_is_not_confirmed)
{
    const auto gone = call_and_time_out(milliseconds{20}, milliseconds{60000});
    (*gone->on_cancel)();
    LONGS_EQUAL(0, tested_entry->pending());
    confirm_cancellation(peer, last_forward().number);
    const auto disconnected = call_and_time_out(milliseconds{20}, milliseconds{60000});
    tested_entry->on_disconnect("n2", std::nullopt);
    LONGS_EQUAL(504, disconnected->answer->status);
    const auto unsent = call_and_time_out(milliseconds{20}, milliseconds{60000});
    tested_entry->on_disconnect("n2", loop.now() - milliseconds{60000});
    LONGS_EQUAL(503, unsent->answer->status);
    const auto stopped = call_and_time_out(milliseconds{20}, milliseconds{60000});
    tested_entry->answer_all_pending();
    LONGS_EQUAL(502, stopped->answer->status);
    LONGS_EQUAL(3, answers);
}

// Guards against the same for a request to the target of this host, which needs no message.
TEST(entry, local_request_cancelled_before_it_was_sent_to_the_target_is_refused)
{
    change_directory([&] { view.nodes.push_back(node_of(self, "keyed")); });
    move_keys(self, "t1");
    cancels_locally = true;
    LONGS_EQUAL(503, call_and_time_out(milliseconds{20}, milliseconds{60000})->answer->status);
    cancels_locally = false;
    LONGS_EQUAL(504, call_and_time_out(milliseconds{20}, milliseconds{60000})->answer->status);
    LONGS_EQUAL(0, forwards());
}

// Guards against a request that waits for longer than the timeout of its route because its client
// allows it: for an owner of its key, for a target of its service, or to send its body.
TEST(entry, timeout_of_the_route_bounds_each_wait)
{
    const auto answer_of = [&](const char* service, const std::string& body) {
        auto rule = route_to(service, false);
        rule.timeout = milliseconds{60};
        set_manifest({rule});
        const auto caller = call("/" + rule.name + "/a", milliseconds{60000}, "r-1", body);
        const auto tick = [&] {
            tested_entry->on_tick();
            return caller->answer.has_value();
        };
        CHECK(loop.run_until(tick, milliseconds{5000}));
        LONGS_EQUAL(503, caller->answer->status);
    };
    answer_of("keyed", std::string(16 * body_part_bytes, 'b')); // its connection takes no more
    LONGS_EQUAL(1, forwards());
    move_keys({}, "");
    answer_of("keyed", "");
    answer_of("nowhere", "");
    LONGS_EQUAL(1, forwards());
    LONGS_EQUAL(0, tested_entry->pending());
}
