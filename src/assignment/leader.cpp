#include "assignment/leader.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Members that start together take part in the first assignment, whose keys no
/// target holds yet.
constexpr milliseconds first_assignment_delay{1200};
/// They are not waited for beyond this time.
constexpr milliseconds longest_first_delay{5000};
/// Decay runs over all keys, so not for each report.
constexpr milliseconds decay_interval{500};
/// Interval between two rounds of moves for load: a move must show in the loads first.
constexpr milliseconds balance_interval{500};
/// Least time between two pushes of the directory. Many changes come together when
/// hosts are lost or moved, and each push costs a message for each member.
constexpr milliseconds push_interval{50};
/// Between two rounds of decisions that reports cause: after a restart of all, hundreds of
/// reports come within a moment, and a round goes over all members and keys.
constexpr milliseconds urgent_interval{10};
/// Between two requests for acknowledgements: one may get lost, and a majority is enough.
constexpr milliseconds confirmation_interval{150};
/// A directory that was sent this long ago and that the member does not report was
/// lost on the way.
constexpr milliseconds push_lost{700};

std::uint64_t to_stamp(time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
}

} // namespace

leader::leader(timing times, leader_identity self, term_start start)
    : times_(times), self_(std::move(self)), start_(std::move(start)),
      store_confirmed_(start_.claim_sent), last_decay_(start_.claimed),
      next_balance_(start_.claimed + balance_interval)
{
    view_.term = start_.term;
    view_.leader = self_.node;
    if (start_.earlier.empty()) {
        was_empty_start_ = true;
        first_assignment_ = start_.claimed + first_assignment_delay;
    }
    recorded_ = start_.recorded;
    seal();
}

report_reply leader::on_report(time_point now, incarnation_id from, const report& body)
{
    report_reply reply;
    reply.term = view_.term;
    reply.sequence = body.sequence;
    reply.stamp = to_stamp(now);
    if (superseded_.contains(from)) {
        reply.superseded = true;
        return reply;
    }
    // The member must first accept this term, so that no other leader extends its
    // lease. It does so on this reply and reports again.
    if (body.term != view_.term) {
        return reply;
    }
    if (const auto before = by_host_.find(body.host);
        before != by_host_.end() && before->second != from) {
        supersede(before->second, from);
    }
    by_host_[body.host] = from;
    auto& member = members_[from];
    if (body.sequence <= member.last.sequence) {
        reply.directory_version = view_.version;
        return reply;
    }
    accepted_.emplace(body.host, now);
    if (body.echo != 0) {
        member.acked = std::max(member.acked, std::min(now, detail::from_stamp(body.echo)));
    }
    const target_status before = member.last.target;
    const bool new_life = !before.id.empty() && !before.is_same_run(body.target);
    urgent_ = urgent_ || !is_live(member, now) || member.last.target != body.target ||
              member.leaving != body.leaving || !body.released.empty();
    member.heard = now;
    member.leaving = body.leaving;
    member.last = body;
    if (!member.leased_once && !member.inherits) {
        // Each report replaces what the one before told, until the first lease.
        disown(from);
        accept_holdings(from, body);
        urgent_ = true;
    }
    if (was_empty_start_ && before.id.empty() && !body.target.id.empty()) {
        first_assignment_ =
            std::min(now + first_assignment_delay, start_.claimed + longest_first_delay);
    }
    match_target(from, new_life);
    for (const auto& keys : body.released) {
        accept_released(keys, from);
    }
    accept_loads(body);
    const bool is_recorded = std::any_of(recorded_.begin(), recorded_.end(),
                                         [&](const auto& entry) { return entry.node == from; });
    urgent_ = urgent_ || is_recorded != member.recorded;
    member.recorded = is_recorded;
    if (urgent_ && now - last_tick_ >= urgent_interval) {
        on_tick(now);
    }
    seal();
    if (member.recorded && has_authority(now) && (member.leased_once || is_sent_in_force(body))) {
        reply.leased = true;
        member.leased_once = true;
        member.lease_bound = now + with_drift(times_.lease, times_.drift_permille);
    }
    reply.clear_wanted = !was_empty_start_ && may_hold_unknown(body.target) &&
                         body.cleared_term != view_.term && !member.inherits &&
                         now < old_leases_end();
    reply.directory_version = view_.version;
    const std::uint64_t base = base_for(member, now);
    if (base != view_.version) {
        reply.content.push_back(log_.since(base));
        member.sent_version = view_.version;
        member.sent_at = now;
    }
    return reply;
}

// The version that the member has, or will have once it got what is on its way or goes out
// with the next push: after a restart of all, whole directories in each reply would take
// seconds of the leader's link. One that has answered a later reply and still reports an
// older version did not get it.
std::uint64_t leader::base_for(const member_state& member, time_point now) const
{
    const std::uint64_t has = member.last.directory_version;
    if (member.sent_version < view_.version && has <= member.sent_version) {
        return view_.version;
    }
    const bool on_its_way = has < member.sent_version &&
                            detail::from_stamp(member.last.echo) <= member.sent_at &&
                            now - member.sent_at < push_lost;
    return on_its_way ? member.sent_version : has;
}

void leader::seal()
{
    if (!std::exchange(unsealed_, false)) {
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
    seal();
    // Most members lack the same.
    std::map<std::uint64_t, std::vector<relay_member>> lacking; // by the version that they have
    for (auto& [id, member] : members_) {
        if (id == self_.node || member.sent_version >= view_.version || !is_live(member, now)) {
            continue;
        }
        lacking[member.sent_version].push_back(
            {id, member.last.address, member.last.zone, member.last.strength,
             std::chrono::duration_cast<milliseconds>(now - member.heard), member.leaving});
        member.sent_version = view_.version;
        member.sent_at = now;
        last_push_ = now;
    }
    for (const auto& [base, members] : lacking) {
        const auto content = log_.since(base);
        for (auto& route : plan_relays(members)) {
            result.push_back({std::move(route.address), {content, std::move(route.onward)}});
        }
    }
    return result;
}

// The acknowledgements in reports are up to two report intervals old, which would be added
// to the time in which nobody serves the keys.
std::optional<leader::confirmation_round> leader::take_confirmation_round(time_point now)
{
    const auto stamp = to_stamp(now);
    const bool waits = std::any_of(members_.begin(), members_.end(), [&](const auto& item) {
        const auto bound = item.second.lease_bound;
        return !is_live(item.second, now) && detail::from_stamp(stamp) >= bound &&
               confirmed_at(now) < bound;
    });
    if (!waits || now - last_round_ < confirmation_interval) {
        return std::nullopt;
    }
    last_round_ = now;
    confirmation_round round{{view_.term, stamp}, {}};
    for (const auto& [id, member] : members_) {
        if (id != self_.node && is_live(member, now)) {
            round.addresses.push_back(member.last.address);
        }
    }
    return round;
}

directory_change leader::change_since(std::uint64_t version)
{
    seal();
    return log_.since(version);
}

// A host runs one node at a time, so a later incarnation proves the end of the
// earlier one. The target may have lived on with its keys.
void leader::supersede(incarnation_id old, incarnation_id next)
{
    superseded_.insert(old);
    // What the old incarnation told before its first lease here may be out of date.
    if (!members_.at(old).leased_once) {
        disown(old);
    }
    // The target may hold keys under the lease of the old incarnation for as long.
    const auto bound = members_.at(old).lease_bound;
    members_.erase(old);
    urgent_ = true;
    members_[next].inherits = true;
    members_[next].lease_bound = std::max(members_[next].lease_bound, bound);
    for (auto& item : view_.segments) {
        if (item.owner == old) {
            // The new node grants again with a higher fence; whether the target is
            // the same is known once it reports one.
            item.owner = next;
            item.stamp = next_fence();
            item.releasing = false;
            item.handover.clear();
        }
    }
    std::erase_if(moves_, [&](const planned_move& move) { return move.to.node == old; });
    change();
}

void leader::accept_loads(const report& body)
{
    for (const auto& load : body.loads) {
        if (!sharded_.contains(load.service)) {
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
    return now - member.heard < times_.member_silence;
}

void leader::update_nodes(time_point now)
{
    std::vector<node_record> nodes;
    for (const auto& [id, member] : members_) {
        if (is_live(member, now)) {
            target_status target = member.last.target;
            if (member.leaving && target.phase == target_phase::ready) {
                target.phase = target_phase::draining;
            }
            nodes.push_back({id, member.last.host, member.last.address, member.last.zone, target,
                             member.last.strength});
        }
    }
    if (nodes != view_.nodes) {
        view_.nodes = std::move(nodes);
        change();
    }
}

void leader::on_tick(time_point now)
{
    urgent_ = false;
    last_tick_ = now;
    for (auto at = members_.begin(); at != members_.end();) {
        const bool silent = !is_live(at->second, now);
        // A later leader may have taken the member over with its keys. That is ruled
        // out when this term was still in force after the member's lease was over.
        const auto bound = at->second.lease_bound;
        if (silent && now >= bound && confirmed_at(now) >= bound) {
            disown(at->first);
            by_host_.erase(at->second.last.host);
            at = members_.erase(at);
        }
        else {
            ++at;
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
    begin_releases();
    for (const auto& service : sharded_) {
        fill_gaps(service);
        if (now >= old_leases_end() || knows_all_holdings()) {
            assign_free(now, service);
        }
        if (balancing_ && now >= next_balance_) {
            balance(now, service);
        }
    }
    if (now >= next_balance_) {
        next_balance_ = now + balance_interval;
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
    return result;
}

} // namespace bulrushgw::assignment
