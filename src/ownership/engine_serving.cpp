#include <algorithm>

#include "ownership/engine_state.h"

namespace bulrushgw::ownership {

namespace {

/// A member that loses ranges delays its adoption of the new version by at most this long, until
/// the next owners of the ranges have adopted it. The ranges are then unserved only until the
/// member's own adoption reaches the next owners. The delay is bounded because a next owner may be
/// lost.
constexpr milliseconds next_owner_wait{300};

incarnation_id first_live(const candidate_table& table, const directory& shared, range_id range)
{
    for (const std::uint16_t index : table.of(range)) {
        if (shared.certificate_of(table.member(index)) == nullptr) {
            return table.member(index);
        }
    }
    return {};
}

} // namespace

bool engine::state::holds_lease(time_point now) const
{
    return !ending && !stopped && lease.is_running(now);
}

std::size_t engine::state::total_in_flight() const
{
    std::size_t total = 0;
    for (const auto& [range, count] : in_flight) {
        total += count;
    }
    return total;
}

bool engine::state::should_wait_for_next_owners(time_point now, const placement_view& next) const
{
    if (now - deferred_since >= next_owner_wait) {
        return false;
    }
    return std::any_of(serving.begin(), serving.end(), [&](const auto& entry) {
        const incarnation_id next_owner = first_live(next.current, shared, entry.first);
        if (next_owner == self || !next_owner) {
            return false;
        }
        const adoption* adopted = shared.adoption_of(next_owner);
        return adopted == nullptr || adopted->version < next.record.current.version;
    });
}

void engine::state::consider_adoption(time_point now)
{
    if (ending || own_row.service.empty()) {
        return;
    }
    const auto newest = shared.placement_of(own_row.service);
    if (!newest || newest->record.current.version <= lease.offered()) {
        return;
    }
    const placement_version version = newest->record.current.version;
    const std::uint64_t last_offered = lease.offered().value;
    const bool skipped = last_offered != 0 && version.value != last_offered + 1;
    const bool removed_unseen =
        last_offered == 0 && !newest->current.contains(self) && newest->previous.contains(self);
    if (skipped || removed_unseen || (last_offered != 0 && !newest->has_member(self))) {
        const bool had_left =
            last_offered != 0 && adopted_view && !adopted_view->current.contains(self);
        if (!had_left) {
            // A proposer removes a member only if the member is leaving or its end is proven.
            end(now,
                "placement " + std::to_string(version.value) + " was made without this member");
        }
        return;
    }
    if (!newest->has_member(self) || !lease.started()) {
        return;
    }
    if (deferred_view != newest) {
        deferred_view = newest;
        deferred_since = now;
    }
    if (!should_wait_for_next_owners(now, *newest)) {
        offered_view = newest;
        deferred_view.reset();
        lease.adopt(version);
        renew_lease(now);
    }
}

void engine::state::complete_adoption(time_point now)
{
    if (!offered_view || lease.adopted() < offered_view->record.current.version) {
        return;
    }
    const bool joined = !adopted_view;
    adopted_view = std::exchange(offered_view, nullptr);
    draining.clear();
    for (const auto& [range, count] : in_flight) {
        if (count > 0 && adopted_view->record.ranges > 0 &&
            !is_first_live(*adopted_view, self, shared, range, settings.unsafe)) {
            draining.push_back(range);
        }
    }
    if (joined) {
        audit(audit_kind::join, self, "adopted placement " + std::to_string(lease.adopted().value));
    }
    publish_adoption();
    serving_dirty = true;
    static_cast<void>(now);
}

void engine::state::publish_adoption()
{
    const adoption item{self, own_row.service, adopted_view->record.current.version, draining};
    shared.merge(item);
    publish(item);
}

void engine::state::on_in_flight(time_point, const std::string& service, range_id range,
                                 std::size_t count)
{
    if (service != own_row.service) {
        return;
    }
    if (count > 0) {
        in_flight[range] = count;
        return;
    }
    in_flight.erase(range);
    const auto found = std::lower_bound(draining.begin(), draining.end(), range);
    if (found != draining.end() && *found == range) {
        draining.erase(found);
        publish_adoption();
    }
}

std::map<range_id, range_verdict> engine::state::owned_ranges() const
{
    std::map<range_id, range_verdict> owned;
    const std::uint32_t ranges = adopted_view ? adopted_view->record.ranges : 0;
    for (std::uint32_t i = 0; i < ranges; ++i) {
        const range_id range{i};
        const range_verdict verdict =
            evaluate_range(*adopted_view, self, shared, range, settings.unsafe);
        if (verdict.owner) {
            owned.emplace(range, verdict);
        }
    }
    return owned;
}

void engine::state::update_serving(time_point now)
{
    const bool ignores_lease = settings.unsafe.skip_lease_check && !ending && !stopped;
    const bool handing_over = leaving && leaving->without_store;
    const bool running = (holds_lease(now) || ignores_lease) && !handing_over;
    if (!serving_dirty && running == lease_was_running) {
        return;
    }
    serving_dirty = false;
    lease_was_running = running;
    const std::map<range_id, range_verdict> next =
        running ? owned_ranges() : std::map<range_id, range_verdict>{};
    const std::size_t drained_before = draining.size();
    std::erase_if(draining, [&](range_id range) { return next.contains(range); });
    if (draining.size() != drained_before) {
        publish_adoption(); // a draining range belongs to this member again
    }
    change_grants(next, running ? "another member owns it" : "lease over");
}

void engine::state::change_grants(const std::map<range_id, range_verdict>& next,
                                  const std::string& release_cause)
{
    const auto audit_range = [&](audit_kind kind, range_id range, fence token, std::string cause) {
        audit(kind, self, std::move(cause));
        auto& event = std::get<audit_event>(effects.back());
        event.range = range;
        event.token = token;
    };
    serving_changed change;
    change.service = own_row.service;
    for (const auto& [range, token] : serving) {
        if (!next.contains(range)) {
            change.releases.push_back(range);
            audit_range(audit_kind::release, range, token, release_cause);
        }
    }
    for (const range_id range : change.releases) {
        serving.erase(range);
    }
    for (const auto& [range, verdict] : next) {
        const auto [known, added] = serving.try_emplace(range, verdict.token);
        if (!added && known->second == verdict.token) {
            continue;
        }
        known->second = verdict.token;
        change.grants.push_back({range, verdict.token});
        if (verdict.position > 0) {
            audit_range(audit_kind::takeover, range, verdict.token,
                        std::to_string(verdict.position) + " earlier candidates ended");
        }
        else {
            audit_range(audit_kind::grant, range, verdict.token, "first candidate");
        }
    }
    if (!change.grants.empty() || !change.releases.empty()) {
        effects.emplace_back(std::move(change));
    }
}

serve_decision engine::state::may_serve(time_point now, const std::string& service,
                                        range_id range) const
{
    serve_decision decision;
    if (!services.contains(service) && service != own_row.service) {
        return decision;
    }
    const auto refuse = [&](serve_refusal refusal) {
        decision.refusal = refusal;
        return decision;
    };
    if (service != own_row.service) {
        return refuse(serve_refusal::not_owner);
    }
    if (too_few_witnesses) {
        return refuse(serve_refusal::too_few_witnesses);
    }
    if (ending || stopped || (!holds_lease(now) && !settings.unsafe.skip_lease_check)) {
        return refuse(serve_refusal::lease_over);
    }
    if (!adopted_view) {
        return refuse(serve_refusal::not_adopted);
    }
    const bool balanced = adopted_view->record.ranges == 0;
    if (leaving && (balanced || leaving->without_store)) {
        return refuse(serve_refusal::leaving);
    }
    const range_verdict verdict =
        evaluate_range(*adopted_view, self, shared, range, settings.unsafe);
    if (!verdict.owner) {
        return refuse(verdict.refusal);
    }
    decision.allowed = true;
    decision.token = verdict.token;
    decision.lease_end = lease.end();
    return decision;
}

} // namespace bulrushgw::ownership
