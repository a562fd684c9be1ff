#include "dispatch/target_picker.h"

#include <algorithm>
#include <cmath>
#include <utility>

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

/// A target whose unanswered requests show more than this multiple of its usual answer time is
/// avoided.
constexpr double avoid_factor = 2;

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

double target_picker::target_stats::slowdown(time_point now) const
{
    return warming_up ? std::max(cold_slowdown, scale.factor(now)) : scale.factor(now);
}

target_picker::target_stats* target_picker::find(incarnation_id node)
{
    const auto found = stats_.find(node);
    return found == stats_.end() ? nullptr : &found->second;
}

target_picker::service_averages
target_picker::averages_over(std::span<const pick_candidate> candidates)
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
double target_picker::cost(time_point now, const pick_candidate& candidate,
                           const target_stats* stats, const service_averages& service,
                           std::size_t body_bytes) const
{
    const double slots = std::max<std::uint32_t>(candidate.slots, 1);
    double mean = service.mean_answer_ms;
    double load = service.other_requests_per_slot * slots;
    double added_ms = 0;
    double slowdown = candidate.warming_up ? cold_slowdown : 1;
    if (stats != nullptr) {
        mean = stats->mean_answer_ms > 0 ? stats->mean_answer_ms : mean;
        if (stats->load_reported_at != time_point{}) {
            const auto age =
                std::chrono::duration_cast<milliseconds>(now - stats->load_reported_at);
            load +=
                load_report_weight(age, service.mean_answer_ms) * (stats->other_requests - load);
        }
        load += stats->own_in_flight;
        slowdown = stats->slowdown(now);
        added_ms = failure_cost(now, *stats) + body_ms(now, *stats, body_bytes);
        if (!stats->unanswered.is_empty()) {
            mean = std::max(mean, shown_ms(now, *stats, mean * slowdown) / slowdown);
        }
    }
    return mean * slowdown * queueing_factor(load, slots) + added_ms;
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
        mean = std::max(mean, shown_ms(now, *stats, usual * stats->slowdown(now)));
    }
    const double body_ms = settings_.counts_bodies ? stats->bodies.own_wait_ms(body_bytes) : 0;
    return mean * queueing_factor(stats->own_in_flight, slots) + failure_cost(now, *stats) +
           body_ms;
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
    std::vector<zone_option> zones;
    std::vector<const pick_candidate*> best; // of each zone
    auto& balance = balance_of(traits.service);
    zone_request request{aim, traits.rank, false};
    for (const auto& candidate : candidates) {
        const std::size_t at = zone_index(zones, candidate);
        best.resize(zones.size());
        if (std::find(avoid.begin(), avoid.end(), candidate.node) != avoid.end()) {
            request.refused_at_own = request.refused_at_own || candidate.same_zone;
            continue;
        }
        auto* stats = find(candidate.node);
        double value = cost(now, candidate, stats, service, traits.body_bytes) * noise(random);
        if (candidate.warming_up) {
            value = trial_cost(now, candidate, value, random);
        }
        const bool probe =
            stats != nullptr && is_probe_due(now, candidate, *stats, service, balance, random);
        if (value <= 0 || (probe && avoid.empty())) {
            // A trial of a cold target and a probe are not left to the choice between zones.
            return note_pick(now, candidate, traits, random);
        }
        if (best[at] == nullptr || value < *zones[at].expected_ms) {
            best[at] = &candidate;
            zones[at].expected_ms = value;
        }
        const double own_value =
            cost_of_own_requests(now, candidate, stats, service, traits.body_bytes);
        zones[at].expected_from_own_ms =
            std::min(zones[at].expected_from_own_ms.value_or(own_value), own_value);
    }
    balance.update(now, zones, aim);
    const auto chosen = balance.choose(zones, request, random);
    if (!chosen) {
        return std::nullopt;
    }
    return note_pick(now, *best[*chosen], traits, random);
}

bool target_picker::is_probe_due(time_point now, const pick_candidate& candidate,
                                 target_stats& stats, const service_averages& service,
                                 const zone_balance& balance, std::mt19937_64& random)
{
    if (stats.unanswered.is_empty() && !stats.probes.is_avoided()) {
        return false;
    }
    const double usual =
        (stats.mean_answer_ms > 0 ? stats.mean_answer_ms : service.mean_answer_ms) *
        stats.slowdown(now);
    const double shown = shown_ms(now, stats, usual);
    const bool was_avoided = stats.probes.is_avoided();
    const bool is_due = stats.probes.update(now, shown > avoid_factor * usual, random);
    if (stats.probes.is_avoided() != was_avoided) {
        note_change(candidate.node, stats, shown, usual);
    }
    return settings_.unanswered.probes && is_due &&
           (candidate.same_zone || balance.share_of(candidate.zone) > 0);
}

double target_picker::shown_ms(time_point now, const target_stats& stats, double usual_ms) const
{
    return stats.unanswered.shown_ms(now, usual_ms, settings_.unanswered);
}

incarnation_id target_picker::note_pick(time_point now, const pick_candidate& target,
                                        const pick_traits& traits, std::mt19937_64& random)
{
    trials_.on_pick(now, target.node);
    auto& stats = stats_[target.node];
    stats.probes.on_pick(now, random);
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

double target_picker::trial_cost(time_point now, const pick_candidate& candidate,
                                 double normal_cost, std::mt19937_64& random)
{
    if (now < stats_[candidate.node].refused_until) {
        return normal_cost + refusing_cost_ms;
    }
    return trials_.is_due(now, candidate.node, candidate.same_zone, random) ? 0 : normal_cost;
}

void target_picker::on_work_percent(time_point now, incarnation_id node, std::uint32_t percent)
{
    stats_[node].scale.set(now, percent);
}

void target_picker::on_sent(const sent_request& request)
{
    auto& stats = stats_[request.node];
    ++stats.own_in_flight;
    if (request.sent != time_point{}) {
        stats.unanswered.on_sent(request.sent, body_ms(request.sent, stats, request.body_bytes));
    }
    stats.bodies.on_sent(request.body_bytes);
}

void target_picker::on_intake_wait(time_point now, incarnation_id node, milliseconds wait)
{
    stats_[node].bodies.on_intake_wait(now, wait);
}

double target_picker::body_ms(time_point now, const target_stats& stats, std::size_t bytes) const
{
    return settings_.counts_bodies
               ? stats.bodies.wait_ms(now, bytes) + stats.bodies.transfer_ms(bytes)
               : 0;
}

void target_picker::remove_in_flight(target_stats& stats, const sent_request& request)
{
    if (stats.own_in_flight > 0) {
        --stats.own_in_flight;
    }
    stats.bodies.on_end(request.body_bytes);
}

target_picker::target_stats& target_picker::end_request(const sent_request& request)
{
    auto& stats = stats_[request.node];
    remove_in_flight(stats, request);
    stats.unanswered.on_end(request.sent);
    return stats;
}

void target_picker::record_load(time_point now, target_stats& stats, int load)
{
    if (load >= 0) {
        const auto reported = static_cast<double>(load);
        stats.other_requests = std::max(0.0, reported - static_cast<double>(stats.own_in_flight));
        stats.load_reported_at = now;
    }
}

// What a request with a body takes longer than the mean is attributed to its body, as far as a
// transfer can take that long. Requests without a body show whether the target itself is slower.
void target_picker::record_answer_time(target_stats& stats, double ms, double extra_ms,
                                       std::size_t body_bytes)
{
    if (stats.mean_answer_ms <= 0) {
        stats.mean_answer_ms = std::max(ms - extra_ms, 1.0);
        return;
    }
    double excess = ms - stats.mean_answer_ms;
    if (extra_ms > 0 && excess > 0) {
        const double wait = extra_ms - stats.bodies.transfer_ms(body_bytes);
        excess = stats.bodies.on_answer(body_bytes, excess - wait);
    }
    stats.mean_answer_ms += sample_weight * excess;
}

void target_picker::on_answer(time_point now, const sent_request& request, milliseconds took,
                              int load, milliseconds aim)
{
    auto& stats = stats_[request.node];
    const double extra_ms = stats.unanswered.extra_ms(request.sent).value_or(0);
    // The mean is that of a warm target at the usual speed.
    const double ms = static_cast<double>(took.count()) / stats.slowdown(now);
    const bool still_silent = stats.unanswered.is_as_late(ms - extra_ms, stats.mean_answer_ms) &&
                              stats.unanswered.on_missed(now, request.sent, stats.mean_answer_ms);
    end_request(request);
    // Late answers of a target that is avoided would keep its mean high after it recovers, when it
    // gets few requests.
    if (!still_silent) {
        if (stats.unanswered.on_answer(request.sent)) {
            stats.failure_share = std::min(stats.failure_share, stats.failure_share_before);
        }
        record_answer_time(stats, ms, extra_ms, request.body_bytes);
        stats.failure_share -= sample_weight * stats.failure_share;
    }
    record_load(now, stats, load);
    if (auto* balance = balance_of(stats)) {
        balance->on_answer(now, stats.zone, took, aim, load_per_slot(load, stats.slots));
    }
}

void target_picker::on_refusal(time_point now, const sent_request& request, int load)
{
    auto& stats = end_request(request);
    record_load(now, stats, load);
    if (auto* balance = balance_of(stats)) {
        balance->on_refusal(now, stats.zone, load_per_slot(load, stats.slots));
    }
}

void target_picker::on_warm_up_refusal(time_point now, const sent_request& request, int load,
                                       milliseconds retry_after)
{
    on_refusal(now, request, load);
    stats_[request.node].refused_until = now + std::min(retry_after, max_refused_time);
}

void target_picker::on_target_refusal(time_point now, const sent_request& request, int load)
{
    on_failure(now, request);
    record_load(now, stats_[request.node], load);
}

void target_picker::add_failure(time_point now, target_stats& stats)
{
    stats.failure_share += sample_weight * (1 - stats.failure_share);
    stats.last_failure = now;
}

void target_picker::on_failure(time_point now, const sent_request& request)
{
    auto& stats = end_request(request);
    add_failure(now, stats);
    if (auto* balance = balance_of(stats)) {
        balance->on_refusal(now, stats.zone, -1);
    }
}

void target_picker::observe_missed(time_point now, target_stats& stats, time_point sent)
{
    const double usual = stats.mean_answer_ms * stats.slowdown(now);
    const double waited = std::chrono::duration<double, std::milli>(now - sent).count() -
                          stats.unanswered.extra_ms(sent).value_or(0);
    if (!stats.unanswered.on_missed(now, sent, usual) && waited > usual && usual > 0) {
        stats.mean_answer_ms +=
            sample_weight * (waited / stats.slowdown(now) - stats.mean_answer_ms);
    }
}

void target_picker::on_overdue(time_point now, const sent_request& request)
{
    auto& stats = stats_[request.node];
    stats.overdue = true;
    const auto extra_ms = stats.unanswered.extra_ms(request.sent);
    if (settings_.unanswered.counts_ended && extra_ms) {
        if (stats.unanswered.missed() == 0) {
            stats.failure_share_before = stats.failure_share;
        }
        const std::chrono::duration<double, std::milli> waited = now - request.sent;
        // A request with less time than the target usually needs was sent too late.
        if (waited.count() >= *extra_ms + stats.mean_answer_ms * stats.slowdown(now)) {
            add_failure(now, stats);
        }
        observe_missed(now, stats, request.sent);
        ++(stats.probes.is_avoided() ? missed_at_avoided_ : missed_at_used_);
    }
    else {
        stats.unanswered.on_end(request.sent);
    }
    if (auto* balance = balance_of(stats)) {
        balance->on_refusal(now, stats.zone, -1);
    }
}

void target_picker::on_cancelled(time_point now, const sent_request& request)
{
    auto& stats = stats_[request.node];
    remove_in_flight(stats, request);
    // Requests may have been sent at the same time as one that was removed at its deadline.
    if (std::exchange(stats.overdue, false)) {
        return;
    }
    if (settings_.unanswered.counts_ended && stats.unanswered.extra_ms(request.sent)) {
        observe_missed(now, stats, request.sent);
        return;
    }
    stats.unanswered.on_end(request.sent);
}

void target_picker::on_end(const sent_request& request)
{
    end_request(request);
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
