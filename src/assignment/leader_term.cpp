#include "assignment/leader.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Upper bound on the age of the copy from which the store may come back, and on the time that the
/// store takes to carry out a write.
constexpr milliseconds max_copy_age{11000};

} // namespace

// The latest possible end of the leases of earlier terms. An earlier leader gives no more leases
// once it has accepted this term. Otherwise it stops `authority_timeout` after the last possible
// confirmation of its term by the store or by a majority of its members, and in any case
// `store_silence_limit` after the claim of this term.
time_point leader::old_leases_end() const
{
    if (is_first_leader_) {
        return start_.claimed;
    }
    const auto authority_limit = with_drift(times_.authority_timeout, times_.drift_permille);
    time_point result = start_.claimed + with_drift(times_.lease, times_.drift_permille);
    for (const auto& predecessor : start_.earlier) {
        time_point leader_end =
            start_.claimed + with_drift(times_.store_silence_limit, times_.drift_permille);
        if (const auto ended_at = leaders_ended_at(predecessor)) {
            leader_end = *ended_at;
        }
        else if (predecessor.members.size() < min_confirming_members) {
            leader_end = start_.claimed + authority_limit;
        }
        else if (const auto majority_at = majority_accepted_at(predecessor.members)) {
            leader_end = *majority_at + authority_limit;
        }
        const auto length = std::max(times_.lease, predecessor.longest_lease);
        result = std::max(result, leader_end + with_drift(length, times_.drift_permille));
    }
    return result;
}

// Returns the longest lease that this leader may give. The next leader reads one of the possible
// records and waits for leases of the length that it names.
milliseconds leader::confirmed_lease() const
{
    milliseconds result = recorded_.longest_lease;
    for (const auto* record : possible_records()) {
        result = std::min(result, record->longest_lease);
    }
    return result;
}

// Returns an upper bound on the lengths of the leases of this term that may run. Each possible
// record names at least the length of each running lease, see `confirmed_lease` and `make_record`.
milliseconds leader::longest_own_lease() const
{
    milliseconds result = times_.lease;
    for (const auto* record : possible_records()) {
        result = std::max(result, record->longest_lease);
    }
    return result;
}

// Returns an upper bound on the lengths of the leases of any term that may run.
milliseconds leader::longest_lease(time_point now) const
{
    milliseconds result = longest_own_lease();
    if (now < old_leases_end()) {
        for (const auto& predecessor : start_.earlier) {
            result = std::max(result, predecessor.longest_lease);
        }
    }
    return result;
}

// Returns when a process on `host` first accepted this term, if one did. An earlier leader on that
// host has ended by then, because its process accepted this term or another process runs on its
// host.
std::optional<time_point> leader::term_accepted_at(const std::string& host) const
{
    if (host == self_.host) {
        return start_.claimed;
    }
    const auto found = accepted_at_.find(host);
    return found == accepted_at_.end() ? std::nullopt : std::optional{found->second};
}

// Returns when the last process that may have led the term of `predecessor` had ended, if all have.
std::optional<time_point>
leader::leaders_ended_at(const leader_record::earlier_leader& predecessor) const
{
    auto result = term_accepted_at(predecessor.host);
    for (const auto& host : predecessor.successors) {
        const auto accepted_at = term_accepted_at(host);
        result =
            result && accepted_at ? std::optional{std::max(*result, *accepted_at)} : std::nullopt;
    }
    return result;
}

// Returns the time at which a majority of these members, or of later incarnations on their hosts,
// had accepted this term.
std::optional<time_point>
leader::majority_accepted_at(const std::vector<leader_record::member>& members) const
{
    std::vector<time_point> times;
    for (const auto& entry : members) {
        if (const auto at = term_accepted_at(entry.host)) {
            times.push_back(*at);
        }
    }
    const std::size_t majority = members.size() / 2 + 1;
    if (times.size() < majority) {
        return std::nullopt;
    }
    std::sort(times.begin(), times.end());
    return std::max(start_.claimed, times[majority - 1]);
}

// A target of a service that is not sharded holds no keys. A target that is not known yet may hold
// keys.
bool leader::may_hold_unreported_keys(const target_status& target) const
{
    return target.id.empty() || sharded_services_.contains(target.service);
}

const leader::member_state* leader::member_on(const std::string& host) const
{
    const auto found = node_by_host_.find(host);
    const auto member =
        found == node_by_host_.end() ? members_.end() : members_.find(found->second);
    return member == members_.end() ? nullptr : &member->second;
}

// True if each host that may hold keys of earlier terms has reported what its target holds: either
// the process that had the leases, unless holds of a process before it may still run, or a new
// process whose target was cleared. All earlier leaders must have ended, since they could still
// give leases.
bool leader::knows_all_holdings(time_point now) const
{
    for (const auto& predecessor : start_.earlier) {
        if (!leaders_ended_at(predecessor)) {
            return false;
        }
        for (const auto& entry : predecessor.members) {
            const auto* member = member_on(entry.host);
            if (member == nullptr || !member->recorded) {
                return false;
            }
            const bool holds_no_others = now >= member->earlier_holds_end ||
                                         !may_hold_unreported_keys(member->last_report.target);
            const bool same_process = members_.contains(entry.node);
            const bool known = same_process
                                   ? member->leased_once && holds_no_others
                                   : member->last_report.cleared_term == view_.term ||
                                         !may_hold_unreported_keys(member->last_report.target);
            if (!known) {
                return false;
            }
        }
    }
    return true;
}

bool leader::has_authority(time_point now) const
{
    return now - store_confirmed_ < times_.authority_timeout ||
           (now - store_confirmed_ < times_.store_silence_limit &&
            now - confirmed_at(now) < times_.authority_timeout);
}

// Returns the latest time at which the store or a majority of the recorded members is known to have
// confirmed this term. No later leader gave leases before that time. A later leader gives leases
// once a majority of the members in the record that it read has accepted its term. If the store may
// have come back from an older copy since it last confirmed this term, that may be any record that
// it had within `max_copy_age` before.
time_point leader::confirmed_at(time_point now) const
{
    time_point by_members = majority_acked_at(recorded_.members, now);
    for (const auto& written : unresolved_writes_) {
        by_members = std::min(by_members, majority_acked_at(written.members, now));
    }
    for (const auto& record : replaced_records_) {
        if (store_returns_ && record.replaced > store_confirmed_ - max_copy_age) {
            by_members = std::min(by_members, majority_acked_at(record.members, now));
        }
    }
    return std::max(store_confirmed_, by_members);
}

// Returns the latest time at which a majority of these members is known to have acknowledged this
// term, or the epoch if there are fewer than `min_confirming_members`.
time_point leader::majority_acked_at(const std::vector<leader_record::member>& members,
                                     time_point now) const
{
    if (members.size() < min_confirming_members) {
        return {};
    }
    std::vector<time_point> acks;
    for (const auto& entry : members) {
        const auto found = members_.find(entry.node);
        const bool is_self = entry.node == self_.node;
        acks.push_back(is_self                   ? now
                       : found == members_.end() ? time_point{}
                                                 : found->second.term_acked_at);
    }
    std::sort(acks.begin(), acks.end(), std::greater<>());
    return acks[acks.size() / 2];
}

// The previous leader could reassign a member's keys until a majority had accepted this term or
// until that leader had ended. A lease is given only for a report that was sent after that, because
// the keys that the member still held when it sent the report were not reassigned.
bool leader::is_sent_after_takeover(const report& body) const
{
    if (is_first_leader_) {
        return true;
    }
    time_point takeover = start_.claimed;
    for (const auto& predecessor : start_.earlier) {
        const auto accepted_at = leaders_ended_at(predecessor);
        const auto majority_at = predecessor.members.size() < min_confirming_members
                                     ? std::optional{start_.claimed}
                                     : majority_accepted_at(predecessor.members);
        if (!accepted_at && !majority_at) {
            takeover = std::max(takeover, start_.claimed + with_drift(times_.store_silence_limit,
                                                                      times_.drift_permille));
        }
        else {
            takeover = std::max(takeover, std::min(accepted_at.value_or(time_point::max()),
                                                   majority_at.value_or(time_point::max())));
        }
    }
    return body.echo != 0 && detail::from_leader_time_ms(body.echo) >= takeover;
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
            record.members.push_back({id, member.last_report.host, member.last_report.address});
        }
    }
    if (is_store_silent(now)) {
        // The store may apply any of the writes that it did not answer. They repeat the confirmed
        // members, so that a process that restarts meanwhile on a recorded host may have a lease.
        record.members = recorded_.members;
    }
    record.successors = choose_successors(now);
    // A shorter length takes effect once the longer leases are over.
    record.longest_lease = lengths_.longest(now);
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
    if (record.members == recorded_.members && now - last_write_ < times_.record_interval) {
        return std::nullopt;
    }
    record.beat = ++beat_;
    pending_record_ = {record.members, record.successors, record.longest_lease};
    write_under_way_ = true;
    last_write_ = now;
    return record;
}

void leader::on_record_result(time_point sent, bool written)
{
    write_under_way_ = false;
    if (written) {
        for (auto& earlier : unresolved_writes_) {
            note_replaced(std::move(earlier.members), sent);
        }
        if (recorded_.members != pending_record_.members) {
            note_replaced(std::move(recorded_.members), sent);
        }
        recorded_ = std::move(pending_record_);
        unresolved_writes_.clear();
        store_confirmed_ = std::max(store_confirmed_, sent);
    }
    // The store may still apply the write, so its nodes count in addition to the confirmed ones.
    else if (std::find(unresolved_writes_.begin(), unresolved_writes_.end(), pending_record_) ==
             unresolved_writes_.end()) {
        unresolved_writes_.push_back(std::move(pending_record_));
    }
}

void leader::note_replaced(std::vector<leader_record::member> members, time_point replaced)
{
    std::erase_if(replaced_records_, [&](const replaced_record& item) {
        return item.replaced <= replaced - max_copy_age;
    });
    if (store_returns_) {
        replaced_records_.push_back({std::move(members), replaced});
    }
}

} // namespace bulrushgw::assignment
