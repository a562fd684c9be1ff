#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"

namespace bulrushgw::ownership {

namespace {

constexpr milliseconds holder_seal_retry{100};
/// Time for the witnesses to answer a holder seal. After that, the end is recorded in the store
/// instead. A live witness answers much sooner.
constexpr std::chrono::seconds holder_seal_answer_wait{1};
/// Time after which a new incarnation starts even if the end of the old one is not proven. It
/// applies if messages from peers still arrive. The peers then have the holder seal, so that any
/// member can record the end.
constexpr std::chrono::seconds unproven_end_wait{3};
/// Replaces `unproven_end_wait` for a node that receives no message from a peer.
constexpr std::chrono::seconds isolated_unproven_end_wait{30};
/// Bounds of the random interval at which a member looks for holders that sealed themselves and
/// have no certificate.
constexpr std::chrono::seconds self_sealed_check_min{3};
constexpr std::chrono::seconds self_sealed_check_max{6};
/// A leaving node waits at most this long for a placement that does not contain it. The wait is
/// bounded because a new placement needs the store, which may be down. After that, the node hands
/// its ranges over by ending its incarnation.
constexpr std::chrono::seconds leave_store_wait{2};
/// A leaving node waits at most this long for its requests in flight. Request deadlines are usually
/// shorter.
constexpr std::chrono::seconds leave_drain_wait{30};
/// An ended incarnation remains a witness for at most this long, so that the holders that it
/// watches can replace it. The limit after a planned leave is longer, because a leave is not
/// urgent.
constexpr std::chrono::seconds ended_witness_time{2};
constexpr std::chrono::seconds leaving_witness_time{5};

} // namespace

void engine::state::end(time_point now, const std::string& cause,
                        std::optional<time_point> idle_from)
{
    if (ending || stopped) {
        return;
    }
    // The target's grants may be valid until the lease ends. Until then, a frozen target could
    // resume and run a buffered request while the successor already runs requests.
    const time_point seal_from = std::max(now, idle_from.value_or(lease.end()));
    ending = end_state{cause, seal_from, seal_from, {}};
    serving_dirty = true;
    audit(audit_kind::end, self, cause);
    update_serving(now);
    if (!lease.started()) {
        finish_end(now, cause);
        return;
    }
    advance_end(now);
}

void engine::state::finish_end(time_point now, const std::string& cause)
{
    if (stopped || (ending && ending->done)) {
        return;
    }
    if (!ending) {
        ending = end_state{cause, now, now, {}};
    }
    ending->done = now;
    if (!serving.empty()) {
        serving_changed change;
        change.service = own_row.service;
        for (const auto& [range, token] : serving) {
            change.releases.push_back(range);
        }
        serving.clear();
        effects.emplace_back(std::move(change));
    }
    advance_after_end(now);
}

void engine::state::advance_after_end(time_point now)
{
    const auto limit = leaving ? leaving_witness_time : ended_witness_time;
    if (stopped || (witness.active_holders() > 0 && now - *ending->done < limit)) {
        return;
    }
    stopped = true;
    if (leaving) {
        effects.emplace_back(left{});
    }
    else {
        effects.emplace_back(incarnation_ended{ending->cause});
    }
}

void engine::state::advance_end(time_point now)
{
    if (ending->done) {
        advance_after_end(now);
        return;
    }
    if (now >= ending->next_seal) {
        ending->next_seal = now + holder_seal_retry;
        // With this seal, any member may record the end in the store.
        accept_seal(now, {self, self, lease.set_version(), lease.offered(), false});
        for (const incarnation_id id : lease.holder_seal_recipients()) {
            send_items(id, {own_row});
            send_to(id, holder_seal{lease.set_version(), lease.offered()});
        }
    }
    const auto waited = now - ending->seal_from;
    if (waited < holder_seal_answer_wait) {
        return;
    }
    const bool never_placed = lease.offered() == placement_version{};
    const bool heard_from_peer =
        last_message_time && *last_message_time > ending->seal_from + holder_seal_answer_wait;
    if (never_placed ||
        waited >= (heard_from_peer ? unproven_end_wait : isolated_unproven_end_wait)) {
        finish_end(now, ending->cause);
        return;
    }
    if (schedule.ever_answered() && !schedule.is_failing()) {
        request_store_end(now, self, "holder");
    }
}

void engine::state::leave(time_point now)
{
    if (leaving || stopped) {
        return;
    }
    leaving = leave_state{now};
    audit(audit_kind::leave, self, "planned");
    if (ending) {
        return;
    }
    own_row.state = member_state::leaving;
    shared.merge(now, own_row);
    publish(own_row);
    next_proposal_check = now;
    propose_at.reset();
    advance_leave(now);
}

void engine::state::advance_leave(time_point now)
{
    if (!leaving || ending) {
        return;
    }
    const auto view = shared.placement_of(own_row.service);
    const bool placed = view && view->current.contains(self);
    const bool handed_over = adopted_view && !adopted_view->current.contains(self);
    const bool drained =
        (draining.empty() && total_in_flight() == 0) || now - leaving->since > leave_drain_wait;
    const auto idle_from = total_in_flight() == 0 ? std::optional{now} : std::nullopt;
    if ((handed_over || (!placed && !adopted_view)) && drained) {
        end(now, "planned leave", idle_from);
        return;
    }
    if (placed && now - leaving->since > leave_store_wait) {
        if (!leaving->without_store) {
            leaving->without_store = true;
            serving_dirty = true;
        }
        if (drained) {
            end(now, "planned leave without the store", idle_from);
        }
    }
}

void engine::state::advance_self_sealed_holders(time_point now)
{
    if (now < next_self_sealed_check || schedule.is_failing() || !lease.is_running(now)) {
        return;
    }
    const bool first = next_self_sealed_check == time_point{};
    next_self_sealed_check = now + random.between(self_sealed_check_min, self_sealed_check_max);
    const auto view = shared.placement_of(own_row.service);
    if (first || !view) {
        return;
    }
    for (const seal& item : shared.seals().all()) {
        if (item.witness == item.holder && view->has_member(item.holder) &&
            item.adopted <= view->record.current.version) {
            request_store_end(now, item.holder, "holder");
        }
    }
}

} // namespace bulrushgw::ownership
