#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"

namespace bulrushgw::ownership {

namespace {

constexpr milliseconds holder_seal_retry{100};
/// A witness that lives answers a holder seal well within this time.
constexpr std::chrono::seconds holder_seal_limit{1};
/// After this long a new incarnation starts even if the end is not proven, when
/// peers have heard the holder seal; any member can then record the end.
constexpr std::chrono::seconds end_limit{3};
/// The same without a word from any peer.
constexpr std::chrono::seconds isolated_end_limit{30};
/// How often a member looks for holders that stopped and have no certificate.
constexpr std::chrono::seconds stopped_holder_low{3};
constexpr std::chrono::seconds stopped_holder_high{6};
/// A leaving node waits this long for the store, then hands over by its end.
constexpr std::chrono::seconds leave_store_limit{5};
/// Bound on the wait for requests in flight at a leave. Requests have shorter
/// deadlines.
constexpr std::chrono::seconds leave_drain_limit{30};
/// An ended incarnation remains a witness for this long at most, so that its
/// holders can replace it. A planned leave has more time.
constexpr std::chrono::seconds last_duties_limit{2};
constexpr std::chrono::seconds leave_duties_limit{5};

} // namespace

void engine::state::end(time_point now, const std::string& cause)
{
    if (ending || over) {
        return;
    }
    ending = end_state{cause, now, now, {}};
    serving_dirty = true;
    audit(audit_kind::end, self, cause);
    update_serving(now);
    if (!lease.started()) {
        finish(now, cause);
        return;
    }
    // Any member may record the end through the store on the strength of this.
    accept_seal(now, {self, self, lease.set_version(), lease.offered(), false});
    tend_end(now);
}

void engine::state::finish(time_point now, const std::string& cause)
{
    if (over || (ending && ending->done)) {
        return;
    }
    if (!ending) {
        ending = end_state{cause, now, now, {}};
    }
    ending->done = now;
    if (!serving.empty()) {
        serving_changed change;
        change.service = own.service;
        for (const auto& [range, token] : serving) {
            change.releases.push_back(range);
        }
        serving.clear();
        effects.emplace_back(std::move(change));
    }
    tend_last_duties(now);
}

void engine::state::tend_last_duties(time_point now)
{
    const auto limit = leaving ? leave_duties_limit : last_duties_limit;
    if (over || (witness.active() > 0 && now - *ending->done < limit)) {
        return;
    }
    over = true;
    if (leaving) {
        effects.emplace_back(left{});
    }
    else {
        effects.emplace_back(incarnation_ended{ending->cause});
    }
}

void engine::state::tend_end(time_point now)
{
    if (ending->done) {
        tend_last_duties(now);
        return;
    }
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
    const bool never_placed = lease.offered() == placement_version{};
    const bool heard = last_heard && *last_heard > ending->since + holder_seal_limit;
    if (never_placed || waited >= (heard ? end_limit : isolated_end_limit)) {
        finish(now, ending->cause);
        return;
    }
    if (schedule.ever_answered() && !schedule.is_failing()) {
        request_store_end(now, self, "holder");
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

void engine::state::tend_stopped_holders(time_point now)
{
    if (now < next_stopped_holder || schedule.is_failing() || !lease.is_running(now)) {
        return;
    }
    const bool first = next_stopped_holder == time_point{};
    next_stopped_holder = now + random.between(stopped_holder_low, stopped_holder_high);
    const auto view = shared.placement_of(own.service);
    if (first || !view) {
        return;
    }
    for (const seal& item : shared.seals().all()) {
        if (item.witness == item.holder && view->is_open_for(item.holder) &&
            item.adopted <= view->record.current.version) {
            request_store_end(now, item.holder, "holder");
        }
    }
}

} // namespace bulrushgw::ownership
