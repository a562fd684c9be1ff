#include "node/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::node;
using nlohmann::json;

namespace {

json minimal()
{
    return {{"host", "ladder-1"},
            {"zone", "nbo-a"},
            {"region", "nairobi"},
            {"addresses",
             {{"clients", "127.0.0.1:8000"},
              {"operator", "127.0.0.1:8001"},
              {"inner", "127.0.0.1:8002"},
              {"announce", "127.0.0.1:8003"}}},
            {"store", {{"address", "127.0.0.1:7000"}}}};
}

std::vector<settings_problem> problems_of(const std::string& text)
{
    try {
        parse_settings(text, "node.json");
    }
    catch (const settings_error& failure) {
        return failure.problems;
    }
    return {};
}

/// Returns the expected value in the only problem of the settings, which must concern `field`.
std::string only_problem(const json& root, const std::string& field)
{
    const auto problems = problems_of(root.dump());
    LONGS_EQUAL(1, problems.size());
    STRCMP_EQUAL(field.c_str(), problems.at(0).field.c_str());
    return problems.at(0).expected;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_GROUP(settings){};

// Guards against defaults that differ from the documented ones.
TEST(settings, defaults_are_filled_in)
{
    const auto values = parse_settings(minimal().dump(), "node.json");
    LONGS_EQUAL(200, values.lease.renewal.count());
    LONGS_EQUAL(1200, values.lease.lease.count());
    LONGS_EQUAL(10, values.lease.drift_permille);
    LONGS_EQUAL(256 * 1024, values.limits.body_bytes);
    LONGS_EQUAL(8002, values.addresses.inner.port);
    LONGS_EQUAL(32, values.store_nodes);
    CHECK(values.join_peers.empty());
    CHECK(values.level == log_level::info);
}

// Guards against printed settings that the parser rejects or reads differently.
TEST(settings, printed_settings_can_be_parsed)
{
    json root = minimal();
    root["lease"] = {{"length", "90s"}, {"renewal", "150ms"}};
    root["limits"] = {{"header", "1500B"}, {"duplicate_table", "2MiB"}};
    root["join_peers"] = {"127.0.0.2:8002", "[::1]:8002"};
    root["lease"]["length"] = "1min";
    const std::string printed = print_settings(parse_settings(root.dump(), "a"));
    STRCMP_EQUAL(printed.c_str(), print_settings(parse_settings(printed, "b")).c_str());
    CHECK(contains(printed, "\"1min\""));
    CHECK(contains(printed, "\"1500B\""));
    for (const settings_field& field : settings_fields) {
        CHECK(contains(printed, std::string(field.path.substr(field.path.rfind('.') + 1))));
    }
}

// Guards against a parser that stops at the first problem.
TEST(settings, all_problems_are_reported_at_once)
{
    json root = minimal();
    root.erase("zone");
    root["hosts"] = "x";
    root["addresses"]["clients"] = "localhost:1";
    root["lease"] = {{"renewal", 200}, {"length", "1200"}, {"tick", "1ms"}, {"typo", 1}};
    const auto problems = problems_of(root.dump());
    std::vector<std::string> fields;
    for (const auto& problem : problems) {
        fields.push_back(problem.field);
        STRCMP_EQUAL("node.json", problem.file.c_str());
    }
    std::ranges::sort(fields);
    const std::vector<std::string> expected{
        "addresses.clients", "hosts",      "lease.length", "lease.renewal",
        "lease.tick",        "lease.typo", "zone"};
    CHECK(fields == expected);
}

// Guards against values such as "1200" or "64KB" that are read in a unit the operator didn't
// intend.
TEST(settings, units_are_required)
{
    for (const char* wrong :
         {"1200", "1200 ms", "1.2s", "-1s", "1200us", "", "ms", "9223372036854775807min"}) {
        json root = minimal();
        root["lease"]["length"] = wrong;
        CHECK(contains(only_problem(root, "lease.length"), "ms, s or min"));
    }
    for (const char* wrong : {"64", "64KB", "64kib", "64 KiB", "1GiB"}) {
        json root = minimal();
        root["limits"]["body"] = wrong;
        CHECK(contains(only_problem(root, "limits.body"), "B, KiB or MiB"));
    }
}

// Guards against values outside the documented range.
TEST(settings, range_is_checked_and_reported)
{
    json root = minimal();
    root["limits"]["queue"] = 0;
    CHECK(contains(only_problem(root, "limits.queue"), "from 1 to 100000"));
    root["limits"]["queue"] = -1;
    only_problem(root, "limits.queue");
    root["limits"]["queue"] = "12";
    only_problem(root, "limits.queue");
    root = minimal();
    root["limits"]["body"] = "1MiB";
    CHECK(contains(only_problem(root, "limits.body"), "from 1KiB to 768KiB"));
}

// Guards against lease times with which a single lost renewal ends the lease, or a pause is never
// detected.
TEST(settings, lease_times_must_be_consistent)
{
    json root = minimal();
    root["lease"]["renewal"] = "500ms";
    CHECK(contains(only_problem(root, "lease.length"), "3 times lease.renewal"));
    root = minimal();
    root["lease"]["tick"] = "150ms";
    only_problem(root, "lease.tick");
    root = minimal();
    root["lease"]["pause_threshold"] = "1200ms";
    only_problem(root, "lease.pause_threshold");
}

// Guards against two listeners on the same address, and against an address in the node directory
// that peers can't connect to.
TEST(settings, addresses_must_be_distinct_and_reachable)
{
    json root = minimal();
    root["addresses"]["announce"] = "127.0.0.1:8000";
    CHECK(contains(only_problem(root, "addresses.announce"), "addresses.clients"));
    root = minimal();
    root["addresses"]["inner"] = "0.0.0.0:8002";
    CHECK(contains(only_problem(root, "addresses.inner"), "wildcard"));
    root = minimal();
    root["addresses"]["operator"] = "127.0.0.1:0";
    only_problem(root, "addresses.operator");
    root = minimal();
    root["join_peers"] = {"127.0.0.2:8002", "peer"};
    only_problem(root, "join_peers");
}

// Guards against a crash, or against silently ignored values, for JSON that is not a single object.
TEST(settings, malformed_json_structure_is_reported)
{
    LONGS_EQUAL(1, problems_of("{").size());
    LONGS_EQUAL(1, problems_of("[]").size());
    LONGS_EQUAL(1, problems_of("").size());
    json root = minimal();
    root["lease"] = 7;
    STRCMP_EQUAL("object", only_problem(root, "lease").c_str());
    root = minimal();
    root["lease.tick"] = "20ms";
    only_problem(root, "lease.tick");
    std::string twice = minimal().dump();
    twice.insert(1, R"("host":"other",)");
    const auto problems = problems_of(twice);
    LONGS_EQUAL(1, problems.size());
    STRCMP_EQUAL("host", problems.at(0).field.c_str());
}

// Guards against an unreadable file that is treated as empty settings.
TEST(settings, unreadable_file_has_its_own_error)
{
    CHECK_THROWS(settings_file_error, load_settings("does-not-exist.json"));
    CHECK_THROWS(settings_file_error, load_settings("/"));
}
