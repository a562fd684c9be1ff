#include <algorithm>
#include <utility>

#include "common/hash.h"
#include "common/wall_time.h"
#include "node/process.h"

namespace bulrushgw::node {

namespace {

// Each version takes one read of the store. The limit keeps a listing within the read budget of
// one node.
constexpr std::size_t max_history_reads = 50;
// An operator can assert that a member ended. The operator's request waits at most this long until
// this node knows a certificate of the end.
constexpr milliseconds end_recording_timeout{8000};
constexpr milliseconds end_poll_interval{100};

std::string_view text_of(ownership::member_state state)
{
    switch (state) {
    case ownership::member_state::joining:
        return "joining";
    case ownership::member_state::active:
        return "active";
    case ownership::member_state::leaving:
        return "leaving";
    case ownership::member_state::ended:
        break;
    }
    return "ended";
}

operator_error store_failure(const store::reply& reply, const std::string& what)
{
    if (reply.result == store::status::not_found || reply.result == store::status::ok) {
        return {operator_failure::not_found, what + " does not exist"};
    }
    return {operator_failure::store_unavailable, "the store did not answer for " + what};
}

/// Collects the replies of several reads and calls `done` after the last one.
struct history_collection {
    std::vector<rules::version_record> found;
    std::size_t outstanding = 0; ///< reads without a reply, plus 1 while reads are being sent
    bool failed = false;
    completion<std::vector<rules::version_record>> done;

    void finish_one()
    {
        if (--outstanding > 0) {
            return;
        }
        if (failed && found.empty()) {
            done(operator_error{operator_failure::store_unavailable,
                                "the store did not answer for the history"});
            return;
        }
        std::sort(found.begin(), found.end(),
                  [](const auto& a, const auto& b) { return a.version > b.version; });
        done(std::move(found));
    }
};

} // namespace

operator_hooks process::make_operator_hooks()
{
    operator_hooks hooks;
    hooks.rules = [this] { return rules_in_force(); };
    hooks.history = [this](std::size_t most, completion<std::vector<rules::version_record>> done) {
        history(most, std::move(done));
    };
    hooks.rules_at = [this](std::uint64_t version, completion<rules_document> done) {
        rules_at(version, std::move(done));
    };
    hooks.submit = [this](rules::submission input,
                          std::function<void(rules::submission_result)> done) {
        submit(std::move(input), std::move(done));
    };
    hooks.owner = [this](const std::string& service, const std::string& key) {
        return owner_of(service, key);
    };
    hooks.hosts = [this] { return hosts(); };
    hooks.drain = [this](const drain_request& request, const completion<done_message>& done) {
        drain(request, done);
    };
    hooks.assert_ended = [this](const assert_ended_request& request,
                                completion<done_message> done) {
        assert_ended(request, std::move(done));
    };
    hooks.targets = [this] { return targets(); };
    hooks.audit = [this](const audit_query& wanted) { return audit_.query(wanted); };
    hooks.status = [this] { return status(); };
    hooks.metrics = [this] {
        update_metrics();
        return metrics_.text();
    };
    return hooks;
}

answer<rules_document> process::rules_in_force() const
{
    const auto current = rules_.current();
    if (!current) {
        return operator_error{operator_failure::not_found, "no rules have been accepted yet"};
    }
    rules_document document;
    try {
        document.record = rules::parse_record(rules_.current_record());
    }
    catch (const parse_error&) {
        // The text may come from a peer that relayed it without a valid record. Then only the
        // version and the digest are known.
        document.record.version = current->version;
        document.record.digest = current->digest;
    }
    document.text = current->text;
    document.possibly_stale = rules_.possibly_stale();
    return document;
}

void process::history(std::size_t most, completion<std::vector<rules::version_record>> done)
{
    const std::uint64_t newest = rules_.versions().newest_known();
    const std::size_t count = std::min<std::size_t>({most, newest, max_history_reads});
    auto collection = std::make_shared<history_collection>();
    collection->done = std::move(done);
    collection->outstanding = count + 1;
    for (std::size_t step = 0; step < count; ++step) {
        store_.call(store::read_row{rules::history_row(newest - step)},
                    store::priority::interactive, [collection](const store::reply& reply) {
                        if (reply.result == store::status::ok && !reply.rows.empty()) {
                            try {
                                collection->found.push_back(
                                    rules::parse_record(reply.rows.front().value));
                            }
                            catch (const parse_error&) {
                                collection->failed = true;
                            }
                        }
                        else {
                            collection->failed = true;
                        }
                        collection->finish_one();
                    });
    }
    collection->finish_one();
}

void process::rules_at(std::uint64_t version, completion<rules_document> done)
{
    const std::string what = "rules version " + std::to_string(version);
    store_.call(
        store::read_row{rules::history_row(version)}, store::priority::interactive,
        [this, what, done = std::move(done)](const store::reply& row) {
            if (row.result != store::status::ok || row.rows.empty()) {
                done(store_failure(row, what));
                return;
            }
            rules::version_record record;
            try {
                record = rules::parse_record(row.rows.front().value);
            }
            catch (const parse_error& failure) {
                done(operator_error{operator_failure::refused, what + ": " + failure.what()});
                return;
            }
            store_.call(store::get_object{record.object}, store::priority::interactive,
                        [what, record, done](const store::reply& object) {
                            if (object.result != store::status::ok) {
                                done(store_failure(object, what));
                                return;
                            }
                            done(rules_document{record, object.bytes, false});
                        });
        });
}

void process::submit(rules::submission input, std::function<void(rules::submission_result)> done)
{
    const std::string who = input.who;
    input.when = rfc3339(std::chrono::system_clock::now());
    rules_.submit(std::move(input), [this, who, done = std::move(done)](
                                        const rules::submission_result& result) {
        const bool accepted = result.status == rules::submission_status::accepted;
        if (result.status != rules::submission_status::repeated) {
            audit_record record;
            record.at = std::chrono::system_clock::now();
            record.who = who;
            record.kind = accepted ? audit_kind::rules_change : audit_kind::rules_refused;
            record.cause =
                accepted ? "version " + std::to_string(result.record->version) : result.message;
            audit_.record(std::move(record));
        }
        done(result);
    });
}

answer<key_owner> process::owner_of(const std::string& service, const std::string& key) const
{
    const ownership::engine& engine = ownership_.engine();
    const auto placed = engine.placement_of(service);
    if (!placed || placed->ranges == 0) {
        return operator_error{operator_failure::not_found,
                              "service \"" + service + "\" is not a keyed service with members"};
    }
    key_owner owner;
    owner.service = service;
    owner.key = key;
    owner.range = range_of(key, placed->ranges);
    const auto view = engine.owner_of(service, owner.range);
    owner.version = view.version;
    owner.owner = view.owner;
    owner.reason = view.reason;
    owner.token.value = (view.version.value << fence_position_bits) | view.position;
    owner.candidates = ownership::candidates(placed->current, service, owner.range);
    if (const auto* member = engine.find_member(view.owner)) {
        owner.host = member->host;
        owner.zone = member->zone;
        owner.address = member->client_address;
    }
    return owner;
}

std::vector<host_info> process::hosts() const
{
    std::vector<host_info> rows;
    for (const auto& member : ownership_.engine().members()) {
        host_info row;
        row.incarnation = member.incarnation;
        row.host = member.host;
        row.zone = member.zone;
        row.region = member.region;
        row.address = member.client_address;
        row.service = member.service;
        row.state = text_of(member.state);
        row.slots = member.slots;
        row.checks_fences = member.checks_fences;
        row.adopted = member.adopted.value;
        row.witnesses = member.witnesses;
        row.ended_by = member.ended_by;
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<target_info_row> process::targets() const
{
    const auto& target = gateway_.target();
    if (!target) {
        return {};
    }
    target_info_row row;
    row.host = settings_.host;
    row.service = target->service;
    row.address = net::to_string(target->address);
    row.slots = target->slots;
    row.connections = target->connections;
    row.in_flight = static_cast<std::uint32_t>(gateway_.in_flight());
    row.queued = static_cast<std::uint32_t>(gateway_.queued());
    row.ready = target->load.ready && !gateway_.is_silent();
    row.draining = target->load.draining;
    row.checks_fences = target->checks_fences;
    row.run_id = target->run_id;
    return {row};
}

node_status process::status() const
{
    const time_point now = loop_.now();
    const ownership::engine& engine = ownership_.engine();
    node_status out;
    out.incarnation = engine.self();
    out.host = settings_.host;
    out.zone = settings_.zone;
    out.region = settings_.region;
    out.service = gateway_.target() ? gateway_.target()->service : "";
    const auto end = engine.lease_end(now);
    out.lease_running = end.has_value();
    if (end) {
        out.lease_left = std::chrono::duration_cast<milliseconds>(*end - now);
    }
    out.store_up = store_.client().is_store_up();
    out.rules_version = rules_.current() ? rules_.current()->version : 0;
    out.rules_possibly_stale = rules_.possibly_stale();
    for (const auto& [service, ranges] : served_) {
        out.ranges_served += ranges.size();
    }
    out.in_flight = gateway_.in_flight();
    out.queued = gateway_.queued();
    for (const auto& member : engine.members()) {
        const bool ended = member.state == ownership::member_state::ended;
        (ended ? out.members_ended : out.members_alive) += 1;
    }
    const auto live = engine.live_members(out.service);
    const bool member = std::find(live.begin(), live.end(), out.incarnation) != live.end();
    if (ownership_.is_leaving()) {
        out.state = "leaving";
        out.reason = stop_cause_.value_or("");
    }
    else if (!gateway_.target()) {
        out.state = "not-serving";
        out.reason = "no target has announced itself";
    }
    else if (!rules_.current()) {
        // Other nodes may add this node to the placement before it has received the rules. Until it
        // receives them, this node rejects client requests.
        out.state = "joining";
        out.reason = "no rules are in force here yet";
    }
    else if (!member) {
        out.state = "joining";
        out.reason = out.lease_running ? "not in the placement yet" : "the lease does not run yet";
    }
    else {
        out.state = out.lease_running ? "serving" : "not-serving";
        out.reason = out.lease_running ? "" : "the lease does not run";
    }
    out.uptime = std::chrono::duration_cast<milliseconds>(now - started_);
    out.build_version = BULRUSHGW_VERSION;
    return out;
}

void process::drain(const drain_request& request, const completion<done_message>& done)
{
    const incarnation_id self = ownership_.engine().self();
    if (request.incarnation && *request.incarnation != self) {
        done(operator_error{operator_failure::refused,
                            "this node is incarnation " + to_string(self) +
                                "; send the request to the host that is to be drained"});
        return;
    }
    audit_record record;
    record.at = std::chrono::system_clock::now();
    record.kind = audit_kind::drain;
    record.subject = self;
    record.who = request.who;
    audit_.record(std::move(record));
    log_event event;
    event.kind = event_kind::drain_requested;
    event.cause = request.who;
    log_.write(loop_.now(), event);
    begin_leave("drain requested by " + request.who);
    done(done_message{"the host hands its ranges over and then stops"});
}

void process::assert_ended(const assert_ended_request& request, completion<done_message> done)
{
    const ownership::engine& engine = ownership_.engine();
    if (!request.switched_off) {
        done(operator_error{operator_failure::bad_request,
                            "confirm that the host is switched off: a running host with an "
                            "asserted end could serve beside its successor"});
        return;
    }
    if (engine.find_member(request.incarnation) == nullptr) {
        done(operator_error{operator_failure::not_found,
                            "incarnation " + to_string(request.incarnation) + " is not known"});
        return;
    }
    if (request.incarnation == engine.self()) {
        done(operator_error{operator_failure::refused, "this is the node that answers"});
        return;
    }
    audit_record record;
    record.at = std::chrono::system_clock::now();
    record.kind = audit_kind::end_asserted;
    record.subject = request.incarnation;
    record.who = request.who;
    audit_.record(std::move(record));
    log_event event;
    event.kind = event_kind::end_asserted;
    event.subject = request.incarnation;
    event.cause = request.who;
    log_.write(loop_.now(), event);
    ownership_.assert_ended(request.incarnation, request.who);
    await_end(request.incarnation, loop_.now() + end_recording_timeout, std::move(done));
}

void process::await_end(incarnation_id id, time_point give_up, completion<done_message> done)
{
    const auto known_certificates = ownership_.engine().certificates();
    const bool ended =
        std::any_of(known_certificates.begin(), known_certificates.end(),
                    [&](const auto& certificate) { return certificate.holder == id; });
    if (ended) {
        done(done_message{"the end of " + to_string(id) + " is recorded"});
    }
    else if (loop_.now() >= give_up) {
        done(operator_error{operator_failure::outcome_unknown,
                            "the end is not confirmed yet; see the audit trail, and repeat"});
    }
    else {
        loop_.after(end_poll_interval,
                    [this, id, give_up, done = std::move(done)] { await_end(id, give_up, done); });
    }
}

void process::update_metrics()
{
    const time_point now = loop_.now();
    const ownership::engine& engine = ownership_.engine();
    const auto set = [this](metric id, double value) { metrics_.value(id).set(value); };
    const auto end = engine.lease_end(now);
    set(metric::lease_seconds, end ? std::chrono::duration<double>(*end - now).count() : 0);
    set(metric::in_flight, static_cast<double>(gateway_.in_flight()));
    set(metric::queued, static_cast<double>(gateway_.queued()));
    set(metric::client_connections, static_cast<double>(client_server_->connections()));
    set(metric::target_ready, gateway_.target() && !gateway_.is_silent() ? 1 : 0);
    set(metric::rules_version,
        static_cast<double>(rules_.current() ? rules_.current()->version : 0));
    set(metric::rules_stale, rules_.possibly_stale() ? 1 : 0);
    const auto& calls = store_.client().counters();
    set(metric::store_up, store_.client().is_store_up() ? 1 : 0);
    set(metric::store_pending, static_cast<double>(store_.client().pending()));
    metrics_.value(metric::store_calls, {"read"}).set(static_cast<double>(calls.reads_sent));
    metrics_.value(metric::store_calls, {"write"}).set(static_cast<double>(calls.writes_sent));
    metrics_.value(metric::store_failures, {"lost"}).set(static_cast<double>(calls.answers_lost));
    metrics_.value(metric::store_failures, {"not-sent"}).set(static_cast<double>(calls.not_sent));
    metrics_.value(metric::store_failures, {"server-error"})
        .set(static_cast<double>(calls.server_errors));
    metrics_.value(metric::store_failures, {"malformed"}).set(static_cast<double>(calls.malformed));
    metrics_.value(metric::store_failures, {"unresolved"})
        .set(static_cast<double>(calls.unresolved));
    const auto& frames = transport_->counters();
    metrics_.value(metric::peer_frames, {"sent"}).set(static_cast<double>(frames.frames_sent));
    metrics_.value(metric::peer_frames, {"received"})
        .set(static_cast<double>(frames.frames_received));
    metrics_.value(metric::peer_bytes, {"sent"}).set(static_cast<double>(frames.bytes_sent));
    metrics_.value(metric::peer_bytes, {"received"})
        .set(static_cast<double>(frames.bytes_received));
    set(metric::peer_refused, static_cast<double>(frames.frames_refused));
    set(metric::peer_broken, static_cast<double>(frames.frames_broken));
    const auto& forwards = entry_.counters();
    metrics_.value(metric::forwards, {"sent"}).set(static_cast<double>(forwards.sent));
    metrics_.value(metric::forwards, {"not-owner"}).set(static_cast<double>(forwards.not_owner));
    metrics_.value(metric::forwards, {"broken"}).set(static_cast<double>(forwards.broken));
    set(metric::stray_answers, static_cast<double>(forwards.late + forwards.mismatched));
    const auto& repeats = gateway_.duplicate_counters();
    metrics_.value(metric::duplicates, {"record"}).set(static_cast<double>(repeats.replayed));
    metrics_.value(metric::duplicates, {"in-progress"})
        .set(static_cast<double>(repeats.in_progress));
    metrics_.value(metric::duplicates, {"history-lost"})
        .set(static_cast<double>(repeats.history_lost));
    set(metric::audit_dropped, static_cast<double>(audit_.dropped()));
    set(metric::log_suppressed, static_cast<double>(log_.suppressed()));
    for (const auto& [service, ranges] : served_) {
        metrics_.value(metric::ranges_served, {service}).set(static_cast<double>(ranges.size()));
        metrics_.value(metric::placement_version_known, {service})
            .set(static_cast<double>(engine.version_of(service).value));
    }
    std::map<std::string_view, double> states;
    for (const auto& member : engine.members()) {
        states[text_of(member.state)] += 1;
    }
    for (const auto state : {"joining", "active", "leaving", "ended"}) {
        metrics_.value(metric::members, {state}).set(states[state]);
    }
}

} // namespace bulrushgw::node
