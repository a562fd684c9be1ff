#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"

namespace bulrushgw::ownership {

namespace {

constexpr milliseconds proposal_check_interval{100};
/// Pause between proposals that add members.
constexpr std::chrono::seconds addition_pause{3};
/// Random delay before a member proposes its own join, so that nodes which start at the same time
/// go into one proposal.
constexpr milliseconds join_delay_min{150};
constexpr milliseconds join_delay_max{350};
/// Upper bound of the random delay before a member proposes its own leave.
constexpr milliseconds leave_delay_max{40};
/// Random delay before a member proposes other changes. It is longer, and grows with the number of
/// members, so that few members propose the same change at the same time.
constexpr milliseconds other_change_delay_min{400};
constexpr milliseconds other_change_delay_per_member{60};
constexpr std::size_t other_change_delay_max_members = 50;

} // namespace

plan_inputs engine::state::inputs_for_plan(time_point now) const
{
    plan_inputs inputs;
    inputs.service = own_row.service;
    if (const auto service = services.find(own_row.service); service != services.end()) {
        inputs.ranges = service->second.ranges;
        inputs.pinned_zones = service->second.pinned_zones;
    }
    inputs.proposer = self;
    inputs.now = now;
    inputs.shared = &shared;
    inputs.newest = nullptr;
    if (const auto view = shared.placement_of(own_row.service)) {
        inputs.newest = view.get();
    }
    inputs.may_add = !last_addition || now - *last_addition >= addition_pause;
    if (inputs.newest != nullptr && !inputs.may_add) {
        const auto& members = inputs.newest->record.current.members;
        inputs.may_add = members.size() < unbounded_join_members;
    }
    inputs.own_weight = settled_weight(now);
    if (wanted_move && serving.contains(wanted_move->range) &&
        !inputs.pinned_zones.contains(wanted_move->range)) {
        inputs.overrides[wanted_move->range] = wanted_move->to;
    }
    if (!own_move_budget.allows(now, count_load_moves(inputs), own_moves_per_hour())) {
        inputs.own_weight.reset();
        inputs.overrides.clear();
    }
    return inputs;
}

void engine::state::consider_proposal(time_point now)
{
    if (now < next_proposal_check || proposal || !placements_known || schedule.is_failing() ||
        !services.contains(own_row.service) || !lease.is_running(now) ||
        own_row.state == member_state::joining) {
        return;
    }
    next_proposal_check = now + (leaving ? settings.times.tick : proposal_check_interval);
    const plan_inputs inputs = inputs_for_plan(now);
    if (!plan(inputs)) {
        propose_at.reset();
        return;
    }
    if (!propose_at) {
        const std::vector<incarnation_id> waiting = waiting_members(inputs);
        const std::size_t members =
            inputs.newest == nullptr ? 0 : inputs.newest->record.current.members.size();
        const auto spread =
            static_cast<std::int64_t>(std::min(members, other_change_delay_max_members));
        if (leaving) {
            propose_at = now + random.between(milliseconds{0}, leave_delay_max);
        }
        else if (std::binary_search(waiting.begin(), waiting.end(), self)) {
            propose_at = now + random.between(join_delay_min, join_delay_max);
        }
        else {
            propose_at = now + random.between(other_change_delay_min,
                                              other_change_delay_min +
                                                  other_change_delay_per_member * spread);
        }
    }
    if (now < *propose_at) {
        return;
    }
    if (inputs.newest != nullptr && !may_propose(*inputs.newest, shared)) {
        // The random delay prevents all members from proposing as soon as a proposal is allowed.
        propose_at = now + random.between(milliseconds{0},
                                          leaving ? leave_delay_max : proposal_check_interval);
        return;
    }
    start_proposal(now);
}

void engine::state::start_proposal(time_point now)
{
    if (call(now, store::read_row{placement_key(own_row.service)},
             [this](time_point at, const store::reply& reply) { on_placement_read(at, reply); })) {
        proposal = proposal_state{};
    }
}

void engine::state::on_placement_read(time_point now, const store::reply& reply)
{
    if (!proposal) {
        return;
    }
    std::uint64_t row_version = 0;
    placement_version read_version;
    if (reply.result == store::status::ok && !reply.rows.empty()) {
        const store::row& row = reply.rows.front();
        const auto record = read_placement(row);
        if (!record) {
            finish_proposal(now); // never overwrite a row that cannot be parsed
            return;
        }
        if (proposal->written && writer_of(row.value) == proposal->writer) {
            audit(audit_kind::proposal, self, record->reason);
        }
        accept_placement(now, *record);
        row_version = row.version;
        read_version = record->current.version;
    }
    else if (reply.result != store::status::not_found) {
        finish_proposal(now);
        return;
    }
    const auto newest = shared.placement_of(own_row.service);
    const bool lost_row = row_version == 0 && newest;
    // If the store lost its newest state, a proposal would reuse a version that exists already.
    const bool older_row =
        row_version != 0 && newest && read_version != newest->record.current.version;
    if (lost_row || older_row || ending || stopped || !lease.is_running(now) ||
        (newest && !may_propose(*newest, shared))) {
        finish_proposal(now);
        return;
    }
    write_proposal(now, row_version);
}

void engine::state::write_proposal(time_point now, std::uint64_t row_version)
{
    const plan_inputs inputs = inputs_for_plan(now);
    const auto next = plan(inputs);
    if (!next) {
        finish_proposal(now);
        return;
    }
    proposal->writer = next_writer();
    proposal->written = true;
    const std::string key = placement_key(own_row.service);
    store::transact change;
    change.conditions.push_back({key, row_version});
    change.writes.push_back({key, encode_placement(*next, proposal->writer), false});
    const bool sent = call(
        now, std::move(change),
        [this, record = *next, spent = count_load_moves(inputs)](time_point at,
                                                                 const store::reply& reply) {
            if (!proposal) {
                return;
            }
            if (reply.result == store::status::ok) {
                audit(audit_kind::proposal, self, record.reason);
                own_move_budget.try_spend(at, spent, own_moves_per_hour());
                wanted_move.reset();
                accept_placement(at, record);
            }
            if (reply.result == store::status::conflict || reply.result == store::status::unknown) {
                // Read the row back: another member wrote it first, or the reply was lost.
                if (call(at, store::read_row{placement_key(own_row.service)},
                         [this](time_point when, const store::reply& row) {
                             on_placement_read(when, row);
                         })) {
                    return;
                }
            }
            finish_proposal(at);
        });
    if (!sent) {
        finish_proposal(now);
    }
}

void engine::state::finish_proposal(time_point now)
{
    proposal.reset();
    propose_at.reset();
    next_proposal_check = now + proposal_check_interval;
}

} // namespace bulrushgw::ownership
