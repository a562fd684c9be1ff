#include "dispatch/target_picker.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

constexpr double sample_weight = 0.15;
/// Assumed of a target without an answer so far.
constexpr double initial_ms = 30;
/// A target that fails everything costs this much more time than one that does not.
constexpr double failure_cost_ms = 400;
/// Equal targets are told apart at random, within this part of their cost.
constexpr double jitter = 0.1;

} // namespace

double target_picker::cost(time_point now, const pick_candidate& candidate, milliseconds aim) const
{
    double mean = initial_ms;
    double load = 0;
    double failing = 0;
    const auto found = seen_.find(candidate.node);
    if (found != seen_.end()) {
        const auto& seen = found->second;
        mean = seen.mean_ms > 0 ? seen.mean_ms : initial_ms;
        load = seen.in_flight + seen.others;
        const bool recent = now - seen.last_failure < settings_.retry_bad_after;
        failing = recent ? seen.failures : seen.failures / 4;
    }
    const double slots = std::max<std::uint32_t>(candidate.slots, 1);
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
    for (const auto& candidate : candidates) {
        if (std::find(avoid.begin(), avoid.end(), candidate.node) != avoid.end()) {
            continue;
        }
        const double value = cost(now, candidate, aim) * noise(random);
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

void target_picker::on_answer(time_point, incarnation_id node, milliseconds took, int load)
{
    end_one(node);
    auto& seen = seen_[node];
    const auto ms = static_cast<double>(took.count());
    seen.mean_ms += seen.mean_ms > 0 ? sample_weight * (ms - seen.mean_ms) : ms;
    seen.failures -= sample_weight * seen.failures;
    if (load >= 0) {
        const auto told = static_cast<std::uint32_t>(load);
        seen.others = told > seen.in_flight ? told - seen.in_flight : 0;
    }
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
