#include "dispatch/target_picker.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

std::optional<milliseconds> age_of(time_point now, time_point then)
{
    return then == time_point{}
               ? std::nullopt
               : std::optional{std::chrono::duration_cast<milliseconds>(now - then)};
}

} // namespace

pick_explanation::candidate target_picker::explain_candidate(time_point now,
                                                             const pick_candidate& candidate,
                                                             const service_averages& service,
                                                             const zone_balance& balance,
                                                             std::size_t body_bytes) const
{
    pick_explanation::candidate result;
    const auto* stats = find_in(stats_, candidate.node);
    result.cost = cost(now, candidate, stats, service, body_bytes);
    result.total_ms = result.cost.answer_ms() + result.cost.refusing_ms;
    if (stats != nullptr) {
        result.probe_due = settings_.unanswered.probes && result.cost.is_avoided() &&
                           stats->probes.is_certainly_due(now) && may_probe(candidate, balance);
        result.own_in_flight = stats->own_in_flight;
        result.answer_age = age_of(now, stats->answered_at);
        result.load_age = age_of(now, stats->load_reported_at);
        result.failure_age = age_of(now, stats->last_failure);
        if (result.cost.refusing_ms > 0) {
            result.refusing_time =
                std::chrono::duration_cast<milliseconds>(stats->refused_until - now);
        }
    }
    result.trial_due = candidate.warming_up && result.cost.refusing_ms <= 0 &&
                       trials_.is_certainly_due(now, candidate.node, candidate.same_zone);
    return result;
}

std::optional<pick_explanation> target_picker::explain(time_point now,
                                                       std::span<const pick_candidate> candidates,
                                                       milliseconds aim,
                                                       const pick_traits& traits) const
{
    const auto service = averages_over(candidates);
    zone_choice choice{{}, {}, {aim, traits.rank, false}};
    const auto known = balances_.find(traits.service);
    auto balance = known == balances_.end() ? zone_balance(settings_.zones) : known->second;
    pick_explanation result;
    for (const auto& candidate : candidates) {
        result.candidates.push_back(
            explain_candidate(now, candidate, service, balance, traits.body_bytes));
        add_option(now, choice, candidate, find_in(stats_, candidate.node),
                   result.candidates.back().total_ms, service, traits.body_bytes);
    }
    balance.update(now, choice.zones, aim);
    const auto plan = balance.plan(choice.zones, choice.request);
    if (!plan.usual) {
        return std::nullopt;
    }
    double kept = 1;
    for (std::size_t i = 0; i < choice.zones.size(); ++i) {
        const auto observed = balance.observed_at(choice.zones[i].zone);
        const double share = plan.drawn.empty() ? 0 : plan.drawn[i];
        kept -= share;
        result.zones.push_back({std::string(choice.zones[i].zone), choice.zones[i].own,
                                static_cast<std::size_t>(choice.best[i] - candidates.data()), share,
                                age_of(now, observed.value_or(time_point{}))});
    }
    result.zones[*plan.usual].share += kept;
    const auto main =
        std::max_element(result.zones.begin(), result.zones.end(),
                         [](const auto& a, const auto& b) { return a.share < b.share; });
    result.chosen = main->best;
    result.cause = plan.overflows ? pick_cause::own_zone_overflow : pick_cause::lowest_cost;
    const auto due =
        std::find_if(result.candidates.begin(), result.candidates.end(),
                     [](const auto& item) { return item.trial_due || item.probe_due; });
    if (due != result.candidates.end()) {
        result.chosen = static_cast<std::size_t>(due - result.candidates.begin());
        result.cause = due->trial_due ? pick_cause::trial : pick_cause::probe;
    }
    return result;
}

} // namespace bulrushgw::dispatch
