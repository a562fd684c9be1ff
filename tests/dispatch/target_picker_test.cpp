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

// Guards against an explanation that leaves out what a silent target or a body costs, and against
// one that announces a probe that does not follow, or none before a probe.
TEST(target_picker, explanation_names_silence_bodies_and_probes)
{
    candidates = {{incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, true}};
    answer(1, 50, 20, 0);
    answer(2, 50, 20, 0);
    picker.on_sent({incarnation_id{1}, at(1000)});
    picker.on_sent({incarnation_id{1}, at(1010)});
    picker.on_intake_wait(at(1900), incarnation_id{2}, milliseconds{400});
    const auto report = picker.explain(at(2000), candidates, aim, {"", 0, 60000});
    const auto& silent = report->candidates[0];
    const auto& other = report->candidates[1];
    CHECK(silent.cost.is_avoided());
    DOUBLES_EQUAL(1000, silent.cost.unanswered_ms, 0.001);
    CHECK(silent.total_ms > 1000);
    CHECK(!other.cost.is_avoided());
    DOUBLES_EQUAL(360, other.cost.intake_wait_ms, 0.001);
    CHECK(other.cost.transfer_ms > 0);
    DOUBLES_EQUAL(0, silent.cost.intake_wait_ms, 0.001);
    LONGS_EQUAL(1, report->chosen);
    int probes = 0;
    for (long now = 2000; now < 20000; now += 10) {
        const auto expected = picker.explain(at(now), candidates, aim);
        const bool probe = expected->cause == pick_cause::probe;
        CHECK(expected->candidates[0].probe_due == probe);
        LONGS_EQUAL(probe ? 0 : 1, expected->chosen);
        CHECK(picker.pick(at(now), candidates, {}, aim, random) ==
              candidates[expected->chosen].node);
        probes += probe ? 1 : 0;
    }
    CHECK(probes >= 3);
}

namespace {

/// Plays a host that sends a request each 20 ms to four targets, of which one is silent at times.
class silent_target_play {
public:
    /// Returns the number of requests sent to the silent target in a period. It answers after 80 ms
    /// if `silent_ms` has no value, and otherwise after `silent_ms`, or never at 1,000 or above.
    int run(long from, long until, std::optional<long> silent_ms)
    {
        int sent = 0;
        for (long now = from; now < until; now += 20) {
            end_requests(now);
            const auto node = picker_.pick(at(now), candidates_, {}, aim, random_);
            CHECK(node.has_value());
            const bool silent = silent_ms && (all_silent || node->value == 1);
            sent += node->value == 1 ? 1 : 0;
            picker_.on_sent({*node, at(now)});
            requests_.emplace(now + std::min(silent ? *silent_ms : 80, deadline),
                              std::pair{*node, now});
        }
        return sent;
    }
    bool all_silent = false;

private:
    void end_requests(long now)
    {
        while (!requests_.empty() && requests_.begin()->first <= now) {
            const auto [end, request] = *requests_.begin();
            requests_.erase(requests_.begin());
            const sent_request sent{request.first, at(request.second)};
            if (end - request.second < deadline) {
                picker_.on_answer(at(end), sent, milliseconds{end - request.second}, 1);
                continue;
            }
            picker_.on_overdue(at(end), sent);
            picker_.on_cancelled(at(end), sent);
        }
    }

    static constexpr long deadline = 1000;
    target_picker picker_;
    std::mt19937_64 random_{5};
    std::vector<pick_candidate> candidates_{{incarnation_id{1}, 9, true},
                                            {incarnation_id{2}, 9, true},
                                            {incarnation_id{3}, 9, true},
                                            {incarnation_id{4}, 9, true}};
    /// End of each request in ms, with its node and time of sending.
    std::multimap<long, std::pair<incarnation_id, long>> requests_;
};

} // namespace

// Guards against sending requests to a target that answers none until their deadlines, against many
// probes, and against a target that stays unused after it recovered.
TEST(target_picker, silent_target_is_avoided_probed_and_used_again)
{
    silent_target_play play;
    CHECK(play.run(10000, 14000, {}) >= 30);
    // Before the first deadline.
    CHECK(play.run(14000, 15000, 5000) <= 10);
    CHECK(play.run(15000, 24000, 5000) <= 9);
    play.run(24000, 30000, {});
    CHECK(play.run(30000, 34000, {}) >= 30);
}

// Guards against answers that a silent target gives late and that keep its mean high after it
// recovered.
TEST(target_picker, target_that_answered_late_is_used_again)
{
    silent_target_play play;
    play.run(10000, 14000, {});
    play.run(14000, 17000, 5000);
    play.run(17000, 20000, 900);
    play.run(20000, 26000, {});
    CHECK(play.run(26000, 30000, {}) >= 30);
}

// Guards against a selection without candidates, and against spread that is lost, while no target
// answers because this host is disconnected.
TEST(target_picker, while_no_target_answers_all_are_still_used)
{
    silent_target_play play;
    play.run(10000, 14000, {});
    play.all_silent = true;
    const int sent = play.run(14000, 24000, 5000);
    CHECK(sent >= 50 && sent <= 200);
    play.run(24000, 30000, {});
    CHECK(play.run(30000, 34000, {}) >= 30);
}

// Guards against uploads to a host that reports a backlog of bodies, and against avoiding that host
// for short requests, which do not wait there.
TEST(target_picker, bodies_avoid_a_host_with_a_backlog_and_other_requests_do_not)
{
    candidates = {{incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, true}};
    answer(1, 50, 20, 0);
    answer(2, 50, 20, 0);
    picker.on_intake_wait(at(1000), incarnation_id{2}, milliseconds{400});
    const pick_traits upload{"", 0, 60000};
    int uploads = 0;
    for (int i = 0; i < 50; ++i) {
        uploads += picker.pick(at(1100), candidates, {}, aim, random, upload)->value == 2 ? 1 : 0;
    }
    LONGS_EQUAL(0, uploads);
    CHECK(picks(1100, 50)[2] > 10);
}

// Guards against a target that counts as slow for short requests because uploads to it wait for the
// link of its host.
TEST(target_picker, transfer_of_bodies_does_not_count_as_answer_time_of_other_requests)
{
    candidates = {{incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, true}};
    answer(1, 50, 20, 0);
    answer(2, 50, 20, 0);
    for (long now = 1000; now < 11000; now += 500) {
        picker.on_intake_wait(at(now), incarnation_id{2}, milliseconds{200});
        const sent_request upload{incarnation_id{2}, at(now), 60000};
        picker.on_sent(upload);
        picker.on_answer(at(now + 400), upload, milliseconds{400}, 0);
    }
    CHECK(picks(12000, 50)[2] > 10);
}

// Guards against a request that counts as missed because another one, sent at the same time,
// reached its deadline.
TEST(target_picker, requests_sent_at_the_same_time_end_one_by_one)
{
    answer(1, 50, 20);
    const sent_request request{incarnation_id{1}, at(1000)};
    picker.on_sent(request);
    picker.on_sent(request);
    picker.on_overdue(at(1300), request);
    picker.on_cancelled(at(1300), request);
    LONGS_EQUAL(1, picker.unanswered().at_used);
    picker.on_answer(at(1310), request, milliseconds{310}, 1);
    LONGS_EQUAL(0, picker.unanswered().at_used);
    LONGS_EQUAL(1, picker.unanswered().missed_at_used);
}

// Guards against a target that seems fast because clients leave before it answers, and against a
// failure for a request that had too little time for any target.
TEST(target_picker, cancelled_requests_count_and_requests_with_too_little_time_do_not)
{
    candidates = {{incarnation_id{1}, 6, true}, {incarnation_id{2}, 6, true}};
    answer(1, 50, 20, 0);
    answer(2, 50, 20, 0);
    const sent_request hasty{incarnation_id{2}, at(1000)};
    picker.on_sent(hasty);
    picker.on_overdue(at(1020), hasty);
    picker.on_cancelled(at(1020), hasty);
    CHECK(picks(1030, 100)[2] > 20);
    const sent_request left{incarnation_id{2}, at(1100)};
    picker.on_sent(left);
    picker.on_cancelled(at(1500), left);
    LONGS_EQUAL(0, picks(1510, 100)[2]);
}
