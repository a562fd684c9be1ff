/// Compares the dispatch decisions with and without each mechanism, under load and faults, in
/// virtual time.

#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "bench/dispatch_model.h"

DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_int32(seeds, 20, "number of seeds that each scenario is played with, 1 to 1000");
DEFINE_uint64(first_seed, 1, "first seed");
DEFINE_string(scenario, "", "scenario to play; empty plays all");
DEFINE_string(policy, "", "policy to play; empty plays all");

namespace {

using namespace bulrushgw;
using namespace bulrushgw::bench;

struct named_policy {
    std::string name;
    decision_policy policy;
};

std::uint32_t reserve_no_slots(const dispatch::denser_work&, std::uint32_t)
{
    return 0;
}

double density_by_rank(const dispatch::request_traits& request)
{
    constexpr double late_factor = 1e-6;
    return std::exp2(-static_cast<double>(request.rank)) * (request.late ? late_factor : 1);
}

/// The shipped policy, and the same with one mechanism switched off.
std::vector<named_policy> policies()
{
    std::vector<named_policy> result{{"shipped", {}}};
    const auto add = [&](std::string name) -> decision_policy& {
        return result.emplace_back(named_policy{std::move(name), {}}).policy;
    };
    add("no-reserved-slots").queue.reserved_slots = reserve_no_slots;
    auto& by_rank = add("rank-only").queue;
    by_rank.worth_density = density_by_rank;
    by_rank.reserved_slots = reserve_no_slots;
    add("refusals-not-failures").counts_target_refusals = false;
    add("failures-never-fade").picks.failure_half_life = std::chrono::hours{1};
    add("zones-cost-nothing").picks.zones.cost = milliseconds{0};
    add("missed-not-counted").picks.unanswered.counts_ended = false;
    add("waiting-not-counted").picks.unanswered.counts_waiting = false;
    add("no-probes").picks.unanswered.probes = false;
    add("unanswered-ignored").picks.unanswered = {false, false, false};
    add("bodies-ignored").picks.counts_bodies = false;
    add("no-time-spent").uses_time_spent = false;
    return result;
}

struct spread {
    double mean = 0;
    double deviation = 0;
};

spread spread_of(const std::vector<double>& values)
{
    spread result;
    const auto count = static_cast<double>(values.size());
    for (const double value : values) {
        result.mean += value / count;
    }
    for (const double value : values) {
        result.deviation += (value - result.mean) * (value - result.mean) / count;
    }
    result.deviation = std::sqrt(result.deviation);
    return result;
}

struct result_row {
    std::string scenario;
    std::string policy;
    spread worth;
    spread nines;
    load_figures total;                                          ///< summed over the seeds
    std::map<std::size_t, std::vector<double>> in_aim_by_zone;   ///< shares, one for each seed
    std::map<std::size_t, std::vector<double>> to_other_by_zone; ///< shares, one for each seed
};

result_row play(const load_scenario& scenario, const named_policy& policy)
{
    result_row row;
    row.scenario = scenario.name;
    row.policy = policy.name;
    std::vector<double> worths;
    std::vector<double> nines;
    for (int i = 0; i < FLAGS_seeds; ++i) {
        const auto figures =
            play_load(scenario, policy.policy, FLAGS_first_seed + static_cast<std::uint64_t>(i));
        worths.push_back(figures.worth_share());
        nines.push_back(figures.nines());
        for (const auto& [name, counts] : figures.kinds) {
            auto& sum = row.total.kinds[name];
            sum.asked += counts.asked;
            sum.in_aim += counts.in_aim;
            sum.late += counts.late;
            sum.refused += counts.refused;
            sum.refused_again += counts.refused_again;
            sum.failed += counts.failed;
        }
        row.total.silence.share_during += figures.silence.share_during;
        row.total.silence.share_after += figures.silence.share_after;
        row.total.silence.windows += figures.silence.windows;
        for (const auto& [zone, counts] : figures.zones) {
            const auto share = [](std::uint64_t part, std::uint64_t whole) {
                return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
            };
            row.in_aim_by_zone[zone].push_back(share(counts.answered_in_aim, counts.ended));
            row.to_other_by_zone[zone].push_back(share(counts.sent_to_other, counts.sent));
        }
    }
    row.worth = spread_of(worths);
    row.nines = spread_of(nines);
    return row;
}

void print_table(const std::vector<result_row>& rows)
{
    std::printf("%-18s %-22s %6s %6s %6s %6s\n", "scenario", "policy", "worth", "+-", "nines",
                "+-");
    for (const auto& row : rows) {
        std::printf("%-18s %-22s %6.3f %6.3f %6.3f %6.3f\n", row.scenario.c_str(),
                    row.policy.c_str(), row.worth.mean, row.worth.deviation, row.nines.mean,
                    row.nines.deviation);
        for (const auto& [name, counts] : row.total.kinds) {
            const auto asked = static_cast<double>(counts.asked);
            const auto share = [asked](std::uint64_t part) {
                return static_cast<double>(part) / asked;
            };
            std::printf("    %-12s in aim %.3f  late %.3f  refused %.3f (again %.3f)  failed "
                        "%.3f\n",
                        name.c_str(), share(counts.in_aim), share(counts.late),
                        share(counts.refused), share(counts.refused_again), share(counts.failed));
        }
        if (const auto& silence = row.total.silence; silence.windows > 0) {
            std::printf("    silent targets: share while silent %.3f  in the 3 s after %.3f\n",
                        silence.share_during / silence.windows,
                        silence.share_after / silence.windows);
        }
        for (const auto& [zone, shares] : row.in_aim_by_zone) {
            const auto in_aim = spread_of(shares);
            const auto to_other = spread_of(row.to_other_by_zone.at(zone));
            std::printf("    zone %zu       in aim %.3f +- %.3f  left the zone %.3f +- %.3f\n",
                        zone, in_aim.mean, in_aim.deviation, to_other.mean, to_other.deviation);
        }
    }
}

void print_json(const std::vector<result_row>& rows)
{
    auto all = nlohmann::json::array();
    for (const auto& row : rows) {
        nlohmann::json kinds;
        for (const auto& [name, counts] : row.total.kinds) {
            kinds[name] = {{"asked", counts.asked},   {"in_aim", counts.in_aim},
                           {"late", counts.late},     {"refused", counts.refused},
                           {"failed", counts.failed}, {"refused_again", counts.refused_again}};
        }
        all.push_back({{"scenario", row.scenario},
                       {"policy", row.policy},
                       {"worth", row.worth.mean},
                       {"worth_deviation", row.worth.deviation},
                       {"nines", row.nines.mean},
                       {"nines_deviation", row.nines.deviation},
                       {"kinds", kinds}});
    }
    std::printf("%s\n", all.dump(2).c_str());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_seeds < 1 || FLAGS_seeds > 1000) {
        std::fputs("dispatch: --seeds must be 1 to 1000\n", stderr);
        return 2;
    }
    std::vector<result_row> rows;
    for (const auto& scenario : load_scenarios()) {
        if (!FLAGS_scenario.empty() && FLAGS_scenario != scenario.name) {
            continue;
        }
        for (const auto& policy : policies()) {
            if (!FLAGS_policy.empty() && FLAGS_policy != policy.name) {
                continue;
            }
            rows.push_back(play(scenario, policy));
        }
    }
    if (rows.empty()) {
        std::fprintf(stderr, "dispatch: there is no scenario %s or no policy %s\n",
                     FLAGS_scenario.c_str(), FLAGS_policy.c_str());
        return 2;
    }
    if (FLAGS_json) {
        print_json(rows);
    }
    else {
        print_table(rows);
    }
    return 0;
}
