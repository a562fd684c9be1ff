#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/witness_choice.h"

/// Replaces lost witnesses, and witnesses that are poorly spread over availability zones.

namespace bulrushgw::ownership {

namespace {

/// A witness that does not acknowledge renewals for this long is replaced.
constexpr milliseconds witness_timeout{1000};
/// A node ends its incarnation if no witness acknowledges a renewal within this time after the
/// first one was sent. The node has no ranges yet, so a new incarnation is cheaper than the
/// replacement of the witnesses.
constexpr std::chrono::seconds first_ack_timeout{3};
/// A node ends its incarnation if no witness whose acknowledgements extend the lease answers for
/// this long, provided that the store answers.
constexpr std::chrono::seconds isolation_timeout{10};
/// A node ends its incarnation this long after its lease expired. The node's renewals may still
/// arrive although the acknowledgements are lost. The witnesses then never seal the node, and no
/// successor could take over.
constexpr milliseconds expired_lease_wait{200};
/// A lost witness is not chosen again for this long, unless fewer than two other members are fit.
constexpr std::chrono::seconds lost_witness_exclusion{30};
constexpr milliseconds set_change_retry{200};
/// Pause after a replacement that only improves the spread over availability zones.
constexpr std::chrono::seconds improvement_pause{15};
/// Shortest interval between two checks whether other witnesses would be better spread over
/// availability zones. The interval is short because a node whose witnesses are both in one zone
/// loses its lease if that zone fails. The check needs no store call.
constexpr std::chrono::seconds improvement_check_interval{1};

} // namespace

bool engine::state::is_lost_witness(time_point now, incarnation_id id) const
{
    const time_point last_ack = lease.last_ack_time(id);
    return lease.refused_by(id) || shared.certificate_of(id) != nullptr ||
           (last_ack != time_point{} && now - last_ack > witness_timeout);
}

void engine::state::advance_witnesses(time_point now)
{
    if (!lease.started()) {
        return;
    }
    std::erase_if(lost_witnesses,
                  [&](const auto& entry) { return now - entry.second >= lost_witness_exclusion; });
    if (!lease.ever_ran() || lease.is_running(now)) {
        lease_expired_since.reset();
    }
    else if (!lease_expired_since) {
        lease_expired_since = now; // the next renewal may still be acknowledged, e.g. after a pause
    }
    else if (now - *lease_expired_since > expired_lease_wait) {
        end(now, "no witness acknowledged a renewal");
        return;
    }
    if (lease.change()) {
        advance_witness_change(now);
        return;
    }
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    std::vector<incarnation_id> lost;
    std::copy_if(witnesses.begin(), witnesses.end(), std::back_inserter(lost),
                 [&](incarnation_id id) { return is_lost_witness(now, id); });
    if (lost.size() == witnesses.size()) {
        handle_lost_witnesses(now);
        return;
    }
    if (own_row_write || schedule.is_failing() || !schedule.ever_answered() ||
        now < schedule.blocked_until(true)) {
        return;
    }
    if (!lost.empty()) {
        replace_witness(now, lost.front());
    }
    else if (now >= next_improvement_check) {
        improve_witnesses(now);
        const milliseconds pause = lease.change() ? improvement_pause : improvement_check_interval;
        next_improvement_check = now + random.between(pause, pause * 2);
    }
}

void engine::state::advance_witness_change(time_point now)
{
    const incarnation_id remaining = lease.change()->remaining;
    if (lease.refused_by(remaining)) {
        end(now, "the witness that stays sealed this incarnation");
    }
    else if (now - lease.last_ack_time(remaining) > isolation_timeout && !schedule.is_failing()) {
        end(now, "the witness that stays is lost");
    }
    else if (!own_row_write && now >= next_set_change) {
        send_set_change(now);
    }
}

void engine::state::handle_lost_witnesses(time_point now)
{
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    const time_point last_ack =
        std::max(lease.last_ack_time(witnesses.front()), lease.last_ack_time(witnesses.back()));
    if (std::all_of(witnesses.begin(), witnesses.end(),
                    [&](incarnation_id id) { return lease.refused_by(id); })) {
        end(now, "both witnesses sealed this incarnation");
    }
    else if (!lease.ever_ran() && now - last_ack > first_ack_timeout) {
        end(now, "no witness answered");
    }
    else if (now - last_ack > isolation_timeout && !schedule.is_failing() &&
             schedule.ever_answered()) {
        end(now, "both witnesses are lost");
    }
}

void engine::state::replace_witness(time_point now, incarnation_id lost)
{
    lost_witnesses[lost] = now;
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    const incarnation_id remaining =
        witnesses.front() == lost ? witnesses.back() : witnesses.front();
    std::vector<const member_row*> live = witness_candidates(now);
    std::erase_if(live, [&](const member_row* row) {
        return row->incarnation == lost || row->incarnation == remaining;
    });
    if (const member_row* added = choose_witness(own_row, shared.find(remaining), live)) {
        begin_witness_change(now, lost, *added);
    }
}

void engine::state::improve_witnesses(time_point now)
{
    const member_row* first = shared.find(lease.witnesses().front());
    const member_row* second = shared.find(lease.witnesses().back());
    if (first == nullptr || second == nullptr || !lease.is_running(now)) {
        return;
    }
    const std::vector<const member_row*> live = witness_candidates(now);
    const auto try_replace = [&](const member_row* replaced, const member_row* remaining) {
        const member_row* best = choose_witness(own_row, remaining, live);
        if (best == nullptr || best == replaced) {
            return false;
        }
        const witness_penalty current_penalty = penalty_of(own_row, *replaced, remaining);
        const witness_penalty best_penalty = penalty_of(own_row, *best, remaining);
        // If two members are witnesses of each other, only one of them chooses another witness.
        const bool leaves_pair = best_penalty.zone == current_penalty.zone &&
                                 current_penalty.mutual && !best_penalty.mutual &&
                                 self < replaced->incarnation;
        if (best_penalty.zone >= current_penalty.zone && !leaves_pair) {
            return false;
        }
        begin_witness_change(now, replaced->incarnation, *best);
        return true;
    };
    if (!try_replace(second, first)) {
        try_replace(first, second);
    }
}

void engine::state::begin_witness_change(time_point now, incarnation_id replaced,
                                         const member_row& added)
{
    // The order matters: acknowledgements of the replaced witness must stop counting before any
    // other node can see the row with the new set.
    lease.begin_change(replaced, added.incarnation, ++highest_set_version);
    member_row row = own_row;
    row.set_version = highest_set_version;
    row.witnesses = {lease.change()->remaining, added.incarnation};
    row.adopted = lease.offered();
    own_row_write = row_write{row, next_writer()};
    write_own_row(now);
}

void engine::state::send_set_change(time_point now)
{
    next_set_change = now + set_change_retry;
    send_to(lease.change()->remaining, set_change{own_row});
    send_items(lease.change()->added, {own_row});
}

void engine::state::on_set_change_ack(time_point now, incarnation_id from,
                                      const set_change_ack& ack)
{
    const auto& change = lease.change();
    if (ending || !change || from != change->remaining || ack.set_version != change->set_version) {
        return;
    }
    audit(audit_kind::witness_replaced, change->added, "instead of " + to_string(change->replaced));
    lease.confirm_change();
    static_cast<void>(now);
}

} // namespace bulrushgw::ownership
