#include "platform/protocol.h"
#include "sidecar/record_text.h"

#include <string>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::platform;

namespace {

const std::string whole_manifest =
    R"({"version":"0000001f","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"listeners":[{"host":"h.example","ruleSet":[)"
    R"({"name":"r1","routeType":"unsafe","targetLatencyMs":250,"priority":1,)"
    R"("match":{"prefix":"/a/"},"action":{"service":"s1","timeoutMs":600,"maxAttempts":2}},)"
    R"({"name":"r2","routeType":"safe","targetLatencyMs":200,"priority":2,"match":{"prefix":"/b/"},)"
    R"("action":{"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("timeoutMs":500,"maxAttempts":3}}]}],"clusters":[{"name":"s1","healthPath":"/health",)"
    R"("maxConnections":110,"sharded":true,"warmS":3.0,"warmupS":2.5,"warmupPerS":12,"new":[1]},{"name":"s2"}]})";

net::http_request beat(const std::string& body)
{
    return {"POST", "/v1/Instances.Heartbeat/i-1", {}, body};
}

} // namespace

TEST_GROUP(platform_protocol){};

// Guards against a field that is read under a wrong name.
TEST(platform_protocol, manifest_is_decoded_completely)
{
    const auto manifest = detail::parse_manifest(whole_manifest);
    LONGS_EQUAL(31, manifest.version);
    LONGS_EQUAL(15000, manifest.limits.idle_time.count());
    LONGS_EQUAL(2, manifest.routes.size());
    const auto& first = manifest.routes[0];
    STRCMP_EQUAL("h.example", first.host.c_str());
    CHECK_FALSE(first.idempotent);
    LONGS_EQUAL(600, first.timeout.count());
    LONGS_EQUAL(250, first.aim.count());
    LONGS_EQUAL(2, first.attempts);
    LONGS_EQUAL(1, first.rank);
    const auto& second = manifest.routes[1];
    CHECK(second.idempotent);
    LONGS_EQUAL(2, second.destinations.size());
    LONGS_EQUAL(10, second.destinations[1].weight);
    CHECK(manifest.services[0].sharded);
    LONGS_EQUAL(3000, manifest.services[0].warm_up.count());
    LONGS_EQUAL(2500, manifest.services[0].cold_time.count());
    DOUBLES_EQUAL(12, manifest.services[0].cold_requests_per_s, 0);
    CHECK_FALSE(manifest.services[1].sharded);
    DOUBLES_EQUAL(0, manifest.services[1].cold_requests_per_s, 0);
}

// Guards against applying an invalid manifest in part. The previous valid manifest must stay in
// force.
TEST(platform_protocol, invalid_manifests_are_refused_completely)
{
    const auto modified = [](const std::string& from, const std::string& to) {
        std::string text = whole_manifest;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest(whole_manifest.substr(0, 200)));
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest("[]"));
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest(modified("0000001f", "1f")));
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest(modified("\"/a/\"", "\"a\"")));
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest(modified("600", "-1")));
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest(modified("\"r1\"", "7")));
    CHECK_THROWS(routing::manifest_error,
                 detail::parse_manifest(modified("\"weight\":90", "\"weight\":\"x\"")));
}

// Guards against data that leaves its regions: the list may be in two places, and two lists without
// a common region allow none, not any.
TEST(platform_protocol, regions_are_read_from_the_rule_and_its_action)
{
    const auto route_with = [](const std::string& in_rule, const std::string& in_action) {
        std::string text = whole_manifest;
        const std::string action = R"("action":{"service":"s1",)";
        const auto list = [](const std::string& value) {
            return value.empty() ? "" : "\"allowedRegions\":" + value + ",";
        };
        text.replace(text.find(action), action.size(), list(in_rule) + action + list(in_action));
        return detail::parse_manifest(text).routes[0];
    };
    using regions = std::vector<std::string>;
    CHECK(route_with("", "").regions.empty());
    CHECK(route_with("[]", "null").regions.empty());
    CHECK(route_with(R"(["a","b"])", "").regions == regions({"a", "b"}));
    CHECK(route_with("", R"(["a"])").regions == regions({"a"}));
    CHECK(route_with(R"(["a","b"])", R"(["b","c"])").regions == regions({"b"}));
    CHECK_FALSE(route_with(R"(["a","b"])", R"(["b","c"])").no_region_allowed);
    CHECK(route_with(R"(["a"])", R"(["b"])").no_region_allowed);
    CHECK_THROWS(routing::manifest_error, route_with("\"a\"", ""));
    CHECK_THROWS(routing::manifest_error, route_with("", "[7]"));
}

// Guards against an invalid heartbeat that is accepted as the state of a target.
TEST(platform_protocol, heartbeats_are_decoded_or_refused)
{
    const auto call = detail::parse_control(
        beat(R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,)"
             R"("state":"draining","warmupLeftMs":12,"sequence":4,"born":1700000000000})"));
    const auto& read = std::get<sidecar::heartbeat>(call);
    STRCMP_EQUAL("i-1", read.target.id.c_str());
    CHECK(read.target.phase == assignment::target_phase::draining);
    LONGS_EQUAL(6, read.target.slots);
    LONGS_EQUAL(4, read.sequence);
    CHECK(read.target.start_time_ms == 1700000000000);
    for (const char* body :
         {"", "{}", "[1]", R"({"service":1,"address":"a","slots":6,"state":"ready","sequence":1})",
          R"({"service":"s","address":"a","slots":6,"state":"asleep","sequence":1})",
          R"({"service":"s","address":"a","slots":-6,"state":"ready","sequence":1})",
          R"({"service":"s","address":"a","slots":4294967302,"state":"ready","sequence":1})",
          R"({"service":"s","address":"a","slots":6,"state":"ready","sequence":1.5})"}) {
        CHECK_THROWS(parse_error, detail::parse_control(beat(body)));
    }
    CHECK(std::holds_alternative<sidecar::deregistration>(
        detail::parse_control({"POST", "/v1/Instances.Deregister/i-1", {}, ""})));
    CHECK(std::holds_alternative<sidecar::unknown_call>(
        detail::parse_control({"GET", "/v1/Instances.Heartbeat/i-1", {}, ""})));
}

// Guards against taking the duration of work, the fourth figure, for the number of slots.
TEST(platform_protocol, load_is_decoded_by_position)
{
    const auto load = detail::parse_load("4, 1,6,310");
    CHECK(load.has_value());
    LONGS_EQUAL(4, load->running);
    LONGS_EQUAL(1, load->waiting);
    LONGS_EQUAL(6, load->slots);
    LONGS_EQUAL(310, load->work_percent);
    LONGS_EQUAL(100, detail::parse_load("0,0,5")->work_percent);
    for (const char* value : {"", "5", "1,2", "1,,5", "1,2,x", "-1,0,5", "1,0,5,", "1,0,5,inf"}) {
        CHECK_FALSE(detail::parse_load(value).has_value());
    }
}

// Guards against a missing or unreadable warm-up time that counts as the end of the warm-up.
TEST(platform_protocol, warm_up_time_is_decoded_or_refused)
{
    LONGS_EQUAL(0, detail::parse_warm_up("0")->count());
    LONGS_EQUAL(1501, detail::parse_warm_up("1500.2")->count());
    for (const char* value : {"", "x", "-1", "1 2", "nan"}) {
        CHECK_FALSE(detail::parse_warm_up(value).has_value());
    }
    const auto call = detail::parse_control(
        beat(R"({"service":"s1","address":"a","slots":6,"state":"ready","sequence":4})"));
    CHECK_FALSE(std::get<sidecar::heartbeat>(call).warm_up_left.has_value());
}

// Guards against orders with field names that the target does not expect.
TEST(platform_protocol, orders_are_encoded)
{
    const auto grant = detail::grant({1, "s", 4096, 8191, fence{12}, milliseconds{900}, "5c0e"});
    STRCMP_EQUAL(R"({"fence":12,"from":4096,"handover":"5c0e","holdMs":900,"target":8191})",
                 grant.body.c_str());
    STRCMP_EQUAL("/v1/grant", grant.path.c_str());
    const auto release = detail::release({1, "s", 4096, 8191, fence{12}});
    STRCMP_EQUAL(R"({"fence":12,"from":4096,"target":8191})", release.body.c_str());
}

// Guards against a stored value that is changed by base64 encoding and decoding.
TEST(platform_protocol, store_values_survive_base64)
{
    for (const std::string& text : {std::string(), std::string("a"), std::string("ab"),
                                    std::string("abc"), std::string("\0\xff{}", 4)}) {
        CHECK(detail::decode_base64(detail::encode_base64(text)) == text);
    }
    STRCMP_EQUAL("bm9kZS0x", detail::encode_base64("node-1").c_str());
    CHECK_THROWS(sidecar::store_format_error, detail::decode_base64("a"));
    CHECK_THROWS(sidecar::store_format_error, detail::decode_base64("!!!!"));
}

// Guards against an invalid store answer that is decoded as an empty row or version 0.
TEST(platform_protocol, store_answers_are_decoded_or_refused)
{
    const auto row = detail::parse_row(
        R"({"rows":[{"table":"my","part":"","key":"k","value":"bm9kZS0x","ver":412}],)"
        R"("morePages":false,"ver":530,"nowMs":51230})",
        "k");
    LONGS_EQUAL(412, row.version);
    STRCMP_EQUAL("node-1", row.value.c_str());
    LONGS_EQUAL(0, detail::parse_row(R"({"rows":[],"ver":3})", "k").version);
    const auto page = detail::parse_feed(
        R"({"rows":[{"table":"op","part":"","key":"config","value":"bm9kZS0x","ver":7},)"
        R"({"table":"op","part":"","key":"other","value":"bm9kZS0x","ver":8}],"ver":9})",
        "config");
    LONGS_EQUAL(1, page.rows.size());
    LONGS_EQUAL(9, page.next);
    for (const char* body : {"", "[]", "{}", R"({"rows":[{"key":"k"}],"ver":1})",
                             R"({"rows":[{"key":"k","ver":1}],"ver":1})"}) {
        CHECK_THROWS(sidecar::store_format_error, detail::parse_row(body, "k"));
    }
    CHECK_THROWS(sidecar::store_format_error, detail::parse_version(R"({"ver":"7"})"));
    // Rows of other writers may have fields of other types; such rows are ignored.
    LONGS_EQUAL(0, detail::parse_feed(R"({"rows":[{"key":7},{"key":null},[]],"ver":9})", "config")
                       .rows.size());
    CHECK_THROWS(
        sidecar::store_format_error,
        detail::parse_feed(R"({"rows":[{"key":"config","removed":"yes"}],"ver":9})", "config"));
}

// Guards against an era that is read wrongly: a leader would not notice that the store has lost its
// record, or would take every answer for one of an earlier era.
TEST(platform_protocol, store_era_is_decoded_or_refused)
{
    CHECK(!detail::parse_store_era({{"Content-Type", "application/json"}}));
    CHECK(detail::parse_store_era({{"store-era", "0"}}) == std::optional<std::uint64_t>(0));
    CHECK(detail::parse_store_era({{"Store-Era", "524287"}}) ==
          std::optional<std::uint64_t>(store_version::max_era));
    for (const char* value : {"", "-1", "1.5", " 1", "1 ", "x", "524288", "18446744073709551616"}) {
        CHECK_THROWS(sidecar::store_format_error, detail::parse_store_era({{"Store-Era", value}}));
    }
}

// Guards against the record of an earlier era that is read as that of the current one, and against
// a row of another name that is read as a record.
TEST(platform_protocol, leader_rows_are_told_apart_by_era)
{
    const auto row = [](const std::string& key, const std::string& value, int version) {
        return R"({"key":")" + key + R"(","value":")" + detail::encode_base64(value) +
               R"(","ver":)" + std::to_string(version) + "}";
    };
    const std::string body = R"({"rows":[)" + row("leader", "zero", 3) + "," +
                             row("leader/10", "ten", 9) + "," + row("leader/2", "two", 5) + "," +
                             row("leader/x", "other", 6) + "," + row("leader-2", "other", 7) +
                             R"(],"ver":9})";
    const auto current = detail::parse_leader_rows(body, 10);
    CHECK(current.version == version_in_era(10, 9));
    STRCMP_EQUAL("ten", current.value.c_str());
    LONGS_EQUAL(2, current.earlier.size());
    LONGS_EQUAL(0, current.earlier.front().record_era);
    LONGS_EQUAL(2, current.earlier.back().record_era);
    CHECK(current.earlier.back().version == version_in_era(10, 5));
    const auto later = detail::parse_leader_rows(body, 11);
    CHECK(later.version == version_in_era(11, 0));
    LONGS_EQUAL(3, later.earlier.size());
    const auto first = detail::parse_leader_rows(body, 0);
    CHECK(first.version == version_in_era(0, 3));
    CHECK(first.earlier.empty());
}

// Guards against a record of an earlier era that stays in force beside that of the current one, and
// against programs without knowledge of eras that claim the first term because their row is gone.
TEST(platform_protocol, leader_write_replaces_the_rows_of_earlier_eras)
{
    const sidecar::leader_write content{
        version_in_era(4, 0),
        {{0, version_in_era(4, 7), "a"}, {3, version_in_era(4, 8), "b"}},
        "record"};
    const auto body = nlohmann::json::parse(detail::write_leader_row("t", content).body);
    LONGS_EQUAL(3, body.at("precondition").size());
    STRCMP_EQUAL("leader/4", body.at("precondition")[0].at("key").get<std::string>().c_str());
    LONGS_EQUAL(0, body.at("precondition")[0].at("ver").get<int>());
    LONGS_EQUAL(7, body.at("precondition")[1].at("ver").get<int>());
    LONGS_EQUAL(8, body.at("precondition")[2].at("ver").get<int>());
    LONGS_EQUAL(1, body.at("remove").size());
    STRCMP_EQUAL("leader/3", body.at("remove")[0].at("key").get<std::string>().c_str());
    LONGS_EQUAL(2, body.at("puts").size());
    nlohmann::json moved = body.at("puts")[1];
    STRCMP_EQUAL("leader", moved.at("key").get<std::string>().c_str());
    moved["ver"] = 12;
    const auto rows =
        detail::parse_leader_rows(nlohmann::json{{"rows", {moved}}, {"ver", 12}}.dump(), 5);
    CHECK(rows.earlier.empty());
    CHECK_THROWS(parse_error, sidecar::parse_leader_record(
                                  detail::decode_base64(moved.at("value").get<std::string>())));
}

// Guards against a row of another writer that is read as the manifest, or that hides it: the range
// that is read also has keys that begin with the manifest's.
TEST(platform_protocol, rows_with_other_keys_are_ignored)
{
    const std::string other = R"({"key":"config-old","value":7,"ver":"x"},{},1,{"key":null})";
    const std::string own = R"({"key":"config","value":"bm9kZS0x","ver":8})";
    const auto answer = [](const std::string& rows) {
        return R"({"rows":[)" + rows + R"(],"ver":9})";
    };
    LONGS_EQUAL(0, detail::parse_row(answer(other), "config").version);
    for (const auto& rows : {other + "," + own, own + "," + other}) {
        LONGS_EQUAL(8, detail::parse_row(answer(rows), "config").version);
        LONGS_EQUAL(1, detail::parse_feed(answer(rows), "config").rows.size());
    }
}

// Guards against an order of evacuation that is lost because the row of the manifest, another row
// or its own value is unreadable, and against an order that is invented.
TEST(platform_protocol, evacuations_are_decoded_row_by_row)
{
    const auto protocol = make_protocol();
    const auto path = protocol.read_manifest().path;
    CHECK(path.find("from=config&target=evacuate0") != std::string::npos);
    const auto rows = protocol.parse_evacuations(
        R"({"rows":[{"key":"config","value":7,"ver":"x"},{"key":"evacuate/a","value":"e30=","ver":7},)"
        R"({"key":"evacuate/b","value":5,"ver":8},{"key":"evacuate/","ver":8},{"key":"evacuated","ver":8},)"
        R"({"key":"evacuate/c","removed":true},{"key":"evacuate/d","removed":true,"ver":6},7],)"
        R"("morePages":false,"ver":9})",
        0);
    CHECK(rows.version == version_in_era(0, 9));
    CHECK(rows.complete);
    CHECK(rows.changes == std::vector<routing::evacuation_change>(
                              {{"a", 7, true}, {"b", 8, true}, {"c", 9, false}, {"d", 6, false}}));
    const auto damaged = protocol.parse_evacuations(
        R"({"rows":[{"key":"evacuate/a","ver":-1},{"key":"evacuate/b","ver":8}],"ver":9})", 3);
    CHECK(damaged.version == version_in_era(3, 9));
    CHECK_FALSE(damaged.complete);
    LONGS_EQUAL(1, damaged.changes.size());
    CHECK_FALSE(protocol.parse_evacuations(R"({"rows":[],"morePages":true,"ver":9})", 0).complete);
    for (const char* body : {"", "[]", R"({"rows":[]})", R"({"rows":7,"ver":1})"}) {
        CHECK_THROWS(sidecar::store_format_error, protocol.parse_evacuations(body, 0));
    }
}

// Guards against a state of the manifest's row that hides a later one in the same answer.
TEST(platform_protocol, unreadable_row_of_the_feed_does_not_hide_the_next)
{
    const auto page = detail::parse_feed(R"({"rows":[{"key":"config","value":"!","ver":7},)"
                                         R"({"key":"config","value":"bm9kZS0x","ver":8}],"ver":9})",
                                         "config");
    LONGS_EQUAL(1, page.rows.size());
    LONGS_EQUAL(8, page.rows[0].version);
}

// Guards against input that ends the process or is taken for a valid entry: deep nesting, numbers
// out of range and values of other types.
TEST(platform_protocol, extreme_values_are_refused)
{
    constexpr std::size_t depth = 300000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    CHECK_THROWS(parse_error, detail::parse_control(beat(deep)));
    CHECK_THROWS(parse_error, detail::parse_control(beat(R"({"service":)" + deep + "}")));
    CHECK_THROWS(routing::manifest_error, detail::parse_manifest(deep));
    CHECK_THROWS(routing::manifest_error,
                 detail::parse_manifest(R"({"version":"0000001f","clusters":)" + deep + "}"));
    CHECK_THROWS(sidecar::store_format_error, detail::parse_row(deep, "k"));
    CHECK_THROWS(
        sidecar::store_format_error,
        detail::parse_row(R"({"rows":[{"key":"k","value":)" + deep + R"(,"ver":1}]})", "k"));
    LONGS_EQUAL(0, detail::parse_row(R"({"rows":[{"key":)" + deep + "}]}", "k").version);
    const auto changed = [](const std::string& field, const std::string& value) {
        return R"({"service":"s","address":"10.0.0.1:99999","state":"ready","slots":6,)"
               R"("sequence":1,"born":1700000000000,")" +
               field + "\":" + value + "}";
    };
    for (const char* value : {"1e999", "18446744073709551616", "18446744073709551615", "-1"}) {
        for (const char* field : {"slots", "sequence", "born"}) {
            CHECK_THROWS(parse_error, detail::parse_control(beat(changed(field, value))));
        }
    }
}

// Guards against keys that are never granted because their handover token cannot be encoded.
TEST(platform_protocol, grant_with_an_invalid_token_is_encoded)
{
    const auto grant = detail::grant({1, "s", 1, 2, fence{3}, milliseconds{900}, "\xff\xfe"});
    CHECK(grant.body.find("holdMs") != std::string::npos);
}
