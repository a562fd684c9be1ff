#include "dispatch/zone_balance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the means of a zone for a host with few requests. A single slow answer
/// must not look like a zone that is short of room.
constexpr double sample_weight = 0.1;
/// Hosts with more requests average over this time, which is much longer than the slow moments of
/// targets (400 ms).
constexpr milliseconds slow_period{2500};
/// Smallest weight of one answer.
constexpr double min_weight = 0.02;
/// With fewer observations than this, a zone counts in proportion to their number. What speaks
/// against another zone counts earlier than what speaks against the own one.
constexpr double own_evidence = 10;
constexpr double evidence_of_other = 3;
/// Time over which the recent mean of a zone's figures is taken, for hosts with few requests.
constexpr milliseconds recent_period{2000};
/// Largest weight of one observation in a recent mean.
constexpr double max_recent_weight = 0.5;
/// The share grows by this much a second times the square of the gain, which is a part of the
/// latency goal. At the gains of a zone that is a little short of room, faster growth overshoots
/// when the figures are 1 s old.
constexpr double growth_per_s = 0.6;
/// Larger gains count as this one. A zone that answers nothing in time gives its requests away
/// within a second.
constexpr double max_gain = 1.5;
/// Time constant with which the share approaches the share that the own zone cannot serve. It is
/// longer than the delay of the figures, which keeps the control loop stable.
constexpr double return_time_s = 3;
/// The share shrinks by this much a second while the own zone is busy but serves in time, so that
/// it cannot stay above zero for ever.
constexpr double slow_return_per_s = 0.02;
/// The share of a zone that serves worse than the own zone shrinks by this much a second.
constexpr double retreat_per_s = 0.5;
/// Load for each slot that the own zone should have before requests leave it.
constexpr double wanted_load = 0.85;
/// Load for each slot from which another zone has no room.
constexpr double full_load = 1.25;
/// The share grows if another zone is better by this part of the latency goal. The margin is larger
/// than the error of the means of a few answers.
constexpr double growth_margin = 0.25;
/// The same while the own zone has free slots: requests are late for another reason than load,
/// such as slow targets, or by chance.
constexpr double growth_margin_with_room = 0.5;
/// A share shrinks if its zone is worse than the own zone by this part of the latency goal.
constexpr double retreat_margin = 0.1;
/// Delays count up to this multiple of the latency goal, so that few very slow answers count
/// little.
constexpr double max_delay_in_aims = 2;
/// What was observed of another zone counts half as much after each such time without requests to
/// it, so that a zone that had no room is tried again.
constexpr milliseconds memory_half_life{8000};
/// The same for the own zone, which must not send requests away for what has passed.
constexpr milliseconds own_half_life{2000};
/// The load of the own zone is assumed to halve in this time without an answer. A host that sends
/// nearly all of its few requests away must find out that the zone has room again.
constexpr milliseconds load_half_life{3000};
/// Largest share. The rest of the requests shows when the own zone has room again.
constexpr double max_share = 0.95;
/// Smallest part of the demand, as seen by the return of the share, that stays in the own zone.
constexpr double min_kept_part = 0.25;
/// Longest time between two updates that counts. A host without requests learns nothing.
constexpr milliseconds max_elapsed{1000};
/// After this time without requests, nothing that was observed still holds.
constexpr milliseconds forget_after{10000};
/// Shares below this count as zero.
constexpr double min_share = 0.0005;
/// Latency goals shorter than this are not used to judge a zone.
constexpr double min_aim_ms = 20;
/// Each rank is worth half of the one before, and leaving the zone costs the same. Ranks from this
/// on count alike.
constexpr std::uint32_t max_rank = 2;
/// A request with more time left than this multiple of the mean leaves the zone half as often.
constexpr double long_aim = 2;
/// A request leaves at once if another zone is faster by this part of the time left to its goal.
constexpr double overflow_margin = 0.5;

/// Whether a zone is the better choice. Cold zones come last. Precondition: both have an expected
/// time.
bool is_better(const zone_option& zone, const zone_option& than)
{
    return zone.cold != than.cold ? than.cold : *zone.expected_ms < *than.expected_ms;
}

} // namespace

const char* to_text(zone_cause cause)
{
    switch (cause) {
    case zone_cause::none:
        return "the zone has room";
    case zone_cause::no_own_target:
        return "the zone has no target";
    case zone_cause::own_zone_late:
        return "answers in the zone are late";
    case zone_cause::own_zone_refuses:
        return "targets in the zone refuse";
    }
    return "unknown";
}

zone_balance::zone_state* zone_balance::find(std::string_view zone)
{
    const auto found = std::find_if(zones_.begin(), zones_.end(),
                                    [&](const auto& item) { return item.name == zone; });
    return found == zones_.end() ? nullptr : &*found;
}

const zone_balance::zone_state* zone_balance::find(std::string_view zone) const
{
    const auto found = std::find_if(zones_.begin(), zones_.end(),
                                    [&](const auto& item) { return item.name == zone; });
    return found == zones_.end() ? nullptr : &*found;
}

void zone_balance::adopt(std::span<const zone_option> zones)
{
    std::erase_if(zones_, [&](const auto& state) {
        return std::none_of(zones.begin(), zones.end(),
                            [&](const auto& option) { return option.zone == state.name; });
    });
    for (const auto& option : zones) {
        if (find(option.zone) == nullptr) {
            zone_state state;
            state.name = option.zone;
            state.own = option.own;
            zones_.push_back(std::move(state));
        }
    }
}

// Weight of what was observed of a zone; 1 directly after an observation.
double zone_balance::trust_in(time_point now, const zone_state& state, milliseconds half_life)
{
    const std::chrono::duration<double> silence = now - state.last_observed;
    const double evidence =
        std::min(1.0, state.observations / (state.own ? own_evidence : evidence_of_other));
    return evidence * std::exp2(-silence / std::chrono::duration<double>(half_life));
}

// How much better the other zone is than the own one, as a part of the latency goal and without the
// cost of traffic between zones. A zone without recent observations is expected to answer as fast
// as the own zone does without late answers.
double zone_balance::advantage_of(time_point now, const zone_state& other,
                                  const zone_state& own) const
{
    const double aim = std::max(mean_aim_ms_, min_aim_ms);
    const double longest = max_delay_in_aims * aim;
    const double own_delay = std::min(own.delay_ms.lower(), longest);
    const double trust = trust_in(now, other, memory_half_life);
    const double assumed_delay = std::min(own_delay, aim / 2);
    const double delay =
        assumed_delay + trust * (std::min(other.delay_ms.slow, longest) - assumed_delay);
    return (own_delay - delay) / aim + own.bad_share.lower() - trust * other.bad_share.slow;
}

// Shrinks all shares towards the part of the demand that the own zone cannot serve. The demand is
// estimated from the load of the own zone and the share that stays.
void zone_balance::withdraw(time_point now, const zone_state& own, double elapsed_s)
{
    const double total = share();
    if (total <= 0) {
        return;
    }
    const double load = own.load.lower() * trust_in(now, own, load_half_life);
    const double room = load > 0 ? std::clamp(wanted_load / load - 1, 0.0, 1.0) : 1.0;
    const double returned =
        std::max(std::max(1 - total, min_kept_part) * room / return_time_s, slow_return_per_s) *
        elapsed_s;
    const double kept = std::max(0.0, 1 - returned / total);
    for (auto& state : zones_) {
        state.share *= kept;
    }
}

void zone_balance::extend(time_point now, const zone_state& own, std::span<const zone_option> zones,
                          double elapsed_s)
{
    const double cost =
        static_cast<double>(settings_.cost.count()) / std::max(mean_aim_ms_, min_aim_ms);
    const double margin =
        own.load.lower() >= wanted_load || own.refused_share.lower() > sample_weight
            ? growth_margin
            : growth_margin_with_room;
    std::vector<std::pair<zone_state*, double>> growing;
    for (const auto& option : zones) {
        zone_state& state = *find(option.zone);
        if (state.own) {
            continue;
        }
        const double advantage = advantage_of(now, state, own);
        const double gain = trust_in(now, own, own_half_life) * (advantage - cost);
        const bool full =
            state.load.slow >= full_load && now - state.last_observed < memory_half_life;
        if (option.cold || advantage < -retreat_margin) {
            state.share = std::max(0.0, state.share - retreat_per_s * elapsed_s);
        }
        else if (gain > margin && !full) {
            growing.emplace_back(&state, std::min(gain, max_gain));
        }
    }
    for (const auto& [state, gain] : growing) {
        state->share +=
            growth_per_s * gain * gain * elapsed_s / static_cast<double>(growing.size());
    }
    if (growing.empty()) {
        withdraw(now, own, elapsed_s);
        return;
    }
    cause_ = own.refused_share.slow > own.bad_share.slow / 2 ? zone_cause::own_zone_refuses
                                                             : zone_cause::own_zone_late;
    const double total = share();
    if (total > max_share) {
        for (auto& state : zones_) {
            state.share *= max_share / total;
        }
    }
}

void zone_balance::update(time_point now, std::span<const zone_option> zones, milliseconds aim)
{
    if (now - last_update_ > forget_after) {
        zones_.clear();
    }
    adopt(zones);
    const auto aim_ms = static_cast<double>(aim.count());
    mean_aim_ms_ += mean_aim_ms_ > 0 ? sample_weight * (aim_ms - mean_aim_ms_) : aim_ms;
    const auto elapsed = std::min<boot_clock::duration>(now - last_update_, max_elapsed);
    last_update_ = now;
    const auto own =
        std::find_if(zones_.begin(), zones_.end(), [](const auto& item) { return item.own; });
    if (own == zones_.end()) {
        cause_ = zones_.empty() ? zone_cause::none : zone_cause::no_own_target;
        for (auto& state : zones_) {
            state.share = 1.0 / static_cast<double>(zones_.size());
        }
        return;
    }
    if (cause_ == zone_cause::no_own_target) {
        cause_ = zone_cause::none;
    }
    extend(now, *own, zones, std::chrono::duration<double>(elapsed).count());
    for (auto& state : zones_) {
        state.share = state.share < min_share ? 0 : state.share;
    }
    if (share() <= 0) {
        cause_ = zone_cause::none;
    }
}

std::vector<double> zone_balance::draw_shares(std::span<const zone_option> zones,
                                              const zone_request& request) const
{
    double weight = std::exp2(-static_cast<double>(std::min(request.rank, max_rank)));
    if (static_cast<double>(request.aim.count()) > long_aim * mean_aim_ms_) {
        weight /= 2;
    }
    // A zone that needs to give away nearly everything gives away requests of all ranks.
    const double total = share();
    weight += (1 - weight) * total;
    std::vector<double> result(zones.size());
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const auto* state = find(zones[i].zone);
        if (!zones[i].own && zones[i].expected_ms && state != nullptr) {
            result[i] = state->share * weight;
        }
    }
    return result;
}

bool zone_balance::is_known_worse(std::string_view zone, std::string_view than) const
{
    const auto* state = find(zone);
    const auto* other = find(than);
    return state != nullptr && other != nullptr &&
           trust_in(last_update_, *state, memory_half_life) * state->bad_share.slow >
               other->bad_share.slow + sample_weight / 2;
}

std::optional<std::size_t> zone_balance::choose(std::span<const zone_option> zones,
                                                const zone_request& request,
                                                std::mt19937_64& random) const
{
    const auto planned = plan(zones, request);
    if (planned.drawn.empty()) {
        return planned.usual;
    }
    double drawn = std::uniform_real_distribution<double>(0, 1)(random);
    for (std::size_t i = 0; i < planned.drawn.size(); ++i) {
        drawn -= planned.drawn[i];
        if (drawn < 0) {
            return i;
        }
    }
    return planned.usual;
}

std::optional<time_point> zone_balance::observed_at(std::string_view zone) const
{
    const auto* state = find(zone);
    return state != nullptr && state->observations > 0 ? std::optional{state->last_observed}
                                                       : std::nullopt;
}

zone_plan zone_balance::plan(std::span<const zone_option> zones, const zone_request& request) const
{
    std::optional<std::size_t> own;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        if (!zones[i].expected_ms) {
            continue;
        }
        if (zones[i].own) {
            own = i;
        }
        else if (!best || is_better(zones[i], zones[*best])) {
            best = i;
        }
    }
    if (!own || !best || zones[*best].cold) {
        return {own ? own : best, false, {}};
    }
    const double margin = std::max(static_cast<double>(settings_.cost.count()),
                                   overflow_margin * static_cast<double>(request.aim.count()));
    const auto expected_own =
        request.refused_at_own ? zones[*own].expected_ms : zones[*own].expected_from_own_ms;
    if (expected_own.value_or(0) > *zones[*best].expected_ms + margin &&
        !is_known_worse(zones[*best].zone, zones[*own].zone)) {
        return {best, true, {}};
    }
    return {own, false, draw_shares(zones, request)};
}

// The first observations count alike.
void zone_balance::zone_mean::add(double value, const sample_weights& weights)
{
    count = std::min(count + 1, 1 / min_weight);
    slow += std::max(weights.slow, 1 / count) * (value - slow);
    recent += std::max(weights.recent, 1 / count) * (value - recent);
}

double zone_balance::zone_mean::lower() const
{
    return std::min(slow, recent);
}

// Returns the weights of the observation.
zone_balance::sample_weights zone_balance::observe(time_point now, zone_state& state, double load,
                                                   bool bad, bool refused)
{
    const std::chrono::duration<double> silence = now - state.last_observed;
    const sample_weights weights{
        std::clamp(silence / std::chrono::duration<double>(slow_period), min_weight, sample_weight),
        std::clamp(silence / std::chrono::duration<double>(recent_period), min_weight,
                   max_recent_weight)};
    state.bad_share.add(bad ? 1 : 0, weights);
    state.refused_share.add(refused ? 1 : 0, weights);
    if (load >= 0) {
        state.load.add(load, weights);
    }
    state.observations = std::min(state.observations + 1, own_evidence);
    state.last_observed = now;
    return weights;
}

void zone_balance::on_answer(time_point now, std::string_view zone, milliseconds took,
                             milliseconds aim, double load)
{
    if (auto* state = find(zone)) {
        const auto ms = static_cast<double>(took.count());
        state->delay_ms.add(ms, observe(now, *state, load, aim.count() > 0 && took > aim, false));
    }
}

void zone_balance::on_refusal(time_point now, std::string_view zone, double load)
{
    if (auto* state = find(zone)) {
        observe(now, *state, load, true, true);
    }
}

double zone_balance::share() const
{
    double total = 0;
    for (const auto& state : zones_) {
        total += state.share;
    }
    return total;
}

std::vector<std::pair<std::string, double>> zone_balance::shares() const
{
    std::vector<std::pair<std::string, double>> result;
    for (const auto& state : zones_) {
        if (!state.own) {
            result.emplace_back(state.name, state.share);
        }
    }
    return result;
}

double zone_balance::share_of(std::string_view zone) const
{
    const auto* state = find(zone);
    return state == nullptr ? 0 : state->share;
}

} // namespace bulrushgw::dispatch
