#include "dispatch/target_picker.h"

#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

constexpr milliseconds aim{150};

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

} // namespace

TEST_GROUP(target_picker)
{
    target_picker picker;
    std::mt19937_64 random{3};
    std::vector<pick_candidate> candidates{
        {incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, false}, {incarnation_id{3}, 6, false}};

    void answer(std::uint64_t node, long took, int times, int load = 1)
    {
        for (int i = 0; i < times; ++i) {
            picker.on_sent(incarnation_id{node});
            picker.on_answer(at(0), incarnation_id{node}, milliseconds{took}, load);
        }
    }
    std::map<std::uint64_t, int> picks(long now, int times)
    {
        std::map<std::uint64_t, int> result;
        for (int i = 0; i < times; ++i) {
            ++result[picker.pick(at(now), candidates, {}, aim, random)->value];
        }
        return result;
    }
};

// Guards against traffic between availability zones for a small gain in time.
TEST(target_picker, own_zone_is_preferred_while_it_meets_the_aim)
{
    answer(1, 70, 20);
    answer(2, 40, 20);
    LONGS_EQUAL(100, picks(10, 100)[1]);
}

// Guards against queueing in the own zone while targets in other zones are idle.
TEST(target_picker, other_zones_are_used_when_own_zone_is_full)
{
    answer(1, 60, 20);
    answer(2, 60, 20);
    answer(3, 60, 20);
    for (int i = 0; i < 18; ++i) {
        picker.on_sent(incarnation_id{1});
    }
    LONGS_EQUAL(0, picks(10, 100)[1]);
}

// Guards against new targets that receive all requests: each of 195 nodes sees few answers, and 14
// of 47 targets have just joined. The load is two thirds of the capacity of all targets.
TEST(target_picker, new_targets_get_their_share_from_many_nodes)
{
    constexpr std::size_t nodes = 195;
    constexpr std::uint64_t targets = 47;
    constexpr std::uint64_t old_targets = 33;
    constexpr std::uint32_t slots = 5;
    constexpr long work = 60;
    std::vector<target_picker> pickers(nodes);
    std::map<std::uint64_t, int> running;
    // Maps the end of each run in ms to its node and target.
    std::multimap<long, std::pair<std::size_t, std::uint64_t>> run_ends;
    int refused = 0;
    int requests = 0;
    int to_new_targets = 0;
    const auto simulate = [&](long from, long until, std::uint64_t present) {
        std::vector<pick_candidate> all;
        for (std::uint64_t id = 1; id <= present; ++id) {
            all.push_back({incarnation_id{id}, slots, true});
        }
        refused = requests = to_new_targets = 0;
        for (long now = from; now < until; ++now) {
            while (!run_ends.empty() && run_ends.begin()->first <= now) {
                const auto [node, target] = run_ends.begin()->second;
                run_ends.erase(run_ends.begin());
                pickers[node].on_answer(at(now), incarnation_id{target}, milliseconds{work},
                                        --running[target]);
            }
            const int arrivals = static_cast<int>(present * slots) * 2 / 3;
            for (int i = 0; i < arrivals; ++i) {
                if (random() % work != 0) {
                    continue;
                }
                const std::size_t node = random() % nodes;
                const auto target = pickers[node].pick(at(now), all, {}, aim, random)->value;
                ++requests;
                to_new_targets += target > old_targets ? 1 : 0;
                pickers[node].on_sent(incarnation_id{target});
                if (running[target] >= static_cast<int>(slots)) {
                    ++refused;
                    pickers[node].on_refusal(at(now), incarnation_id{target}, running[target]);
                    continue;
                }
                ++running[target];
                run_ends.emplace(now + work, std::pair{node, target});
            }
        }
    };
    simulate(0, 5000, old_targets);
    simulate(5000, 6000, targets);
    // The new targets are 30 % of all targets.
    CHECK(to_new_targets <= requests * 40 / 100);
    CHECK(to_new_targets >= requests * 20 / 100);
    CHECK(refused <= requests * 20 / 100);
}

// Guards against a target that fails quickly and therefore receives all requests.
TEST(target_picker, failing_target_is_avoided_and_retried_later)
{
    answer(1, 20, 20);
    for (int i = 0; i < 10; ++i) {
        picker.on_sent(incarnation_id{1});
        picker.on_failure(at(100), incarnation_id{1});
    }
    LONGS_EQUAL(0, picks(150, 50)[1]);
    CHECK(picks(3000, 50)[1] > 0);
}

// Guards against a retry at a target that has already refused the request.
TEST(target_picker, avoided_targets_are_not_picked)
{
    const auto other = picker.pick(at(0), candidates, {incarnation_id{1}}, aim, random);
    CHECK(other.has_value() && other->value != 1);
    CHECK_FALSE(picker
                    .pick(at(0), candidates,
                          {incarnation_id{1}, incarnation_id{2}, incarnation_id{3}}, aim, random)
                    .has_value());
}

// Guards against requests that keep going to a target that rejects most of them while others have
// room. Once the target answers again, it must get its share back.
TEST(target_picker, target_that_refuses_is_avoided_until_it_answers)
{
    target_picker picker;
    std::mt19937_64 random(5);
    const std::vector<pick_candidate> candidates{
        {incarnation_id{1}, 9, true}, {incarnation_id{2}, 9, true}, {incarnation_id{3}, 9, true}};
    const incarnation_id refusing{1};
    const auto share_of_refusing = [&](long from_ms, long to_ms, bool refuses) {
        int picked_refusing = 0;
        int picked = 0;
        for (long now = from_ms; now < to_ms; now += 10) {
            const time_point at{milliseconds{now}};
            const auto node = picker.pick(at, candidates, {}, milliseconds{300}, random);
            picker.on_sent(*node);
            ++picked;
            if (*node == refusing && refuses) {
                ++picked_refusing;
                picker.on_target_refusal(at, *node, 3);
                continue;
            }
            picked_refusing += *node == refusing ? 1 : 0;
            picker.on_answer(at, *node, milliseconds{100}, 3);
        }
        return static_cast<double>(picked_refusing) / picked;
    };
    CHECK(share_of_refusing(100000, 102000, false) > 0.2);
    CHECK(share_of_refusing(102000, 110000, true) < 0.1);
    share_of_refusing(110000, 113000, false);
    CHECK(share_of_refusing(113000, 118000, false) > 0.2);
}

// Guards against a cold target that gets its full share, and against one that gets nothing because
// the others are faster.
TEST(target_picker, cold_target_gets_few_requests_but_is_not_starved)
{
    for (auto& candidate : candidates) {
        candidate.same_zone = true;
        answer(candidate.node.value, 50, 20, 0);
    }
    candidates[1].warming_up = true;
    candidates[2].warming_up = true;
    candidates[2].same_zone = false;
    std::map<std::uint64_t, int> count;
    for (long now = 10000; now < 14000; now += 50) {
        count[picker.pick(at(now), candidates, {}, aim, random)->value] += 1;
    }
    CHECK(count[2] >= 2 && count[2] <= 8);
    CHECK(count[3] >= 1 && count[3] <= 3);
}

// Guards against asking a cold target again before it accepts requests, and against refusing a
// request only because all targets are cold.
TEST(target_picker, cold_target_is_not_picked_before_the_time_that_its_node_told)
{
    candidates.resize(2);
    for (auto& candidate : candidates) {
        candidate.same_zone = true;
        candidate.warming_up = true;
    }
    picker.on_sent(incarnation_id{1});
    picker.on_warm_up_refusal(at(1000), incarnation_id{1}, 0, milliseconds{400});
    LONGS_EQUAL(0, picks(1399, 50)[1]);
    CHECK(picks(1400, 50)[1] > 0);
    CHECK(picker.pick(at(1399), candidates, {incarnation_id{2}}, aim, random)->value == 1);
}

// Guards against a target that counts as slow for a long time because of its answers while it was
// cold.
TEST(target_picker, answers_of_a_cold_target_do_not_count_as_those_of_a_slow_one)
{
    candidates = {{incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, true, true}};
    answer(1, 50, 20, 0);
    picks(0, 1);
    answer(2, 100, 20, 0);
    candidates[1].warming_up = false;
    CHECK(picks(1000, 100)[2] > 20);
}

// Guards against sending requests to a machine that is slow for a moment, and against avoiding it
// for longer than the figure is valid.
TEST(target_picker, machine_that_reports_slow_work_is_avoided_while_the_report_is_valid)
{
    candidates = {{incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, true}};
    answer(1, 50, 20, 0);
    answer(2, 50, 20, 0);
    picker.on_work_percent(at(1000), incarnation_id{2}, 300);
    LONGS_EQUAL(0, picks(1300, 50)[2]);
    CHECK(picks(1500, 50)[2] > 10);
}

// Guards against an explanation that changes what is picked afterwards, and against one that
// differs from the picks: another target, another share that leaves the zone.
TEST(target_picker, explanation_agrees_with_picks_and_changes_nothing)
{
    std::vector<pick_candidate> zones{{incarnation_id{1}, 4, true, false, "own"},
                                      {incarnation_id{2}, 4, true, false, "own"},
                                      {incarnation_id{3}, 4, false, false, "other"},
                                      {incarnation_id{4}, 4, true, true, "own"}};
    target_picker undisturbed;
    std::mt19937_64 other_random{3};
    std::map<std::uint64_t, int> picks;
    double leaving = 0;
    for (long now = 1; now < 4000; now += 2) {
        // Targets of the own zone are slow, and one of them is slower, so that some requests leave.
        std::optional<pick_explanation> report;
        for (int i = 0; i < 2; ++i) {
            report = picker.explain(at(now), zones, aim);
        }
        const auto picked = picker.pick(at(now), zones, {}, aim, random);
        CHECK(picked == undisturbed.pick(at(now), zones, {}, aim, other_random));
        if (now > 2000) {
            CHECK(report->chosen != 1);
            CHECK(report->candidates[1].cost.mean_answer_ms >
                  report->candidates[0].cost.mean_answer_ms);
            ++picks[picked->value];
            for (const auto& zone : report->zones) {
                leaving += zone.own ? 0 : zone.share;
            }
        }
        for (auto* each : {&picker, &undisturbed}) {
            each->on_sent(*picked);
            const long took = picked->value == 2 ? 600 : picked->value == 3 ? 50 : 190;
            each->on_answer(at(now), *picked, milliseconds{took}, 4, aim);
        }
    }
    CHECK(leaving > 0);
    // The draws of some hundred requests scatter by less than a tenth of their number.
    DOUBLES_EQUAL(leaving, picks[3], 100);
}

// Guards against costs whose parts do not tell why a target is avoided.
TEST(target_picker, explanation_names_failures_and_refusals)
{
    answer(1, 60, 20);
    answer(2, 60, 20);
    candidates[1].warming_up = true;
    picker.on_sent(incarnation_id{1});
    picker.on_failure(at(10), incarnation_id{1});
    picker.on_sent(incarnation_id{2});
    picker.on_warm_up_refusal(at(10), incarnation_id{2}, 1, milliseconds{500});
    const auto report = picker.explain(at(110), candidates, aim);
    CHECK(report->candidates[0].cost.failure_ms > 0);
    LONGS_EQUAL(100, report->candidates[0].failure_age->count());
    CHECK(report->candidates[1].cost.refusing_ms > 0);
    LONGS_EQUAL(400, report->candidates[1].refusing_time->count());
    CHECK(!report->candidates[2].cost.has_answers);
    CHECK(!report->candidates[2].load_age);
}
