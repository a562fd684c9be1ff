#include "sidecar/explain.h"

#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "sidecar/entry.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr incarnation_id self{1};
constexpr milliseconds default_time{2000};

assignment::node_record node_of(std::uint64_t id, const std::string& service,
                                const std::string& zone)
{
    assignment::node_record node;
    node.node = incarnation_id{id};
    node.host = "h" + std::to_string(id);
    node.address = "n" + std::to_string(id);
    node.zone = zone;
    node.target = {"t" + std::to_string(id), 1, service, 4, assignment::target_phase::ready};
    return node;
}

routing::route route_to(const std::string& service)
{
    routing::route result;
    result.name = service + "-route";
    result.host = "h";
    result.prefix = "/" + service + "/";
    result.destinations = {{service, 1}};
    return result;
}

} // namespace

// The entry of the node `self`, which has no target. Node 2 owns the keys of "keyed"; nodes 3 to 6
// have targets of "pool".
TEST_GROUP(explain)
{
    net::loop loop;
    platform_protocol protocol;
    assignment::member member{{}, {self, "h1", "n1", "z", 0}};
    routing::evacuations evacuations;
    assignment::directory_change view;
    std::vector<incarnation_id> receivers;
    std::unique_ptr<entry> tested_entry;

    void setup() override
    {
        protocol.names.request_id = "x-id";
        protocol.names.deadline = "x-left";
        protocol.names.shard_key = "x-key";
        protocol.names.retry_after = "retry-after";
        entry::hooks hooks;
        hooks.self = [] { return self; };
        hooks.member = [this]() -> const assignment::member& { return member; };
        hooks.evacuations = [this]() -> const routing::evacuations& { return evacuations; };
        hooks.send = [this](const std::string&, incarnation_id to, const wire::body&) {
            receivers.push_back(to);
            return true;
        };
        hooks.run_locally = [this](request_key, const wire::forward&, const gate::completion&) {
            receivers.push_back(self);
        };
        hooks.cancel_locally = [](request_key) { return false; };
        hooks.on_keyed_request = [](const std::string&, std::uint32_t) {};
        hooks.suspect = [](const std::string&, const std::string&) {};
        hooks.log = [](std::string_view, const journal::fields&) {};
        hooks.on_answer_time = [](milliseconds) {};
        entry_settings settings;
        settings.zone = "z";
        settings.regions = routing::zone_regions({{"z", "east"}, {"y", "west"}, {"x", "east"}});
        tested_entry = std::make_unique<entry>(loop, settings, protocol, 7, std::move(hooks));
        view.term = 1;
        view.leader = incarnation_id{3};
        view.nodes = {node_of(2, "keyed", "z"), node_of(3, "pool", "z"), node_of(4, "pool", "y"),
                      node_of(5, "pool", "x"), node_of(6, "pool", "z")};
        view.nodes.back().target.phase = assignment::target_phase::draining;
        view.segments = {
            {"keyed", 0, assignment::key_count - 1, incarnation_id{2}, "t2", fence{9}, "", false}};
        member.on_leader(loop.now(), 1, incarnation_id{3}, "n3");
        apply_view();
    }
    void apply_view()
    {
        ++view.version;
        member.on_directory(loop.now(), view);
        tested_entry->on_directory();
    }
    void set_manifest()
    {
        routing::manifest content;
        content.version = 1;
        content.services = {{"keyed", "/health", 0, true}, {"pool", "/health", 0, false}};
        content.routes = {route_to("keyed"), route_to("pool")};
        content.routes[1].regions = {"east"};
        tested_entry->set_manifest(std::make_shared<routing::route_index>(std::move(content)));
    }
    explanation ask(const std::string& target, const gate_explanation& gate = {})
    {
        return tested_entry->explain(parse_explain_query(target),
                                     [&](const wire::forward&) { return gate; });
    }
    std::string failure_of(const std::string& target)
    {
        try {
            ask(target);
        }
        catch (const explain_failure& failure) {
            return failure.type;
        }
        return "";
    }
    /// Sends a request with key 7 and returns the answer, if there is one at once.
    std::optional<net::http_response> call(const std::string& path)
    {
        auto answer = std::make_shared<std::optional<net::http_response>>();
        net::http_exchange exchange;
        exchange.request = {
            "GET",
            path,
            {{"host", "h"}, {"x-left", std::to_string(default_time.count())}, {"x-key", "7"}},
            ""};
        exchange.respond = [answer](net::http_response response) { *answer = std::move(response); };
        tested_entry->on_request(std::move(exchange));
        return *answer;
    }
};

// Guards against an error that looks like a decision, and against one error for different causes.
TEST(explain, questions_without_a_decision_fail_with_the_cause)
{
    STRCMP_EQUAL("no-manifest", failure_of("/explain?host=h&path=/pool/a").c_str());
    set_manifest();
    STRCMP_EQUAL("no-route", failure_of("/explain?host=h&path=/none/a").c_str());
    STRCMP_EQUAL("key-missing", failure_of("/explain?host=h&path=/keyed/a").c_str());
    for (const auto* key : {"65536", "-1", "x", "7x"}) {
        STRCMP_EQUAL("key-out-of-range",
                     failure_of(std::string("/explain?host=h&path=/keyed/a&key=") + key).c_str());
    }
    for (const auto* query : {"", "?path=a", "?path=/a&depth=1", "?path=/a&body_bytes=-1"}) {
        STRCMP_EQUAL("bad-request", failure_of(std::string("/explain") + query).c_str());
    }
    STRCMP_EQUAL("no-destination",
                 failure_of("/explain?host=h&path=/pool/a&service=keyed").c_str());
}

// Guards against an answer that differs from where the request then goes, and against a question
// that sends something or is counted as a request.
TEST(explain, keyed_request_goes_where_the_answer_says)
{
    set_manifest();
    const std::string question = "/explain?host=h&path=%2Fkeyed%2Fa&key=7&deadline_ms=2000";
    const auto report = ask(question);
    CHECK(report.decision.action == explained_action::send);
    STRCMP_EQUAL("h2", report.decision.node->host.c_str());
    CHECK(report.owner->node->node == incarnation_id{2});
    CHECK(!report.owner->hold_left);
    LONGS_EQUAL(0, receivers.size());
    LONGS_EQUAL(0, tested_entry->counters().requests);
    CHECK(!call("/keyed/a"));
    CHECK(receivers == std::vector{report.decision.node->node});

    view.segments[0].releasing = true;
    apply_view();
    const auto moving = ask(question);
    CHECK(moving.owner->moving);
    CHECK(moving.decision.action == explained_action::wait);
    STRCMP_EQUAL("no-owner", moving.decision.reason.c_str());
    LONGS_EQUAL(default_time.count() / 3, moving.decision.longest_wait.count());
}

// Guards against candidates whose exclusion is not told, and against a refusal that differs from
// the one that a client gets.
TEST(explain, excluded_targets_and_refusals_have_their_reasons)
{
    set_manifest();
    evacuations.on_feed(loop.now(), loop.now(), {5, {{"x", 5, true}}, true});
    const auto report = ask("/explain?host=h&path=/pool/a");
    std::vector<std::string> excluded;
    for (const auto& candidate : report.candidates) {
        excluded.push_back(candidate.excluded);
        CHECK(candidate.excluded.empty() == candidate.figures.has_value());
    }
    CHECK((excluded ==
           std::vector<std::string>{"", "no-target-in-region", "zone-evacuated", "not-ready"}));
    CHECK(report.decision.node->node == incarnation_id{3});

    evacuations.on_feed(loop.now(), loop.now(), {6, {{"z", 6, true}}, true});
    const auto refused = ask("/explain?host=h&path=/pool/a").decision;
    CHECK(refused.action == explained_action::refuse);
    STRCMP_EQUAL("zone-evacuated", refused.reason.c_str());
    const auto answer = call("/pool/a");
    LONGS_EQUAL(refused.status, answer->status);
    STRCMP_EQUAL((refused.cause + "\n").c_str(), answer->body.c_str());
    const double told = std::stod(std::string(*net::find_header(answer->headers, "retry-after")));
    const auto base = static_cast<double>(refused.retry_after.count()) / 1000;
    CHECK(told >= base && told <= base * 1.5);
}

// Guards against a refusal by the queue of this host's target that the answer does not tell.
TEST(explain, refusal_by_the_own_queue_is_the_decision_for_a_key)
{
    set_manifest();
    view.nodes.push_back(node_of(1, "keyed", "z"));
    view.segments[0].owner = self;
    apply_view();
    gate_explanation gate;
    gate.result = gate_explanation::verdict::refuse;
    gate.why = request::reason::overloaded;
    gate.retry_after = milliseconds{320};
    const auto decision = ask("/explain?host=h&path=/keyed/a&key=7", gate).decision;
    CHECK(decision.action == explained_action::refuse);
    STRCMP_EQUAL("overloaded", decision.reason.c_str());
    LONGS_EQUAL(320, decision.retry_after.count());
    const auto large = ask("/explain?host=h&path=/keyed/a&key=7&body_bytes=4000000").decision;
    LONGS_EQUAL(413, large.status);
}

// Guards against an old view that passes for a fresh one, and against an answer whose size grows
// with the deployment without a bound.
TEST(explain, old_views_are_marked_and_long_lists_are_cut)
{
    set_manifest();
    CHECK(!ask("/explain?host=h&path=/pool/a").is_stale());
    for (std::uint64_t id = 100; id < 500; ++id) {
        view.nodes.push_back(node_of(id, "pool", "z"));
    }
    apply_view();
    const auto report = ask("/explain?host=h&path=/pool/a");
    LONGS_EQUAL(max_listed_candidates, report.candidates.size());
    LONGS_EQUAL(404 - max_listed_candidates, report.candidates_left_out);

    assignment::member silent{{}, {self, "h1", "n1", "z", 0}};
    silent.on_leader(loop.now() - max_view_age - milliseconds{1}, 1, incarnation_id{3}, "n3");
    member = silent;
    CHECK(to_json(ask("/explain?host=h&path=/pool/a"))["view"]["stale"]);
}
