#include "assignment/member.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "assignment/directory_log.h"

namespace bulrushgw::assignment {

namespace {

/// A grant is renewed when less than this part of the lease is left of its hold,
/// so that several lost renewals do not end it.
constexpr int renew_divisor = 2;
/// Pause after an order that failed: the target may be busy or gone.
constexpr milliseconds order_pause{50};
/// A hold below this is over before it is of use.
constexpr milliseconds least_hold{100};
/// Reports whose reply is still awaited.
constexpr std::size_t max_open_reports = 64;
/// Keys of one report; the busiest matter, and a report must stay small.
constexpr std::size_t max_reported_keys = 512;

} // namespace

member::member(timing times, member_identity self) : times_(times), self_(std::move(self)) {}

void member::on_leader(time_point now, std::uint64_t term, incarnation_id leader,
                       const std::string& address)
{
    if (term > term_ || (term == term_ && leader_ != leader && is_leader_silent(now))) {
        adopt_term(now, term, leader, address);
    }
}

// From here on no lease of an earlier term is accepted.
void member::adopt_term(time_point now, std::uint64_t term, incarnation_id leader,
                        const std::string& address)
{
    if (term > term_) {
        echo_ = 0;
        wanted_version_ = 0;
        report_times_.clear();
    }
    term_ = term;
    leader_ = leader;
    leader_address_ = address;
    leader_heard_ = now;
    report_now_ = true;
}

void member::on_reply(time_point now, const report_reply& reply)
{
    if (reply.term > term_) {
        // The sender is the leader of that term: it answered a report as such.
        term_ = reply.term;
        echo_ = 0;
        wanted_version_ = 0;
        report_times_.clear();
        leader_heard_ = now;
        report_now_ = true;
        return;
    }
    if (reply.term < term_) {
        return;
    }
    if (reply.superseded) {
        superseded_ = true;
        return;
    }
    const auto sent = report_times_.find(reply.sequence);
    if (sent == report_times_.end()) {
        return;
    }
    const time_point sent_at = sent->second;
    report_times_.erase(report_times_.begin(), std::next(sent));
    leader_heard_ = now;
    echo_ = std::max(echo_, reply.stamp);
    for (const auto& content : reply.content) {
        adopt_directory(now, content);
    }
    // A directory that is newer than the reply knows of all moves that the leader
    // had decided when it gave the lease.
    if (reply.clear_wanted && !had_lease_) {
        clear_term_ = reply.term;
    }
    if (reply.leased && view_.term == reply.term && view_.version >= reply.directory_version) {
        extend_lease(sent_at + times_.lease);
    }
    else if (reply.leased && view_.term == reply.term) {
        // The change is on its way, by another connection than the reply.
        wanted_version_ = reply.directory_version;
        wanted_lease_end_ = sent_at + times_.lease;
    }
    else {
        next_report_ = std::min(next_report_, now + times_.lease_retry);
    }
}

void member::extend_lease(time_point end)
{
    had_lease_ = true;
    leased_term_ = term_;
    lease_end_ = std::max(lease_end_, end);
}

void member::on_leader_alive(time_point now, std::uint64_t term)
{
    if (term == term_) {
        leader_heard_ = std::max(leader_heard_, now);
    }
}

void member::on_confirm_request(time_point now, const confirm_request& request)
{
    if (request.term == term_) {
        leader_heard_ = std::max(leader_heard_, now);
        echo_ = std::max(echo_, request.stamp);
        report_now_ = true;
    }
}

void member::on_directory(time_point now, const directory_change& content)
{
    if (content.term == term_) {
        adopt_directory(now, content);
    }
}

void member::adopt_directory(time_point now, const directory_change& content)
{
    if (content.term != term_) {
        return;
    }
    const auto before = std::pair{view_.term, view_.version};
    if (!apply(view_, content)) {
        // A change before this one was lost; the next report tells the leader.
        next_report_ = std::min(next_report_, now + times_.lease_retry);
        return;
    }
    if (before == std::pair{view_.term, view_.version}) {
        return;
    }
    match_directory();
    if (wanted_version_ != 0 && view_.version >= wanted_version_) {
        wanted_version_ = 0;
        extend_lease(wanted_lease_end_);
    }
}

void member::cut_held(const std::string& service, std::uint32_t start)
{
    for (std::size_t i = 0; i < held_.size(); ++i) {
        if (held_[i].service == service && held_[i].first < start && held_[i].last >= start) {
            held tail = held_[i];
            tail.first = start;
            held_[i].last = start - 1;
            held_.push_back(std::move(tail));
            return;
        }
    }
}

// The leader does not know of it yet, or it knows and the directory is an older one: it
// may have given the keys to another target, with a higher fence.
bool member::is_given_back(const segment& item) const
{
    return std::any_of(released_.begin(), released_.end(),
                       [&](const released_keys& keys) { return keys.covers(item); });
}

// Brings what is held in line with the directory.
void member::match_directory()
{
    for (const auto& item : view_.segments) {
        cut_held(item.service, item.first);
        cut_held(item.service, item.last + 1);
    }
    std::vector<held> next;
    for (const auto& item : view_.segments) {
        const bool own = item.owner == self_.node && item.target == target_.id &&
                         !target_.id.empty() && !is_given_back(item);
        bool covered = false;
        std::uint32_t covered_keys = 0; ///< of an own segment, by pieces held before
        for (auto& piece : held_) {
            if (piece.service != item.service || piece.first < item.first ||
                piece.last > item.last || piece.service.empty()) {
                continue;
            }
            if (own && !item.releasing) {
                // The pieces of one segment are granted as one again. Until then the
                // target holds all of them for as long as the first that runs out.
                if (!covered) {
                    covered = true;
                    held whole = piece;
                    whole.first = item.first;
                    whole.last = item.last;
                    whole.stamp = item.stamp;
                    whole.releasing = false;
                    if (piece.first != item.first || piece.last != item.last) {
                        whole.granted = {};
                        whole.order = 0;
                    }
                    if (piece.releasing) {
                        whole.served_until = {};
                    }
                    whole.handover = item.handover;
                    next.push_back(std::move(whole));
                    covered_keys = 0;
                }
                else {
                    next.back().exposed_until =
                        std::max(next.back().exposed_until, piece.exposed_until);
                    next.back().served_until =
                        piece.releasing ? time_point{}
                                        : std::min(next.back().served_until, piece.served_until);
                }
                covered_keys += piece.last - piece.first + 1;
            }
            else {
                piece.releasing = true;
                if (own) {
                    piece.stamp = item.stamp;
                }
                next.push_back(piece);
                covered = true;
            }
            piece.service.clear();
        }
        if (covered_keys > 0 && covered_keys != item.last - item.first + 1) {
            next.back().served_until = {};
        }
        if (own && !covered) {
            held fresh;
            fresh.service = item.service;
            fresh.first = item.first;
            fresh.last = item.last;
            fresh.stamp = item.stamp;
            fresh.handover = item.handover;
            fresh.releasing = item.releasing;
            next.push_back(std::move(fresh));
        }
    }
    for (auto& piece : held_) {
        // Keys that the directory does not name: nobody granted them in this term.
        if (!piece.service.empty()) {
            piece.releasing = true;
            next.push_back(piece);
        }
    }
    held_ = std::move(next);
}

void member::on_target(time_point now, const target_status& target)
{
    const bool changed =
        target.id != target_.id || target.phase != target_.phase || !target_.is_same_run(target);
    const bool other_life =
        !target_.id.empty() && !target.id.empty() && !target_.is_same_run(target);
    target_ = target;
    if (other_life) {
        // The old life is over and with it all that it held. But the new one may have got
        // a grant that was sent before this node knew of it: it gives those keys back.
        std::erase_if(held_, [&](const held& item) { return item.exposed_until <= now; });
        for (auto& item : held_) {
            item.releasing = true;
            item.order = 0;
            item.served_until = {};
        }
        orders_.clear();
    }
    if (changed) {
        report_now_ = true;
        match_directory();
    }
    on_tick(now);
}

void member::on_tick(time_point now)
{
    for (auto at = held_.begin(); at != held_.end();) {
        const bool over = at->exposed_until <= now;
        // A silent target holds nothing any more once the hold is over.
        const bool lost = !target_.id.empty() && target_.phase == target_phase::absent &&
                          at->exposed_until != time_point{};
        // So does one that did not confirm a release. While the release is under way the
        // target may still be at work on the keys: work that had begun goes on after it.
        if (over && ((at->releasing && at->order == 0) || lost)) {
            finish_release(*at, "");
            at = held_.erase(at);
        }
        else {
            ++at;
        }
    }
}

void member::finish_release(const held& item, std::string handover)
{
    released_.push_back({item.service, item.first, item.last, item.stamp, std::move(handover)});
    report_now_ = true;
}

milliseconds member::hold_for(time_point now) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(lease_end_ - now);
    return (left - times_.hold_margin) * 1000 / (1000 + times_.drift_permille);
}

std::vector<grant_order> member::take_grants(time_point now)
{
    std::vector<grant_order> result;
    // A release of everything that is under way could end what is granted now.
    if (target_.id.empty() || target_.phase == target_phase::absent || !holds_lease(now) ||
        clear_order_ != 0) {
        return result;
    }
    const milliseconds hold = hold_for(now);
    for (auto& item : held_) {
        // After the first report of a term the leader takes the reported holdings for all,
        // so nothing else is granted by the directory of an earlier term.
        const bool unreported = view_.term != term_ && item.exposed_until <= now;
        const bool fresh = item.granted != item.stamp;
        const bool due = fresh || item.served_until - now < times_.lease / renew_divisor;
        if (unreported || item.releasing || item.order != 0 || !due || now < item.next_try ||
            hold < least_hold || now + hold < item.served_until + order_pause) {
            continue;
        }
        item.order = next_order_++;
        item.exposed_until = std::max(
            item.exposed_until, now + times_.hold_margin + with_drift(hold, times_.drift_permille));
        orders_[item.order] = {now, hold, item.service, item.first, item.last, item.stamp};
        result.push_back({item.order, item.service, item.first, item.last, item.stamp, hold,
                          fresh ? item.handover : std::string{}});
    }
    return result;
}

std::vector<release_order> member::take_releases(time_point now)
{
    std::vector<release_order> result;
    // Before the first grant of this process: its target may hold keys of an earlier
    // one. The fence is below all that this term gives.
    if (clear_term_ == term_ && cleared_term_ != term_ && clear_order_ == 0 && held_.empty() &&
        now >= next_clear_) {
        clear_order_ = next_order_++;
        result.push_back({clear_order_, "", 0, key_count - 1, first_fence(term_)});
    }
    for (auto& item : held_) {
        if (!item.releasing || item.order != 0 || now < item.next_try || target_.id.empty() ||
            target_.phase == target_phase::absent) {
            continue;
        }
        item.order = next_order_++;
        orders_[item.order] = {now,        milliseconds{0}, item.service,
                               item.first, item.last,       item.stamp};
        const fence stamp = std::max(item.stamp, item.granted);
        result.push_back({item.order, item.service, item.first, item.last, stamp});
    }
    return result;
}

void member::on_grant_result(time_point now, std::uint64_t id, order_outcome outcome)
{
    const auto found = orders_.find(id);
    if (found == orders_.end()) {
        return;
    }
    const sent_order order = found->second;
    orders_.erase(found);
    for (auto& item : held_) {
        if (item.order == id) {
            item.order = 0;
            item.next_try = outcome == order_outcome::done ? time_point{} : now + order_pause;
        }
        if (item.service != order.service || item.first < order.first || item.last > order.last) {
            continue;
        }
        if (outcome == order_outcome::done && item.stamp >= order.stamp) {
            item.granted = std::max(item.granted, order.stamp);
            // The target's clock may be fast as well.
            const auto held_for = order.hold * 1000 / (1000 + times_.drift_permille);
            item.served_until = std::max(item.served_until, order.sent + held_for);
        }
    }
}

void member::on_release_result(time_point now, std::uint64_t id, order_outcome outcome,
                               const std::string& handover)
{
    if (id == clear_order_) {
        clear_order_ = 0;
        next_clear_ = now + order_pause;
        if (outcome == order_outcome::done) {
            cleared_term_ = clear_term_;
            report_now_ = true;
        }
        return;
    }
    const auto found = orders_.find(id);
    if (found == orders_.end()) {
        return;
    }
    const sent_order order = found->second;
    orders_.erase(found);
    for (auto at = held_.begin(); at != held_.end();) {
        if (at->order != id) {
            ++at;
            continue;
        }
        at->order = 0;
        if (outcome == order_outcome::done && at->releasing && at->first == order.first &&
            at->last == order.last) {
            finish_release(*at, handover);
            at = held_.erase(at);
        }
        else {
            at->next_try = now + order_pause;
            ++at;
        }
    }
}

void member::on_load(const std::string& service, std::uint32_t key)
{
    ++loads_[service][key];
}

bool member::is_leader_silent(time_point now) const
{
    return now - leader_heard_ >= times_.leader_silence;
}

std::size_t member::stronger_hosts() const
{
    return static_cast<std::size_t>(
        std::count_if(view_.nodes.begin(), view_.nodes.end(), [&](const node_record& other) {
            return other.node != self_.node && other.node != leader_ && !other.is_leaving() &&
                   std::tie(other.strength, other.node) > std::tie(self_.strength, self_.node);
        }));
}

std::optional<member::outgoing_report> member::take_report(time_point now)
{
    if (leader_address_.empty() || (!report_now_ && now < next_report_)) {
        return std::nullopt;
    }
    report_now_ = false;
    next_report_ = now + times_.report_interval;
    outgoing_report result{leader_address_, leader_, {}};
    report& body = result.body;
    body.term = term_;
    body.sequence = ++sequence_;
    body.echo = echo_;
    body.host = self_.host;
    body.address = self_.address;
    body.zone = self_.zone;
    body.target = target_;
    if (leased_term_ != term_ || !holds_lease(now)) {
        body.holdings = holdings(now);
    }
    body.released = released_;
    body.directory_version = view_.term == term_ ? view_.version : 0;
    body.manifest_version = manifest_version_;
    body.mean_work_us = static_cast<std::uint32_t>(mean_work_.count());
    body.leaving = leaving_;
    body.cleared_term = cleared_term_;
    body.strength = self_.strength;
    for (auto& [service, counts] : loads_) {
        key_load load{service, {counts.begin(), counts.end()}};
        if (load.counts.size() > max_reported_keys) {
            load.counts.resize(max_reported_keys);
        }
        body.loads.push_back(std::move(load));
    }
    loads_.clear();
    report_times_[body.sequence] = now;
    if (report_times_.size() > max_open_reports) {
        report_times_.erase(report_times_.begin());
    }
    // What the directory no longer names as this node's is known to the leader.
    std::erase_if(released_, [&](const released_keys& keys) {
        return view_.term == term_ &&
               std::none_of(view_.segments.begin(), view_.segments.end(), [&](const segment& item) {
                   return item.owner == self_.node && keys.covers(item);
               });
    });
    return result;
}

std::vector<holding> member::holdings(time_point now) const
{
    std::vector<holding> result;
    for (const auto& item : held_) {
        if (item.exposed_until > now) {
            result.push_back(
                {item.service, item.first, item.last, std::max(item.stamp, item.granted)});
        }
    }
    return result;
}

serve_verdict member::may_serve(time_point now, const std::string& service, std::uint32_t key) const
{
    for (const auto& item : held_) {
        if (item.service == service && item.first <= key && key <= item.last) {
            if (item.releasing || target_.phase == target_phase::absent) {
                return serve_verdict::not_owner;
            }
            return now < item.served_until ? serve_verdict::serve : serve_verdict::pending;
        }
    }
    return serve_verdict::not_owner;
}

key_owner member::owner_of(const std::string& service, std::uint32_t key) const
{
    key_owner result;
    for (const auto& item : view_.segments) {
        if (item.service != service || key < item.first || item.last < key) {
            continue;
        }
        result.node = item.owner;
        result.moving = item.releasing;
        for (const auto& node : view_.nodes) {
            if (node.node == item.owner) {
                result.address = node.address;
            }
        }
        break;
    }
    return result;
}

} // namespace bulrushgw::assignment
