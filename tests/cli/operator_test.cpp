#include "cli/command_line.h"
#include "net/loop.h"
#include "node/operator_api.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using nlohmann::json;

namespace {

/// Serves the operator interface on a free port of the loopback address, in its own thread. The
/// hooks run on that thread and must be set before the first command.
class operator_server {
public:
    node::operator_hooks hooks;
    /// Called for each request; if it returns true, the request gets no answer.
    std::function<bool(const net::http_request&)> should_drop;

    operator_server() : thread_([this] { serve(); }) { address_ = started_.get_future().get(); }
    ~operator_server()
    {
        stop_ = true;
        thread_.join();
    }
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    [[nodiscard]] const std::string& address() const { return address_; }

private:
    void serve()
    {
        net::loop loop;
        net::http_server server(loop, {"127.0.0.1", 0}, [this](const net::http_exchange& exchange) {
            if (should_drop && should_drop(exchange.request)) {
                return;
            }
            node::handle_operator_request(exchange.request, hooks, exchange.respond);
        });
        started_.set_value(net::to_string(server.address()));
        loop.every(milliseconds{5}, [this, &loop] {
            if (stop_) {
                loop.stop();
            }
        });
        loop.run();
    }

    std::atomic<bool> stop_{false};
    std::promise<std::string> started_;
    std::string address_;
    std::thread thread_;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

rules::version_record make_version_record(std::uint64_t version, const std::string& who)
{
    rules::version_record record;
    record.version = version;
    record.who = who;
    record.when = "2026-03-01T18:00:00Z";
    return record;
}

node::host_info make_host(std::uint64_t incarnation, const std::string& name,
                          const std::string& state)
{
    node::host_info info;
    info.incarnation = incarnation_id{incarnation};
    info.host = name;
    info.state = state;
    return info;
}

} // namespace

TEST_GROUP(cli_operator)
{
    operator_server server;
    std::ostringstream out;
    std::ostringstream err;
    std::string rules_file = "/tmp/bulrushgw_cli_rules_" + std::to_string(getpid());

    void setup() override
    {
        std::ofstream(rules_file) << "service results-desk balanced # Amina Otieno: results\n";
    }
    void teardown() override
    {
        std::remove(rules_file.c_str());
    }

    int call(std::vector<std::string> arguments)
    {
        out.str("");
        err.str("");
        arguments.push_back("--node=" + server.address());
        return cli::run(arguments, out, err, {});
    }

    int submit(std::vector<std::string> additional_flags = {})
    {
        std::vector<std::string> arguments{"rules", "submit", rules_file, "--base=3",
                                           "--operator=amina"};
        arguments.insert(arguments.end(), additional_flags.begin(), additional_flags.end());
        return call(arguments);
    }

    void set_submission_result(const rules::submission_result& result)
    {
        server.hooks.submit = [result](const rules::submission&, const auto& done) {
            done(result);
        };
    }
};

// Guards against a submission that is accepted twice or not sent again when the answer of the node
// is lost.
TEST(cli_operator, submission_is_sent_again_with_the_same_id)
{
    std::vector<std::string> ids;
    server.should_drop = [&](const net::http_request& request) {
        ids.push_back(json::parse(request.body)["submission_id"]);
        return ids.size() == 1;
    };
    rules::submission_result result;
    result.status = rules::submission_status::repeated;
    result.record = make_version_record(4, "amina");
    set_submission_result(result);
    LONGS_EQUAL(0, submit({"--timeout-ms=300"}));
    LONGS_EQUAL(2, ids.size());
    STRCMP_EQUAL(ids[0].c_str(), ids[1].c_str());
    CHECK(contains(out.str(), "version 4 by amina"));
    CHECK(contains(out.str(), "earlier attempt"));
    CHECK(contains(err.str(), "submission id " + ids[0]));
}

// Guards against reporting an unknown outcome as a refusal.
TEST(cli_operator, unknown_outcome_is_reported_with_the_submission_id)
{
    rules::submission_result result;
    result.status = rules::submission_status::undetermined;
    set_submission_result(result);
    LONGS_EQUAL(3, submit({"--submission-id=s-1"}));
    CHECK(contains(err.str(), "--submission-id s-1"));
}

// Guards against a lost race that is reported without the winner and the differing lines.
TEST(cli_operator, lost_race_reports_the_winner_and_the_differences)
{
    rules::submission_result result;
    result.status = rules::submission_status::lost_race;
    result.winner = make_version_record(4, "brian");
    result.head = make_version_record(5, "wanjiru");
    result.their_changes.push_back({rules::change_kind::added, 7, "route x", "brian"});
    result.differing.push_back({rules::change_kind::removed, 9, "route y", "brian"});
    set_submission_result(result);
    LONGS_EQUAL(4, submit());
    CHECK(contains(err.str(), "Accepted first: version 4 by brian at 2026-03-01T18:00:00Z"));
    CHECK(contains(err.str(), "In force: version 5 by wanjiru"));
    CHECK(contains(err.str(), "+7 route x\n"));
    CHECK(contains(err.str(), "-9 route y\n"));
    LONGS_EQUAL(4, submit({"--json"}));
    STRCMP_EQUAL("brian",
                 json::parse(out.str())["error"]["winner"]["operator"].get<std::string>().c_str());
}

// Guards against reporting a store outage as a refusal of the rules.
TEST(cli_operator, exit_codes_of_refusals_differ)
{
    rules::submission_result result;
    result.status = rules::submission_status::unavailable;
    set_submission_result(result);
    LONGS_EQUAL(3, submit());
    result.status = rules::submission_status::id_reused;
    set_submission_result(result);
    LONGS_EQUAL(1, submit());
    server.hooks.owner = [](const std::string&, const std::string&) {
        return node::operator_error{node::operator_failure::not_found, "no such service"};
    };
    LONGS_EQUAL(1, call({"keys", "owner", "x", "y"}));
    CHECK(contains(err.str(), "not-found: no such service"));
    LONGS_EQUAL(2, call({"audit", "--kind=nothing"}));
}

// Guards against printing a rules file that differs from the stored one.
TEST(cli_operator, show_prints_only_the_rules_file)
{
    const std::string text = "# note\nservice results-desk balanced # Amina Otieno: a\n";
    server.hooks.rules = [&] {
        return node::rules_document{make_version_record(4, "amina"), text, true};
    };
    LONGS_EQUAL(0, call({"rules", "show"}));
    STRCMP_EQUAL(text.c_str(), out.str().c_str());
    CHECK(contains(err.str(), "version 4 by amina"));
    CHECK(contains(err.str(), "possibly stale"));
}

// Guards against mixing up versions in the history or the diff.
TEST(cli_operator, history_and_diff)
{
    server.hooks.history = [](std::size_t most, const auto& done) {
        LONGS_EQUAL(50, most);
        done(std::vector{make_version_record(5, "brian"), make_version_record(4, "amina")});
    };
    LONGS_EQUAL(0, call({"rules", "history"}));
    CHECK(out.str().find("brian") < out.str().find("amina"));
    server.hooks.rules = [] {
        return node::rules_document{make_version_record(5, "brian"), "", false};
    };
    server.hooks.rules_at = [](std::uint64_t version, const auto& done) {
        done(node::rules_document{make_version_record(version, "x"), version == 4 ? "a\n" : "b\n",
                                  false});
    };
    LONGS_EQUAL(0, call({"rules", "diff", "4"}));
    CHECK(contains(out.str(), "-1 a\n"));
    CHECK(contains(out.str(), "+1 b\n"));
    LONGS_EQUAL(0, call({"rules", "show", "--at=4"}));
    STRCMP_EQUAL("a\n", out.str().c_str());
}

// Guards against an operation on a host other than the specified one.
TEST(cli_operator, host_names_are_resolved)
{
    server.hooks.hosts = [] {
        std::vector<node::host_info> hosts(4);
        hosts[0] = make_host(1, "ladder-1", "ended");
        hosts[1] = make_host(2, "ladder-1", "active");
        hosts[2] = make_host(3, "ladder-2", "active");
        hosts[3] = make_host(4, "ladder-2", "joining");
        return hosts;
    };
    std::optional<incarnation_id> requested;
    server.hooks.drain = [&](const node::drain_request& request, const auto& done) {
        requested = request.incarnation;
        done(node::done_message{"draining"});
    };
    server.hooks.assert_ended = [&](const node::assert_ended_request& request, const auto& done) {
        requested = request.incarnation;
        STRCMP_EQUAL("amina", request.who.c_str());
        done(node::done_message{"recorded"});
    };
    LONGS_EQUAL(0, call({"hosts", "drain", "ladder-1", "--operator=amina"}));
    CHECK(requested == incarnation_id{2});
    LONGS_EQUAL(1, call({"hosts", "drain", "ladder-2", "--operator=amina"}));
    CHECK(contains(err.str(), "0000000000000003 0000000000000004"));
    LONGS_EQUAL(1, call({"hosts", "drain", "ladder-3", "--operator=amina"}));
    LONGS_EQUAL(0, call({"hosts", "drain", "--operator=amina"}));
    CHECK_FALSE(requested.has_value());
    LONGS_EQUAL(0, call({"hosts", "assert-ended", "0000000000000003", "--operator=amina",
                         "--switched-off"}));
    CHECK(requested == incarnation_id{3});
    LONGS_EQUAL(0, call({"hosts", "list"}));
    CHECK(contains(out.str(), "ladder-2"));
}

// Guards against keys and filters that are changed in the request to the node.
TEST(cli_operator, lookups_and_lists)
{
    server.hooks.owner = [](const std::string& service, const std::string& key) {
        node::key_owner owner;
        owner.service = service;
        owner.key = key;
        owner.host = "ladder-1";
        return owner;
    };
    LONGS_EQUAL(0, call({"keys", "owner", "ladder-front", "nairobi west/&?=%"}));
    CHECK(contains(out.str(), "nairobi west/&?=%\n"));
    CHECK(contains(out.str(), "ladder-1"));
    node::audit_query requested;
    server.hooks.audit = [&](const node::audit_query& wanted) {
        requested = wanted;
        return std::vector<node::audit_record>(2);
    };
    LONGS_EQUAL(0, call({"audit", "--service=s", "--range=0", "--most=7", "--kind=takeover"}));
    CHECK(requested.range == range_id{0});
    LONGS_EQUAL(7, requested.most);
    CHECK(requested.kind == node::audit_kind::takeover);
    server.hooks.targets = [] { return std::vector<node::target_info_row>(1); };
    LONGS_EQUAL(0, call({"targets", "list"}));
    server.hooks.status = [] { return node::node_status{}; };
    LONGS_EQUAL(0, call({"status", "--json"}));
    CHECK(json::parse(out.str()).contains("lease_running"));
}
