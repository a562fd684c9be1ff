#include "assignment/leader.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Interval between two moves for load: one move must show in the loads first.
constexpr milliseconds balance_interval{500};
/// Moves that begin together. Clients of moving keys wait, so not all move at once.
constexpr std::size_t moves_at_once = 4;
/// Speed of a target against the mean of its service that is believed.
constexpr double least_speed = 0.4;
constexpr double most_speed = 2.5;
/// Members that start together take part in the first assignment, whose keys no
/// target holds yet.
constexpr milliseconds first_assignment_delay{1200};
/// They are not waited for beyond this time.
constexpr milliseconds longest_first_delay{5000};
/// Decay runs over all keys, so not for each report.
constexpr milliseconds decay_interval{500};

std::uint64_t to_stamp(time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
}

time_point from_stamp(std::uint64_t stamp)
{
    return time_point(milliseconds(stamp));
}

bool overlaps(const segment& item, const std::string& service, std::uint32_t first,
              std::uint32_t last)
{
    return item.service == service && item.first <= last && item.last >= first;
}

} // namespace

leader::leader(timing times, leader_identity self, term_start start)
    : times_(times), self_(std::move(self)), start_(std::move(start)),
      store_confirmed_(start_.claim_sent), last_decay_(start_.claimed),
      next_balance_(start_.claimed + balance_interval)
{
    view_.term = start_.term;
    view_.version = 1;
    view_.leader = self_.node;
    if (start_.earlier.empty()) {
        was_empty_start_ = true;
        first_assignment_ = start_.claimed + first_assignment_delay;
    }
    recorded_ = start_.recorded;
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
    for (auto& [id, member] : members_) {
        if (id != from && member.last.host == body.host) {
            supersede(id, from);
            break;
        }
    }
    auto& member = members_[from];
    if (body.sequence <= member.last.sequence) {
        reply.directory_version = view_.version;
        return reply;
    }
    const target_status before = member.last.target;
    accepted_.emplace(body.host, now);
    member.heard = now;
    member.leaving = body.leaving;
    if (body.echo != 0) {
        member.acked = std::max(member.acked, std::min(now, from_stamp(body.echo)));
    }
    const bool new_life = !before.id.empty() && !before.is_same_life(body.target);
    member.last = body;
    if (!member.leased_once && !member.inherits) {
        // Each report replaces what the one before told, until the first lease.
        disown(from);
        accept_holdings(from, body);
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
    update_nodes(now);
    on_tick(now);
    member.recorded = std::any_of(recorded_.begin(), recorded_.end(),
                                  [&](const auto& entry) { return entry.node == from; });
    if (member.recorded && has_authority(now) && is_sent_in_force(body)) {
        reply.leased = true;
        member.leased_once = true;
        member.lease_bound = now + with_drift(times_.lease, times_.drift_permille);
    }
    reply.clear_wanted = !was_empty_start_ && may_hold_unknown(body.target) &&
                         body.cleared_term != view_.term && !member.inherits &&
                         now < old_leases_end();
    reply.directory_version = view_.version;
    if (body.term != view_.term || body.directory_version != view_.version) {
        reply.content.push_back(view_);
    }
    return reply;
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
    members_.erase(old);
    members_[next].inherits = true;
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

// A host has one target at a time, so a new life proves the end of the old one,
// which held the keys until then. A target that is only silent may still hold
// them: its node reports them as released once the hold has run out.
void leader::match_target(incarnation_id node, bool new_life)
{
    const auto& target = members_.at(node).last.target;
    if (target.id.empty()) {
        return;
    }
    for (auto& item : view_.segments) {
        if (item.owner == node && (new_life || item.target != target.id)) {
            item.target = target.id;
            item.stamp = next_fence();
            item.handover.clear();
            item.releasing = false;
            change();
        }
    }
}

void leader::accept_holdings(incarnation_id from, const report& body)
{
    if (!body.holdings.empty()) {
        // The lease under which it holds them is of an earlier term.
        auto& bound = members_.at(from).lease_bound;
        bound = std::max(bound,
                         members_.at(from).heard + with_drift(times_.lease, times_.drift_permille));
    }
    for (const auto& held : body.holdings) {
        const bool taken =
            std::any_of(view_.segments.begin(), view_.segments.end(), [&](const segment& item) {
                return item.owner && overlaps(item, held.service, held.first, held.last);
            });
        if (taken || held.first > held.last || held.last >= key_count) {
            continue;
        }
        split_at(held.service, held.first, held.last);
        std::erase_if(view_.segments, [&](const segment& item) {
            return overlaps(item, held.service, held.first, held.last);
        });
        segment item;
        item.service = held.service;
        item.first = held.first;
        item.last = held.last;
        item.owner = from;
        item.target = body.target.id;
        item.stamp = held.stamp;
        view_.segments.push_back(std::move(item));
        change();
    }
}

void leader::accept_released(const released_keys& keys, incarnation_id from)
{
    for (auto& item : view_.segments) {
        const bool same = item.service == keys.service && item.first == keys.first &&
                          item.last == keys.last && item.owner == from && item.stamp == keys.stamp;
        if (!same) {
            continue;
        }
        item.owner = {};
        item.target.clear();
        item.releasing = false;
        item.handover = keys.handover;
        for (auto move = moves_.begin(); move != moves_.end(); ++move) {
            if (move->service == item.service && move->first == item.first &&
                move->last == item.last) {
                if (may_hold(move->to.node, item.service)) {
                    give(item, move->to, keys.handover);
                }
                moves_.erase(move);
                break;
            }
        }
        change();
        return;
    }
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
            nodes.push_back({id, member.last.host, member.last.address, member.last.zone, target});
        }
    }
    const auto same = [](const node_record& a, const node_record& b) {
        return a.node == b.node && a.target.id == b.target.id && a.target.born == b.target.born &&
               a.target.phase == b.target.phase && a.target.slots == b.target.slots;
    };
    if (!std::equal(nodes.begin(), nodes.end(), view_.nodes.begin(), view_.nodes.end(), same)) {
        view_.nodes = std::move(nodes);
        change();
    }
}

void leader::disown(incarnation_id node)
{
    bool any = false;
    for (auto& item : view_.segments) {
        if (item.owner == node) {
            item.owner = {};
            item.target.clear();
            item.handover.clear();
            item.releasing = false;
            any = true;
        }
    }
    if (any) {
        change();
    }
}

void leader::on_tick(time_point now)
{
    for (auto at = members_.begin(); at != members_.end();) {
        const bool silent = !is_live(at->second, now);
        // A later leader may have taken the member over with its keys. That is ruled
        // out when this term was still in force after the member's lease was over.
        const auto bound = at->second.lease_bound;
        if (silent && now >= bound && confirmed_at(now) >= bound) {
            disown(at->first);
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
    merge_neighbours();
}

time_point leader::old_leases_end() const
{
    if (was_empty_start_) {
        return start_.claimed;
    }
    const auto authority = with_drift(times_.authority, times_.drift_permille);
    time_point over = start_.claimed;
    for (const auto& before : start_.earlier) {
        time_point ends =
            start_.claimed + with_drift(times_.store_silence_limit, times_.drift_permille);
        if (const auto accepted = accepted_by(before.host)) {
            ends = *accepted;
        }
        else if (before.members.size() < least_confirming_members) {
            ends = start_.claimed + authority;
        }
        else if (const auto since = majority_since(before.members)) {
            ends = *since + authority;
        }
        over = std::max(over, ends);
    }
    return over + with_drift(times_.lease, times_.drift_permille);
}

// A leader is over once its process accepted this term, or another one runs on its
// host.
std::optional<time_point> leader::accepted_by(const std::string& host) const
{
    if (host == self_.host) {
        return start_.claimed;
    }
    const auto found = accepted_.find(host);
    return found == accepted_.end() ? std::nullopt : std::optional{found->second};
}

// The time at which a majority of these members, or later incarnations of their
// hosts, had accepted this term.
std::optional<time_point>
leader::majority_since(const std::vector<leader_record::member>& members) const
{
    std::size_t accepted = 0;
    time_point latest = start_.claimed;
    for (const auto& before : members) {
        if (const auto at = accepted_by(before.host)) {
            ++accepted;
            latest = std::max(latest, *at);
        }
    }
    return accepted * 2 > members.size() ? std::optional{latest} : std::nullopt;
}

// A target of a service without keys holds none. One that is not known yet may.
bool leader::may_hold_unknown(const target_status& target) const
{
    return target.id.empty() || sharded_.contains(target.service);
}

const leader::member_state* leader::member_on(const std::string& host) const
{
    for (const auto& [id, member] : members_) {
        if (member.last.host == host) {
            return &member;
        }
    }
    return nullptr;
}

// True when each host that may have had keys before has told what its target holds:
// by the process that got the leases, or by a new one whose target was cleared. All
// earlier leaders must be over, for they could still give leases.
bool leader::knows_all_holdings() const
{
    for (const auto& before : start_.earlier) {
        if (!accepted_by(before.host)) {
            return false;
        }
        for (const auto& entry : before.members) {
            const auto* member = member_on(entry.host);
            const bool same = members_.contains(entry.node);
            const bool known = member != nullptr && member->recorded &&
                               (same ? member->leased_once
                                     : member->last.cleared_term == view_.term ||
                                           !may_hold_unknown(member->last.target));
            if (!known) {
                return false;
            }
        }
    }
    return true;
}

bool leader::may_hold(incarnation_id node, const std::string& service) const
{
    const auto found = members_.find(node);
    if (found == members_.end()) {
        return false;
    }
    const auto& member = found->second;
    return member.last.target.service == service && !member.leaving && member.recorded &&
           member.last.target.phase == target_phase::ready;
}

std::vector<owner_candidate> leader::candidates(const std::string& service) const
{
    std::vector<const member_state*> found;
    std::vector<owner_candidate> result;
    double work = 0;
    double measured = 0;
    for (const auto& node : view_.nodes) {
        if (!may_hold(node.node, service)) {
            continue;
        }
        const auto& member = members_.at(node.node);
        found.push_back(&member);
        result.push_back({node.node, node.target.id, 1});
        if (member.last.mean_work_us > 0) {
            work += member.last.mean_work_us;
            measured += 1;
        }
    }
    for (std::size_t i = 0; i < result.size(); ++i) {
        const double own = found[i]->last.mean_work_us;
        const double speed =
            own > 0 ? std::clamp(work / measured / own, least_speed, most_speed) : 1.0;
        result[i].capacity = speed * std::max<std::uint32_t>(found[i]->last.target.slots, 1);
    }
    return result;
}

void leader::begin_releases()
{
    for (auto& item : view_.segments) {
        if (item.owner && !item.releasing && members_.contains(item.owner) &&
            members_.at(item.owner).recorded && !may_hold(item.owner, item.service) &&
            !candidates(item.service).empty()) {
            begin_release(item);
            change();
        }
    }
}

void leader::fill_gaps(const std::string& service)
{
    std::sort(view_.segments.begin(), view_.segments.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.first) < std::tie(b.service, b.first);
    });
    std::vector<segment> gaps;
    std::uint32_t next = 0;
    const auto add_gap = [&](std::uint32_t end) {
        if (next < end) {
            segment gap;
            gap.service = service;
            gap.first = next;
            gap.last = end - 1;
            gaps.push_back(std::move(gap));
        }
    };
    for (const auto& item : view_.segments) {
        if (item.service == service) {
            add_gap(item.first);
            next = item.last + 1;
        }
    }
    add_gap(key_count);
    if (!gaps.empty()) {
        std::move(gaps.begin(), gaps.end(), std::back_inserter(view_.segments));
        std::sort(view_.segments.begin(), view_.segments.end(), [](const auto& a, const auto& b) {
            return std::tie(a.service, a.first) < std::tie(b.service, b.first);
        });
        change();
    }
}

// The release carries a fence above that of the grants, so that a grant which the
// target carries out late is refused there.
void leader::begin_release(segment& item)
{
    item.releasing = true;
    item.stamp = next_fence();
}

fence leader::next_fence()
{
    return fence{first_fence(view_.term).value + ++fence_count_};
}

void leader::give(segment& item, const owner_candidate& to, std::string handover)
{
    item.owner = to.node;
    item.target = to.target;
    item.stamp = next_fence();
    item.handover = std::move(handover);
    item.releasing = false;
}

void leader::assign_free(time_point now, const std::string& service)
{
    const auto is_free = [&](const segment& item) {
        return item.service == service && !item.owner;
    };
    if (std::none_of(view_.segments.begin(), view_.segments.end(), is_free)) {
        return;
    }
    const auto owners = candidates(service);
    if (owners.empty() || (was_empty_start_ && now < first_assignment_)) {
        return;
    }
    const auto& keys = loads_[service];
    std::vector<double> loads(owners.size(), 0);
    for (const auto& item : view_.segments) {
        for (std::size_t i = 0; i < owners.size(); ++i) {
            if (item.owner == owners[i].node) {
                loads[i] += keys.sum(item.first, item.last);
            }
        }
    }
    std::vector<segment> next;
    for (auto& item : view_.segments) {
        if (!is_free(item)) {
            next.push_back(std::move(item));
            continue;
        }
        for (auto& piece : spread(keys, item.first, item.last, owners, loads)) {
            piece.service = service;
            const owner_candidate to{piece.owner, piece.target, 0};
            give(piece, to, item.handover);
            next.push_back(std::move(piece));
        }
    }
    view_.segments = std::move(next);
    change();
}

void leader::balance(time_point now, const std::string& service)
{
    const bool busy =
        std::any_of(view_.segments.begin(), view_.segments.end(), [&](const segment& item) {
            return item.service == service && (item.releasing || !item.owner);
        });
    if (busy || !has_authority(now)) {
        return;
    }
    std::vector<segment> own;
    for (const auto& item : view_.segments) {
        if (item.service == service) {
            own.push_back(item);
        }
    }
    for (const auto& move : find_moves(loads_[service], own, candidates(service), moves_at_once)) {
        split_at(service, move.first, move.last);
        for (auto& item : view_.segments) {
            if (item.service == service && item.first == move.first && item.last == move.last) {
                begin_release(item);
                moves_.push_back({service, item.first, item.last, move.to});
            }
        }
        change();
    }
}

// The pieces keep their fence: the owner grants them as it held them.
void leader::split_at(const std::string& service, std::uint32_t first, std::uint32_t last)
{
    const auto cut = [&](std::uint32_t start) {
        for (std::size_t i = 0; i < view_.segments.size(); ++i) {
            auto& item = view_.segments[i];
            if (item.service == service && item.first < start && item.last >= start) {
                segment tail = item;
                tail.first = start;
                item.last = start - 1;
                view_.segments.push_back(std::move(tail));
                return;
            }
        }
    };
    cut(first);
    if (last + 1 < key_count) {
        cut(last + 1);
    }
}

void leader::merge_neighbours()
{
    auto& items = view_.segments;
    std::sort(items.begin(), items.end(), [](const auto& a, const auto& b) {
        return std::tie(a.service, a.first) < std::tie(b.service, b.first);
    });
    bool merged = false;
    for (std::size_t i = 0; i + 1 < items.size();) {
        auto& a = items[i];
        const auto& b = items[i + 1];
        if (a.service == b.service && a.last + 1 == b.first && a.owner == b.owner &&
            a.target == b.target && a.stamp == b.stamp && a.handover == b.handover &&
            !a.releasing && !b.releasing) {
            a.last = b.last;
            items.erase(items.begin() + static_cast<std::ptrdiff_t>(i) + 1);
            merged = true;
        }
        else {
            ++i;
        }
    }
    if (merged) {
        change();
    }
}

bool leader::has_authority(time_point now) const
{
    return now - confirmed_at(now) < times_.authority &&
           now - store_confirmed_ < times_.store_silence_limit;
}

// A later leader acts once a majority of the recorded members has accepted its
// term. While the store, or a majority, confirms this term, none does.
time_point leader::confirmed_at(time_point now) const
{
    time_point by_members = majority_ack(recorded_, now);
    for (const auto& list : unresolved_) {
        by_members = std::min(by_members, majority_ack(list, now));
    }
    return std::max(store_confirmed_, by_members);
}

time_point leader::majority_ack(const std::vector<leader_record::member>& members,
                                time_point now) const
{
    if (members.size() < least_confirming_members) {
        return {};
    }
    std::vector<time_point> acks;
    for (const auto& entry : members) {
        const auto found = members_.find(entry.node);
        const bool is_self = entry.node == self_.node;
        acks.push_back(is_self                   ? now
                       : found == members_.end() ? time_point{}
                                                 : found->second.acked);
    }
    std::sort(acks.begin(), acks.end(), std::greater<>());
    return acks[acks.size() / 2];
}

// The leader before could give a member's keys away until a majority had accepted
// this term, or until it was over itself. A lease is given only for a report that
// was sent later: what the member then still holds was not given away.
bool leader::is_sent_in_force(const report& body) const
{
    if (was_empty_start_) {
        return true;
    }
    time_point since = start_.claimed;
    for (const auto& before : start_.earlier) {
        const auto over = accepted_by(before.host);
        const auto majority = before.members.size() < least_confirming_members
                                  ? std::optional{start_.claimed}
                                  : majority_since(before.members);
        if (!over && !majority) {
            since = std::max(since, start_.claimed + with_drift(times_.store_silence_limit,
                                                                times_.drift_permille));
        }
        else {
            since = std::max(since, std::min(over.value_or(time_point::max()),
                                             majority.value_or(time_point::max())));
        }
    }
    return body.echo != 0 && from_stamp(body.echo) >= since;
}

leader_record leader::make_record(time_point now) const
{
    leader_record record;
    record.term = view_.term;
    record.beat = beat_;
    record.leader = self_.node;
    record.host = self_.host;
    record.address = self_.address;
    record.members.push_back({self_.node, self_.host, self_.address});
    for (const auto& [id, member] : members_) {
        if (id != self_.node) {
            record.members.push_back({id, member.last.host, member.last.address});
        }
    }
    if (now < old_leases_end()) {
        record.earlier = start_.earlier;
    }
    return record;
}

std::optional<leader_record> leader::take_record(time_point now)
{
    if (write_under_way_) {
        return std::nullopt;
    }
    leader_record record = make_record(now);
    if (record.members == recorded_ && now - last_write_ < times_.record_interval) {
        return std::nullopt;
    }
    record.beat = ++beat_;
    writing_ = record.members;
    write_under_way_ = true;
    last_write_ = now;
    return record;
}

void leader::on_record_result(time_point sent, bool written)
{
    write_under_way_ = false;
    if (written) {
        recorded_ = std::move(writing_);
        unresolved_.clear();
        store_confirmed_ = std::max(store_confirmed_, sent);
    }
    // The store may still carry it out, so it counts beside the confirmed one.
    else if (std::find(unresolved_.begin(), unresolved_.end(), writing_) == unresolved_.end()) {
        unresolved_.push_back(std::move(writing_));
    }
}

bool leader::take_changed()
{
    return std::exchange(changed_, false);
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

std::vector<std::string> leader::addresses() const
{
    std::vector<std::string> result;
    for (const auto& [id, member] : members_) {
        if (id != self_.node) {
            result.push_back(member.last.address);
        }
    }
    return result;
}

} // namespace bulrushgw::assignment
