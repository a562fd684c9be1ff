#include "sidecar/coordination.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sidecar/record_text.h"

namespace bulrushgw::sidecar {

namespace {

/// Jitter of a claim, so that nodes which know no order among them seldom race.
constexpr milliseconds claim_jitter{30};
/// When a deployment starts for the first time, nobody leads and no order among the nodes
/// is known. Each waits before it claims, since a part of the store carries out some hundred
/// conditional writes a second, one after the other: a host with a whole core for about this
/// time, one with a tenth of it ten times as long, so that a strong host leads.
constexpr double first_claim_ms = 60;
constexpr double whole_core = 1000; ///< of `assignment::member_identity::cpu_millicores`
/// A host of unknown strength counts as one of this.
constexpr double least_strength = 100;
/// Between two reads of the record while there is none, or the store is away.
constexpr milliseconds read_pause{150};
constexpr milliseconds summary_interval{2000};
/// Copies of one directory change that a node passes on, whatever a frame asks for.
constexpr std::size_t max_onward = 64;
/// A node that a stopping leader asked to follow it has claimed by then; a slow store
/// takes about 0.7 s for a write.
constexpr milliseconds hand_over_time{800};
/// A peer that answered nothing for this time, four reports, is checked: its connection
/// may swallow what is sent without any error.
constexpr milliseconds silent_connection{1000};

} // namespace

coordination::coordination(assignment::timing times, assignment::member_identity self,
                           std::uint64_t seed, hooks with)
    : times_(times), self_(std::move(self)), random_(seed), hooks_(std::move(with)),
      member_(times, self_)
{
}

void coordination::on_report(const wire::frame& frame, const assignment::report& body)
{
    const auto now = hooks_.now();
    hooks_.on_peer_manifest(body.address, body.manifest_version);
    if (leader_ && body.term > leader_->view().term) {
        step_down("a member knows a later term");
    }
    if (leader_) {
        // The member gets no replies, although its reports arrive.
        const auto first = first_report_.try_emplace(frame.from, now).first;
        const auto heard = body.echo != 0 && body.term == leader_->view().term
                               ? assignment::detail::from_stamp(body.echo)
                               : first->second;
        first->second = std::max(first->second, heard);
        if (now - first->second >= silent_connection) {
            hooks_.suspect(body.address, "a member gets no replies");
        }
        auto reply = leader_->on_report(now, frame.from, body);
        reply.manifest_version = manifest_version_;
        hooks_.send(body.address, frame.from, reply);
        push_directory();
        pump();
        return;
    }
    const auto& view = member_.view();
    if (view.leader && member_.term() >= body.term && !member_.is_leader_silent(now)) {
        for (const auto& node : view.nodes) {
            if (node.node == view.leader) {
                hooks_.send(body.address, frame.from,
                            assignment::leader_hint{view.term, view.leader, node.address});
            }
        }
    }
}

void coordination::on_reply(const wire::frame& frame, const assignment::report_reply& reply)
{
    if (leader_ && reply.term > leader_->view().term) {
        step_down("another node leads a later term");
    }
    hooks_.on_peer_manifest(frame.reply_address, reply.manifest_version);
    member_.on_reply(hooks_.now(), reply);
    pump();
}

void coordination::on_hint(const assignment::leader_hint& hint)
{
    if (leader_ && hint.term > leader_->view().term) {
        step_down("another node leads a later term");
    }
    if (!leader_) {
        member_.on_leader(hooks_.now(), hint.term, hint.leader, hint.address);
        pump();
    }
}

void coordination::on_update(const wire::frame& frame, const assignment::directory_update& update)
{
    // Passed on first: members without the change send requests to earlier owners.
    for (std::size_t i = 0; i < std::min(update.forward_to.size(), max_onward); ++i) {
        hooks_.send(update.forward_to[i], {}, assignment::directory_update{update.content, {}});
    }
    if (leader_) {
        return;
    }
    const auto now = hooks_.now();
    if (frame.from == update.content.leader) {
        member_.on_leader_alive(now, update.content.term);
    }
    member_.on_directory(now, update.content);
    pump();
}

void coordination::on_target(const assignment::target_status& target)
{
    member_.on_target(hooks_.now(), target);
    pump();
}

void coordination::on_grant_result(std::uint64_t id, assignment::order_outcome outcome)
{
    member_.on_grant_result(hooks_.now(), id, outcome);
    pump();
}

void coordination::on_release_result(std::uint64_t id, assignment::order_outcome outcome,
                                     const std::string& handover)
{
    member_.on_release_result(hooks_.now(), id, outcome, handover);
    pump();
}

void coordination::set_manifest(std::uint64_t version, std::set<std::string> sharded)
{
    manifest_version_ = version;
    sharded_ = std::move(sharded);
    member_.set_manifest_version(version);
    if (leader_) {
        leader_->set_sharded(sharded_);
    }
    pump();
}

void coordination::on_lead_request(const assignment::lead_request& request)
{
    if (!leader_ && !leaving_ && request.term == member_.term()) {
        asked_term_ = request.term;
        read_record();
    }
}

void coordination::on_confirm_request(const assignment::confirm_request& request)
{
    if (!leader_) {
        member_.on_confirm_request(hooks_.now(), request);
        pump();
    }
}

void coordination::leave()
{
    leaving_ = true;
    member_.leave();
    pump();
    hand_over(hooks_.now());
}

// A leader that stops asks the strongest of the others to follow it, so that the keys
// do not wait until its silence is noticed.
void coordination::hand_over(time_point now)
{
    if (!leaving_ || leader_ == nullptr || now < next_ask_) {
        return;
    }
    const assignment::node_record* next = nullptr;
    for (const auto& node : leader_->view().nodes) {
        const bool asked = std::find(asked_.begin(), asked_.end(), node.node) != asked_.end();
        if (node.node != self_.node && !asked && !node.is_leaving() &&
            (next == nullptr || node.cpu_millicores > next->cpu_millicores)) {
            next = &node;
        }
    }
    next_ask_ = now + hand_over_time;
    if (next == nullptr) {
        asked_.clear();
        return;
    }
    asked_.push_back(next->node);
    hooks_.log("leader_hands_over", {{"term", leader_->view().term}, {"to", next->host}});
    hooks_.send(next->address, next->node, assignment::lead_request{leader_->view().term});
}

void coordination::on_tick()
{
    const auto now = hooks_.now();
    member_.on_tick(now);
    if (leader_) {
        leader_->on_tick(now);
        lead(now);
        log_summary(now);
        hand_over(now);
    }
    else {
        seek_leader(now);
    }
    pump();
}

// Carries out what the last event caused.
void coordination::pump()
{
    if (std::exchange(pumping_, true)) {
        return;
    }
    send_report();
    const auto now = hooks_.now();
    for (const auto& order : member_.take_grants(now)) {
        hooks_.grant(order);
    }
    for (const auto& order : member_.take_releases(now)) {
        hooks_.release(order);
    }
    pumping_ = false;
    const auto& view = member_.view();
    if (view.term != seen_term_ || view.version != seen_version_) {
        seen_term_ = view.term;
        seen_version_ = view.version;
        hooks_.on_directory();
    }
}

void coordination::send_report()
{
    const auto now = hooks_.now();
    auto due = member_.take_report(now);
    if (!due) {
        return;
    }
    if (!leader_) {
        hooks_.send(due->address, due->leader, due->body);
        return;
    }
    auto reply = leader_->on_report(now, self_.node, due->body);
    reply.manifest_version = manifest_version_;
    member_.on_reply(now, reply);
    lead(now);
}

void coordination::lead(time_point now)
{
    push_directory();
    if (leader_ == nullptr) {
        return;
    }
    if (const auto round = leader_->take_confirmation_round(now)) {
        for (const auto& address : round->addresses) {
            hooks_.send(address, {}, round->request);
        }
    }
    if (const auto record = leader_->take_record(now)) {
        write_record(now, *record);
    }
}

void coordination::log_summary(time_point now)
{
    if (now < next_summary_ || leader_ == nullptr) {
        return;
    }
    next_summary_ = now + summary_interval;
    const auto state = leader_->summarize(now);
    hooks_.log("leader_state", {{"term", leader_->view().term},
                                {"directory", leader_->view().version},
                                {"members", state.members},
                                {"recorded", state.recorded},
                                {"segments", state.segments},
                                {"unassigned", state.unassigned},
                                {"authority", state.authority},
                                {"old_leases_ms", state.old_leases.count()}});
}

void coordination::push_directory()
{
    const auto now = hooks_.now();
    for (const auto& change : leader_->take_changes(now)) {
        hooks_.send(change.address, {}, change.update);
    }
    const auto& view = member_.view();
    const bool same_term = view.term == leader_->view().term;
    member_.on_directory(now, leader_->change_since(same_term ? view.version : 0));
}

void coordination::write_record(time_point now, const assignment::leader_record& record)
{
    hooks_.write_record(
        row_version_, to_text(record),
        [this, now, beat = record.beat](store_outcome outcome, std::uint64_t version) {
            on_record_written(now, beat, outcome, version);
            pump();
        });
}

void coordination::on_record_written(time_point sent, std::uint64_t beat, store_outcome outcome,
                                     std::uint64_t version)
{
    if (!leader_) {
        return;
    }
    if (outcome == store_outcome::done) {
        row_version_ = version;
        leader_->on_record_result(sent, true);
        return;
    }
    hooks_.log("record_not_written", {{"term", leader_->view().term},
                                      {"beat", beat},
                                      {"row_version", row_version_},
                                      {"outcome", to_text(outcome)}});
    if (outcome == store_outcome::conflict) {
        // Another leader, or an earlier write whose answer was lost.
        open_beat_ = beat;
        open_beat_sent_ = sent;
        read_record();
        return;
    }
    leader_->on_record_result(sent, false);
}

void coordination::seek_leader(time_point now)
{
    if (member_.term() != 0 && now - member_.leader_heard() >= silent_connection) {
        hooks_.suspect(member_.leader_address(), "the leader does not answer");
    }
    if (reading_ || claiming_ || now < next_read_) {
        return;
    }
    const bool unknown = !row_known_ || member_.term() == 0;
    const bool overdue =
        now - member_.leader_heard() >= times_.record_watch_silence + claim_delay();
    if (unknown || overdue) {
        read_record();
    }
}

// Stronger hosts claim first.
milliseconds coordination::claim_delay() const
{
    const auto stronger = static_cast<milliseconds::rep>(member_.count_preferred_hosts());
    return std::min(times_.claim_stagger * stronger, times_.max_claim_stagger);
}

void coordination::read_record()
{
    if (std::exchange(reading_, true)) {
        return;
    }
    hooks_.read_record([this](store_outcome outcome, const stored_row& row) {
        reading_ = false;
        on_record_read(outcome, row);
        pump();
    });
}

void coordination::on_record_read(store_outcome outcome, const stored_row& row)
{
    const auto now = hooks_.now();
    next_read_ = now + read_pause;
    if (outcome != store_outcome::done) {
        if (leader_ && std::exchange(open_beat_, 0) != 0) {
            leader_->on_record_result(open_beat_sent_, false);
        }
        return;
    }
    std::optional<assignment::leader_record> record;
    if (row.version != 0) {
        try {
            record = parse_leader_record(row.value);
        }
        catch (const parse_error& failure) {
            hooks_.log("record_unreadable", {{"cause", failure.what()}});
            return;
        }
    }
    // Without a read for a while nothing is known of the time between.
    const bool watched = now - last_read_ < times_.record_silence * 2;
    last_read_ = now;
    if (!row_known_ || row.version != row_version_ || !watched) {
        record_changed_ = now;
    }
    row_known_ = true;
    row_version_ = row.version;
    record_ = record;
    if (leader_) {
        if (!record || record->leader != self_.node || record->term != leader_->view().term) {
            step_down("another node claimed a later term");
        }
        else {
            // A write that met a conflict was not carried out; an earlier one was.
            if (std::exchange(open_beat_, 0) != 0) {
                leader_->on_record_result(open_beat_sent_, false);
            }
            return;
        }
    }
    if (open_claim_ && record && record->leader == self_.node &&
        record->term == open_claim_->term) {
        on_claimed(open_claim_sent_, *record);
        return;
    }
    if (record && record->leader != self_.node) {
        member_.on_leader(now, record->term, record->leader, record->address);
    }
    consider_claim(now, record ? &*record : nullptr);
}

// A leader that lives rewrites its record or answers reports. One that ran on this
// host is gone.
void coordination::consider_claim(time_point now, const assignment::leader_record* record)
{
    if (record == nullptr && !first_claim_) {
        const double mean =
            first_claim_ms * whole_core / std::max<double>(self_.cpu_millicores, least_strength);
        std::uniform_real_distribution<double> wait(mean / 2, mean * 3 / 2);
        first_claim_ = now + milliseconds{std::lround(wait(random_))};
    }
    if (record == nullptr && now < *first_claim_) {
        next_read_ = *first_claim_;
        return;
    }
    const bool own_host =
        record != nullptr && record->host == self_.host && record->leader != self_.node;
    const bool asked = record != nullptr && asked_term_ != 0 && record->term == asked_term_;
    const bool silent = member_.is_leader_silent(now - claim_delay());
    const bool unchanged = now - record_changed_ >= times_.record_silence;
    if (record == nullptr || own_host || asked || (silent && unchanged)) {
        hooks_.log(
            "claiming",
            {{"after_term", record == nullptr ? 0 : record->term},
             {"own_host", own_host},
             {"asked", asked},
             {"silent_ms",
              std::chrono::duration_cast<milliseconds>(now - member_.leader_heard()).count()}});
        claim(now, record);
        return;
    }
    if (unchanged) {
        return;
    }
    std::uniform_int_distribution<milliseconds::rep> jitter(0, claim_jitter.count());
    next_read_ =
        record_changed_ + times_.record_silence + claim_delay() + milliseconds{jitter(random_)};
}

void coordination::claim(time_point now, const assignment::leader_record* record)
{
    if (claiming_) {
        return;
    }
    claiming_ = true;
    assignment::leader_record next;
    next.term = std::max(record == nullptr ? 0 : record->term, member_.term()) + 1;
    next.beat = 0;
    next.leader = self_.node;
    next.host = self_.host;
    next.address = self_.address;
    next.members.push_back({self_.node, self_.host, self_.address});
    if (record != nullptr) {
        next.earlier = record->earlier;
        next.earlier.push_back({record->host, record->members});
        // They confirm this term until the leader knows who lives.
        for (const auto& member : record->members) {
            if (member.host != self_.host) {
                next.members.push_back(member);
            }
        }
    }
    open_claim_ = next;
    open_claim_sent_ = now;
    hooks_.write_record(row_version_, to_text(next),
                        [this, now, next](store_outcome outcome, std::uint64_t version) {
                            claiming_ = false;
                            if (outcome == store_outcome::done) {
                                row_version_ = version;
                                on_claimed(now, next);
                            }
                            else if (outcome == store_outcome::unavailable) {
                                open_claim_.reset();
                                next_read_ = hooks_.now() + read_pause;
                            }
                            else {
                                // The record tells who leads.
                                read_record();
                            }
                        });
}

void coordination::on_claimed(time_point sent, const assignment::leader_record& claimed)
{
    const auto now = hooks_.now();
    assignment::term_start start;
    start.term = claimed.term;
    start.claimed = now;
    start.claim_sent = sent;
    start.recorded = claimed.members;
    start.earlier = claimed.earlier;
    open_claim_.reset();
    leader_ = std::make_unique<assignment::leader>(
        times_, assignment::leader_identity{self_.node, self_.host, self_.address},
        std::move(start));
    leader_->set_sharded(sharded_);
    member_.on_leader(now, claimed.term, self_.node, self_.address);
    hooks_.log("leading", {{"term", claimed.term}});
    asked_term_ = 0;
    const assignment::leader_hint hint{claimed.term, self_.node, self_.address};
    for (const auto& member : claimed.members) {
        if (member.node != self_.node) {
            hooks_.send(member.address, {}, hint);
        }
    }
    pump();
}

void coordination::step_down(const char* cause)
{
    hooks_.log("stopped_leading", {{"term", leader_->view().term}, {"cause", cause}});
    leader_.reset();
    first_report_.clear();
    open_beat_ = 0;
}

} // namespace bulrushgw::sidecar
