#include "dispatch/target_picker.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

/// Assumed mean answer time while no target of the service has answered.
constexpr double initial_answer_ms = 30;
/// Cost added for a target that fails all requests.
constexpr double failure_cost_ms = 400;
/// A node that has at least this many requests at a target, and a third of its slots, knows the
/// target's answer time well enough to leave the zone for it.
constexpr std::uint32_t min_in_flight = 2;
/// A target whose unanswered requests show more than this multiple of its usual answer time is
/// avoided.
constexpr double avoid_factor = 2;

/// A cold target works about twice as slowly as a warm one.
constexpr double cold_slowdown = 2;
/// Cost added for a cold target that accepts no request now: it is picked only if all do not.
constexpr double refusing_cost_ms = 10000;

/// Weight of a target's reported load when the report has the given age. The weight halves with
/// each mean answer time, because about half of the reported requests have ended by then.
double load_report_weight(milliseconds age, double mean_answer_ms)
{
    return std::exp2(-static_cast<double>(age.count()) / std::max(mean_answer_ms, 1.0));
}

/// Expected answer time of a target with the given load, relative to its mean answer time.
double queueing_factor(double load, double slots)
{
    const double waiting_factor = std::max(0.0, load + 1 - slots) / slots;
    // A target with few free slots answers later than an idle one.
    const double busy_factor = load / slots / 4;
    return 1 + waiting_factor + busy_factor;
}

} // namespace

bool pick_cost::is_avoided() const
{
    return unanswered_ms > avoid_factor * usual_ms();
}

double target_picker::target_stats::slowdown(time_point now, bool is_cold) const
{
    return is_cold ? std::max(cold_slowdown, scale.factor(now)) : scale.factor(now);
}

target_picker::service_averages
target_picker::averages_over(std::span<const pick_candidate> candidates) const
{
    service_averages result;
    double targets_with_answers = 0;
    double targets_with_load = 0;
    for (const auto& candidate : candidates) {
        const auto* stats = find_in(stats_, candidate.node);
        if (stats == nullptr) {
            continue;
        }
        if (stats->mean_answer_ms > 0) {
            result.mean_answer_ms += stats->mean_answer_ms;
            result.shortest_answer_ms =
                targets_with_answers > 0
                    ? std::min(result.shortest_answer_ms, stats->mean_answer_ms)
                    : stats->mean_answer_ms;
            targets_with_answers += 1;
        }
        if (stats->load_reported_at != time_point{}) {
            result.other_requests_per_slot +=
                stats->other_requests / std::max<std::uint32_t>(candidate.slots, 1);
            targets_with_load += 1;
        }
    }
    result.mean_answer_ms =
        targets_with_answers > 0 ? result.mean_answer_ms / targets_with_answers : initial_answer_ms;
    result.shortest_answer_ms =
        targets_with_answers > 0 ? result.shortest_answer_ms : initial_answer_ms;
    result.other_requests_per_slot =
        targets_with_load > 0 ? result.other_requests_per_slot / targets_with_load : 0;
    return result;
}

double target_picker::failure_cost(time_point now, const target_stats& stats) const
{
    const double half_lives =
        std::chrono::duration<double>(now - stats.last_failure) / settings_.failure_half_life;
    return stats.failure_share * std::exp2(-half_lives) * failure_cost_ms;
}

// Each of many nodes sees only a small part of a target's load. If each node assumed that an
// unknown target is idle and fast, the nodes together would send all requests to that target. The
// load and answer time of an unknown target are therefore assumed to be the means of the service.
pick_cost target_picker::cost(time_point now, const pick_candidate& candidate,
                              const target_stats* stats, const service_averages& service,
                              std::size_t body_bytes) const
{
    const double slots = std::max<std::uint32_t>(candidate.slots, 1);
    double load = service.other_requests_per_slot * slots;
    pick_cost result;
    result.mean_answer_ms = service.mean_answer_ms;
    result.slowdown = candidate.warming_up ? cold_slowdown : 1;
    if (stats != nullptr) {
        if (stats->load_reported_at != time_point{}) {
            const auto age =
                std::chrono::duration_cast<milliseconds>(now - stats->load_reported_at);
            load +=
                load_report_weight(age, service.mean_answer_ms) * (stats->other_requests - load);
        }
        load += stats->own_in_flight;
        result.has_answers = stats->mean_answer_ms > 0;
        result.mean_answer_ms = result.has_answers ? stats->mean_answer_ms : service.mean_answer_ms;
        result.slowdown = stats->slowdown(now, candidate.warming_up);
        if (!stats->unanswered.is_empty()) {
            result.unanswered_ms = shown_ms(now, *stats, result.usual_ms());
        }
        result.failure_ms = failure_cost(now, *stats);
        if (settings_.counts_bodies) {
            result.intake_wait_ms = stats->bodies.wait_ms(now, body_bytes);
            result.transfer_ms = stats->bodies.transfer_ms(body_bytes);
        }
        const bool refuses = candidate.warming_up && now < stats->refused_until;
        result.refusing_ms = refuses ? refusing_cost_ms : 0;
    }
    result.load = load;
    result.queueing = queueing_factor(load, slots);
    return result;
}

// Answer times count only for a target that this node itself helps to fill. Those of a full zone
// are known to all nodes at about the same time, and are no reason for all of them to leave it at
// once. Those that a node with few requests knows are means of few answers.
double target_picker::cost_of_own_requests(time_point now, const pick_candidate& candidate,
                                           const target_stats* stats,
                                           const service_averages& service,
                                           std::size_t body_bytes) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(candidate.slots, 1);
    if (stats == nullptr) {
        return service.shortest_answer_ms;
    }
    double mean = service.shortest_answer_ms;
    if (stats->own_in_flight >= std::max(min_in_flight, slots / 3)) {
        mean = std::max(mean, std::min(stats->mean_answer_ms, service.mean_answer_ms));
    }
    if (!stats->unanswered.is_empty()) {
        const double usual =
            stats->mean_answer_ms > 0 ? stats->mean_answer_ms : service.mean_answer_ms;
        mean = std::max(mean,
                        shown_ms(now, *stats, usual * stats->slowdown(now, candidate.warming_up)));
    }
    const double body_ms = settings_.counts_bodies ? stats->bodies.own_wait_ms(body_bytes) : 0;
    return mean * queueing_factor(stats->own_in_flight, slots) + failure_cost(now, *stats) +
           body_ms;
}

double target_picker::shown_ms(time_point now, const target_stats& stats, double usual_ms) const
{
    return stats.unanswered.shown_ms(now, usual_ms, settings_.unanswered);
}

double target_picker::body_ms(time_point now, const target_stats& stats, std::size_t bytes) const
{
    return settings_.counts_bodies
               ? stats.bodies.wait_ms(now, bytes) + stats.bodies.transfer_ms(bytes)
               : 0;
}

} // namespace bulrushgw::dispatch
