#include "assignment/leader.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// After a first start, when no target holds keys yet, the first assignment waits this long so that
/// members that start together take part in it.
constexpr milliseconds first_assignment_delay{1200};
/// Upper bound on the delay of the first assignment when further members keep joining.
constexpr milliseconds max_first_assignment_delay{5000};
/// Decay visits all keys, so it does not run for each report.
constexpr milliseconds decay_interval{500};
/// Minimum interval between two pushes of the directory. Many changes occur together when hosts are
/// lost or moved, and each push costs a message per member.
constexpr milliseconds push_interval{50};
/// Minimum interval between two rounds of assignment that reports trigger. After a restart of all
/// hosts, hundreds of reports arrive at once, and a round visits all members and keys.
constexpr milliseconds min_decision_interval{10};
/// Interval between two requests for acknowledgements. Requests are repeated because a request may
/// be lost. The interval need not be shorter, since a majority of acknowledgements is enough.
constexpr milliseconds confirmation_interval{150};
/// A directory change was lost in transit if the member does not report its version within this
/// time after it was sent.
constexpr milliseconds push_loss_timeout{700};

} // namespace

leader::leader(timing times, leader_identity self, term_start start)
    : times_(times), self_(std::move(self)), start_(std::move(start)), lengths_(times),
      store_confirmed_(start_.claim_sent), last_decay_(start_.claimed),
      balancing_from_(start_.claimed + load_learning_time)
{
    view_.term = start_.term;
    view_.leader = self_.node;
    if (start_.earlier.empty()) {
        is_first_leader_ = true;
        first_assignment_at_ = start_.claimed + first_assignment_delay;
    }
    // The record that the claim replaced; without one, nobody can confirm the term but the store.
    replaced_records_.push_back({start_.earlier.empty() ? std::vector<leader_record::member>{}
                                                        : start_.earlier.back().members,
                                 start_.claim_sent});
    recorded_.members = start_.recorded;
    recorded_.longest_lease = start_.longest_lease;
    update_directory_log();
}

report_reply leader::on_report(time_point now, incarnation_id from, const report& body)
{
    report_reply reply;
    reply.term = view_.term;
    reply.sequence = body.sequence;
    reply.leader_time_ms = detail::to_leader_time_ms(now);
    reply.longest_lease = longest_lease(now);
    if (superseded_.contains(from)) {
        reply.superseded = true;
        return reply;
    }
    // The member must first accept this term, so that no other leader extends its lease. It accepts
    // the term on this reply and reports again.
    if (body.term != view_.term) {
        return reply;
    }
    if (const auto known = node_by_host_.find(body.host);
        known != node_by_host_.end() && known->second != from) {
        supersede(known->second, from);
    }
    node_by_host_[body.host] = from;
    auto& member = members_[from];
    if (body.sequence <= member.last_report.sequence) {
        reply.directory_version = view_.version;
        return reply;
    }
    accepted_at_.emplace(body.host, now);
    if (body.echo != 0) {
        member.term_acked_at =
            std::max(member.term_acked_at, std::min(now, detail::from_leader_time_ms(body.echo)));
    }
    const target_status previous_target = member.last_report.target;
    const bool target_restarted =
        !previous_target.id.empty() && !previous_target.is_same_instance(body.target);
    const bool was_usable = is_usable_owner(from, body.target.service);
    decisions_due_ = decisions_due_ || !is_live(member, now) ||
                     member.last_report.target != body.target || member.leaving != body.leaving ||
                     !body.released.empty();
    member.last_report_at = now;
    if (body.directory_version != member.last_report.directory_version) {
        member.unconfirmed_since = now;
    }
    if (!previous_target.is_same_instance(body.target) ||
        previous_target.warming_up != body.target.warming_up) {
        member.work = {};
    }
    member.work.add(now, std::chrono::microseconds{body.mean_work_us});
    member.leaving = body.leaving;
    member.last_report = body;
    accept_process_age(now, member, body.process_age);
    if (!member.leased_once && !member.inherits) {
        // Until the first lease, each report replaces the holdings of the previous report.
        unassign_segments(from);
        accept_holdings(from, body);
        decisions_due_ = true;
    }
    if (is_first_leader_ && previous_target.id.empty() && !body.target.id.empty()) {
        first_assignment_at_ =
            std::min(now + first_assignment_delay, start_.claimed + max_first_assignment_delay);
    }
    reconcile_target(from, target_restarted);
    for (const auto& keys : body.released) {
        accept_released(now, keys, from);
    }
    accept_loads(body);
    const bool is_recorded = may_have_lease(from, body.host);
    decisions_due_ = decisions_due_ || is_recorded != member.recorded;
    member.recorded = is_recorded;
    if (!was_usable && is_usable_owner(from, body.target.service)) {
        balance_paces_[body.target.service].has_new_target = true;
    }
    if (decisions_due_ && now - last_tick_ >= min_decision_interval) {
        on_tick(now);
    }
    update_directory_log();
    if (member.recorded && has_authority(now) &&
        (member.leased_once || is_sent_after_takeover(body))) {
        give_lease(now, member, reply);
    }
    reply.clear_wanted = !is_first_leader_ && may_hold_unreported_keys(body.target) &&
                         body.cleared_term != view_.term && !member.inherits &&
                         now < old_leases_end();
    reply.directory_version = view_.version;
    const std::uint64_t base = base_version_for(member, now);
    if (base != view_.version) {
        reply.content.push_back(log_.since(base));
        member.sent_version = view_.version;
        member.unconfirmed_since = now;
    }
    return reply;
}

// Earlier processes of the member's host had no lease that began after the start of its process.
void leader::accept_process_age(time_point now, member_state& member, milliseconds age) const
{
    const auto bound = times_.hold_margin + with_drift(longest_lease(now), times_.drift_permille);
    const auto left = bound - std::max(age, milliseconds{0});
    if (left.count() > 0) {
        member.earlier_holds_end =
            std::max(member.earlier_holds_end, now + with_drift(left, times_.drift_permille));
    }
}

// An earlier, longer lease of the member may still run.
void leader::give_lease(time_point now, member_state& member, report_reply& reply)
{
    reply.leased = true;
    reply.lease = lengths_.length_for(member.last_report.target.service, confirmed_lease());
    const auto end = now + with_drift(reply.lease, times_.drift_permille);
    lengths_.note_lease(reply.lease, end);
    member.leased_once = true;
    member.lease_end_bound = std::max(member.lease_end_bound, end);
}

// Returns the version that the member's directory has, or will have after the change in transit to
// the member or the next push. A reply contains only changes after that version, because a complete
// directory in each reply would occupy the leader's link for seconds after a restart of all hosts.
// A change is no longer in transit if the member has acknowledged a later message and still reports
// an older version. The time counts from the last progress of the member and not from the last
// push: while the directory changes all the time, there is always a recent push, and the member
// cannot apply it without the change that was lost.
std::uint64_t leader::base_version_for(const member_state& member, time_point now) const
{
    const std::uint64_t reported_version = member.last_report.directory_version;
    const bool in_transit =
        reported_version < member.sent_version &&
        detail::from_leader_time_ms(member.last_report.echo) <= member.unconfirmed_since &&
        now - member.unconfirmed_since < push_loss_timeout;
    const bool has_sent_changes = in_transit || reported_version == member.sent_version;
    return has_sent_changes ? view_.version : reported_version;
}

void leader::update_directory_log()
{
    if (!std::exchange(changed_, false)) {
        return;
    }
    std::sort(view_.segments.begin(), view_.segments.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.first) < std::tie(b.service, b.first);
    });
    log_.record(view_);
}

std::vector<leader::outgoing_change> leader::take_changes(time_point now)
{
    std::vector<outgoing_change> result;
    if (now - last_push_ < push_interval) {
        return result;
    }
    update_directory_log();
    // Most members have the same version and thus lack the same changes.
    std::map<std::uint64_t, std::vector<relay_member>> members_by_version;
    for (auto& [id, member] : members_) {
        if (id == self_.node || member.sent_version >= view_.version || !is_live(member, now)) {
            continue;
        }
        members_by_version[member.sent_version].push_back(
            {id, member.last_report.address, member.last_report.zone,
             member.last_report.cpu_millicores,
             std::chrono::duration_cast<milliseconds>(now - member.last_report_at),
             member.leaving});
        if (member.last_report.directory_version >= member.sent_version) {
            member.unconfirmed_since = now;
        }
        member.sent_version = view_.version;
        last_push_ = now;
    }
    for (const auto& [base, members] : members_by_version) {
        const auto content = log_.since(base);
        for (auto& route : plan_relays(members)) {
            result.push_back({std::move(route.address), {content, std::move(route.forward_to)}});
        }
    }
    return result;
}

// Acknowledgements in reports are up to two report intervals old. Waiting for them instead of
// asking would extend the time in which nobody serves the keys of a silent member.
std::optional<leader::confirmation_round> leader::take_confirmation_round(time_point now)
{
    const auto leader_time_ms = detail::to_leader_time_ms(now);
    const bool is_waiting = std::any_of(members_.begin(), members_.end(), [&](const auto& item) {
        const auto lease_end = item.second.lease_end_bound;
        return !is_live(item.second, now) &&
               detail::from_leader_time_ms(leader_time_ms) >= lease_end &&
               confirmed_at(now) < lease_end;
    });
    if (!is_waiting || now - last_round_ < confirmation_interval) {
        return std::nullopt;
    }
    last_round_ = now;
    confirmation_round round{{view_.term, leader_time_ms}, {}};
    for (const auto& [id, member] : members_) {
        if (id != self_.node && is_live(member, now)) {
            round.addresses.push_back(member.last_report.address);
        }
    }
    return round;
}

directory_change leader::change_since(std::uint64_t version)
{
    update_directory_log();
    return log_.since(version);
}

// A host runs one node at a time, so a later incarnation proves that the earlier one has ended. The
// target may have continued to run and still hold its keys.
void leader::supersede(incarnation_id old, incarnation_id next)
{
    superseded_.insert(old);
    const member_state previous = members_.at(old);
    // The holdings that the old incarnation reported before its first lease from this leader may be
    // out of date. Keys that it took over from an even earlier incarnation are not.
    if (!previous.leased_once && !previous.inherits) {
        unassign_segments(old);
    }
    members_.erase(old);
    decisions_due_ = true;
    auto& member = members_[next];
    member.inherits = true;
    // The target may hold keys under the lease of the old incarnation until that lease ends.
    member.lease_end_bound = std::max(member.lease_end_bound, previous.lease_end_bound);
    member.earlier_holds_end =
        std::max({member.earlier_holds_end, previous.earlier_holds_end, previous.lease_end_bound});
    for (auto& item : view_.segments) {
        if (item.owner == old) {
            // The new node grants the keys again with a higher fence. Whether the target is the
            // same is known once the node reports its target.
            item.owner = next;
            item.range_fence = next_fence();
            item.releasing = false;
            item.handover.clear();
        }
    }
    std::erase_if(planned_moves_, [&](const planned_move& move) { return move.to.node == old; });
    mark_changed();
}

void leader::accept_loads(const report& body)
{
    for (const auto& load : body.loads) {
        if (!sharded_services_.contains(load.service)) {
            continue;
        }
        auto& table = loads_[load.service];
        for (const auto& [key, requests] : load.counts) {
            table.add(key, requests);
        }
    }
}

bool leader::is_live(const member_state& member, time_point now) const
{
    return now - member.last_report_at < times_.member_silence;
}

void leader::update_nodes(time_point now)
{
    std::vector<node_record> nodes;
    for (const auto& [id, member] : members_) {
        if (is_live(member, now)) {
            target_status target = member.last_report.target;
            if (member.leaving && target.phase == target_phase::ready) {
                target.phase = target_phase::draining;
            }
            nodes.push_back({id, member.last_report.host, member.last_report.address,
                             member.last_report.zone, target, member.last_report.cpu_millicores});
        }
    }
    if (nodes != view_.nodes) {
        view_.nodes = std::move(nodes);
        mark_changed();
    }
}

void leader::on_tick(time_point now)
{
    decisions_due_ = false;
    last_tick_ = now;
    for (auto entry = members_.begin(); entry != members_.end();) {
        const bool silent = !is_live(entry->second, now);
        // A later leader may have taken over the member with its keys. That is ruled out if this
        // term was still in force after the end of the member's lease.
        const auto lease_end = entry->second.lease_end_bound;
        if (silent && now >= lease_end && confirmed_at(now) >= lease_end) {
            unassign_segments(entry->first);
            node_by_host_.erase(entry->second.last_report.host);
            entry = members_.erase(entry);
        }
        else {
            ++entry;
        }
    }
    update_nodes(now);
    if (now - last_decay_ >= decay_interval) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - last_decay_);
        for (auto& [service, table] : loads_) {
            table.decay(elapsed);
        }
        last_decay_ = now;
    }
    find_services_elsewhere();
    begin_releases(now);
    for (const auto& service : sharded_services_) {
        begin_evacuation(now, service);
        fill_gaps(service);
        if (now >= old_leases_end() || knows_all_holdings(now)) {
            assign_free(now, service);
        }
        if (balancing_ && now >= balancing_from_) {
            balance(now, service);
        }
    }
    merge_neighbours(now);
}

leader::summary leader::summarize(time_point now) const
{
    summary result;
    result.members = members_.size();
    for (const auto& [id, member] : members_) {
        result.recorded += member.recorded ? 1 : 0;
    }
    result.segments = view_.segments.size();
    for (const auto& item : view_.segments) {
        result.unassigned += item.owner ? 0 : 1;
    }
    result.authority = has_authority(now);
    result.old_leases =
        std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(old_leases_end() - now));
    result.longest_lease = longest_lease(now);
    return result;
}

} // namespace bulrushgw::assignment
