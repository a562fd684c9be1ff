#include "node/operator_api.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::node;
using nlohmann::json;

namespace {

const std::string good_rules =
    "service results-desk balanced deadline=2s # Amina Otieno: results\n";

rules::version_record version_by(std::uint64_t version, const std::string& who)
{
    rules::version_record record;
    record.version = version;
    record.who = who;
    return record;
}

} // namespace

TEST_GROUP(operator_api)
{
    operator_hooks hooks;
    int answers = 0;
    net::http_response last;
    json body;

    int send_request(const std::string& method, const std::string& path,
                     const std::string& text = {})
    {
        handle_operator_request({method, path, {}, text}, hooks, [this](net::http_response answer) {
            ++answers;
            last = std::move(answer);
            body = json::parse(last.body, nullptr, false);
        });
        return last.status;
    }

    std::string error_type()
    {
        return body["error"]["type"].get<std::string>();
    }
};

// Guards against an error response without a typed body, or with the wrong status.
TEST(operator_api, wrong_paths_and_methods)
{
    LONGS_EQUAL(404, send_request("GET", "/operator/v1/nothing"));
    STRCMP_EQUAL("not-found", error_type().c_str());
    LONGS_EQUAL(405, send_request("DELETE", "/operator/v1/rules"));
    STRCMP_EQUAL("/operator/v1/rules expects GET or POST",
                 body["error"]["message"].get<std::string>().c_str());
    LONGS_EQUAL(404, send_request("GET", "/operator/v1/status"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/hosts?zone=a"));
    LONGS_EQUAL(4, answers);
}

// Guards against a submission that is accepted without a base version, an operator or an id. These
// are needed to distinguish a lost race from a retry.
TEST(operator_api, submission_fields_are_validated)
{
    hooks.submit = [](const rules::submission&, const auto&) { FAIL("must not be called"); };
    const json good{
        {"base_version", 3}, {"operator", "amina"}, {"submission_id", "s-1"}, {"text", good_rules}};
    for (const char* field : {"base_version", "operator", "submission_id", "text"}) {
        json incomplete = good;
        incomplete.erase(field);
        LONGS_EQUAL(400, send_request("POST", "/operator/v1/rules", incomplete.dump()));
        CHECK(body["error"]["message"].get<std::string>().find(field) != std::string::npos);
    }
    json wrong = good;
    wrong["submission_id"] = "a/b";
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/rules", wrong.dump()));
    wrong = good;
    wrong["operator"] = "a\nb";
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/rules", wrong.dump()));
    wrong = good;
    wrong["force"] = true;
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/rules", wrong.dump()));
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/rules", "[]"));
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/rules", "{"));
}

// Guards against outcomes of a submission that an operator can't distinguish, and against a
// response before the submission is complete.
TEST(operator_api, submission_outcomes_have_their_own_status)
{
    std::function<void(rules::submission_result)> finish;
    hooks.submit = [&](const rules::submission& input, auto done) {
        LONGS_EQUAL(3, input.base_version);
        finish = std::move(done);
    };
    const auto submit = [&](rules::submission_result result) {
        const int before = answers;
        send_request(
            "POST", "/operator/v1/rules",
            json{{"base_version", 3}, {"operator", "a"}, {"submission_id", "s"}, {"text", "x"}}
                .dump());
        LONGS_EQUAL(before, answers);
        finish(std::move(result));
        LONGS_EQUAL(before + 1, answers);
        return last.status;
    };
    using rules::submission_status;
    rules::submission_result result;
    result.record = version_by(4, "amina");
    result.status = submission_status::repeated;
    LONGS_EQUAL(200, submit(result));
    CHECK(body["repeated"].get<bool>());
    LONGS_EQUAL(4, body["version"].get<int>());

    result = {};
    result.status = submission_status::lost_race;
    result.winner = version_by(4, "brian");
    result.their_changes.push_back({rules::change_kind::added, 7, "route x", "brian"});
    LONGS_EQUAL(409, submit(result));
    STRCMP_EQUAL("lost-race", error_type().c_str());
    STRCMP_EQUAL("brian", body["error"]["winner"]["operator"].get<std::string>().c_str());
    LONGS_EQUAL(7, body["error"]["their_changes"][0]["line"].get<int>());

    result = {};
    result.status = submission_status::invalid;
    result.problems.push_back({1, 2, "x", "y"});
    LONGS_EQUAL(422, submit(result));
    result.status = submission_status::unavailable;
    LONGS_EQUAL(503, submit(result));
    result.status = submission_status::undetermined;
    LONGS_EQUAL(502, submit(result));
    result.status = submission_status::id_reused;
    LONGS_EQUAL(409, submit(result));
    STRCMP_EQUAL("refused", error_type().c_str());
}

// Guards against a check that reports only the first problem.
TEST(operator_api, check_reports_all_problems)
{
    LONGS_EQUAL(
        200, send_request("POST", "/operator/v1/rules/check", json{{"text", good_rules}}.dump()));
    LONGS_EQUAL(422, send_request("POST", "/operator/v1/rules/check",
                                  json{{"text", "servise a # x: y\nroute # x: y\n"}}.dump()));
    CHECK(body["error"]["problems"].size() >= 2);
}

// Guards against a diff with swapped versions, and against a failed read that is ignored.
TEST(operator_api, diff_reads_both_versions)
{
    hooks.rules_at = [](std::uint64_t version, const completion<rules_document>& done) {
        if (version > 2) {
            done(operator_error{operator_failure::store_unavailable, "store is down"});
            return;
        }
        done(rules_document{version_by(version, "amina"), version == 1 ? "a\n" : "b\n", false});
    };
    LONGS_EQUAL(200, send_request("GET", "/operator/v1/rules/diff?from=1&to=2"));
    LONGS_EQUAL(2, body["lines"].size());
    for (const auto& line : body["lines"]) {
        const bool added = line["kind"] == "added";
        STRCMP_EQUAL(added ? "b" : "a", line["text"].get<std::string>().c_str());
    }
    LONGS_EQUAL(200, send_request("GET", "/operator/v1/rules/diff?from=0&to=1"));
    LONGS_EQUAL(1, body["lines"].size());
    LONGS_EQUAL(503, send_request("GET", "/operator/v1/rules/diff?from=1&to=3"));
    LONGS_EQUAL(503, send_request("GET", "/operator/v1/rules/diff?from=3&to=1"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/rules/diff?from=1"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/rules/diff?from=one&to=2"));
}

// Guards against keys whose escaped characters are not decoded.
TEST(operator_api, owner_key_is_decoded)
{
    std::string received;
    hooks.owner = [&](const std::string& service, const std::string& key) -> answer<key_owner> {
        received = key;
        if (service != "ladder-front") {
            return operator_error{operator_failure::not_found, "no such service"};
        }
        key_owner found;
        found.owner = incarnation_id{0xab};
        return found;
    };
    LONGS_EQUAL(200, send_request(
                         "GET", "/operator/v1/keys/owner?service=ladder-front&key=a%20b%26%2Fc+d"));
    STRCMP_EQUAL("a b&/c d", received.c_str());
    STRCMP_EQUAL("00000000000000ab", body["owner"].get<std::string>().c_str());
    LONGS_EQUAL(404, send_request("GET", "/operator/v1/keys/owner?service=x&key=a"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/keys/owner?service=x"));
}

// Guards against an end asserted by mistake for a host that is still running.
TEST(operator_api, asserted_end_requires_confirmation)
{
    int calls = 0;
    hooks.assert_ended = [&](const assert_ended_request& input,
                             const completion<done_message>& done) {
        ++calls;
        CHECK(input.switched_off);
        done(done_message{"recorded"});
    };
    json input{{"incarnation", "00000000000000ab"}, {"operator", "amina"}};
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/hosts/assert-ended", input.dump()));
    input["switched_off"] = "true";
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/hosts/assert-ended", input.dump()));
    LONGS_EQUAL(0, calls);
    input["switched_off"] = true;
    LONGS_EQUAL(200, send_request("POST", "/operator/v1/hosts/assert-ended", input.dump()));
    input["incarnation"] = "ab";
    LONGS_EQUAL(400, send_request("POST", "/operator/v1/hosts/assert-ended", input.dump()));
    LONGS_EQUAL(1, calls);
}

// Guards against an ignored or misspelled filter in an audit query.
TEST(operator_api, audit_filters_reach_the_trail)
{
    audit_query received;
    hooks.audit = [&](const audit_query& wanted) {
        received = wanted;
        return std::vector<audit_record>{audit_record{}};
    };
    LONGS_EQUAL(200, send_request("GET", "/operator/v1/audit?service=s&range=7&kind=takeover&most=5"
                                         "&subject=00000000000000ab"));
    LONGS_EQUAL(1, body["events"].size());
    STRCMP_EQUAL("s", received.service.c_str());
    CHECK(received.range == range_id{7});
    CHECK(received.kind == audit_kind::takeover);
    CHECK(received.subject == incarnation_id{0xab});
    LONGS_EQUAL(5, received.most);
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/audit?kind=take"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/audit?range=-1"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/audit?most=5000"));
    LONGS_EQUAL(400, send_request("GET", "/operator/v1/audit?ranges=1"));
}

// Guards against a changed structure of lists and of the status, which other programs parse.
TEST(operator_api, lists_status_and_metrics)
{
    hooks.hosts = [] {
        host_info host;
        host.host = "ladder-1\xff"; // not UTF-8
        return std::vector{host};
    };
    hooks.targets = [] { return std::vector<target_info_row>(2); };
    hooks.status = [] { return node_status{}; };
    hooks.metrics = [] { return std::string("x 1\n"); };
    LONGS_EQUAL(200, send_request("GET", "/operator/v1/hosts"));
    LONGS_EQUAL(1, body["hosts"].size());
    LONGS_EQUAL(200, send_request("GET", "/operator/v1/targets"));
    LONGS_EQUAL(2, body["targets"].size());
    LONGS_EQUAL(200, send_request("GET", "/operator/v1/status"));
    CHECK_FALSE(body["lease_running"].get<bool>());
    LONGS_EQUAL(200, send_request("GET", "/metrics"));
    STRCMP_EQUAL("x 1\n", last.body.c_str());
}
