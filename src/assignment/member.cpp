#include "assignment/member.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "assignment/directory_log.h"
#include "assignment/lease_lengths.h"

namespace bulrushgw::assignment {

namespace {

/// With leases of `timing::lease`, a grant is renewed when the rest of its hold is shorter than the
/// lease divided by this number. The loss of several renewals then does not end the hold.
constexpr int renewal_lease_divisor = 2;
/// Delay before a failed order is repeated. The target may be busy or gone.
constexpr milliseconds order_retry_delay{50};
/// A grant is not renewed if the renewal would extend the hold by less than this.
constexpr milliseconds min_renewal_gain{50};
/// The same under a lease longer than `timing::lease`. Such holds are renewed while most of them is
/// left, so this bounds the number of grant calls.
constexpr milliseconds min_long_renewal_gain{150};
/// No grant is sent with a shorter hold, because the hold would end before it is of use.
constexpr milliseconds min_hold{100};
/// Limit on the reports whose reply is awaited.
constexpr std::size_t max_open_reports = 64;
/// Number of reports whose send times are kept for `report_sent_at`.
constexpr std::size_t max_recent_reports = 32;
/// Limit on the keys of each service in one report, which must stay small. The busiest are kept.
constexpr std::size_t max_reported_keys = 512;
/// The leader needs to know the age of a process only while leases that began before its start may
/// run.
constexpr milliseconds max_reported_age = 2 * max_named_lease;

} // namespace

member::member(timing times, member_identity self)
    : times_(times), self_(std::move(self)), earlier_holds_end_(time_point::max()),
      lease_length_(times.lease)
{
    limit_earlier_holds(times_.longest_lease);
}

void member::on_leader(time_point now, std::uint64_t term, incarnation_id leader,
                       const std::string& address)
{
    if (term > term_ || (term == term_ && leader_ != leader && is_leader_silent(now))) {
        adopt_leader(now, {term, 0, leader, address, 0});
    }
}

void member::on_notice(time_point now, const leadership_notice& notice)
{
    const bool is_later = std::pair(notice.term, notice.transfers) > std::pair(term_, transfers_);
    const bool is_other = notice.term == term_ && leader_ != notice.leader;
    if (is_later || (is_other && is_leader_silent(now))) {
        adopt_leader(now, notice);
    }
    if (notice.term == term_ && notice.leader == leader_) {
        on_confirm_request(now, {notice.term, notice.leader_time_ms});
    }
}

// After this call, leases of earlier terms are no longer accepted. Times of the previous leader's
// clock are not acknowledged to the next one.
void member::adopt_leader(time_point now, const leadership_notice& position)
{
    if (position.term > term_ || position.leader != leader_) {
        echo_ = 0;
        pending_lease_version_ = 0;
        report_sent_times_.clear();
    }
    term_ = position.term;
    transfers_ = position.transfers;
    leader_ = position.leader;
    leader_address_ = position.address;
    leader_heard_ = now;
    report_due_ = true;
}

std::optional<time_point> member::report_sent_at(std::uint64_t sequence) const
{
    const auto found = std::find_if(recent_reports_.begin(), recent_reports_.end(),
                                    [&](const auto& item) { return item.first == sequence; });
    return found == recent_reports_.end() ? std::nullopt : std::optional{found->second};
}

void member::on_reply(time_point now, const report_reply& reply)
{
    if (reply.term > term_) {
        // The sender is the leader of that term, since only the leader answers reports.
        term_ = reply.term;
        transfers_ = 0;
        echo_ = 0;
        pending_lease_version_ = 0;
        report_sent_times_.clear();
        leader_heard_ = now;
        report_due_ = true;
        return;
    }
    if (reply.term < term_) {
        return;
    }
    if (reply.superseded) {
        superseded_ = true;
        return;
    }
    const auto sent = report_sent_times_.find(reply.sequence);
    if (sent == report_sent_times_.end()) {
        return;
    }
    const time_point sent_at = sent->second;
    report_sent_times_.erase(report_sent_times_.begin(), std::next(sent));
    leader_heard_ = now;
    echo_ = std::max(echo_, reply.leader_time_ms);
    for (const auto& content : reply.content) {
        adopt_directory(now, content);
    }
    limit_earlier_holds(reply.longest_lease);
    if (reply.clear_wanted && !had_any_lease_) {
        clear_term_ = reply.term;
    }
    // A directory newer than the reply contains all moves that the leader had decided when it gave
    // the lease.
    if (reply.leased && view_.term == reply.term && view_.version >= reply.directory_version) {
        extend_lease(sent_at + lease_of(reply));
    }
    else if (reply.leased && view_.term == reply.term) {
        // The directory change arrives separately, over another connection than the reply.
        pending_lease_version_ = reply.directory_version;
        pending_lease_end_ = sent_at + lease_of(reply);
    }
    else {
        next_report_ = std::min(next_report_, now + times_.lease_retry);
    }
    if (reply.leased) {
        lease_length_ = lease_of(reply);
    }
}

milliseconds member::lease_of(const report_reply& reply) const
{
    return std::clamp(reply.lease, milliseconds{0}, times_.longest_lease);
}

// No lease of an earlier process of this host was longer than `longest_lease`, except such that are
// over.
void member::limit_earlier_holds(milliseconds longest_lease)
{
    const auto length = std::clamp(longest_lease, times_.lease, times_.longest_lease);
    earlier_holds_end_ =
        std::min(earlier_holds_end_,
                 self_.started + times_.hold_margin + with_drift(length, times_.drift_permille));
}

time_point member::may_hold_until(const held_range& item) const
{
    return item.inherited ? std::max(item.granted_until, earlier_holds_end_) : item.granted_until;
}

// The leader frees the keys of a silent member at the end of the last lease on its host. For keys
// of an earlier process that may be long before `earlier_holds_end_`, which allows for the longest
// lease of any member. A next leader would take the keys for held here, although others have them.
// It learns from `report::process_age` that the target may hold keys that are not reported.
bool member::is_reported(time_point now, const held_range& item) const
{
    const time_point usual_holds_end =
        self_.started + times_.hold_margin + with_drift(times_.lease, times_.drift_permille);
    return item.granted_until > now || (item.inherited && earlier_holds_end_ > now &&
                                        std::max(lease_end_, usual_holds_end) > now);
}

milliseconds member::renewal_threshold() const
{
    return has_long_lease()
               ? relied_hold(times_, longest_hold(times_, lease_length_)) - times_.renewal_period
               : times_.lease / renewal_lease_divisor;
}

// Under a long lease a hold is renewed nearly as often as the lease. The gain is then that of the
// time for which the hold is relied upon: the drift alone exceeds `min_renewal_gain`.
bool member::is_worth_renewal(time_point now, const held_range& item, milliseconds hold) const
{
    return has_long_lease() && item.served_until > now
               ? now + relied_hold(times_, hold) >= item.served_until + min_long_renewal_gain
               : now + hold >= item.served_until + min_renewal_gain;
}

void member::extend_lease(time_point end)
{
    had_any_lease_ = true;
    last_lease_term_ = term_;
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
        echo_ = std::max(echo_, request.leader_time_ms);
        report_due_ = true;
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
    const auto previous_version = std::pair{view_.term, view_.version};
    if (!apply(view_, content)) {
        // An earlier change was lost. The next report shows the leader which version this member
        // has.
        next_report_ = std::min(next_report_, now + times_.lease_retry);
        return;
    }
    if (previous_version == std::pair{view_.term, view_.version}) {
        return;
    }
    reconcile_held_ranges();
    if (pending_lease_version_ != 0 && view_.version >= pending_lease_version_) {
        pending_lease_version_ = 0;
        extend_lease(pending_lease_end_);
    }
}

void member::split_held_range(const std::string& service, std::uint32_t start)
{
    for (std::size_t i = 0; i < held_ranges_.size(); ++i) {
        if (held_ranges_[i].service == service && held_ranges_[i].first < start &&
            held_ranges_[i].last >= start) {
            held_range tail = held_ranges_[i];
            tail.first = start;
            held_ranges_[i].last = start - 1;
            held_ranges_.push_back(std::move(tail));
            return;
        }
    }
}

// Keys released under the segment's fence must not be granted under it again. Either the leader
// does not know of the release yet, or the directory here is out of date and the keys may already
// belong to another target with a higher fence.
bool member::is_partly_released(const segment& item) const
{
    return std::any_of(released_.begin(), released_.end(),
                       [&](const released_keys& keys) { return keys.concerns(item); });
}

// True if an earlier run of the target may have held keys of the segment under its fence. A new run
// may have the same id, so the directory does not show the difference until the leader assigns the
// keys anew.
bool member::had_earlier_run(const segment& item) const
{
    return std::any_of(held_ranges_.begin(), held_ranges_.end(), [&](const held_range& piece) {
        return piece.service == item.service && piece.first <= item.last &&
               item.first <= piece.last && piece.earlier_run >= item.range_fence;
    });
}

// True if all keys of the segment were released under its fence, possibly in several pieces.
bool member::is_released(const segment& item) const
{
    std::uint32_t next = item.first;
    while (next <= item.last) {
        const auto piece =
            std::find_if(released_.begin(), released_.end(), [&](const released_keys& keys) {
                return keys.concerns(item) && keys.first <= next && next <= keys.last;
            });
        if (piece == released_.end()) {
            return false;
        }
        next = piece->last + 1;
    }
    return true;
}

// Makes the held ranges match the directory.
void member::reconcile_held_ranges()
{
    for (const auto& item : view_.segments) {
        split_held_range(item.service, item.first);
        split_held_range(item.service, item.last + 1);
    }
    std::vector<held_range> updated;
    for (const auto& item : view_.segments) {
        const bool assigned = item.owner == self_.node && !is_released(item);
        const bool own = assigned && item.target == target_.id && !target_.id.empty();
        // A release that an unknown target cannot confirm ends with the hold.
        const bool release_pending = assigned && item.releasing && target_.id.empty();
        const bool releasing =
            item.releasing || (own && (is_partly_released(item) || had_earlier_run(item)));
        bool covered = false;
        std::uint32_t covered_keys = 0; ///< keys of an own segment that were held before
        for (auto& piece : held_ranges_) {
            if (piece.service != item.service || piece.first < item.first ||
                piece.last > item.last || piece.service.empty()) {
                continue;
            }
            if (own && !releasing) {
                // One grant renews all pieces of a segment. Before that grant, the target holds the
                // whole segment only until the earliest end of the holds of its pieces.
                if (!covered) {
                    covered = true;
                    held_range whole = piece;
                    whole.first = item.first;
                    whole.last = item.last;
                    whole.range_fence = item.range_fence;
                    whole.releasing = false;
                    if (piece.first != item.first || piece.last != item.last) {
                        whole.granted = {};
                        whole.order_id = 0;
                    }
                    if (piece.releasing) {
                        whole.served_until = {};
                    }
                    whole.handover = item.handover;
                    updated.push_back(std::move(whole));
                    covered_keys = 0;
                }
                else {
                    updated.back().granted_until =
                        std::max(updated.back().granted_until, piece.granted_until);
                    updated.back().earlier_run =
                        std::max(updated.back().earlier_run, piece.earlier_run);
                    updated.back().inherited = updated.back().inherited || piece.inherited;
                    updated.back().served_until =
                        piece.releasing ? time_point{}
                                        : std::min(updated.back().served_until, piece.served_until);
                }
                covered_keys += piece.last - piece.first + 1;
            }
            else {
                piece.releasing = true;
                if (own || release_pending) {
                    piece.range_fence = item.range_fence;
                }
                updated.push_back(piece);
                covered = true;
            }
            piece.service.clear();
        }
        if (covered_keys > 0 && covered_keys != item.last - item.first + 1) {
            updated.back().served_until = {};
        }
        if ((own || release_pending) && !covered) {
            held_range added;
            added.service = item.service;
            added.first = item.first;
            added.last = item.last;
            added.range_fence = item.range_fence;
            added.handover = item.handover;
            added.releasing = releasing;
            // The leader may have passed the keys on from an earlier process of this host, whose
            // grant the target still holds.
            added.inherited = true;
            updated.push_back(std::move(added));
        }
    }
    for (auto& piece : held_ranges_) {
        // These keys are in no segment of the directory, so nobody has granted them in this term.
        if (!piece.service.empty()) {
            piece.releasing = true;
            updated.push_back(piece);
        }
    }
    held_ranges_ = std::move(updated);
}

void member::on_target(time_point now, const target_status& target)
{
    const bool changed = target.id != target_.id || target.phase != target_.phase ||
                         target.warming_up != target_.warming_up ||
                         !target_.is_same_instance(target);
    const bool target_replaced =
        !target_.id.empty() && !target.id.empty() && !target_.is_same_instance(target);
    target_ = target;
    if (target_replaced) {
        // The previous process of the target has ended and holds no keys. The new process may have
        // got a grant that was sent before this node knew of the restart, so keys whose hold has
        // not ended are released.
        // The others were held under their fence by the previous process all the same.
        std::erase_if(held_ranges_, [&](const held_range& item) {
            const bool has_ended = may_hold_until(item) <= now;
            if (has_ended && may_hold_until(item) != time_point{}) {
                finish_release(item, release_evidence::hold_ended, "");
            }
            return has_ended;
        });
        for (auto& item : held_ranges_) {
            item.releasing = true;
            item.order_id = 0;
            item.served_until = {};
            item.earlier_run = std::max(item.range_fence, item.granted);
        }
        open_orders_.clear();
    }
    if (changed) {
        report_due_ = true;
        reconcile_held_ranges();
    }
    on_tick(now);
}

void member::on_tick(time_point now)
{
    for (auto range = held_ranges_.begin(); range != held_ranges_.end();) {
        const bool hold_ended = may_hold_until(*range) <= now;
        // A silent target holds no keys after the end of its hold.
        const bool target_lost = !target_.id.empty() && target_.phase == target_phase::absent &&
                                 may_hold_until(*range) != time_point{};
        // A target that did not confirm a release also holds no keys after the end of its hold.
        // While the release is in progress the target may still be working on the keys: work that
        // has begun continues after the end of the hold.
        if (hold_ended && ((range->releasing && range->order_id == 0) || target_lost)) {
            finish_release(*range, release_evidence::hold_ended, "");
            range = held_ranges_.erase(range);
        }
        else {
            ++range;
        }
    }
}

void member::finish_release(const held_range& item, release_evidence evidence, std::string handover)
{
    const auto earlier =
        std::find_if(released_.begin(), released_.end(), [&](const released_keys& keys) {
            return keys.service == item.service && keys.first == item.first &&
                   keys.last == item.last && keys.range_fence == item.range_fence;
        });
    if (earlier != released_.end()) {
        // The handover token of the first confirmation is the one that concerns held keys.
        if (earlier->evidence == release_evidence::confirmed ||
            evidence != release_evidence::confirmed) {
            report_due_ = true;
            return;
        }
        released_.erase(earlier);
    }
    released_.push_back(
        {item.service, item.first, item.last, item.range_fence, std::move(handover), evidence});
    report_due_ = true;
}

milliseconds member::grant_hold(time_point now) const
{
    return longest_hold(times_, std::chrono::duration_cast<milliseconds>(lease_end_ - now));
}

std::vector<grant_order> member::take_grants(time_point now)
{
    std::vector<grant_order> result;
    // While an order to release all keys is in progress, no grant is sent, because the order could
    // also end that grant.
    if (target_.id.empty() || target_.phase == target_phase::absent || !holds_lease(now) ||
        clear_order_ != 0 || !target_confirmed_) {
        return result;
    }
    const milliseconds hold = grant_hold(now);
    for (auto& item : held_ranges_) {
        // Until the first lease of a term, its leader takes the holdings in each report as complete
        // and may assign other keys. A range whose hold has ended was not in the latest report.
        const bool not_reported = last_lease_term_ != term_ && !is_reported(now, item);
        const bool has_new_fence = item.granted != item.range_fence;
        const bool due = has_new_fence || item.served_until < item.needed_until ||
                         item.served_until - now < renewal_threshold();
        if (not_reported || item.releasing || item.order_id != 0 || !due || now < item.retry_at ||
            hold < min_hold || !is_worth_renewal(now, item, hold)) {
            continue;
        }
        item.order_id = next_order_id_++;
        open_orders_[item.order_id] = {
            now, hold, item.service, item.first, item.last, item.range_fence, item.granted_until};
        item.granted_until = std::max(item.granted_until, now + latest_hold_end(times_, hold));
        result.push_back({item.order_id, item.service, item.first, item.last, item.range_fence,
                          hold, has_new_fence ? item.handover : std::string{}});
    }
    return result;
}

std::vector<release_order> member::take_releases(time_point now)
{
    std::vector<release_order> result;
    // Before the first grant of this process, its target may hold keys that an earlier process
    // granted. The fence of the release is below all fences of this term.
    if (clear_term_ == term_ && cleared_term_ != term_ && clear_order_ == 0 &&
        held_ranges_.empty() && now >= next_clear_) {
        clear_order_ = next_order_id_++;
        result.push_back({clear_order_, "", 0, key_count - 1, fence_base(term_)});
    }
    for (auto& item : held_ranges_) {
        if (!item.releasing || item.order_id != 0 || now < item.retry_at || target_.id.empty() ||
            target_.phase == target_phase::absent) {
            continue;
        }
        item.order_id = next_order_id_++;
        open_orders_[item.order_id] = {now,       milliseconds{0},  item.service,      item.first,
                                       item.last, item.range_fence, item.granted_until};
        const fence range_fence = std::max(item.range_fence, item.granted);
        result.push_back({item.order_id, item.service, item.first, item.last, range_fence});
    }
    return result;
}

void member::on_grant_result(time_point now, std::uint64_t id, order_outcome outcome)
{
    const auto found = open_orders_.find(id);
    if (found == open_orders_.end()) {
        return;
    }
    const sent_order order = found->second;
    open_orders_.erase(found);
    for (auto& item : held_ranges_) {
        if (item.order_id == id) {
            item.order_id = 0;
            item.retry_at = outcome == order_outcome::done ? time_point{} : now + order_retry_delay;
            if (outcome == order_outcome::not_sent) {
                item.granted_until = order.granted_before;
            }
            if (outcome == order_outcome::refused && item.range_fence == order.range_fence) {
                // The target has seen a higher fence, for example of a release that was under way
                // when a new leader took over, and will refuse this one for good. Once the keys are
                // released, the leader assigns them under a new fence.
                item.releasing = true;
                item.served_until = {};
            }
        }
        if (item.service != order.service || item.first < order.first || item.last > order.last) {
            continue;
        }
        if (outcome == order_outcome::done && item.range_fence >= order.range_fence) {
            item.granted = std::max(item.granted, order.range_fence);
            item.served_until =
                std::max(item.served_until, order.sent + relied_hold(times_, order.hold));
        }
    }
}

void member::on_release_result(time_point now, std::uint64_t id, order_outcome outcome,
                               const std::string& handover)
{
    if (id == clear_order_) {
        clear_order_ = 0;
        next_clear_ = now + order_retry_delay;
        if (outcome == order_outcome::done) {
            cleared_term_ = clear_term_;
            report_due_ = true;
        }
        return;
    }
    const auto found = open_orders_.find(id);
    if (found == open_orders_.end()) {
        return;
    }
    const sent_order order = found->second;
    open_orders_.erase(found);
    for (auto range = held_ranges_.begin(); range != held_ranges_.end();) {
        if (range->order_id != id) {
            ++range;
            continue;
        }
        range->order_id = 0;
        if (outcome == order_outcome::done && range->releasing && range->first == order.first &&
            range->last == order.last) {
            finish_release(*range, release_evidence::confirmed, handover);
            range = held_ranges_.erase(range);
        }
        else {
            range->retry_at = now + order_retry_delay;
            ++range;
        }
    }
}

void member::count_request(const std::string& service, std::uint32_t key)
{
    ++loads_[service][key];
}

bool member::is_leader_silent(time_point now) const
{
    return now - leader_heard_ >= times_.leader_silence;
}

std::size_t member::count_preferred_hosts() const
{
    return static_cast<std::size_t>(
        std::count_if(view_.nodes.begin(), view_.nodes.end(), [&](const node_record& other) {
            return other.node != self_.node && other.node != leader_ && !other.is_leaving() &&
                   std::tie(other.cpu_millicores, other.node) >
                       std::tie(self_.cpu_millicores, self_.node);
        }));
}

std::optional<member::outgoing_report> member::take_report(time_point now)
{
    if (leader_address_.empty() || (!report_due_ && now < next_report_)) {
        return std::nullopt;
    }
    report_due_ = false;
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
    if (last_lease_term_ != term_ || !holds_lease(now)) {
        body.holdings = holdings(now);
    }
    body.released = released_;
    body.directory_version = view_.term == term_ ? view_.version : 0;
    body.manifest_version = manifest_version_;
    body.mean_work_us = static_cast<std::uint32_t>(mean_work_.count());
    body.leaving = leaving_;
    body.cleared_term = cleared_term_;
    body.cpu_millicores = self_.cpu_millicores;
    body.process_age =
        std::min(std::chrono::floor<milliseconds>(now - self_.started), max_reported_age);
    for (auto& [service, counts] : loads_) {
        key_load load{service, {counts.begin(), counts.end()}};
        if (load.counts.size() > max_reported_keys) {
            std::nth_element(load.counts.begin(), load.counts.begin() + max_reported_keys,
                             load.counts.end(),
                             [](const auto& a, const auto& b) { return a.second > b.second; });
            load.counts.resize(max_reported_keys);
        }
        body.loads.push_back(std::move(load));
    }
    loads_.clear();
    recent_reports_.emplace_back(body.sequence, now);
    if (recent_reports_.size() > max_recent_reports) {
        recent_reports_.pop_front();
    }
    report_sent_times_[body.sequence] = now;
    if (report_sent_times_.size() > max_open_reports) {
        report_sent_times_.erase(report_sent_times_.begin());
    }
    // The leader knows of the release of keys that the directory no longer assigns to this node
    // under the same fence. Others are reported again.
    std::erase_if(released_, [&](const released_keys& keys) {
        return view_.term == term_ &&
               std::none_of(view_.segments.begin(), view_.segments.end(), [&](const segment& item) {
                   return item.owner == self_.node && keys.concerns(item);
               });
    });
    return result;
}

std::vector<holding> member::holdings(time_point now) const
{
    std::vector<holding> result;
    for (const auto& item : held_ranges_) {
        if (is_reported(now, item)) {
            result.push_back(
                {item.service, item.first, item.last, std::max(item.range_fence, item.granted)});
        }
    }
    return result;
}

serve_verdict member::may_serve(time_point now, const std::string& service, std::uint32_t key) const
{
    for (const auto& item : held_ranges_) {
        if (item.service == service && item.first <= key && key <= item.last) {
            if (item.releasing || target_.phase == target_phase::absent) {
                return serve_verdict::not_owner;
            }
            return now < item.served_until ? serve_verdict::serve : serve_verdict::pending;
        }
    }
    return serve_verdict::not_owner;
}

bool member::covers_work(time_point now, const std::string& service, std::uint32_t key,
                         milliseconds work)
{
    const milliseconds hold = grant_hold(now);
    for (auto& item : held_ranges_) {
        if (item.service != service || key < item.first || item.last < key) {
            continue;
        }
        const time_point end = now + std::min(work, times_.longest_lease);
        if (item.served_until >= end || hold < min_hold || !target_confirmed_ ||
            !is_worth_renewal(now, item, hold)) {
            return true;
        }
        item.needed_until = std::max(item.needed_until, end);
        return false;
    }
    return true;
}

const segment* member::segment_of(const std::string& service, std::uint32_t key) const
{
    const auto found =
        std::find_if(view_.segments.begin(), view_.segments.end(), [&](const segment& item) {
            return item.service == service && item.first <= key && key <= item.last;
        });
    return found == view_.segments.end() ? nullptr : &*found;
}

key_owner member::owner_of(const std::string& service, std::uint32_t key) const
{
    key_owner result;
    const auto* found = segment_of(service, key);
    if (found == nullptr) {
        return result;
    }
    result.node = found->owner;
    result.moving = found->releasing;
    for (const auto& node : view_.nodes) {
        if (node.node == found->owner) {
            result.address = node.address;
            result.zone = node.zone;
        }
    }
    return result;
}

std::optional<key_hold> member::hold_of(const std::string& service, std::uint32_t key) const
{
    for (const auto& item : held_ranges_) {
        if (item.service == service && item.first <= key && key <= item.last) {
            return key_hold{item.served_until, item.granted, item.releasing};
        }
    }
    return std::nullopt;
}

} // namespace bulrushgw::assignment
