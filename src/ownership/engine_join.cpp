#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"
#include "ownership/witness_choice.h"

namespace bulrushgw::ownership {

namespace {

constexpr std::size_t witness_count = 2;
/// A node that knows two possible witnesses waits this long before it chooses them, so that nodes
/// which start at the same time can still choose witnesses in other availability zones. There is no
/// wait if both sent a message recently and are well spread over zones.
constexpr milliseconds witness_choice_delay{300};
/// Members from which a message arrived within this time are preferred as witnesses. A row alone
/// does not show that its member is alive: the row of a dead member remains if the member's
/// witnesses died too.
constexpr std::chrono::seconds witness_message_age{10};
/// Number of members that a joining node probes at once, and the interval of the probes.
constexpr std::size_t probed_members = 16;
constexpr milliseconds probe_interval{100};
/// Longest wait for the next reading of the members while this node finds too few witnesses.
constexpr milliseconds read_wait_without_witnesses{300};

} // namespace

void engine::state::on_target(time_point now, const target_info& info)
{
    if (stopped || ending) {
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
        own_row.service = info.service;
        own_row.slots = info.slots;
        own_row.checks_fences = info.checks_fences;
        shared.merge(now, own_row);
        publish(own_row);
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
    std::vector<const member_row*> silent;
    // Silent members are candidates only if fewer than `witness_count` other members are fit.
    for (const member_row* row : shared.live_rows(self)) {
        if (row->state == member_state::leaving || lease.refused_by(row->incarnation)) {
            continue;
        }
        const bool is_silent = lost_witnesses.contains(row->incarnation) ||
                               !shared.heard_within(now, row->incarnation, witness_message_age);
        (is_silent ? silent : fit).push_back(row);
    }
    return fit.size() >= witness_count ? fit
                                       : (fit.insert(fit.end(), silent.begin(), silent.end()), fit);
}

void engine::state::advance_join(time_point now)
{
    if (own_row_write) {
        write_own_row(now);
        return;
    }
    if (!target || leaving || !members_known || now < first_write_time || lease.started()) {
        return;
    }
    if (now >= next_probe) {
        next_probe = now + probe_interval;
        for (const incarnation_id id : random_peers(probed_members)) {
            if (!shared.heard_within(now, id, witness_message_age)) {
                send_to(id, own_digest(true));
            }
        }
    }
    const std::vector<const member_row*> live = witness_candidates(now);
    const member_row* first = choose_witness(own_row, nullptr, live);
    const member_row* second = first == nullptr ? nullptr : choose_witness(own_row, first, live);
    too_few_witnesses = second == nullptr;
    if (too_few_witnesses) {
        witnesses_found_since.reset();
        next_members_read = std::min(next_members_read, now + read_wait_without_witnesses);
        if (own_row_version == 0) { // not in the store yet; the row lets other nodes find this one
            own_row_write = row_write{own_row, next_writer()};
            write_own_row(now);
        }
        return;
    }
    if (!witnesses_found_since) {
        witnesses_found_since = now;
    }
    const auto heard_recently = [&](const member_row* row) {
        return shared.heard_within(now, row->incarnation, witness_message_age);
    };
    const auto is_well_spread = [&] {
        return heard_recently(first) && heard_recently(second) &&
               penalty_of(own_row, *first, nullptr).zone == 0 &&
               penalty_of(own_row, *second, first).zone == 0;
    };
    if (now - *witnesses_found_since < witness_choice_delay && !is_well_spread()) {
        return;
    }
    member_row row = own_row;
    row.set_version = ++highest_set_version;
    row.witnesses = {first->incarnation, second->incarnation};
    own_row_write = row_write{row, next_writer()};
    write_own_row(now);
}

void engine::state::write_own_row(time_point now)
{
    row_write& job = *own_row_write;
    if (job.call_pending) {
        return;
    }
    if (job.read_first) {
        job.call_pending =
            call(now, store::read_row{member_key(self)},
                 [this](time_point at, const store::reply& reply) { on_own_row_read(at, reply); });
        return;
    }
    store::transact change;
    change.conditions.push_back({member_key(self), own_row_version});
    change.writes.push_back({member_key(self), encode_member(job.row, job.writer), false});
    job.call_pending =
        call(now, std::move(change),
             [this](time_point at, const store::reply& reply) { on_own_row_written(at, reply); });
}

void engine::state::on_own_row_written(time_point now, const store::reply& reply)
{
    if (!own_row_write) {
        return;
    }
    own_row_write->call_pending = false;
    switch (reply.result) {
    case store::status::ok:
        own_row_stored(now,
                       reply.written.empty() ? own_row_version + 1 : reply.written.front().version);
        break;
    case store::status::unavailable:
        if (lease.change() && !own_row_write->maybe_written) {
            lease.abandon_change(); // the row was certainly not written
            own_row_write.reset();
        }
        break;
    case store::status::unknown:
        own_row_write->maybe_written = true;
        own_row_write->read_first = true;
        break;
    case store::status::conflict:
    case store::status::not_found:
        own_row_write->read_first = true;
        break;
    }
}

void engine::state::on_own_row_read(time_point now, const store::reply& reply)
{
    if (!own_row_write) {
        return;
    }
    own_row_write->call_pending = false;
    if (reply.result == store::status::not_found) {
        own_row_write->read_first = false;
        own_row_version = 0;
        return;
    }
    if (reply.result != store::status::ok || reply.rows.empty()) {
        return;
    }
    const store::row& row = reply.rows.front();
    own_row_write->read_first = false;
    if (writer_of(row.value) == own_row_write->writer) {
        own_row_stored(now, row.version);
        return;
    }
    own_row_version = row.version;
    if (const auto parsed = read_member(row); parsed && parsed->state == member_state::ended) {
        own_row_write.reset();
        accept_member(now, *parsed);
    }
}

void engine::state::own_row_stored(time_point now, std::uint64_t version)
{
    own_row_version = version;
    const member_row written = own_row_write->row;
    own_row_write.reset();
    own_row.set_version = written.set_version;
    own_row.witnesses = written.witnesses;
    own_row.adopted = written.adopted;
    shared.merge(now, own_row);
    publish(own_row);
    if (ending || own_row.set_version == 0) {
        return;
    }
    if (!lease.started()) {
        lease.start(own_row.set_version, own_row.witnesses);
        for (const incarnation_id id : own_row.witnesses) {
            send_items(id, {own_row});
        }
    }
    else if (lease.change()) {
        next_set_change = now;
        send_items(lease.change()->replaced, {own_row}); // it may stop watching this node
    }
}

void engine::state::renew_lease(time_point now)
{
    if (const auto body = lease.due(now)) {
        for (const incarnation_id id : lease.renew_recipients()) {
            send_to(id, *body);
        }
    }
    if (own_row.state == member_state::joining && lease.is_running(now)) {
        own_row.state = member_state::active;
        shared.merge(now, own_row);
        publish(own_row);
    }
}

} // namespace bulrushgw::ownership
