#include "node/event_log.h"

#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::node;
using nlohmann::json;

TEST_GROUP(event_log)
{
    std::vector<json> lines;
    time_point now{std::chrono::hours{1}};
    event_log subject{
        log_level::info,
        "ladder-1",
        [this](log_level, const std::string& line) { lines.push_back(json::parse(line)); },
        {.lines_per_kind = 5, .lines = 8, .window = milliseconds{1000}}};
};

// Guards against log lines that are not valid JSON.
TEST(event_log, line_is_one_json_object)
{
    subject.set_incarnation(incarnation_id{0xab});
    subject.write(now,
                  {.kind = event_kind::rules_applied, .version = 12, .cause = "a \"b\"\n\xff"});
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("rules-applied", lines[0]["event"].get<std::string>().c_str());
    STRCMP_EQUAL("00000000000000ab", lines[0]["incarnation"].get<std::string>().c_str());
    LONGS_EQUAL(12, lines[0]["version"].get<int>());
    CHECK_FALSE(lines[0].contains("range"));
}

// Guards against a rapidly changing state that floods the log, and against suppressed lines that
// are not reported.
TEST(event_log, repeated_events_are_limited_and_counted)
{
    for (int i = 0; i < 50; ++i) {
        subject.write(now, {.kind = event_kind::store_down});
    }
    LONGS_EQUAL(5, lines.size());
    subject.write(now, {.kind = event_kind::target_silent});
    LONGS_EQUAL(6, lines.size());
    now += milliseconds{1000};
    subject.on_tick(now);
    LONGS_EQUAL(7, lines.size());
    LONGS_EQUAL(45, lines[6]["suppressed"].get<int>());
    LONGS_EQUAL(45, subject.suppressed());
    subject.write(now, {.kind = event_kind::store_down});
    LONGS_EQUAL(8, lines.size());
}

// Guards against events of several kinds that together flood the log.
TEST(event_log, total_of_all_kinds_is_limited)
{
    for (int i = 0; i < 4; ++i) {
        subject.write(now, {.kind = event_kind::store_down});
        subject.write(now, {.kind = event_kind::store_up});
        subject.write(now, {.kind = event_kind::lease_lost});
    }
    LONGS_EQUAL(8, lines.size());
}

// Guards against a log level that has no effect.
TEST(event_log, level_is_respected)
{
    event_log strict(log_level::error, "h", [this](log_level, const std::string& line) {
        lines.push_back(json::parse(line));
    });
    strict.write(now, {.kind = event_kind::store_down});
    strict.write(now, {.kind = event_kind::internal_failure});
    LONGS_EQUAL(1, lines.size());
}
