#include <optional>

#include "standins/store_server.h"
#include "standins/url.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::standin;
using nlohmann::json;

namespace {

constexpr milliseconds wait_limit{3000};

json body_of(const store_outcome& outcome)
{
    return json::parse(outcome.response.body);
}

} // namespace

TEST_GROUP(standin_store)
{
    store_model model;

    store_outcome call(const std::string& method, const std::string& path,
                       const std::string& body = "")
    {
        return model.handle({method, path, {}, body});
    }
    store_outcome transact(const json& conditions, const json& writes)
    {
        return call("POST", "/v1/transact",
                    json{{"conditions", conditions}, {"writes", writes}}.dump());
    }
};

// Guards against conditional writes of two racing writers that both succeed.
TEST(standin_store, transaction_applies_all_writes_or_none)
{
    const json creation_condition = {{{"key", "a"}, {"version", 0}}};
    const json both = {{{"key", "a"}, {"value", "1"}}, {{"key", "b"}, {"value", "2"}}};
    const auto first = transact(creation_condition, both);
    LONGS_EQUAL(200, first.response.status);
    const auto version = body_of(first)["versions"]["a"].get<std::uint64_t>();
    const auto second = transact(creation_condition, both);
    LONGS_EQUAL(409, second.response.status);
    CHECK(body_of(second)["failed"] == json({"a"}));
    const json wrong = {{{"key", "a"}, {"version", version}}, {{"key", "b"}, {"version", 99}}};
    LONGS_EQUAL(409, transact(wrong, {{{"key", "a"}, {"value", "x"}}}).response.status);
    CHECK(body_of(call("GET", "/v1/row?key=a"))["value"] == "1");
    LONGS_EQUAL(3, model.counters().writes);
    LONGS_EQUAL(2, model.counters().conflicts);
}

// Guards against a row that gets an old version again after it was deleted and recreated. A
// delayed conditional write that expects the deleted row would then overwrite the new one.
TEST(standin_store, versions_are_never_reused)
{
    const auto made = body_of(transact(json::array(), {{{"key", "a"}, {"value", "1"}}}));
    CHECK(body_of(transact(json::array(), {{{"key", "a"}, {"value", nullptr}}}))["versions"]["a"] ==
          0);
    LONGS_EQUAL(404, call("GET", "/v1/row?key=a").response.status);
    const auto again = body_of(transact(json::array(), {{{"key", "a"}, {"value", "1"}}}));
    CHECK(again["versions"]["a"] > made["versions"]["a"]);
}

// Guards against rows and objects that are read back incompletely.
TEST(standin_store, prefixes_and_objects_read_back)
{
    transact(json::array(), {{{"key", "members/1"}, {"value", "x"}},
                             {{"key", "members/2"}, {"value", "y"}},
                             {{"key", "rules/head"}, {"value", "z"}}});
    CHECK(body_of(call("GET", "/v1/rows?prefix=members%2F"))["rows"].size() == 2);
    CHECK(body_of(call("GET", "/v1/rows?prefix="))["rows"].size() == 3);
    const std::string bytes("a\0b", 3);
    LONGS_EQUAL(200, call("PUT", "/v1/objects/rules/ab%20c", bytes).response.status);
    CHECK(call("GET", "/v1/objects/rules/ab%20c").response.body == bytes);
    LONGS_EQUAL(404, call("GET", "/v1/objects/other").response.status);
}

// Guards against malformed requests that crash the stand-in or are counted as writes.
TEST(standin_store, malformed_requests_are_refused)
{
    for (const char* body :
         {"", "[]", "{\"writes\":1}", "{\"writes\":[{\"key\":1}]}",
          "{\"writes\":[],\"conditions\":[{\"key\":\"a\"}]}", "{\"writes\":[],\"conditions\":3}"}) {
        LONGS_EQUAL(400, call("POST", "/v1/transact", body).response.status);
    }
    LONGS_EQUAL(400, call("GET", "/v1/row").response.status);
    LONGS_EQUAL(400, call("POST", "/control", "[1]").response.status);
    LONGS_EQUAL(400, call("POST", "/control", "{\"outage\":\"yes\"}").response.status);
    LONGS_EQUAL(0, model.counters().writes);
}

// Guards against faults that differ from their documentation: a write during an outage must
// not be applied, but a write whose answer is lost must be applied.
TEST(standin_store, faults_have_the_documented_effect)
{
    call("POST", "/control", R"({"outage":true})");
    LONGS_EQUAL(503, transact(json::array(), {{{"key", "a"}, {"value", "1"}}}).response.status);
    call("POST", "/control", R"({"outage":false,"lose_answers":true})");
    LONGS_EQUAL(404, call("GET", "/v1/row?key=a").response.status);
    CHECK(transact(json::array(), {{{"key", "a"}, {"value", "1"}}}).action == store_action::drop);
    call("POST", "/control", R"({"lose_answers":false})");
    LONGS_EQUAL(200, call("GET", "/v1/row?key=a").response.status);
    const auto counters = body_of(call("GET", "/control"));
    CHECK(counters["lost_answers"] == 1);
    CHECK(counters["refused"] == 1);
    CHECK(counters["writes"] == 1);
    CHECK(counters["reads"] == 2);
}

// Guards against a lost answer that reaches the client as a refusal, and against a delay or
// silence without effect.
TEST(standin_store, faults_reach_the_client)
{
    net::loop loop;
    store_server server(loop, {"127.0.0.1", 0});
    net::http_client client(loop, 4, 100000);
    const auto send = [&](const std::string& path, const std::string& body, milliseconds limit) {
        std::optional<net::http_result> result;
        client.send(server.address(), {"POST", path, {}, body}, limit,
                    [&](net::http_result got) { result = std::move(got); });
        CHECK(loop.run_until([&] { return result.has_value(); }, wait_limit));
        return *result;
    };
    const std::string write = R"({"writes":[{"key":"a","value":"1"}]})";
    send("/control", R"({"lose_answers":true})", wait_limit);
    const auto lost = send("/v1/transact", write, wait_limit);
    CHECK(!lost.response);
    CHECK(lost.failure == net::http_failure::closed);
    send("/control", R"({"lose_answers":false,"delay_ms":200})", wait_limit);
    CHECK(send("/v1/transact", write, milliseconds{30}).failure == net::http_failure::timeout);
    CHECK(send("/v1/transact", write, wait_limit).response->status == 200);
    send("/control", R"({"delay_ms":0,"silent":true})", wait_limit);
    CHECK(send("/v1/transact", write, milliseconds{30}).failure == net::http_failure::timeout);
}

// Guards against keys that are decoded wrongly from a query or path.
TEST(standin_store, queries_are_decoded)
{
    CHECK(query_value("/a?x=1&key=b%2Fc%", "key") == "b/c%");
    CHECK(!query_value("/a?keys=1", "key"));
    CHECK(path_segment("/ladders/nairobi-west/standings", 1) == "nairobi-west");
    CHECK(path_segment("/results", 1).empty());
}
