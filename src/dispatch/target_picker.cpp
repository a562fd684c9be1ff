#include "dispatch/target_picker.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

constexpr double sample_weight = 0.15;
/// Assumed while no target of the service has answered.
constexpr double initial_ms = 30;
/// A target that fails everything costs this much more time than one that does not.
constexpr double failure_cost_ms = 400;
/// Equal targets are told apart at random, within this part of their cost.
constexpr double jitter = 0.1;

/// Part of what a target told of its load that still holds: half of its requests end in
/// about the mean time of one.
double freshness(milliseconds age, double mean_ms)
{
    return std::exp2(-static_cast<double>(age.count()) / std::max(mean_ms, 1.0));
}

} // namespace

const target_picker::seen_target* target_picker::find(incarnation_id node) const
{
    const auto found = seen_.find(node);
    return found == seen_.end() ? nullptr : &found->second;
}

target_picker::service_state
target_picker::state_of(std::span<const pick_candidate> candidates) const
{
    service_state result;
    double answered = 0;
    double told = 0;
    for (const auto& candidate : candidates) {
        const auto* seen = find(candidate.node);
        if (seen == nullptr) {
            continue;
        }
        if (seen->mean_ms > 0) {
            result.mean_ms += seen->mean_ms;
            answered += 1;
        }
        if (seen->told != time_point{}) {
            result.others_by_slot += seen->others / std::max<std::uint32_t>(candidate.slots, 1);
            told += 1;
        }
    }
    result.mean_ms = answered > 0 ? result.mean_ms / answered : initial_ms;
    result.others_by_slot = told > 0 ? result.others_by_slot / told : 0;
    return result;
}

// Each of many nodes sees little of a target. One that took an unknown target for an idle
// and fast one would send it everything together with all others.
double target_picker::cost(time_point now, const pick_candidate& candidate, milliseconds aim,
                           const service_state& service) const
{
    const double slots = std::max<std::uint32_t>(candidate.slots, 1);
    double mean = service.mean_ms;
    double load = service.others_by_slot * slots;
    double failing = 0;
    if (const auto* seen = find(candidate.node)) {
        mean = seen->mean_ms > 0 ? seen->mean_ms : mean;
        if (seen->told != time_point{}) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - seen->told);
            load += freshness(age, service.mean_ms) * (seen->others - load);
        }
        load += seen->in_flight;
        const bool recent = now - seen->last_failure < settings_.retry_bad_after;
        failing = recent ? seen->failures : seen->failures / 4;
    }
    const double waiting = std::max(0.0, load + 1 - slots) / slots;
    // A nearly full target answers later than an idle one.
    const double busy = load / slots / 4;
    const double crossing =
        candidate.same_zone
            ? 0.0
            : static_cast<double>(
                  std::max(settings_.least_crossing, aim / settings_.zone_divisor).count());
    return mean * (1 + waiting + busy) + failing * failure_cost_ms + crossing;
}

std::optional<incarnation_id> target_picker::pick(time_point now,
                                                  std::span<const pick_candidate> candidates,
                                                  const std::vector<incarnation_id>& avoid,
                                                  milliseconds aim, std::mt19937_64& random) const
{
    std::optional<incarnation_id> best;
    double best_cost = 0;
    std::uniform_real_distribution<double> noise(1.0, 1.0 + jitter);
    const auto service = state_of(candidates);
    for (const auto& candidate : candidates) {
        if (std::find(avoid.begin(), avoid.end(), candidate.node) != avoid.end()) {
            continue;
        }
        const double value = cost(now, candidate, aim, service) * noise(random);
        if (!best || value < best_cost) {
            best = candidate.node;
            best_cost = value;
        }
    }
    return best;
}

void target_picker::end_one(incarnation_id node)
{
    auto& seen = seen_[node];
    if (seen.in_flight > 0) {
        --seen.in_flight;
    }
}

void target_picker::note_load(time_point now, seen_target& seen, int load)
{
    if (load >= 0) {
        const auto told = static_cast<double>(load);
        seen.others = std::max(0.0, told - static_cast<double>(seen.in_flight));
        seen.told = now;
    }
}

void target_picker::on_answer(time_point now, incarnation_id node, milliseconds took, int load)
{
    end_one(node);
    auto& seen = seen_[node];
    const auto ms = static_cast<double>(took.count());
    seen.mean_ms += seen.mean_ms > 0 ? sample_weight * (ms - seen.mean_ms) : ms;
    seen.failures -= sample_weight * seen.failures;
    note_load(now, seen, load);
}

void target_picker::on_refusal(time_point now, incarnation_id node, int load)
{
    end_one(node);
    note_load(now, seen_[node], load);
}

void target_picker::on_failure(time_point now, incarnation_id node)
{
    end_one(node);
    auto& seen = seen_[node];
    seen.failures += sample_weight * (1 - seen.failures);
    seen.last_failure = now;
}

void target_picker::on_end(incarnation_id node)
{
    end_one(node);
}

void target_picker::keep(std::span<const incarnation_id> live)
{
    std::erase_if(seen_, [&](const auto& item) {
        return item.second.in_flight == 0 &&
               std::find(live.begin(), live.end(), item.first) == live.end();
    });
}

} // namespace bulrushgw::dispatch
