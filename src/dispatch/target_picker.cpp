#include "dispatch/target_picker.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the averages of a target.
constexpr double sample_weight = 0.15;
/// Costs are multiplied by a random factor of up to 1 + `jitter`, so that equal targets are picked
/// at random.
constexpr double jitter = 0.1;

/// Longest time for which a refusal because of a warm-up keeps this node from asking again. The
/// target may become warm before the time that its node told.
constexpr milliseconds max_refused_time{1000};

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
    auto& balance = balance_of(traits.service);
    zone_choice choice{{}, {}, {aim, traits.rank, false}};
    for (const auto& candidate : candidates) {
        if (std::find(avoid.begin(), avoid.end(), candidate.node) != avoid.end()) {
            zone_index(choice.zones, candidate);
            choice.request.refused_at_own = choice.request.refused_at_own || candidate.same_zone;
            continue;
        }
        auto* stats = find_in(stats_, candidate.node);
        const auto parts = cost(now, candidate, stats, service, traits.body_bytes);
        const double value = parts.answer_ms() * noise(random) + parts.refusing_ms;
        const bool trial = candidate.warming_up && parts.refusing_ms <= 0 &&
                           trials_.is_due(now, candidate.node, candidate.same_zone, random);
        const bool probe =
            stats != nullptr && is_probe_due(now, candidate, *stats, parts, balance, random);
        if (trial || (probe && avoid.empty())) {
            // A trial of a cold target and a probe are not left to the choice between zones.
            return note_pick(now, candidate, traits, random);
        }
        add_option(now, choice, candidate, stats, value, service, traits.body_bytes);
    }
    balance.update(now, choice.zones, aim);
    const auto chosen = balance.choose(choice.zones, choice.request, random);
    if (!chosen) {
        return std::nullopt;
    }
    return note_pick(now, *choice.best[*chosen], traits, random);
}

void target_picker::add_option(time_point now, zone_choice& choice, const pick_candidate& candidate,
                               const target_stats* stats, double value,
                               const service_averages& service, std::size_t body_bytes) const
{
    const std::size_t at = zone_index(choice.zones, candidate);
    choice.best.resize(choice.zones.size());
    auto& zone = choice.zones[at];
    if (choice.best[at] == nullptr || value < *zone.expected_ms) {
        choice.best[at] = &candidate;
        zone.expected_ms = value;
    }
    const double own_value = cost_of_own_requests(now, candidate, stats, service, body_bytes);
    zone.expected_from_own_ms = std::min(zone.expected_from_own_ms.value_or(own_value), own_value);
}

bool target_picker::may_probe(const pick_candidate& candidate, const zone_balance& balance)
{
    return candidate.same_zone || balance.share_of(candidate.zone) > 0;
}

bool target_picker::is_probe_due(time_point now, const pick_candidate& candidate,
                                 target_stats& stats, const pick_cost& parts,
                                 const zone_balance& balance, std::mt19937_64& random)
{
    if (stats.unanswered.is_empty() && !stats.probes.is_avoided()) {
        return false;
    }
    const bool was_avoided = stats.probes.is_avoided();
    const bool is_due = stats.probes.update(now, parts.is_avoided(), random);
    if (stats.probes.is_avoided() != was_avoided) {
        note_change(candidate.node, stats, parts.unanswered_ms, parts.usual_ms());
    }
    return settings_.unanswered.probes && is_due && may_probe(candidate, balance);
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
    const double ms = static_cast<double>(took.count()) / stats.slowdown(now, stats.warming_up);
    const bool still_silent = stats.unanswered.is_as_late(ms - extra_ms, stats.mean_answer_ms) &&
                              stats.unanswered.on_missed(now, request.sent, stats.mean_answer_ms);
    end_request(request);
    stats.answered_at = now;
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
    const double usual = stats.mean_answer_ms * stats.slowdown(now, stats.warming_up);
    const double waited = std::chrono::duration<double, std::milli>(now - sent).count() -
                          stats.unanswered.extra_ms(sent).value_or(0);
    if (!stats.unanswered.on_missed(now, sent, usual) && waited > usual && usual > 0) {
        stats.mean_answer_ms +=
            sample_weight * (waited / stats.slowdown(now, stats.warming_up) - stats.mean_answer_ms);
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
        if (waited.count() >=
            *extra_ms + stats.mean_answer_ms * stats.slowdown(now, stats.warming_up)) {
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
