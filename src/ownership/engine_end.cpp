#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"

namespace bulrushgw::ownership {

namespace {

constexpr milliseconds holder_seal_retry{100};
/// A witness that lives answers a holder seal well within this time.
constexpr std::chrono::seconds holder_seal_limit{1};
/// After this long a new incarnation starts even if the end could not be
/// recorded; the witnesses seal by themselves.
constexpr std::chrono::seconds end_limit{10};
/// A leaving node waits this long for the store, then hands over by its end.
constexpr std::chrono::seconds leave_store_limit{5};
/// Bound on the wait for requests in flight at a leave. Requests have shorter
/// deadlines.
constexpr std::chrono::seconds leave_drain_limit{30};
constexpr milliseconds store_end_retry{500};
constexpr unsigned store_end_attempts = 10;

} // namespace

void engine::state::end(time_point now, const std::string& cause)
{
    if (ending || over) {
        return;
    }
    ending = end_state{cause, now, now};
    serving_dirty = true;
    audit(audit_kind::end, self, cause);
    update_serving(now);
    if (!lease.started()) {
        finish(cause);
        return;
    }
    tend_end(now);
}

void engine::state::finish(const std::string& cause)
{
    if (over) {
        return;
    }
    over = true;
    if (!serving.empty()) {
        serving_changed change;
        change.service = own.service;
        for (const auto& [range, token] : serving) {
            change.releases.push_back(range);
        }
        serving.clear();
        effects.emplace_back(std::move(change));
    }
    if (leaving) {
        effects.emplace_back(left{});
    }
    else {
        effects.emplace_back(incarnation_ended{cause});
    }
}

void engine::state::tend_end(time_point now)
{
    if (now >= ending->next_seal) {
        ending->next_seal = now + holder_seal_retry;
        for (const incarnation_id id : lease.holder_seal_targets()) {
            send_items(id, {own});
            send_to(id, holder_seal{lease.set_version(), lease.offered()});
        }
    }
    const auto waited = now - ending->since;
    if (waited < holder_seal_limit) {
        return;
    }
    const std::vector<incarnation_id>& witnesses = lease.witnesses();
    const bool sealed_by_all = std::all_of(witnesses.begin(), witnesses.end(),
                                           [&](incarnation_id id) { return lease.refused_by(id); });
    const bool never_placed = lease.offered() == placement_version{};
    if (sealed_by_all || never_placed || waited >= end_limit) {
        finish(ending->cause);
        return;
    }
    if (!store_end && schedule.ever_answered() && !schedule.is_failing()) {
        start_store_end(now, self, "holder");
    }
}

void engine::state::leave(time_point now)
{
    if (leaving || over) {
        return;
    }
    leaving = leave_state{now};
    audit(audit_kind::leave, self, "planned");
    if (ending) {
        return;
    }
    own.state = member_state::leaving;
    shared.merge(now, own);
    publish(own);
    next_consideration = now;
    propose_at.reset();
    tend_leave(now);
}

void engine::state::tend_leave(time_point now)
{
    if (!leaving || ending) {
        return;
    }
    const auto view = shared.placement_of(own.service);
    const bool placed = view && view->current.contains(self);
    const bool handed_over = adopted_view && !adopted_view->current.contains(self);
    const bool drained =
        (draining.empty() && total_in_flight() == 0) || now - leaving->since > leave_drain_limit;
    if ((handed_over || (!placed && !adopted_view)) && drained) {
        end(now, "planned leave");
        return;
    }
    if (placed && now - leaving->since > leave_store_limit) {
        if (!leaving->without_store) {
            leaving->without_store = true;
            serving_dirty = true;
        }
        if (drained) {
            end(now, "planned leave without the store");
        }
    }
}

void engine::state::start_store_end(time_point now, incarnation_id subject, const std::string& by)
{
    if (!store_end || store_end->target != subject) {
        if (store_end && store_end->busy) {
            audit(audit_kind::refusal, subject, "another end is being recorded");
            return;
        }
        store_end = store_end_state{subject, by};
    }
    const member_row* row = shared.find(subject);
    const auto view = row == nullptr ? nullptr : shared.placement_of(row->service);
    if (row == nullptr || !view) {
        fail_store_end("the member or its placement is not known");
        return;
    }
    if (shared.certificate_of(subject) != nullptr) {
        store_end.reset();
        return;
    }
    if (++store_end->attempts > store_end_attempts) {
        fail_store_end("the store did not confirm the end");
        return;
    }
    store_end->version = view->record.current.version;
    if (subject == self && lease.offered() > store_end->version) {
        fail_store_end("a newer placement than the known one was adopted");
        return;
    }
    store_end->next = now + store_end_retry;
    if (!may_propose(*view, shared, subject)) {
        return; // asked again until the attempts are used up
    }
    store_end->busy = call(
        now, store::read_row{placement_key(row->service)},
        [this](time_point at, const store::reply& reply) { on_end_placement_read(at, reply); });
}

void engine::state::fail_store_end(const std::string& cause)
{
    audit(audit_kind::refusal, store_end->target, "end through the store: " + cause);
    store_end.reset();
}

void engine::state::on_end_placement_read(time_point now, const store::reply& reply)
{
    if (!store_end) {
        return;
    }
    store_end->busy = false;
    if (reply.result != store::status::ok || reply.rows.empty()) {
        return;
    }
    const auto record = read_placement(reply.rows.front());
    if (!record) {
        return;
    }
    accept_placement(now, *record);
    if (over || !store_end || record->current.version != store_end->version) {
        return;
    }
    store_end->placement_row = reply.rows.front().version;
    store_end->busy =
        call(now, store::read_row{member_key(store_end->target)},
             [this](time_point at, const store::reply& row) { on_end_member_read(at, row); });
}

void engine::state::on_end_member_read(time_point now, const store::reply& reply)
{
    if (!store_end) {
        return;
    }
    store_end->busy = false;
    if (reply.result != store::status::ok || reply.rows.empty()) {
        return;
    }
    const auto row = read_member(reply.rows.front());
    if (!row) {
        return;
    }
    if (row->state == member_state::ended) {
        store_end.reset();
        accept_member(now, *row);
        return;
    }
    store_end->member_row_version = reply.rows.front().version;
    store_end->row = *row;
    write_store_end(now);
}

void engine::state::write_store_end(time_point now)
{
    member_row row = store_end->row;
    const auto view = shared.placement_of(row.service);
    if (!view || view->record.current.version != store_end->version ||
        !may_propose(*view, shared, row.incarnation)) {
        return;
    }
    row.state = member_state::ended;
    row.ended_by = store_end->by;
    row.adopted = store_end->version;
    store::transact change;
    change.conditions.push_back({placement_key(row.service), store_end->placement_row});
    change.conditions.push_back({member_key(row.incarnation), store_end->member_row_version});
    change.writes.push_back(
        {member_key(row.incarnation), encode_member(row, next_writer()), false});
    store_end->busy =
        call(now, std::move(change), [this, row](time_point at, const store::reply& reply) {
            if (!store_end) {
                return;
            }
            store_end->busy = false;
            if (reply.result == store::status::ok) {
                store_end.reset();
                accept_member(at, row);
            }
            // Otherwise the next attempt reads both rows again.
        });
}

} // namespace bulrushgw::ownership
