#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/witness_choice.h"

/// Replacement of lost witnesses, and of those that are badly spread.

namespace bulrushgw::ownership {

namespace {

/// A witness without an answer for this long is replaced.
constexpr milliseconds witness_silence{1000};
/// A new incarnation is cheaper than a rescue when no witness answers at first.
constexpr std::chrono::seconds first_ack_limit{3};
/// After both witnesses were silent for this long the node ends its incarnation.
constexpr std::chrono::seconds cut_off_limit{10};
constexpr milliseconds set_change_retry{200};
/// Pause between replacements that only improve the spread over zones.
constexpr std::chrono::seconds improvement_pause{15};

} // namespace

bool engine::state::is_lost_witness(time_point now, incarnation_id id) const
{
    const time_point heard = lease.last_heard(id);
    return lease.refused_by(id) || shared.certificate_of(id) != nullptr ||
           (heard != time_point{} && now - heard > witness_silence);
}

void engine::state::tend_witnesses(time_point now)
{
    if (!lease.started()) {
        return;
    }
    if (lease.change()) {
        tend_witness_change(now);
        return;
    }
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    std::vector<incarnation_id> lost;
    std::copy_if(witnesses.begin(), witnesses.end(), std::back_inserter(lost),
                 [&](incarnation_id id) { return is_lost_witness(now, id); });
    if (lost.size() == witnesses.size()) {
        tend_lost_lease(now);
        return;
    }
    if (own_write || schedule.is_failing() || !schedule.ever_answered() ||
        now < schedule.blocked_until(true)) {
        return;
    }
    if (!lost.empty()) {
        replace_witness(now, lost.front());
    }
    else if (now >= next_improvement) {
        next_improvement = now + random.between(improvement_pause, improvement_pause * 2);
        improve_witnesses(now);
    }
}

void engine::state::tend_witness_change(time_point now)
{
    const incarnation_id stays = lease.change()->stays;
    if (lease.refused_by(stays)) {
        end(now, "the witness that stays sealed this incarnation");
    }
    else if (now - lease.last_heard(stays) > cut_off_limit && !schedule.is_failing()) {
        end(now, "the witness that stays is lost");
    }
    else if (!own_write && now >= next_set_change) {
        send_set_change(now);
    }
}

void engine::state::tend_lost_lease(time_point now)
{
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    const time_point heard =
        std::max(lease.last_heard(witnesses.front()), lease.last_heard(witnesses.back()));
    if (std::all_of(witnesses.begin(), witnesses.end(),
                    [&](incarnation_id id) { return lease.refused_by(id); })) {
        end(now, "both witnesses sealed this incarnation");
    }
    else if (!lease.ever_ran() && now - heard > first_ack_limit) {
        end(now, "no witness answered");
    }
    else if (now - heard > cut_off_limit && !schedule.is_failing() && schedule.ever_answered()) {
        end(now, "both witnesses are lost");
    }
}

void engine::state::replace_witness(time_point now, incarnation_id lost)
{
    silent_witnesses[lost] = now;
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    const incarnation_id stays = witnesses.front() == lost ? witnesses.back() : witnesses.front();
    std::vector<const member_row*> live = witness_candidates(now);
    std::erase_if(live, [&](const member_row* row) {
        return row->incarnation == lost || row->incarnation == stays;
    });
    if (const member_row* added = choose_witness(own, shared.find(stays), live)) {
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
    const auto try_replace = [&](const member_row* replaced, const member_row* stays) {
        const member_row* best = choose_witness(own, stays, live);
        if (best == nullptr || best == replaced) {
            return false;
        }
        const witness_fitness now_fit = fitness_of(own, *replaced, stays);
        const witness_fitness best_fit = fitness_of(own, *best, stays);
        // Of a pair that witness each other only one looks for another.
        const bool leaves_pair = best_fit.zone == now_fit.zone && now_fit.mutual &&
                                 !best_fit.mutual && self < replaced->incarnation;
        if (best_fit.zone >= now_fit.zone && !leaves_pair) {
            return false;
        }
        begin_witness_change(now, replaced->incarnation, *best);
        return true;
    };
    if (!try_replace(second, first)) {
        try_replace(first, second);
    }
}

void engine::state::begin_witness_change(time_point now, incarnation_id lost,
                                         const member_row& added)
{
    // The order matters: acknowledgements of the lost witness stop counting
    // before the row can become known.
    lease.begin_change(lost, added.incarnation, ++highest_set_version);
    member_row row = own;
    row.set_version = highest_set_version;
    row.witnesses = {lease.change()->stays, added.incarnation};
    row.adopted = lease.offered();
    own_write = row_write{row, next_writer()};
    write_own_row(now);
}

void engine::state::send_set_change(time_point now)
{
    next_set_change = now + set_change_retry;
    send_to(lease.change()->stays, set_change{own});
    send_items(lease.change()->added, {own});
}

void engine::state::on_set_change_ack(time_point now, incarnation_id from,
                                      const set_change_ack& ack)
{
    const auto& change = lease.change();
    if (ending || !change || from != change->stays || ack.set_version != change->set_version) {
        return;
    }
    audit(audit_kind::witness_replaced, change->added, "instead of " + to_string(change->lost));
    lease.confirm_change();
    static_cast<void>(now);
}

} // namespace bulrushgw::ownership
