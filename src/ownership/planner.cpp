#include "ownership/planner.h"

#include <algorithm>

namespace bulrushgw::ownership {

namespace {

constexpr std::size_t min_joins = 2;
constexpr std::size_t join_divisor = 4;
constexpr std::uint64_t weight_change_divisor = 4;

std::size_t live_count(const plan_inputs& inputs)
{
    if (inputs.newest == nullptr) {
        return 0;
    }
    const auto& members = inputs.newest->record.current.members;
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const weighted_member& member) {
            return inputs.shared->certificate_of(member.incarnation) == nullptr;
        }));
}

std::uint32_t weight_of(const plan_inputs& inputs, incarnation_id id)
{
    const member_row* row = inputs.shared->find(id);
    return row == nullptr ? 1 : std::max<std::uint32_t>(row->slots, 1);
}

/// The waiting members to add, up to `join_limit`: first the proposer, then in ascending order.
std::vector<incarnation_id> members_to_add(const plan_inputs& inputs)
{
    std::vector<incarnation_id> waiting = waiting_members(inputs);
    if (!inputs.may_add) {
        return {};
    }
    const auto own = std::find(waiting.begin(), waiting.end(), inputs.proposer);
    if (own != waiting.end()) {
        std::rotate(waiting.begin(), own, own + 1);
    }
    waiting.resize(std::min(waiting.size(), join_limit(live_count(inputs))));
    return waiting;
}

void add_reason(std::string& reason, const std::string& part)
{
    reason += (reason.empty() ? "" : ", ") + part;
}

void drop_dangling_overrides(placement_list& list)
{
    std::erase_if(list.overrides, [&](const auto& entry) {
        return std::none_of(
            list.members.begin(), list.members.end(),
            [&](const weighted_member& member) { return member.incarnation == entry.second; });
    });
}

bool is_live_in(const plan_inputs& inputs, incarnation_id id, const std::string& zone)
{
    const member_row* row = inputs.shared->find(id);
    return row != nullptr && row->zone == zone && inputs.shared->certificate_of(id) == nullptr;
}

/// If the first live candidate of a pinned range is outside the pinned zone, adds an override to
/// the first live candidate inside it. If the pinned zone has no live member, the range keeps its
/// owner, because service from another zone is better than none.
void apply_pins(const plan_inputs& inputs, placement& next)
{
    for (const auto& pin : inputs.pinned_zones) {
        const range_id range = pin.first;
        const std::string& zone = pin.second;
        if (range.value >= next.ranges) {
            continue;
        }
        const auto order = candidates(next.current, inputs.service, range);
        const auto first = std::find_if(order.begin(), order.end(), [&](incarnation_id id) {
            return inputs.shared->certificate_of(id) == nullptr;
        });
        const auto wanted = std::find_if(order.begin(), order.end(), [&](incarnation_id id) {
            return is_live_in(inputs, id, zone);
        });
        if (wanted != order.end() && !is_live_in(inputs, *first, zone)) {
            next.current.overrides[range] = *wanted;
        }
    }
}

} // namespace

std::size_t join_limit(std::size_t live_members)
{
    if (live_members < unbounded_join_members) {
        return static_cast<std::size_t>(-1);
    }
    return std::max(min_joins, live_members / join_divisor);
}

bool is_weight_change(std::uint32_t current, std::uint32_t wanted)
{
    const std::uint64_t difference = current > wanted ? current - wanted : wanted - current;
    return wanted != 0 && difference * weight_change_divisor >= current && difference != 0;
}

bool may_propose(const placement_view& view, const directory& shared,
                 const std::vector<incarnation_id>& except)
{
    const auto settled = [&](const weighted_member& member) {
        if (std::find(except.begin(), except.end(), member.incarnation) != except.end() ||
            shared.certificate_of(member.incarnation) != nullptr) {
            return true;
        }
        const adoption* adopted = shared.adoption_of(member.incarnation);
        return adopted != nullptr && adopted->version >= view.record.current.version &&
               adopted->draining.empty();
    };
    const auto all_settled = [&](const placement_list& list) {
        return std::all_of(list.members.begin(), list.members.end(), settled);
    };
    return all_settled(view.record.current) && all_settled(view.record.previous);
}

std::vector<incarnation_id> waiting_members(const plan_inputs& inputs)
{
    std::vector<incarnation_id> waiting;
    for (const auto& [id, member] : inputs.shared->members()) {
        const bool is_alive = id == inputs.proposer ||
                              (inputs.shared->heard_within(inputs.now, id, joiner_message_age) &&
                               inputs.shared->seals().of(id) == nullptr);
        if (is_alive && member.row.service == inputs.service &&
            member.row.state == member_state::active &&
            inputs.shared->certificate_of(id) == nullptr &&
            !(inputs.newest != nullptr && inputs.newest->has_member(id))) {
            waiting.push_back(id);
        }
    }
    return waiting;
}

std::vector<incarnation_id> departing_members(const plan_inputs& inputs)
{
    std::vector<incarnation_id> departing;
    if (inputs.newest == nullptr) {
        return departing;
    }
    for (const weighted_member& member : inputs.newest->record.current.members) {
        const member_row* row = inputs.shared->find(member.incarnation);
        if (inputs.shared->certificate_of(member.incarnation) != nullptr ||
            (row != nullptr && row->state == member_state::leaving)) {
            departing.push_back(member.incarnation);
        }
    }
    return departing;
}

std::optional<placement> plan(const plan_inputs& inputs)
{
    placement next;
    next.service = inputs.service;
    next.ranges = inputs.ranges;
    next.proposer = inputs.proposer;
    if (inputs.newest != nullptr) {
        next.previous = inputs.newest->record.current;
        next.ranges = inputs.newest->record.ranges;
    }
    next.current = next.previous;
    next.current.version.value = next.previous.version.value + 1;

    auto& members = next.current.members;
    const std::vector<incarnation_id> departing = departing_members(inputs);
    std::erase_if(members, [&](const weighted_member& member) {
        return std::binary_search(departing.begin(), departing.end(), member.incarnation);
    });
    const std::vector<incarnation_id> added = members_to_add(inputs);
    for (const incarnation_id id : added) {
        members.push_back({id, weight_of(inputs, id)});
    }
    std::sort(members.begin(), members.end());
    bool reweighted = false;
    for (weighted_member& member : members) {
        if (inputs.own_weight && member.incarnation == inputs.proposer &&
            is_weight_change(member.weight, *inputs.own_weight)) {
            member.weight = *inputs.own_weight;
            reweighted = true;
        }
    }
    for (const auto& [range, id] : inputs.overrides) {
        next.current.overrides[range] = id;
    }
    drop_dangling_overrides(next.current);
    apply_pins(inputs, next);

    if (!added.empty()) {
        add_reason(next.reason, std::to_string(added.size()) + " joined");
    }
    if (!departing.empty()) {
        add_reason(next.reason, std::to_string(departing.size()) + " left or ended");
    }
    if (reweighted) {
        add_reason(next.reason, "weight changed");
    }
    if (next.current.overrides != next.previous.overrides) {
        add_reason(next.reason, "overrides changed");
    }
    if (next.reason.empty()) {
        return std::nullopt;
    }
    return next;
}

std::size_t count_moves(const placement& next, const directory& shared)
{
    const placement_view view{next};
    const auto first_live = [&](const candidate_table& table, range_id range) {
        for (const std::uint16_t index : table.of(range)) {
            if (shared.certificate_of(table.member(index)) == nullptr) {
                return table.member(index);
            }
        }
        return incarnation_id{};
    };
    std::size_t moves = 0;
    for (std::uint32_t range = 0; range < next.ranges; ++range) {
        moves +=
            first_live(view.current, range_id{range}) != first_live(view.previous, range_id{range})
                ? 1
                : 0;
    }
    return moves;
}

} // namespace bulrushgw::ownership
