#include "assignment/leader.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Number of successors that the record names. More than one, because a stopping leader must find
/// one that is not stopping itself. Few, because the next leader waits until each of them knows
/// that it leads.
constexpr std::size_t max_successors = 3;
/// Interval between two rounds of notices to hosts that do not report.
constexpr milliseconds notice_interval{150};

recorded_nodes with_valid_lease(recorded_nodes record)
{
    record.longest_lease = std::clamp(record.longest_lease, milliseconds{0}, max_named_lease);
    return record;
}

} // namespace

leader::leader(timing times, leader_identity self, const leadership_transfer& transfer,
               time_point now, time_point store_confirmed)
    : times_(times), self_(std::move(self)), lengths_(times), store_confirmed_(store_confirmed),
      transfers_(transfer.transfers), recorded_(with_valid_lease(transfer.recorded)),
      beat_(transfer.beat), fence_count_(transfer.fence_count), next_merge_(now), last_decay_(now),
      balancing_from_(now + load_learning_time)
{
    for (const auto& written : transfer.unresolved) {
        unresolved_writes_.push_back(with_valid_lease(written));
    }
    // The sender had waited for the leases of earlier terms, so none of them run.
    start_.term = transfer.term;
    start_.claimed = now;
    start_.claim_sent = store_confirmed;
    start_.recorded = transfer.recorded.members;
    apply(view_, transfer.content);
    view_.leader = self_.node;
    log_.continue_after(view_.version);
    superseded_.insert(transfer.superseded.begin(), transfer.superseded.end());
    // The sender may have extended each lease until it sent the transfer.
    const milliseconds length = longest_own_lease();
    const auto leases_end = now + with_drift(length, times_.drift_permille);
    lengths_.note_lease(length, leases_end);
    for (const auto& entry : transfer.members) {
        auto& member = members_[entry.record.node];
        auto& report = member.last_report;
        report.host = entry.record.host;
        report.address = entry.record.address;
        report.zone = entry.record.zone;
        report.target = entry.record.target;
        report.cpu_millicores = entry.record.cpu_millicores;
        member.last_report_at = entry.live ? now : time_point{};
        member.lease_end_bound = leases_end;
        if (entry.inherits) {
            member.earlier_holds_end = member.lease_end_bound;
        }
        member.recorded = may_have_lease(entry.record.node, entry.record.host);
        member.leased_once = entry.leased;
        member.inherits = entry.inherits;
        member.leaving = entry.leaving;
        node_by_host_[entry.record.host] = entry.record.node;
    }
    update_directory_log();
}

// Returns the nodes of each record that the store may hold now or after a late write.
std::vector<const recorded_nodes*> leader::possible_records() const
{
    std::vector<const recorded_nodes*> result{&recorded_};
    for (const auto& written : unresolved_writes_) {
        result.push_back(&written);
    }
    if (write_under_way_) {
        result.push_back(&pending_record_);
    }
    return result;
}

// Only recorded members may have leases, because the next leader waits for what they hold. A new
// process on the host of a recorded member may have one too: the next leader asks the process that
// runs on the host.
bool leader::may_have_lease(incarnation_id node, const std::string& host) const
{
    const auto records = possible_records();
    return std::all_of(records.begin(), records.end(), [&](const recorded_nodes* record) {
        return std::any_of(record->members.begin(), record->members.end(), [&](const auto& entry) {
            return entry.node == node || entry.host == host;
        });
    });
}

bool leader::can_succeed(incarnation_id node, time_point now) const
{
    const auto found = members_.find(node);
    return found != members_.end() && node != self_.node && found->second.leased_once &&
           !found->second.leaving && is_live(found->second, now);
}

// Keeps the recorded successors as long as they can take over, because a transfer is possible only
// to one that all possible records name.
std::vector<incarnation_id> leader::choose_successors(time_point now) const
{
    std::vector<incarnation_id> result;
    for (const auto node : recorded_.successors) {
        if (can_succeed(node, now)) {
            result.push_back(node);
        }
    }
    std::vector<incarnation_id> others;
    for (const auto& [node, member] : members_) {
        if (can_succeed(node, now) &&
            std::find(result.begin(), result.end(), node) == result.end()) {
            others.push_back(node);
        }
    }
    std::sort(others.begin(), others.end(), [&](incarnation_id a, incarnation_id b) {
        return std::tuple(members_.at(b).last_report.cpu_millicores, b) <
               std::tuple(members_.at(a).last_report.cpu_millicores, a);
    });
    const auto missing = max_successors - std::min(max_successors, result.size());
    others.resize(std::min(others.size(), missing));
    result.insert(result.end(), others.begin(), others.end());
    return result;
}

leadership_notice leader::make_notice(time_point now) const
{
    return {view_.term, transfers_, self_.node, self_.address, detail::to_leader_time_ms(now)};
}

std::optional<leader::outgoing_transfer> leader::make_transfer(time_point now)
{
    update_directory_log();
    if (!has_authority(now) || now < old_leases_end()) {
        return std::nullopt;
    }
    const auto records = possible_records();
    const auto is_recorded = [&](incarnation_id node) {
        return std::all_of(records.begin(), records.end(), [&](const recorded_nodes* record) {
            return std::find(record->successors.begin(), record->successors.end(), node) !=
                   record->successors.end();
        });
    };
    const auto next =
        std::find_if(recorded_.successors.begin(), recorded_.successors.end(),
                     [&](auto node) { return can_succeed(node, now) && is_recorded(node); });
    if (next == recorded_.successors.end()) {
        return std::nullopt;
    }
    const auto& successor = members_.at(*next);
    outgoing_transfer result{successor.last_report.address, *next, {}};
    auto& content = result.content;
    content.term = view_.term;
    content.transfers = transfers_ + 1;
    content.report_sequence = successor.last_report.sequence;
    content.store_silence = std::chrono::ceil<milliseconds>(now - store_confirmed_);
    content.beat = beat_;
    content.fence_count = fence_count_;
    content.content = log_.since(0);
    for (const auto& [node, member] : members_) {
        const auto& report = member.last_report;
        content.members.push_back(
            {{node, report.host, report.address, report.zone, report.target, report.cpu_millicores},
             is_live(member, now),
             member.leased_once,
             member.inherits,
             member.leaving});
    }
    content.superseded.assign(superseded_.begin(), superseded_.end());
    content.recorded = recorded_;
    content.unresolved = unresolved_writes_;
    if (write_under_way_) {
        content.unresolved.push_back(pending_record_);
    }
    return result;
}

std::optional<leader::outgoing_notices> leader::take_notices(time_point now)
{
    if (!is_store_silent(now) || !has_authority(now) || now - last_notices_ < notice_interval) {
        return std::nullopt;
    }
    last_notices_ = now;
    outgoing_notices result{make_notice(now), {}};
    for (const auto& entry : recorded_.members) {
        const auto* member = member_on(entry.host);
        const bool reports = member != nullptr && member->last_report.sequence != 0 &&
                             now - member->last_report_at < times_.record_watch_silence;
        if (entry.node != self_.node && !reports) {
            result.addresses.push_back(entry.address);
        }
    }
    return result;
}

} // namespace bulrushgw::assignment
