#include "dispatch/target_picker.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the averages of a target.
constexpr double sample_weight = 0.15;
/// Assumed mean answer time while no target of the service has answered.
constexpr double initial_answer_ms = 30;
/// Cost added for a target that fails all requests.
constexpr double failure_cost_ms = 400;
/// A node that has at least this many requests at a target, and a third of its slots, knows the
/// target's answer time well enough to leave the zone for it.
constexpr std::uint32_t min_in_flight = 2;
/// Costs are multiplied by a random factor of up to 1 + `jitter`, so that equal targets are picked
/// at random.
constexpr double jitter = 0.1;

/// A cold target works about twice as slowly as a warm one.
constexpr double cold_slowdown = 2;
/// Cost added for a cold target that accepts no request now: it is picked only if all do not.
constexpr double refusing_cost_ms = 10000;
/// Longest time for which a refusal because of a warm-up keeps this node from asking again. The
/// target may become warm before the time that its node told.
constexpr milliseconds max_refused_time{1000};

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

/// Load for each slot; negative if no load was reported.
double load_per_slot(int load, std::uint32_t slots)
{
    return load < 0 ? -1 : static_cast<double>(load) / std::max<std::uint32_t>(slots, 1);
}

/// Returns the index of the candidate's zone, which is added if it is missing.
std::size_t zone_index(std::vector<zone_option>& zones, const pick_candidate& candidate)
{
    const auto found = std::find_if(zones.begin(), zones.end(), [&](const auto& item) {
        return item.own == candidate.same_zone && item.zone == candidate.zone;
    });
    if (found != zones.end()) {
        found->cold = found->cold && candidate.warming_up;
        return static_cast<std::size_t>(found - zones.begin());
    }
    zones.push_back({candidate.zone, candidate.same_zone, candidate.warming_up, {}, {}});
    return zones.size() - 1;
}

} // namespace

double target_picker::target_stats::slowdown(time_point now, bool is_cold) const
{
    return is_cold ? std::max(cold_slowdown, scale.factor(now)) : scale.factor(now);
}

const target_picker::target_stats* target_picker::find(incarnation_id node) const
{
    const auto found = stats_.find(node);
    return found == stats_.end() ? nullptr : &found->second;
}

target_picker::service_averages
target_picker::averages_over(std::span<const pick_candidate> candidates) const
{
    service_averages result;
    double targets_with_answers = 0;
    double targets_with_load = 0;
    for (const auto& candidate : candidates) {
        const auto* stats = find(candidate.node);
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
                              const service_averages& service) const
{
    const double slots = std::max<std::uint32_t>(candidate.slots, 1);
    double mean = service.mean_answer_ms;
    double load = service.other_requests_per_slot * slots;
    pick_cost result;
    result.slowdown = candidate.warming_up ? cold_slowdown : 1;
    if (const auto* stats = find(candidate.node)) {
        mean = stats->mean_answer_ms > 0 ? stats->mean_answer_ms : mean;
        if (stats->load_reported_at != time_point{}) {
            const auto age =
                std::chrono::duration_cast<milliseconds>(now - stats->load_reported_at);
            load +=
                load_report_weight(age, service.mean_answer_ms) * (stats->other_requests - load);
        }
        load += stats->own_in_flight;
        result.has_answers = stats->mean_answer_ms > 0;
        result.slowdown = stats->slowdown(now, candidate.warming_up);
        result.failure_ms = failure_cost(now, *stats);
        const bool refuses = candidate.warming_up && now < stats->refused_until;
        result.refusing_ms = refuses ? refusing_cost_ms : 0;
    }
    result.mean_answer_ms = mean;
    result.load = load;
    result.queueing = queueing_factor(load, slots);
    return result;
}

// Answer times count only for a target that this node itself helps to fill. Those of a full zone
// are known to all nodes at about the same time, and are no reason for all of them to leave it at
// once. Those that a node with few requests knows are means of few answers.
double target_picker::cost_of_own_requests(time_point now, const pick_candidate& candidate,
                                           const service_averages& service) const
{
    const std::uint32_t slots = std::max<std::uint32_t>(candidate.slots, 1);
    const auto* stats = find(candidate.node);
    if (stats == nullptr) {
        return service.shortest_answer_ms;
    }
    double mean = service.shortest_answer_ms;
    if (stats->own_in_flight >= std::max(min_in_flight, slots / 3)) {
        mean = std::max(mean, std::min(stats->mean_answer_ms, service.mean_answer_ms));
    }
    return mean * queueing_factor(stats->own_in_flight, slots) + failure_cost(now, *stats);
}

std::optional<incarnation_id> target_picker::pick(time_point now,
                                                  std::span<const pick_candidate> candidates,
                                                  const std::vector<incarnation_id>& avoid,
                                                  milliseconds aim, std::mt19937_64& random,
                                                  const pick_traits& traits)
{
    for (const auto& candidate : candidates) {
        if (candidate.warming_up || stats_.contains(candidate.node)) {
            stats_[candidate.node].warming_up = candidate.warming_up;
        }
    }
    std::uniform_real_distribution<double> noise(1.0, 1.0 + jitter);
    const auto service = averages_over(candidates);
    zone_choice choice{{}, {}, {aim, traits.rank, false}};
    for (const auto& candidate : candidates) {
        if (std::find(avoid.begin(), avoid.end(), candidate.node) != avoid.end()) {
            zone_index(choice.zones, candidate);
            choice.request.refused_at_own = choice.request.refused_at_own || candidate.same_zone;
            continue;
        }
        const auto parts = cost(now, candidate, service);
        const double value = parts.answer_ms() * noise(random) + parts.refusing_ms;
        if (candidate.warming_up && parts.refusing_ms <= 0 &&
            trials_.is_due(now, candidate.node, candidate.same_zone, random)) {
            // A trial of a cold target is not left to the choice between zones.
            return note_pick(now, candidate, traits);
        }
        add_option(now, choice, candidate, value, service);
    }
    auto& balance = balance_of(traits.service);
    balance.update(now, choice.zones, aim);
    const auto chosen = balance.choose(choice.zones, choice.request, random);
    if (!chosen) {
        return std::nullopt;
    }
    return note_pick(now, *choice.best[*chosen], traits);
}

void target_picker::add_option(time_point now, zone_choice& choice, const pick_candidate& candidate,
                               double value, const service_averages& service) const
{
    const std::size_t at = zone_index(choice.zones, candidate);
    choice.best.resize(choice.zones.size());
    auto& zone = choice.zones[at];
    if (choice.best[at] == nullptr || value < *zone.expected_ms) {
        choice.best[at] = &candidate;
        zone.expected_ms = value;
    }
    const double own_value = cost_of_own_requests(now, candidate, service);
    zone.expected_from_own_ms = std::min(zone.expected_from_own_ms.value_or(own_value), own_value);
}

incarnation_id target_picker::note_pick(time_point now, const pick_candidate& target,
                                        const pick_traits& traits)
{
    trials_.on_pick(now, target.node);
    auto& stats = stats_[target.node];
    stats.service = traits.service;
    stats.zone = target.zone;
    stats.slots = std::max<std::uint32_t>(target.slots, 1);
    return target.node;
}

zone_balance& target_picker::balance_of(std::string_view service)
{
    const auto found = balances_.find(service);
    return found != balances_.end()
               ? found->second
               : balances_.emplace(service, zone_balance(settings_.zones)).first->second;
}

zone_balance* target_picker::balance_of(const target_stats& stats)
{
    const auto found = balances_.find(stats.service);
    return found == balances_.end() ? nullptr : &found->second;
}

void target_picker::on_work_percent(time_point now, incarnation_id node, std::uint32_t percent)
{
    stats_[node].scale.set(now, percent);
}

void target_picker::end_request(incarnation_id node)
{
    auto& stats = stats_[node];
    if (stats.own_in_flight > 0) {
        --stats.own_in_flight;
    }
}

void target_picker::record_load(time_point now, target_stats& stats, int load)
{
    if (load >= 0) {
        const auto reported = static_cast<double>(load);
        stats.other_requests = std::max(0.0, reported - static_cast<double>(stats.own_in_flight));
        stats.load_reported_at = now;
    }
}

void target_picker::on_answer(time_point now, incarnation_id node, milliseconds took, int load,
                              milliseconds aim)
{
    end_request(node);
    auto& stats = stats_[node];
    // The mean is that of a warm target at the usual speed.
    const double ms = static_cast<double>(took.count()) / stats.slowdown(now, stats.warming_up);
    stats.answered_at = now;
    stats.mean_answer_ms +=
        stats.mean_answer_ms > 0 ? sample_weight * (ms - stats.mean_answer_ms) : ms;
    stats.failure_share -= sample_weight * stats.failure_share;
    record_load(now, stats, load);
    if (auto* balance = balance_of(stats)) {
        balance->on_answer(now, stats.zone, took, aim, load_per_slot(load, stats.slots));
    }
}

void target_picker::on_refusal(time_point now, incarnation_id node, int load)
{
    end_request(node);
    auto& stats = stats_[node];
    record_load(now, stats, load);
    if (auto* balance = balance_of(stats)) {
        balance->on_refusal(now, stats.zone, load_per_slot(load, stats.slots));
    }
}

void target_picker::on_warm_up_refusal(time_point now, incarnation_id node, int load,
                                       milliseconds retry_after)
{
    on_refusal(now, node, load);
    stats_[node].refused_until = now + std::min(retry_after, max_refused_time);
}

void target_picker::on_target_refusal(time_point now, incarnation_id node, int load)
{
    on_failure(now, node);
    record_load(now, stats_[node], load);
}

void target_picker::on_failure(time_point now, incarnation_id node)
{
    end_request(node);
    auto& stats = stats_[node];
    stats.failure_share += sample_weight * (1 - stats.failure_share);
    stats.last_failure = now;
    if (auto* balance = balance_of(stats)) {
        balance->on_refusal(now, stats.zone, -1);
    }
}

void target_picker::on_overdue(time_point now, incarnation_id node)
{
    const auto found = stats_.find(node);
    if (found == stats_.end()) {
        return;
    }
    if (auto* balance = balance_of(found->second)) {
        balance->on_refusal(now, found->second.zone, -1);
    }
}

void target_picker::on_end(incarnation_id node)
{
    end_request(node);
}

void target_picker::keep(std::span<const incarnation_id> live)
{
    trials_.keep(live);
    std::erase_if(stats_, [&](const auto& item) {
        return item.second.own_in_flight == 0 &&
               std::find(live.begin(), live.end(), item.first) == live.end();
    });
}

} // namespace bulrushgw::dispatch
