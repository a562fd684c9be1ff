#include "sidecar/coordination.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sidecar/record_text.h"

namespace bulrushgw::sidecar {

namespace {

/// Upper bound of the random delay that a node adds before it claims the next term. Without the
/// delay, nodes that do not know each other's processor share would more often claim at the same
/// time.
constexpr milliseconds claim_jitter{30};
/// Mean delay, in ms, before the first claim of a host with one whole core. At the first start of a
/// deployment there is no leader, and the nodes do not know each other's processor share. The delay
/// spreads their claims, because a partition of the store executes conditional writes one after the
/// other, about a hundred a second. The delay is inversely proportional to the processor share of
/// the host (ten times as long with a tenth of a core), so that a host with a large share becomes
/// the leader.
constexpr double first_claim_delay_ms = 60;
constexpr double millicores_per_core = 1000;
/// Lower bound of the share that determines the delay, also used if the share is unknown (0).
constexpr double min_cpu_millicores = 100;
/// Pause between reads of the leader's record, for example while there is no record or the store
/// is unavailable.
constexpr milliseconds record_read_pause{150};
constexpr milliseconds summary_interval{2000};
/// Upper bound on the number of nodes to which this node relays one directory change, even if the
/// frame lists more nodes.
constexpr std::size_t max_relays = 64;
/// If a stopping leader still leads after this time, it asks the next node to claim. The write of a
/// claim takes about 0.7 s with a slow store.
constexpr milliseconds leadership_transfer_timeout{800};
/// Interval between two sendings of a transfer that its receiver has not confirmed.
constexpr milliseconds transfer_repeat_interval{100};
/// A peer is probed if it sends no answer for this time, in which four reports are due. The
/// connection to the peer may lose all data without reporting an error.
constexpr milliseconds silence_before_probe{1000};
/// The process was paused if no tick occurred for this time, in which four are due.
constexpr milliseconds pause_threshold{200};
/// Messages that arrived during a pause are handled within this time after it.
constexpr milliseconds pause_backlog_time{500};

} // namespace

coordination::coordination(assignment::timing times, assignment::member_identity self,
                           std::uint64_t seed, hooks callbacks)
    : times_(times), self_(std::move(self)), random_(seed), hooks_(std::move(callbacks)),
      member_(times, self_), logged_lease_(times.lease)
{
}

void coordination::on_report(const wire::frame& frame, const assignment::report& body)
{
    const auto now = hooks_.now();
    hooks_.on_peer_manifest(body.address, body.manifest_version);
    accept_evacuations(now, body.evacuations);
    if (leader_ && body.term > leader_->view().term) {
        step_down("a member knows a later term");
    }
    if (leader_) {
        // `echo` acknowledges a message that this leader sent in its term. If a member's reports
        // arrive without a new acknowledgement, the member receives no replies. Before the first
        // acknowledgement, the time is counted from the member's first report.
        const auto acknowledged = acknowledged_replies_.try_emplace(frame.from, now).first;
        const auto latest = body.echo != 0 && body.term == leader_->view().term
                                ? assignment::detail::from_leader_time_ms(body.echo)
                                : acknowledged->second;
        acknowledged->second = std::max(acknowledged->second, latest);
        if (now - acknowledged->second >= silence_before_probe) {
            hooks_.suspect(body.address, "a member gets no replies");
        }
        auto reply = leader_->on_report(now, frame.from, body);
        reply.manifest_version = manifest_version_;
        reply.evacuations_version = evacuations_.version();
        if (evacuations_.version() > body.evacuations_version) {
            reply.evacuations = {evacuations_.snapshot(now)};
        }
        hooks_.send(body.address, frame.from, reply);
        push_directory();
        process_outputs();
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
    accept_evacuations(hooks_.now(), reply.evacuations);
    if (frame.from == member_.leader()) {
        informed_leader_ = frame.from;
        leader_evacuations_version_ = reply.evacuations_version;
    }
    // A late reply of a leader that transferred its term has times of that leader's clock.
    if (reply.term == member_.term() && frame.from != member_.leader()) {
        return;
    }
    member_.on_reply(hooks_.now(), reply);
    process_outputs();
}

void coordination::on_hint(const assignment::leader_hint& hint)
{
    if (leader_ && hint.term > leader_->view().term) {
        step_down("another node leads a later term");
    }
    if (!leader_) {
        member_.on_leader(hooks_.now(), hint.term, hint.leader, hint.address);
        process_outputs();
    }
}

void coordination::on_update(const wire::frame& frame, const assignment::directory_update& update)
{
    // Relay the change before applying it, because members without the change send requests to the
    // previous owners of keys.
    for (std::size_t i = 0; i < std::min(update.forward_to.size(), max_relays); ++i) {
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
    process_outputs();
}

void coordination::on_target(const assignment::target_status& target)
{
    member_.on_target(hooks_.now(), target);
    process_outputs();
}

void coordination::set_target_confirmed(bool confirmed)
{
    member_.set_target_confirmed(confirmed);
    if (confirmed) {
        process_outputs();
    }
}

void coordination::on_grant_result(std::uint64_t id, assignment::order_outcome outcome)
{
    member_.on_grant_result(hooks_.now(), id, outcome);
    process_outputs();
}

void coordination::on_release_result(std::uint64_t id, assignment::order_outcome outcome,
                                     const std::string& handover)
{
    member_.on_release_result(hooks_.now(), id, outcome, handover);
    process_outputs();
}

void coordination::set_manifest(std::uint64_t version, std::set<std::string> sharded,
                                std::map<std::string, milliseconds> longest_work)
{
    manifest_version_ = version;
    sharded_ = std::move(sharded);
    const bool lengths_changed = longest_work != longest_work_;
    longest_work_ = std::move(longest_work);
    member_.set_manifest_version(version);
    if (leader_) {
        leader_->set_sharded(sharded_);
        leader_->set_longest_work(longest_work_);
    }
    if (lengths_changed) {
        log_lease_lengths();
    }
    process_outputs();
}

void coordination::on_evacuation_rows(const routing::evacuation_rows& rows, bool is_read)
{
    const auto now = hooks_.now();
    apply_evacuations(is_read ? evacuations_.on_read(now, rows)
                              : evacuations_.on_feed(now, heard_since(now), rows),
                      "store");
}

void coordination::on_store_era(std::uint64_t era)
{
    if (store_era_ && era <= *store_era_) {
        return;
    }
    hooks_.log("store_era",
               {{"era", era},
                {"previous", store_era_ ? journal::fields(*store_era_) : journal::fields()}});
    store_era_ = era;
    first_claim_time_.reset();
    if (leader_) {
        leader_->set_store_returns(true);
        renew_term(hooks_.now());
    }
}

// A term that was claimed in an earlier era of the store: the store may have lost its record and
// that of a later term.
bool coordination::is_term_outdated() const
{
    return leader_ != nullptr && store_era_ &&
           assignment::era_of_term(leader_->view().term) < *store_era_;
}

// Reads the record in order to claim a term of the current era. Until then the leader goes on
// without the store.
void coordination::renew_term(time_point now)
{
    if (is_term_outdated() && !leaving_ && !claiming_ && now >= next_read_) {
        read_record();
    }
}

void coordination::note_tick(time_point now)
{
    if (last_tick_ != time_point{} && now - last_tick_ > pause_threshold) {
        paused_from_ = last_tick_;
        pause_end_ = now;
    }
    last_tick_ = now;
}

// Returns the earliest time at which a message that is handled now may have arrived. What arrived
// during a pause of the process is handled after it.
time_point coordination::heard_since(time_point now) const
{
    if (last_tick_ != time_point{} && now - last_tick_ > pause_threshold) {
        return last_tick_;
    }
    return now - pause_end_ < pause_backlog_time ? paused_from_ : now;
}

void coordination::accept_evacuations(time_point now,
                                      const std::vector<routing::evacuation_snapshot>& news)
{
    for (const auto& item : news) {
        apply_evacuations(evacuations_.on_peer(heard_since(now), item), "peer");
    }
}

void coordination::apply_evacuations(const routing::evacuations::changes& changes,
                                     const char* source)
{
    for (const auto& change : changes) {
        hooks_.log(change.evacuated ? "evacuation_begun" : "evacuation_ended",
                   {{"zone", change.zone},
                    {"era", change.version.era()},
                    {"version", change.version.number()},
                    {"source", source}});
    }
    if (changes.empty()) {
        return;
    }
    if (leader_) {
        leader_->set_evacuated_zones(evacuations_.zones());
    }
    hooks_.on_evacuations(changes);
}

void coordination::set_cold_rates(std::map<std::string, double> rates)
{
    cold_rates_ = std::move(rates);
    if (leader_) {
        leader_->set_cold_rates(cold_rates_);
    }
}

bool coordination::covers_work(const std::string& service, std::uint32_t key, milliseconds work)
{
    const bool is_covered = member_.covers_work(hooks_.now(), service, key, work);
    if (!is_covered) {
        process_outputs();
    }
    return is_covered;
}

void coordination::log_own_lease()
{
    if (member_.lease_length() != logged_lease_) {
        logged_lease_ = member_.lease_length();
        hooks_.log("lease_length", {{"lease_ms", logged_lease_.count()}});
    }
}

void coordination::log_lease_lengths() const
{
    journal::fields lengths = journal::fields::object();
    for (const auto& [service, work] : longest_work_) {
        lengths[service] = assignment::lease_length(times_, work).count();
    }
    hooks_.log("lease_lengths", {{"lease_ms", times_.lease.count()}, {"services", lengths}});
}

void coordination::on_lead_request(const assignment::lead_request& request)
{
    if (!leader_ && !leaving_ && request.term == member_.term()) {
        requested_claim_term_ = request.term;
        read_record();
    }
}

void coordination::on_confirm_request(const wire::frame& frame,
                                      const assignment::confirm_request& request)
{
    if (!leader_ && frame.from == member_.leader()) {
        member_.on_confirm_request(hooks_.now(), request);
        process_outputs();
    }
}

void coordination::on_notice(const assignment::leadership_notice& notice)
{
    const auto position = std::pair(notice.term, notice.transfers);
    if (leader_ && position > std::pair(leader_->view().term, leader_->transfers())) {
        step_down("another node leads a later term");
    }
    if (unconfirmed_transfer_ && notice.leader == unconfirmed_transfer_->to) {
        unconfirmed_transfer_.reset();
    }
    if (!leader_) {
        member_.on_notice(hooks_.now(), notice);
        process_outputs();
    }
}

// A transfer that arrives again, or after a later one, has no effect.
void coordination::on_transfer(const assignment::leadership_transfer& transfer)
{
    const auto report_sent = member_.report_sent_at(transfer.report_sequence);
    if (leader_ || transfer.term != member_.term() || transfer.transfers <= member_.transfers() ||
        !report_sent) {
        return;
    }
    const auto now = hooks_.now();
    const auto store_confirmed =
        *report_sent - assignment::with_drift(transfer.store_silence, times_.drift_permille);
    row_version_ = transfer.row_version;
    row_known_ = true;
    requested_claim_term_ = 0;
    leader_ = std::make_unique<assignment::leader>(
        times_, assignment::leader_identity{self_.node, self_.host, self_.address}, transfer, now,
        store_confirmed);
    leader_->set_sharded(sharded_);
    leader_->set_evacuated_zones(evacuations_.zones());
    leader_->set_cold_rates(cold_rates_);
    leader_->set_longest_work(longest_work_);
    leader_->set_store_returns(store_era_.has_value());
    member_.on_notice(now, leader_->make_notice(now));
    hooks_.log("leading", {{"term", transfer.term}, {"transfers", transfer.transfers}});
    announce_leadership(transfer.recorded.members);
    process_outputs();
}

void coordination::announce_leadership(
    const std::vector<assignment::leader_record::member>& members)
{
    const auto notice = leader_->make_notice(hooks_.now());
    for (const auto& member : members) {
        if (member.node != self_.node) {
            hooks_.send(member.address, {}, notice);
        }
    }
}

void coordination::leave()
{
    leaving_ = true;
    member_.leave();
    process_outputs();
    transfer_leadership(hooks_.now());
}

// Passes the leadership on if this leader is stopping. Otherwise keys would have to wait until the
// other nodes detect that the leader is silent, and until the store accepts a claim.
void coordination::transfer_leadership(time_point now)
{
    if (!leaving_ || leader_ == nullptr) {
        return;
    }
    if (leader_->is_store_silent(now) && transfer_term(now)) {
        return;
    }
    if (now >= next_transfer_request_) {
        request_claim(now);
    }
}

// Transfers the term to a successor without the store.
bool coordination::transfer_term(time_point now)
{
    auto transfer = leader_->make_transfer(now);
    if (!transfer) {
        return false;
    }
    auto& content = transfer->content;
    content.row_version = row_version_;
    hooks_.log(
        "leader_transfers",
        {{"term", content.term}, {"transfers", content.transfers}, {"to", transfer->address}});
    step_down("the term was transferred");
    member_.on_notice(now, {content.term, content.transfers, transfer->to, transfer->address, 0});
    unconfirmed_transfer_ = std::move(transfer);
    next_transfer_repeat_ = now;
    repeat_transfer(now);
    return true;
}

// Only the first receiver may get the transfer again: another node cannot know whether it leads.
void coordination::repeat_transfer(time_point now)
{
    if (unconfirmed_transfer_ && now >= next_transfer_repeat_) {
        next_transfer_repeat_ = now + transfer_repeat_interval;
        hooks_.send(unconfirmed_transfer_->address, unconfirmed_transfer_->to,
                    unconfirmed_transfer_->content);
    }
}

// Asks the node with the largest processor share among the other nodes to claim the next term.
void coordination::request_claim(time_point now)
{
    const assignment::node_record* next = nullptr;
    for (const auto& node : leader_->view().nodes) {
        const bool asked = std::find(asked_successors_.begin(), asked_successors_.end(),
                                     node.node) != asked_successors_.end();
        if (node.node != self_.node && !asked && !node.is_leaving() &&
            (next == nullptr || node.cpu_millicores > next->cpu_millicores)) {
            next = &node;
        }
    }
    next_transfer_request_ = now + leadership_transfer_timeout;
    if (next == nullptr) {
        asked_successors_.clear();
        return;
    }
    asked_successors_.push_back(next->node);
    hooks_.log("leader_hands_over", {{"term", leader_->view().term}, {"to", next->host}});
    hooks_.send(next->address, next->node, assignment::lead_request{leader_->view().term});
}

void coordination::on_tick()
{
    const auto now = hooks_.now();
    note_tick(now);
    member_.on_tick(now);
    if (leader_) {
        leader_->on_tick(now);
        send_leader_outputs(now);
        log_summary(now);
        log_evacuation();
        log_balance_rounds();
        renew_term(now);
        transfer_leadership(now);
    }
    else {
        repeat_transfer(now);
        seek_leader(now);
    }
    process_outputs();
}

// Sends the report, grants and releases that are due after an event, and signals a new directory.
void coordination::process_outputs()
{
    if (std::exchange(processing_outputs_, true)) {
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
    processing_outputs_ = false;
    log_own_lease();
    const auto& view = member_.view();
    if (view.term != notified_term_ || view.version != notified_version_) {
        notified_term_ = view.term;
        notified_version_ = view.version;
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
        // A leader that has not answered yet gets the knowledge with each report.
        const bool is_leader_behind =
            informed_leader_ != due->leader || evacuations_.version() > leader_evacuations_version_;
        due->body.evacuations_version = evacuations_.version();
        if (evacuations_.version() != store_version{} && is_leader_behind) {
            due->body.evacuations = {evacuations_.snapshot(now)};
        }
        hooks_.send(due->address, due->leader, due->body);
        return;
    }
    auto reply = leader_->on_report(now, self_.node, due->body);
    reply.manifest_version = manifest_version_;
    member_.on_reply(now, reply);
    send_leader_outputs(now);
}

// Sends the directory changes and confirmation requests that are due, and writes the leader's
// record if a write is due.
void coordination::send_leader_outputs(time_point now)
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
    if (const auto notices = leader_->take_notices(now)) {
        for (const auto& address : notices->addresses) {
            hooks_.send(address, {}, notices->notice);
        }
    }
    if (is_term_outdated()) {
        return;
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
                                {"old_leases_ms", state.old_leases.count()},
                                {"longest_lease_ms", state.longest_lease.count()},
                                {"keys_to_evacuate", leader_->keys_to_evacuate()}});
}

// Logs when keys begin to leave evacuated zones and when the last has left.
void coordination::log_evacuation()
{
    const auto keys = leader_ == nullptr ? 0 : leader_->keys_to_evacuate();
    if ((keys > 0) != std::exchange(evacuating_keys_, keys > 0)) {
        hooks_.log(keys > 0 ? "evacuation_keys_moving" : "evacuation_keys_moved", {{"keys", keys}});
    }
}

void coordination::log_balance_rounds()
{
    constexpr double percent = 100;
    for (const auto& round : leader_->take_balance_rounds()) {
        journal::fields details{{"service", round.service},
                                {"ranges", round.ranges},
                                {"load_in_motion_percent", percent * round.share_in_motion}};
        for (std::size_t i = 0; i < round.moves.size(); ++i) {
            key_moves_[i] += round.moves[i];
            details[assignment::move_cause_names[i]] = round.moves[i];
        }
        hooks_.log("keys_move", details);
    }
}

// Sends directory changes to the other members and applies them to this node's own member.
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
    hooks_.write_record({row_version_, {}, to_text(record)},
                        [this, now, term = record.term, beat = record.beat](store_outcome outcome,
                                                                            store_version version) {
                            if (leader_ && leader_->view().term == term) {
                                on_record_written(now, beat, outcome, version);
                            }
                            process_outputs();
                        });
}

void coordination::on_record_written(time_point sent, std::uint64_t beat, store_outcome outcome,
                                     store_version version)
{
    if (outcome == store_outcome::done) {
        row_version_ = version;
        leader_->on_record_result(sent, true);
        return;
    }
    hooks_.log("record_not_written", {{"term", leader_->view().term},
                                      {"beat", beat},
                                      {"era", row_version_.era()},
                                      {"row_version", row_version_.number()},
                                      {"outcome", to_text(outcome)}});
    if (outcome == store_outcome::conflict) {
        // The row was changed by another leader, or by an earlier write of this node whose answer
        // was lost.
        unresolved_beat_ = beat;
        unresolved_beat_sent_ = sent;
        read_record();
        return;
    }
    leader_->on_record_result(sent, false);
}

// Reads the leader's record if no leader is known or the leader's answer is overdue.
void coordination::seek_leader(time_point now)
{
    if (member_.term() != 0 && now - member_.leader_heard() >= silence_before_probe) {
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

// Returns the delay of this node's claim. The delay grows with the number of live hosts that are
// preferred to this host as the next leader, so that those hosts claim first.
milliseconds coordination::claim_delay() const
{
    const auto preferred_hosts = static_cast<milliseconds::rep>(member_.count_preferred_hosts());
    return std::min(times_.claim_stagger * preferred_hosts, times_.max_claim_stagger);
}

void coordination::read_record()
{
    if (std::exchange(reading_, true)) {
        return;
    }
    hooks_.read_record([this](store_outcome outcome, const leader_rows& rows) {
        reading_ = false;
        on_record_read(outcome, rows);
        process_outputs();
    });
}

// The write of the record whose outcome was unknown was not executed. The leader writes again.
void coordination::retry_record_write()
{
    if (leader_ && std::exchange(unresolved_beat_, 0) != 0) {
        leader_->on_record_result(unresolved_beat_sent_, false);
    }
}

void coordination::on_record_read(store_outcome outcome, const leader_rows& rows)
{
    const auto now = hooks_.now();
    next_read_ = now + record_read_pause;
    // A peer may know of a later era than the answer.
    if (outcome != store_outcome::done ||
        (store_era_ && rows.version.era() < assignment::era_of_term(member_.term()))) {
        retry_record_write();
        return;
    }
    const bool is_current = rows.version.number() != 0;
    std::optional<assignment::leader_record> record;
    if (is_current || !rows.earlier.empty()) {
        try {
            record = parse_leader_record(is_current ? rows.value : rows.earlier.back().value);
        }
        catch (const parse_error& failure) {
            hooks_.log("record_unreadable", {{"cause", failure.what()}});
            // The write that met this record was not executed. It is repeated, so that this leader
            // goes on once the record is readable again.
            retry_record_write();
            return;
        }
    }
    // After a long time without reads it is unknown whether the leader rewrote the record in
    // between, so its silence is measured from this read on.
    const bool watched = now - last_read_ < times_.record_silence * 2;
    last_read_ = now;
    if (!row_known_ || rows.version != row_version_ || !watched) {
        record_changed_ = now;
    }
    row_known_ = true;
    row_version_ = rows.version;
    earlier_rows_ = rows.earlier;
    is_record_current_ = is_current;
    record_ = record;
    if (leader_ && resume_leading(now, record ? &*record : nullptr)) {
        return;
    }
    if (unresolved_claim_ && is_current && record->leader == self_.node &&
        record->term == unresolved_claim_->term) {
        on_claimed(unresolved_claim_sent_, *record);
        return;
    }
    if (record && record->leader != self_.node) {
        member_.on_leader(now, record->term, record->leader, record->address);
    }
    consider_claim(now, record ? &*record : nullptr);
}

// Returns false if this node leads no more, because another node claimed a later term.
bool coordination::resume_leading(time_point now, const assignment::leader_record* record)
{
    if (is_record_current_ && record->term == leader_->view().term) {
        // This node still leads, so the record was changed by an earlier write of this node, or of
        // the node that transferred the term. The write that ended in a conflict was not executed.
        retry_record_write();
        return true;
    }
    if (!is_record_current_ && is_term_outdated()) {
        if (!leaving_) {
            claim(now, record);
        }
        return true;
    }
    step_down("another node claimed a later term");
    return false;
}

// Claims the next term in any of four cases: the leader neither rewrites its record nor answers
// reports; the leader asked this node to claim; the recorded leader is an earlier process of this
// host; or there is no record and the delay of the first claim is over. A record of an earlier era
// is rewritten by nobody, so only the reports and the delay count then. Otherwise sets the time
// of the next read. If the record has been unchanged for `timing::record_silence`, that time stays
// `record_read_pause` after the last read.
void coordination::consider_claim(time_point now, const assignment::leader_record* record)
{
    if (!is_record_current_ && !first_claim_time_) {
        const double mean = first_claim_delay_ms * millicores_per_core /
                            std::max<double>(self_.cpu_millicores, min_cpu_millicores);
        std::uniform_real_distribution<double> wait(mean / 2, mean * 3 / 2);
        first_claim_time_ = now + milliseconds{std::lround(wait(random_))};
    }
    // The recorded leader of this host has ended, unless it transferred its term to a live leader.
    const bool is_led = record != nullptr && member_.term() == record->term &&
                        member_.transfers() > 0 && !member_.is_leader_silent(now);
    const bool own_host =
        record != nullptr && record->host == self_.host && record->leader != self_.node && !is_led;
    // A record of an earlier era may be older than the term whose leader asked.
    const bool asked =
        requested_claim_term_ != 0 &&
        (is_record_current_ ? record->term == requested_claim_term_
                            : record == nullptr || record->term <= requested_claim_term_);
    const bool silent = member_.is_leader_silent(now - claim_delay());
    if (!is_record_current_ && !own_host && !asked && now < *first_claim_time_) {
        next_read_ = *first_claim_time_;
        return;
    }
    const bool unchanged = !is_record_current_ || now - record_changed_ >= times_.record_silence;
    if (record == nullptr || own_host || asked || (silent && unchanged)) {
        hooks_.log(
            "claiming",
            {{"after_term", record == nullptr ? 0 : record->term},
             {"era", row_version_.era()},
             {"is_record_current", is_record_current_},
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
    const assignment::leader_record next = make_claim(record);
    unresolved_claim_ = next;
    unresolved_claim_sent_ = now;
    hooks_.write_record({row_version_, earlier_rows_, to_text(next)},
                        [this, now, next](store_outcome outcome, store_version version) {
                            claiming_ = false;
                            if (outcome == store_outcome::done) {
                                row_version_ = version;
                                on_claimed(now, next);
                            }
                            else if (outcome == store_outcome::unavailable) {
                                unresolved_claim_.reset();
                                next_read_ = hooks_.now() + record_read_pause;
                            }
                            else {
                                // Read the record to find out who leads.
                                read_record();
                            }
                        });
}

// Returns the record of the next term, in the era of the last read. A record of an earlier era may
// be older than the last one that was written, so any node may have led since, under a lease of any
// length. Such a leader acted on the store's confirmation before the store came back, or on the
// acknowledgements of a majority of the members in this record (see `leader::confirmed_at`).
assignment::leader_record coordination::make_claim(const assignment::leader_record* record) const
{
    const bool may_lack_leader = !is_record_current_ && row_version_.era() != 0;
    assignment::leader_record next;
    next.term = std::max({record == nullptr ? 0 : record->term, member_.term(),
                          assignment::term_base(row_version_.era())}) +
                1;
    next.beat = 0;
    next.leader = self_.node;
    next.host = self_.host;
    next.address = self_.address;
    next.members.push_back({self_.node, self_.host, self_.address});
    next.longest_lease = times_.lease;
    for (const auto& [service, work] : longest_work_) {
        next.longest_lease = std::max(next.longest_lease, assignment::lease_length(times_, work));
    }
    if (record == nullptr) {
        if (may_lack_leader) {
            next.earlier.push_back({{}, {}, {}, next.longest_lease});
        }
        return next;
    }
    next.earlier = record->earlier;
    assignment::leader_record::earlier_leader previous{
        record->host, record->members, {}, record->longest_lease};
    if (may_lack_leader) {
        previous.host.clear();
        previous.longest_lease = times_.longest_lease;
    }
    for (const auto& member : record->members) {
        if (std::find(record->successors.begin(), record->successors.end(), member.node) !=
            record->successors.end()) {
            previous.successors.push_back(member.host);
        }
    }
    next.earlier.push_back(std::move(previous));
    // Include the members of the previous term, because they confirm this term until the new
    // leader knows which of them are alive.
    for (const auto& member : record->members) {
        if (member.host != self_.host) {
            next.members.push_back(member);
        }
    }
    if (may_lack_leader) {
        add_known_members(next);
    }
    return next;
}

// Adds the nodes of this node's directory whose hosts the record does not name.
void coordination::add_known_members(assignment::leader_record& record) const
{
    for (const auto& node : member_.view().nodes) {
        if (std::none_of(record.members.begin(), record.members.end(),
                         [&](const auto& member) { return member.host == node.host; })) {
            record.members.push_back({node.node, node.host, node.address});
        }
    }
}

void coordination::on_claimed(time_point sent, const assignment::leader_record& claimed)
{
    const auto now = hooks_.now();
    assignment::term_start start;
    start.term = claimed.term;
    start.claimed = now;
    start.claim_sent = sent;
    start.recorded = claimed.members;
    start.longest_lease = claimed.longest_lease;
    start.earlier = claimed.earlier;
    unresolved_claim_.reset();
    if (leader_) {
        step_down("the store came back from an older copy");
    }
    leader_ = std::make_unique<assignment::leader>(
        times_, assignment::leader_identity{self_.node, self_.host, self_.address},
        std::move(start));
    leader_->set_sharded(sharded_);
    leader_->set_evacuated_zones(evacuations_.zones());
    leader_->set_cold_rates(cold_rates_);
    leader_->set_longest_work(longest_work_);
    leader_->set_store_returns(store_era_.has_value());
    member_.on_leader(now, claimed.term, self_.node, self_.address);
    hooks_.log("leading", {{"term", claimed.term}});
    requested_claim_term_ = 0;
    const assignment::leader_hint hint{claimed.term, self_.node, self_.address};
    for (const auto& member : claimed.members) {
        if (member.node != self_.node) {
            hooks_.send(member.address, {}, hint);
        }
    }
    process_outputs();
}

void coordination::step_down(const char* cause)
{
    hooks_.log("stopped_leading", {{"term", leader_->view().term}, {"cause", cause}});
    leader_.reset();
    evacuating_keys_ = false;
    acknowledged_replies_.clear();
    unresolved_beat_ = 0;
}

} // namespace bulrushgw::sidecar
