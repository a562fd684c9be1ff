#include "sidecar/zone_traffic.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

TEST_GROUP(zone_traffic){};

// Guards against a log line for each small change of a share, and against a missing return to zero.
TEST(zone_traffic, marked_changes_are_logged_at_a_bounded_rate)
{
    dispatch::target_picker picker;
    zone_traffic traffic;
    std::mt19937_64 random(3);
    std::vector<journal::fields> lines;
    const std::vector<dispatch::pick_candidate> candidates{
        {incarnation_id{1}, 4, true, false, "a"}, {incarnation_id{2}, 4, false, false, "b"}};
    const auto play = [&](milliseconds from, milliseconds to, bool refuse) {
        for (auto at = from; at < to; at += milliseconds{10}) {
            const time_point now(at);
            const auto node =
                *picker.pick(now, candidates, {}, milliseconds{200}, random, {"pool", 0});
            picker.on_sent(node);
            if (refuse && node == incarnation_id{1}) {
                picker.on_refusal(now, node, 8);
            }
            else {
                picker.on_answer(now, node, milliseconds{30}, 1, milliseconds{200});
            }
            traffic.report(now, picker, [&](std::string_view event, const journal::fields& line) {
                STRCMP_EQUAL("zone_share", std::string(event).c_str());
                lines.push_back(line);
            });
        }
    };
    play(milliseconds{1000}, milliseconds{4000}, false);
    LONGS_EQUAL(0, lines.size());
    play(milliseconds{4000}, milliseconds{9000}, true);
    CHECK(!lines.empty());
    CHECK(lines.size() <= 3);
    STRCMP_EQUAL("targets in the zone refuse",
                 lines.front().at("cause").get<std::string>().c_str());
    play(milliseconds{9000}, milliseconds{30000}, false);
    CHECK(lines.back().at("share").get<double>() < 0.01);
    traffic.on_sent("b");
    const auto text = traffic.metrics_text(picker);
    CHECK(text.find("bulrushgw_zone_requests_total{zone=\"b\"} 1") != std::string::npos);
    CHECK(text.find("bulrushgw_zone_share{service=\"pool\",zone=\"b\"}") != std::string::npos);
}
