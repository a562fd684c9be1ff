#include <algorithm>

#include "ownership/engine_state.h"

namespace bulrushgw::ownership {

namespace {

/// A new weight or an overload must persist for this long before it changes a placement.
constexpr std::chrono::seconds settle_time{10};
/// Pause between two moves of one member, so that the loads show the effect of the first one.
constexpr std::chrono::seconds move_pause{15};
/// Loads reported by peers are ignored when they are older than this.
constexpr std::chrono::seconds peer_load_max_age{30};

} // namespace

void engine::state::on_load(const std::string& service, std::vector<range_load> loads)
{
    if (service == own_row.service) {
        own_loads = std::move(loads);
    }
}

void engine::state::on_peer_load(time_point now, incarnation_id from, double rate)
{
    // Only the loads of members of this node's service are needed. The check also bounds the size
    // of `peer_loads`.
    const auto view = shared.placement_of(own_row.service);
    if (view && view->current.contains(from)) {
        peer_loads[from] = {rate, now};
    }
}

double engine::state::own_requests_per_second() const
{
    double rate = 0;
    for (const range_load& load : own_loads) {
        rate += serving.contains(load.range) ? load.requests_per_second : 0;
    }
    return rate;
}

double engine::state::own_moves_per_hour() const
{
    const auto service = services.find(own_row.service);
    const auto view = shared.placement_of(own_row.service);
    const std::size_t members = view ? view->record.current.members.size() : 0;
    if (service == services.end() || members == 0) {
        return 0;
    }
    return static_cast<double>(service->second.moves_per_hour) / static_cast<double>(members);
}

std::optional<std::uint32_t> engine::state::settled_weight(time_point now) const
{
    return wanted_weight && now - wanted_weight_since >= settle_time ? wanted_weight : std::nullopt;
}

std::size_t engine::state::count_load_moves(const plan_inputs& inputs) const
{
    if (inputs.newest == nullptr || (!inputs.own_weight && inputs.overrides.empty())) {
        return 0;
    }
    placement change = inputs.newest->record;
    change.previous = change.current;
    for (weighted_member& member : change.current.members) {
        if (inputs.own_weight && member.incarnation == self &&
            is_weight_change(member.weight, *inputs.own_weight)) {
            member.weight = *inputs.own_weight;
        }
    }
    for (const auto& [range, id] : inputs.overrides) {
        change.current.overrides[range] = id;
    }
    return change.current == change.previous ? 0 : count_moves(change, shared);
}

void engine::state::consider_move(time_point now)
{
    const auto view = shared.placement_of(own_row.service);
    if (!view || view->record.ranges == 0 || leaving || now < next_move || own_loads.empty()) {
        return;
    }
    next_move = now + std::chrono::seconds{1};
    std::erase_if(peer_loads, [&](const auto& entry) {
        return now - entry.second.at > peer_load_max_age || !view->current.contains(entry.first);
    });
    std::vector<member_load> loads;
    std::size_t live = 0;
    for (const weighted_member& member : view->record.current.members) {
        const auto known = peer_loads.find(member.incarnation);
        live += shared.certificate_of(member.incarnation) == nullptr ? 1 : 0;
        if (member.incarnation == self) {
            loads.push_back({self, own_requests_per_second(), member.weight});
        }
        else if (known != peer_loads.end() &&
                 shared.certificate_of(member.incarnation) == nullptr) {
            loads.push_back({member.incarnation, known->second.rate, member.weight});
        }
    }
    std::vector<range_load> served;
    std::copy_if(own_loads.begin(), own_loads.end(), std::back_inserter(served),
                 [&](const range_load& load) { return serving.contains(load.range); });
    // The mean is not representative if the load of more than half of the members is unknown.
    const auto move = loads.size() * 2 >= live ? choose_move(self, loads, served) : std::nullopt;
    if (!move) {
        overloaded_since.reset();
        wanted_move.reset();
        return;
    }
    if (!overloaded_since) {
        overloaded_since = now;
    }
    if (now - *overloaded_since >= settle_time) {
        wanted_move = move;
        overloaded_since.reset();
        next_move = now + move_pause;
    }
}

} // namespace bulrushgw::ownership
