#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"
#include "ownership/witness_choice.h"

namespace bulrushgw::ownership {

namespace {

constexpr std::size_t witness_count = 2;
/// Waited after two possible witnesses are known, so that hosts which start
/// together see witnesses in other availability zones.
constexpr milliseconds choice_delay{300};
/// A witness without an answer for this long is replaced.
constexpr milliseconds witness_silence{1000};
/// A silent witness is not chosen again for this long if there is another one.
constexpr std::chrono::seconds silent_memory{30};
/// A witness is chosen from the members that were heard this recently, if there
/// are enough: rows of dead members remain when their witnesses died with them.
constexpr std::chrono::seconds witness_heard_age{10};
/// How many known members a joining node asks whether they live, and how often.
constexpr std::size_t asked_members = 16;
constexpr milliseconds asking_interval{100};
/// A new incarnation is cheaper than a rescue when no witness answers at first.
constexpr std::chrono::seconds first_ack_limit{3};
/// After both witnesses were silent for this long the node ends its incarnation.
constexpr std::chrono::seconds cut_off_limit{10};
/// A holder whose renewals arrive while the acknowledgements do not keeps its
/// witnesses from sealing. It ends itself this long after its lease.
constexpr milliseconds lapse_limit{200};
/// Interval of reading the members while this node lacks witnesses.
constexpr milliseconds reading_while_alone{300};
constexpr milliseconds set_change_retry{200};
/// Pause between replacements that only improve the spread over zones.
constexpr std::chrono::seconds improvement_pause{15};

} // namespace

void engine::state::on_target(time_point now, const target_info& info)
{
    if (over || ending) {
        return;
    }
    if (target && target->service != info.service) {
        end(now, "the target changed its service from " + target->service + " to " + info.service);
        return;
    }
    if (target && *target == info) {
        return;
    }
    const bool first = !target;
    target = info;
    if (first) {
        own.service = info.service;
        own.slots = info.slots;
        own.checks_fences = info.checks_fences;
        shared.merge(now, own);
        publish(own);
        next_members_read = std::min(next_members_read, now);
    }
    else {
        wanted_weight = std::max<std::uint32_t>(info.slots, 1);
        wanted_weight_since = now;
    }
}

std::vector<const member_row*> engine::state::witness_candidates(time_point now) const
{
    std::vector<const member_row*> fit;
    std::vector<const member_row*> silent; // the second choice
    for (const member_row* row : shared.live_rows(self)) {
        if (row->state == member_state::leaving || lease.refused_by(row->incarnation)) {
            continue;
        }
        const auto found = silent_witnesses.find(row->incarnation);
        const bool is_silent =
            (found != silent_witnesses.end() && now - found->second < silent_memory) ||
            !shared.is_heard(now, row->incarnation, witness_heard_age);
        (is_silent ? silent : fit).push_back(row);
    }
    return fit.size() >= witness_count ? fit
                                       : (fit.insert(fit.end(), silent.begin(), silent.end()), fit);
}

void engine::state::tend_join(time_point now)
{
    if (own_write) {
        write_own_row(now);
        return;
    }
    if (!target || leaving || !members_known || now < first_write || lease.started()) {
        return;
    }
    if (now >= next_asking) {
        next_asking = now + asking_interval;
        for (const incarnation_id id : random_peers(asked_members)) {
            if (!shared.is_heard(now, id, witness_heard_age)) {
                send_to(id, own_digest(true));
            }
        }
    }
    const std::vector<const member_row*> live = witness_candidates(now);
    const member_row* first = choose_witness(own, nullptr, live);
    const member_row* second = first == nullptr ? nullptr : choose_witness(own, first, live);
    too_few_witnesses = second == nullptr;
    if (too_few_witnesses) {
        witnesses_found.reset();
        next_members_read = std::min(next_members_read, now + reading_while_alone);
        if (own_row_version == 0) { // lets the others find this node
            own_write = row_write{own, next_writer()};
            write_own_row(now);
        }
        return;
    }
    if (!witnesses_found) {
        witnesses_found = now;
    }
    const auto heard = [&](const member_row* row) {
        return shared.is_heard(now, row->incarnation, witness_heard_age);
    };
    const auto spread = [&] {
        return heard(first) && heard(second) && fitness_of(own, *first, nullptr).zone == 0 &&
               fitness_of(own, *second, first).zone == 0;
    };
    if (now - *witnesses_found < choice_delay && !spread()) {
        return;
    }
    member_row row = own;
    row.set_version = ++highest_set_version;
    row.witnesses = {first->incarnation, second->incarnation};
    own_write = row_write{row, next_writer()};
    write_own_row(now);
}

void engine::state::write_own_row(time_point now)
{
    row_write& job = *own_write;
    if (job.busy) {
        return;
    }
    if (job.read_first) {
        job.busy =
            call(now, store::read_row{member_key(self)},
                 [this](time_point at, const store::reply& reply) { on_own_row_read(at, reply); });
        return;
    }
    store::transact change;
    change.conditions.push_back({member_key(self), own_row_version});
    change.writes.push_back({member_key(self), encode_member(job.row, job.writer), false});
    job.busy = call(now, std::move(change), [this](time_point at, const store::reply& reply) {
        on_own_row_written(at, reply);
    });
}

void engine::state::on_own_row_written(time_point now, const store::reply& reply)
{
    if (!own_write) {
        return;
    }
    own_write->busy = false;
    switch (reply.result) {
    case store::status::ok:
        own_row_stored(now,
                       reply.written.empty() ? own_row_version + 1 : reply.written.front().version);
        break;
    case store::status::unavailable:
        if (lease.change() && !own_write->maybe_written) {
            lease.abandon_change(); // the old set is still the only one
            own_write.reset();
        }
        break;
    case store::status::unknown:
        own_write->maybe_written = true;
        own_write->read_first = true;
        break;
    case store::status::conflict:
    case store::status::not_found:
        own_write->read_first = true;
        break;
    }
}

void engine::state::on_own_row_read(time_point now, const store::reply& reply)
{
    if (!own_write) {
        return;
    }
    own_write->busy = false;
    if (reply.result == store::status::not_found) {
        own_write->read_first = false;
        own_row_version = 0;
        return;
    }
    if (reply.result != store::status::ok || reply.rows.empty()) {
        return;
    }
    const store::row& row = reply.rows.front();
    own_write->read_first = false;
    if (writer_of(row.value) == own_write->writer) {
        own_row_stored(now, row.version);
        return;
    }
    own_row_version = row.version;
    if (const auto parsed = read_member(row); parsed && parsed->state == member_state::ended) {
        own_write.reset();
        accept_member(now, *parsed);
    }
}

void engine::state::own_row_stored(time_point now, std::uint64_t version)
{
    own_row_version = version;
    const member_row written = own_write->row;
    own_write.reset();
    own.set_version = written.set_version;
    own.witnesses = written.witnesses;
    own.adopted = written.adopted;
    shared.merge(now, own);
    publish(own);
    if (ending || own.set_version == 0) {
        return;
    }
    if (!lease.started()) {
        lease.start(own.set_version, own.witnesses);
        for (const incarnation_id id : own.witnesses) {
            send_items(id, {own});
        }
    }
    else if (lease.change()) {
        next_set_change = now;
        send_items(lease.change()->lost, {own}); // it need not watch any more
    }
}

void engine::state::renew_lease(time_point now)
{
    if (const auto body = lease.due(now)) {
        for (const incarnation_id id : lease.renew_targets()) {
            send_to(id, *body);
        }
    }
    if (own.state == member_state::joining && lease.is_running(now)) {
        own.state = member_state::active;
        shared.merge(now, own);
        publish(own);
    }
}

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
    if (!lease.ever_ran() || lease.is_running(now)) {
        lapsed_since.reset();
    }
    else if (!lapsed_since) {
        lapsed_since = now; // after a pause the next renewal may still be acknowledged
    }
    else if (now - *lapsed_since > lapse_limit) {
        end(now, "no witness acknowledged a renewal");
        return;
    }
    if (lease.change()) {
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
        return;
    }
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    std::vector<incarnation_id> lost;
    std::copy_if(witnesses.begin(), witnesses.end(), std::back_inserter(lost),
                 [&](incarnation_id id) { return is_lost_witness(now, id); });
    if (lost.size() == witness_count) {
        const auto refused = [&](incarnation_id id) { return lease.refused_by(id); };
        const time_point heard =
            std::max(lease.last_heard(lost.front()), lease.last_heard(lost.back()));
        if (std::all_of(lost.begin(), lost.end(), refused)) {
            end(now, "both witnesses sealed this incarnation");
        }
        else if (!lease.ever_ran() && now - heard > first_ack_limit) {
            end(now, "no witness answered");
        }
        else if (now - heard > cut_off_limit && !schedule.is_failing() &&
                 schedule.ever_answered()) {
            end(now, "both witnesses are lost");
        }
        return;
    }
    if (own_write || schedule.is_failing() || !schedule.ever_answered() ||
        now < schedule.blocked_until(true)) {
        return;
    }
    const bool improve = lost.empty();
    if (improve && now < next_improvement) {
        return;
    }
    next_improvement = now + random.between(improvement_pause, improvement_pause * 2);
    std::vector<const member_row*> live = witness_candidates(now);
    if (!improve) {
        silent_witnesses[lost.front()] = now;
        const incarnation_id stays =
            witnesses.front() == lost.front() ? witnesses.back() : witnesses.front();
        const member_row* other = shared.find(stays);
        std::erase_if(live, [&](const member_row* row) {
            return row->incarnation == lost.front() || row->incarnation == stays;
        });
        if (const member_row* added = choose_witness(own, other, live)) {
            begin_witness_change(now, lost.front(), *added);
        }
        else {
            next_improvement = now;
        }
        return;
    }
    const member_row* first = shared.find(witnesses.front());
    const member_row* second = shared.find(witnesses.back());
    if (first == nullptr || second == nullptr || !lease.is_running(now)) {
        return;
    }
    const auto try_replace = [&](const member_row* replaced, const member_row* stays) {
        const member_row* best = choose_witness(own, stays, live);
        const bool better =
            best != nullptr && best != replaced &&
            fitness_of(own, *best, stays).zone < fitness_of(own, *replaced, stays).zone;
        if (better) {
            begin_witness_change(now, replaced->incarnation, *best);
        }
        return better;
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
