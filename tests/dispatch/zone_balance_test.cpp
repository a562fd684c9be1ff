#include "dispatch/zone_balance.h"

#include <cmath>
#include <numbers>

#include "zone_model.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

constexpr milliseconds settled{15000};
constexpr milliseconds end{30000};

/// Constant demand of each zone as a part of the capacity of three targets.
zone_scenario steady(double a, double b, double c)
{
    zone_scenario result;
    result.demand = [=](std::size_t zone, milliseconds) {
        return zone == 0 ? a : zone == 1 ? b : c;
    };
    return result;
}

/// Plays the scenario with each delay of the figures and number of deciders.
void play_all(const zone_scenario& scenario, const std::function<void(const zone_model&)>& check)
{
    for (const long delay : {0, 300, 1000}) {
        for (const std::size_t deciders : {3, 30, 300}) {
            zone_scenario variant = scenario;
            variant.news_delay = milliseconds{delay};
            variant.deciders = deciders;
            zone_model model(variant, 11);
            model.run_until(end);
            check(model);
        }
    }
}

} // namespace

TEST_GROUP(zone_balance_model){};

// Guards against traffic between zones that have room.
TEST(zone_balance_model, nothing_leaves_a_calm_zone)
{
    play_all(steady(0.4, 0.4, 0.4), [](const zone_model& model) {
        for (std::size_t zone = 0; zone < model_zones; ++zone) {
            CHECK(model.outcome(zone, milliseconds{0}, end).left <= 0.005);
        }
    });
}

// Guards against many deciders that leave a full zone and return to it together.
TEST(zone_balance_model, share_of_full_zone_settles)
{
    play_all(steady(1.3, 0.5, 0.5), [](const zone_model& model) {
        const auto full = model.outcome(0, settled, end);
        CHECK(full.left > 0.02);
        CHECK(full.left < 0.5);
        CHECK(full.highest - full.lowest < 0.5);
        CHECK(full.movement < 0.15);
        for (const std::size_t zone : {1, 2}) {
            CHECK(model.outcome(zone, settled, end).left < 0.1);
        }
    });
}

// Guards against requests that queue or are refused at the only target of a zone while others idle.
TEST(zone_balance_model, zone_with_too_few_targets_is_relieved)
{
    zone_scenario scenario = steady(0.6, 0.6, 0.6);
    scenario.targets = {1, 3, 3};
    play_all(scenario, [](const zone_model& model) {
        const auto short_of_targets = model.outcome(0, settled, end);
        CHECK(short_of_targets.left > 0.25);
        CHECK(short_of_targets.left < 0.7);
        CHECK(short_of_targets.in_time > 0.75);
    });
}

// Guards against a share that stays after the demand has fallen.
TEST(zone_balance_model, share_returns_to_zero_after_a_burst)
{
    zone_scenario scenario;
    scenario.demand = [](std::size_t zone, milliseconds at) {
        return zone == 0 && at < milliseconds{8000} ? 1.4 : 0.4;
    };
    play_all(scenario, [](const zone_model& model) {
        CHECK(model.outcome(0, milliseconds{3000}, milliseconds{8000}).left > 0.02);
        CHECK(model.outcome(0, milliseconds{25000}, end).left < 0.05);
    });
}

// Guards against a share that follows a wave of demand so late that it makes things worse.
TEST(zone_balance_model, demand_wave_is_followed)
{
    zone_scenario scenario;
    scenario.demand = [](std::size_t zone, milliseconds at) {
        constexpr double period_ms = 12000;
        const double phase =
            static_cast<double>(at.count()) / period_ms + static_cast<double>(zone) / model_zones;
        return 0.75 * (1 + 0.55 * std::sin(2 * std::numbers::pi * phase));
    };
    play_all(scenario, [](const zone_model& model) {
        const auto outcome = model.outcome(0, milliseconds{6000}, end);
        CHECK(outcome.left > 0.005);
        CHECK(outcome.left < 0.4);
        CHECK(outcome.in_time > 0.7);
    });
}

// Guards against requests that get no target while their zone has none, and against deciders that
// keep away from a zone that is back.
TEST(zone_balance_model, lost_zone_sends_everything_out_until_it_returns)
{
    zone_scenario scenario = steady(0.5, 0.5, 0.5);
    scenario.speed = [](std::size_t zone, std::size_t, milliseconds at) {
        return zone == 0 && at >= milliseconds{5000} && at < milliseconds{12000} ? 0.0 : 1.0;
    };
    play_all(scenario, [](const zone_model& model) {
        CHECK(model.outcome(0, milliseconds{6000}, milliseconds{12000}).left == 1);
        CHECK(model.outcome(0, milliseconds{20000}, end).left < 0.05);
    });
}

// Guards against traffic for slow moments, which the zone's other targets can take over.
TEST(zone_balance_model, uneven_targets_with_slow_moments_keep_most_requests)
{
    zone_scenario scenario = steady(0.4, 0.4, 0.4);
    scenario.speed = [](std::size_t zone, std::size_t target, milliseconds at) {
        const double speed = target == 0 ? 0.5 : target == 1 ? 1.0 : 1.6;
        const auto moment = static_cast<std::uint64_t>(at / milliseconds{400});
        std::mt19937_64 random(moment * 64 + zone * 8 + target);
        return random() % 5 == 0 ? speed / 3 : speed;
    };
    play_all(scenario, [](const zone_model& model) {
        for (std::size_t zone = 0; zone < model_zones; ++zone) {
            CHECK(model.outcome(zone, milliseconds{5000}, end).left < 0.3);
        }
    });
}

// Guards against requests that move between zones of which none has room.
TEST(zone_balance_model, full_zones_keep_their_requests)
{
    play_all(steady(1.4, 1.4, 1.4), [](const zone_model& model) {
        for (std::size_t zone = 0; zone < model_zones; ++zone) {
            CHECK(model.outcome(zone, settled, end).left < 0.12);
        }
    });
}

TEST_GROUP(zone_balance)
{
    std::mt19937_64 random{5};
    std::vector<zone_option> zones{
        {"a", true, false, 50, 50}, {"b", false, false, 50, 50}, {"c", false, false, 50, 50}};

    /// One request every 10 ms for 5 s, of which the own zone refuses all.
    void refuse_at_own_zone(zone_balance & balance, milliseconds begin)
    {
        for (auto at = begin; at < begin + milliseconds{5000}; at += milliseconds{10}) {
            balance.update(time_point(at), zones, milliseconds{200});
            balance.on_refusal(time_point(at), "a", 2);
        }
    }
};

// Guards against traffic to a zone that is warming up, and to a zone that was lost.
TEST(zone_balance, cold_and_lost_zones_get_no_share)
{
    zone_balance balance;
    zones[1].cold = true;
    refuse_at_own_zone(balance, milliseconds{1000});
    CHECK(balance.share_of("b") == 0);
    CHECK(balance.share_of("c") > 0.5);
    CHECK(balance.cause() == zone_cause::own_zone_refuses);
    // Not even a refused request goes to a cold zone while there is a choice.
    zones[0].expected_ms = zones[2].expected_ms = 500;
    for (int i = 0; i < 100; ++i) {
        CHECK(balance.choose(zones, {milliseconds{200}, 0, true}, random) != 1U);
    }
    zones.pop_back();
    balance.update(time_point(milliseconds{6010}), zones, milliseconds{200});
    CHECK(balance.share() == 0);
}

// Guards against a share that was right long ago.
TEST(zone_balance, share_is_forgotten_without_requests)
{
    zone_balance balance;
    refuse_at_own_zone(balance, milliseconds{1000});
    balance.update(time_point(milliseconds{60000}), zones, milliseconds{200});
    CHECK(balance.share() == 0);
}

// Guards against a cost that has no effect, and against urgent requests that leave less often than
// others.
TEST(zone_balance, cost_and_rank_limit_what_leaves)
{
    zone_balance expensive({milliseconds{200}});
    refuse_at_own_zone(expensive, milliseconds{1000});
    CHECK(expensive.share() == 0);
    // The share is moderate as long as it grows.
    zone_balance balance;
    for (long at = 1000; at < 2400; at += 10) {
        balance.update(time_point(milliseconds{at}), zones, milliseconds{200});
        balance.on_refusal(time_point(milliseconds{at}), "a", 2);
    }
    const auto leaving = [&](std::uint32_t rank) {
        int result = 0;
        for (int i = 0; i < 1000; ++i) {
            const auto chosen = balance.choose(zones, {milliseconds{200}, rank, false}, random);
            result += *chosen == 0 ? 0 : 1;
        }
        return result;
    };
    CHECK(leaving(0) > leaving(2) + 100);
}
