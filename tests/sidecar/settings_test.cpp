#include "sidecar/settings.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::sidecar;

namespace {

const std::string complete_settings =
    R"({"host":"h1","zone":"z","service":"s","target":"10.0.0.1:80","store":"10.0.0.9:90",)"
    R"("descriptors":4100,"processor_share":0.2,"new_field":[1],"addresses":{"requests":"10.0.0.1:1",)"
    R"("ready":"10.0.0.1:2","control":"10.0.0.1:3","inner":"10.0.0.1:4",)"
    R"("metrics":"10.0.0.1:5"},"bounds":{"drain_ms":2000,"grace_s":6,"longest_hold_ms":900,)"
    R"("retry_ratio":0.2,"retry_slack":58,"retry_window_s":10}})";

std::string failure_of(const std::string& from, const std::string& to)
{
    std::string text = complete_settings;
    text.replace(text.find(from), from.size(), to);
    try {
        parse_settings("node.json", text);
    }
    catch (const settings_error& failure) {
        return failure.what();
    }
    return "";
}

} // namespace

TEST_GROUP(sidecar_settings){};

// Guards against a bound that is read in the wrong unit.
TEST(sidecar_settings, complete_file_is_read)
{
    const auto values = parse_settings("node.json", complete_settings);
    STRCMP_EQUAL("h1", values.host.c_str());
    LONGS_EQUAL(4, values.addresses.inner.port);
    LONGS_EQUAL(6000, values.bounds.grace.count());
    LONGS_EQUAL(10000, values.bounds.retry_window.count());
    // Without `announced`, other nodes use the address at which this node listens.
    CHECK(values.addresses.announced == values.addresses.inner);
    LONGS_EQUAL(25, values.zone_traffic.cost.count());
    // The lease is limited to the longest hold that targets accept.
    LONGS_EQUAL(900, values.times.lease.count());
    LONGS_EQUAL(900, values.times.longest_lease.count());
    LONGS_EQUAL(256, values.memory_mb);
    DOUBLES_EQUAL(100, values.link_mbps, 0);
}

// Guards against a link speed that is ignored or nonsensical.
TEST(sidecar_settings, link_speed_is_optional)
{
    std::string text = complete_settings;
    text.insert(1, R"("link_mbps":10.5,)");
    DOUBLES_EQUAL(10.5, parse_settings("node.json", text).link_mbps, 0);
    STRCMP_CONTAINS("field \"link_mbps\": expected a number of at least 0.1",
                    failure_of("{\"host\"", "{\"link_mbps\":0,\"host\"").c_str());
}

// Guards against a memory limit that is ignored or nonsensical.
TEST(sidecar_settings, memory_limit_is_optional)
{
    std::string text = complete_settings;
    text.insert(1, R"("memory_mb":160,)");
    LONGS_EQUAL(160, parse_settings("node.json", text).memory_mb);
    STRCMP_CONTAINS("field \"memory_mb\": expected a number of at least 32",
                    failure_of("{\"host\"", "{\"memory_mb\":1,\"host\"").c_str());
}

// Guards against optional settings that are read in the wrong unit or under a wrong name, and
// against a default that changes deployments without them.
TEST(sidecar_settings, evacuations_and_regions_are_optional)
{
    const auto without = parse_settings("node.json", complete_settings);
    LONGS_EQUAL(2500, without.times.evacuation_grace.count());
    CHECK(without.regions.empty());
    std::string text = complete_settings;
    text.replace(1, 0, R"("region":"east","zones":{"y":"west"},)");
    text.replace(text.find("\"grace_s\""), 0, R"("evacuation_ms":3000,)");
    const auto values = parse_settings("node.json", text);
    LONGS_EQUAL(1500, values.times.evacuation_grace.count());
    CHECK(values.regions == (std::map<std::string, std::string>{{"y", "west"}, {"z", "east"}}));
    STRCMP_EQUAL(
        "node.json: field \"zones\": expected an object whose values are non-empty strings",
        failure_of("\"host\"", "\"zones\":{\"y\":7},\"host\"").c_str());
    CHECK(failure_of("\"grace_s\"", "\"evacuation_ms\":-1,\"grace_s\"").find("evacuation_ms") !=
          std::string::npos);
}

// Guards against a start that fails, or limits cold targets in another way, on a deployment without
// bounds for them.
TEST(sidecar_settings, warm_up_bounds_are_optional)
{
    const auto defaults = parse_settings("node.json", complete_settings);
    DOUBLES_EQUAL(1, defaults.bounds.warm_up_overage, 0);
    DOUBLES_EQUAL(0, defaults.bounds.warm_up_slack, 0);
    std::string text = complete_settings;
    const std::string last = R"("retry_window_s":10)";
    text.replace(text.find(last), last.size(),
                 last + R"(,"warm_up_overage":1.5,"warm_up_slack":8)");
    const auto values = parse_settings("node.json", text);
    DOUBLES_EQUAL(1.5, values.bounds.warm_up_overage, 0);
    DOUBLES_EQUAL(8, values.bounds.warm_up_slack, 0);
    CHECK(failure_of(last, R"("retry_window_s":10,"warm_up_overage":0)")
              .find("bounds.warm_up_overage") != std::string::npos);
}

// Guards against a start with a missing setting or a setting of a wrong type.
TEST(sidecar_settings, problems_name_file_field_and_expectation)
{
    STRCMP_EQUAL("node.json: field \"zone\": expected a non-empty string",
                 failure_of("\"zone\":\"z\",", "").c_str());
    STRCMP_EQUAL("node.json: field \"addresses.inner\": expected an address such as 10.0.0.1:8080",
                 failure_of("10.0.0.1:4", "10.0.0.1").c_str());
    CHECK(failure_of("\"drain_ms\":2000", "\"drain_ms\":\"2s\"").find("bounds.drain_ms") !=
          std::string::npos);
    CHECK(failure_of("{\"host\"", "[{\"host\"").find("one JSON object") != std::string::npos);
    CHECK_THROWS(settings_error, load_settings("/nonexistent/node.json"));
}

// Guards against a cost of traffic between zones that is ignored or read in another unit.
TEST(sidecar_settings, cost_of_zone_traffic_is_optional)
{
    std::string text = complete_settings;
    text.insert(1, R"("zone_traffic":{"cost":40},)");
    LONGS_EQUAL(40, parse_settings("node.json", text).zone_traffic.cost.count());
    CHECK(failure_of("{\"host\"", "{\"zone_traffic\":{\"cost\":-1},\"host\"")
              .find("zone_traffic.cost") != std::string::npos);
}
