#include "sidecar/avoided_targets.h"

#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

TEST_GROUP(avoided_targets)
{
    dispatch::target_picker picker;
    avoided_targets targets;
    std::mt19937_64 random{3};
    std::vector<std::pair<std::string, journal::fields>> lines;

    /// Sends a request to the node, which answers it after 50 ms or not within 1 s.
    void send(incarnation_id node, milliseconds at, bool answered)
    {
        const dispatch::sent_request sent{node, time_point(at)};
        picker.on_sent(sent);
        if (answered) {
            picker.on_answer(time_point(at + milliseconds{50}), sent, milliseconds{50}, 0);
            return;
        }
        picker.on_overdue(time_point(at + milliseconds{1000}), sent);
        picker.on_cancelled(time_point(at + milliseconds{1000}), sent);
    }
    void pick_and_report(milliseconds at, std::uint64_t nodes)
    {
        std::vector<dispatch::pick_candidate> candidates;
        for (std::uint64_t node = 1; node <= nodes; ++node) {
            candidates.push_back({incarnation_id{node}, 4, true, false, "a"});
        }
        picker.pick(time_point(at), candidates, {}, milliseconds{200}, random, {"pool", 0});
        targets.report(time_point(at), picker,
                       [this](std::string_view event, const journal::fields& line) {
                           lines.emplace_back(event, line);
                       });
    }
};

// Guards against a target that is avoided without a line that says why, and against a line for each
// request.
TEST(avoided_targets, start_and_end_are_logged_once_with_the_evidence)
{
    const incarnation_id silent{1};
    send(silent, milliseconds{1000}, true);
    send(silent, milliseconds{2000}, false);
    send(silent, milliseconds{2500}, false);
    for (const long at : {3500, 3510, 3520}) {
        pick_and_report(milliseconds{at}, 2);
    }
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("target_avoided", lines[0].first.c_str());
    LONGS_EQUAL(2, lines[0].second.at("missed").get<int>());
    LONGS_EQUAL(1000, lines[0].second.at("shown_ms").get<int>());
    const auto text = unanswered_text(picker);
    CHECK(text.find("bulrushgw_avoided_targets 1\n") != std::string::npos);
    CHECK(text.find("bulrushgw_missed_requests_total{target=\"used\"} 2\n") != std::string::npos);
    send(silent, milliseconds{4000}, true);
    pick_and_report(milliseconds{4100}, 2);
    LONGS_EQUAL(2, lines.size());
    STRCMP_EQUAL("target_used_again", lines[1].first.c_str());
}

// Guards against a flood of lines when this host itself is disconnected.
TEST(avoided_targets, lines_are_bounded_and_suppressed_ones_are_counted)
{
    constexpr std::uint64_t nodes = 60;
    for (std::uint64_t node = 1; node <= nodes; ++node) {
        send(incarnation_id{node}, milliseconds{1000}, true);
        send(incarnation_id{node}, milliseconds{2000}, false);
    }
    pick_and_report(milliseconds{3000}, nodes);
    LONGS_EQUAL(avoided_targets::max_lines, lines.size());
    send(incarnation_id{1}, milliseconds{13000}, true);
    pick_and_report(milliseconds{13100}, nodes);
    CHECK(lines.size() > avoided_targets::max_lines);
    LONGS_EQUAL(nodes - avoided_targets::max_lines,
                lines[avoided_targets::max_lines].second.at("suppressed").get<int>());
}
