#include "sidecar/process.h"

#include <algorithm>
#include <array>
#include <unistd.h>
#include <utility>

#include "routing/work_bounds.h"
#include "sidecar/peer_dictionary.h"

namespace bulrushgw::sidecar {

namespace {

/// Timeout of a grant. A grant without an answer is sent again.
constexpr milliseconds grant_timeout{250};
/// The target answers a release once its running requests for the keys have ended.
constexpr milliseconds release_timeout{1500};
/// A grant that waits longer than this for a connection is not sent. This must stay below
/// `timing::hold_margin`, the bound on the delay of a grant until it arrives at the target.
constexpr milliseconds max_grant_write_delay{20};
/// A connection on which a peer acknowledges no data for this time is closed, so that a broken
/// connection delays only a few requests.
constexpr milliseconds peer_stall_timeout{700};
/// Idle timeout of client connections until a manifest sets another one.
constexpr milliseconds default_idle_timeout{60000};
/// Added to the manifest's idle timeout, so that the server rarely closes a connection while a
/// client sends a request on it.
constexpr milliseconds idle_margin{1000};
/// Descriptors reserved for files, peers, the target and the store; clients get the others.
constexpr std::size_t reserved_descriptors = 500;
/// Time for a last message to be sent before its connection is reset.
constexpr milliseconds reset_delay{30};
/// Time for the last answers to be delivered before the exit. It is below the margin that
/// `planned_stop` leaves until the platform kills the process.
constexpr milliseconds max_delivery_time{300};
/// Minimum time between two requests to peers for the text of a manifest.
constexpr milliseconds min_pull_interval{200};
constexpr milliseconds journal_interval{200};
/// Interval of the "state" log line.
constexpr milliseconds state_interval{2000};
/// An exception from a handler loses only the message that was being handled. With more exceptions
/// than `max_recent_errors` within `error_window` the process does no useful work: it exits, and
/// the platform restarts it.
constexpr std::uint64_t max_recent_errors = 100;
constexpr milliseconds error_window{10000};
constexpr int exit_failure = 1;
/// Interval of the "traffic" log line.
constexpr milliseconds traffic_interval{10000};
constexpr double millicores_per_core = 1000;
/// Share of the process's memory that unfinished frames of peers may take: one in this many bytes.
constexpr std::size_t memory_per_unfinished_frames = 8;
constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;
constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_not_found = 404;
constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

net::peer_limits make_peer_limits(const platform_protocol& protocol,
                                  std::shared_ptr<net::memory_budget> budget,
                                  std::size_t memory_bytes)
{
    net::peer_limits limits;
    limits.budget = std::move(budget);
    limits.stall_timeout = peer_stall_timeout;
    limits.max_unfinished_bytes = memory_bytes / memory_per_unfinished_frames;
    limits.compress = true;
    limits.dictionary = make_peer_dictionary(protocol.names);
    return limits;
}

dispatch::allowance_settings retry_settings_of(const sidecar_bounds& bounds)
{
    dispatch::allowance_settings result;
    result.ratio = bounds.retry_ratio;
    result.slack = bounds.retry_slack;
    result.window = bounds.retry_window;
    return result;
}

wire::forward_reply refusal_of(const wire::forward& request, request::reason why)
{
    wire::forward_reply reply;
    reply.number = request.number;
    reply.request_id = request.request_id;
    reply.outcome = wire::forward_outcome::not_run;
    reply.reason = request::to_text(why);
    return reply;
}

bool is_printable_ascii(char letter)
{
    return letter >= ' ' && letter <= '~';
}

net::http_response json_response(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

} // namespace

process::process(std::string file, const platform_protocol& protocol)
    : file_(std::move(file)), settings_(load_settings(file_)), protocol_(protocol),
      random_(random_seed()), self_{random_() | 1},
      journal_(settings_.host, descriptor_sink(STDOUT_FILENO)),
      watch_({settings_.bounds.drain}, settings_.service, net::to_string(settings_.target)),
      warm_up_(loop_.now()), store_(make_store()), budget_(make_budget(settings_.memory_mb)),
      gate_(make_gate()), intake_(make_intake()), coordination_(make_coordination()),
      entry_(make_entry()), peer_check_(make_peer_check())
{
    journal_.set_incarnation(self_);
    coordination_.set_target_confirmed(target_confirmed_);
    return_freed_memory();
    listen();
}

store_session process::make_store()
{
    store_session::hooks hooks;
    hooks.on_manifest = [this](const std::string& text) { on_manifest(text); };
    hooks.on_evacuations = [this](const routing::evacuation_rows& rows, bool is_read) {
        coordination_.on_evacuation_rows(rows, is_read);
    };
    hooks.on_era = [this](std::uint64_t era) { coordination_.on_store_era(era); };
    hooks.on_state = [this](bool up, const std::string& cause) {
        log(up ? "store_regained" : "store_lost", {{"cause", cause}});
    };
    return {loop_, settings_.store, protocol_, random_(), std::move(hooks)};
}

gate process::make_gate()
{
    gate::hooks hooks;
    hooks.may_serve = [this](const std::string& service, std::uint32_t key) {
        return coordination_.member().may_serve(loop_.now(), service, key);
    };
    hooks.covers_work = [this](const std::string& service, std::uint32_t key, milliseconds work) {
        return coordination_.covers_work(service, key, work);
    };
    hooks.on_target_changed = [this] {
        on_target_changed();
        check_target();
    };
    hooks.on_identified = [this](std::uint64_t session, const std::string& target_id) {
        on_identified(session, target_id);
    };
    hooks.on_failure = [this](const wire::forward& request, request::reason why,
                              const std::string& cause) {
        log("target_request_failed", {{"request", request.request_id},
                                      {"route", request.route},
                                      {"key", request.key},
                                      {"reason", request::to_text(why)},
                                      {"cause", cause},
                                      {"target", watch_.status().id},
                                      {"slots", watch_.status().slots},
                                      {"load", gate_.load()},
                                      {"left_ms", request.deadline.count()}});
    };
    return {loop_, settings_.target, protocol_, watch_, std::move(hooks)};
}

forward_intake process::make_intake()
{
    forward_intake::hooks hooks;
    hooks.now = [this] { return loop_.now(); };
    hooks.run = [this](request_key key, wire::forward request, gate::completion done) {
        gate_.run(key, std::move(request), std::move(done));
    };
    hooks.run_later = [this](request_key key, wire::forward request, gate::completion done) {
        gate_.run_later(key, std::move(request), std::move(done));
    };
    hooks.cancel = [this](request_key key) { return gate_.cancel(key); };
    hooks.expected_refusal = [this](const wire::forward& request) {
        return gate_.refusal_for(request);
    };
    hooks.load = [this] { return gate_.load(); };
    hooks.expected_work = [this](const wire::forward& request) {
        return gate_.expected_work(request);
    };
    hooks.send = [this](const std::string& address, incarnation_id to, const wire::body& content) {
        return send(address, to, content);
    };
    hooks.call_on_rate_after = [this](milliseconds time) {
        loop_.after(time, [this] { intake_.on_rate(); });
    };
    hooks.log = [this](std::string_view event, const journal::fields& details) {
        log(event, details);
    };
    return {budget_, settings_.link_mbps, std::move(hooks)};
}

coordination process::make_coordination()
{
    coordination::hooks hooks;
    hooks.now = [this] { return loop_.now(); };
    hooks.send = [this](const std::string& address, incarnation_id to, const wire::body& content) {
        send(address, to, content);
    };
    hooks.grant = [this](const assignment::grant_order& order) { grant(order); };
    hooks.release = [this](const assignment::release_order& order) { release(order); };
    hooks.on_directory = [this] { entry_.on_directory(); };
    hooks.read_record = [this](auto done) { store_.read_leader(std::move(done)); };
    hooks.write_record = [this](const leader_write& content, auto done) {
        store_.write_leader(content, std::move(done));
    };
    hooks.suspect = [this](const std::string& address, const std::string& cause) {
        peer_check_.suspect(address, cause);
    };
    hooks.on_peer_manifest = [this](const std::string& address, std::uint64_t version) {
        on_peer_manifest(address, version);
    };
    hooks.on_evacuations = [this](const routing::evacuations::changes& changes) {
        on_evacuations(changes);
    };
    hooks.log = [this](std::string_view event, const journal::fields& details) {
        log(event, details);
    };
    return {settings_.times,
            {self_, settings_.host, net::to_string(settings_.addresses.announced), settings_.zone,
             static_cast<std::uint32_t>(settings_.processor_share * millicores_per_core),
             loop_.now()},
            random_(),
            std::move(hooks)};
}

entry process::make_entry()
{
    entry_settings values;
    values.zone = settings_.zone;
    values.service = settings_.service;
    values.retries = retry_settings_of(settings_.bounds);
    values.regions = routing::zone_regions(settings_.regions);
    values.evacuation_grace = settings_.times.evacuation_grace;
    values.zones = settings_.zone_traffic;
    values.link_mbps = settings_.link_mbps;
    entry::hooks hooks;
    hooks.self = [this] { return self_; };
    hooks.member = [this]() -> const assignment::member& { return coordination_.member(); };
    hooks.evacuations = [this]() -> const routing::evacuations& {
        return coordination_.evacuations();
    };
    hooks.send = [this](const std::string& address, incarnation_id to, const wire::body& content) {
        return send(address, to, content);
    };
    hooks.run_locally = [this](request_key key, wire::forward request, gate::completion done) {
        intake_.run_local(key, std::move(request), std::move(done));
    };
    hooks.on_keyed_request = [this](const std::string& service, std::uint32_t key) {
        coordination_.on_keyed_request(service, key);
    };
    hooks.cancel_locally = [this](request_key key) { return intake_.cancel(key); };
    hooks.log = [this](std::string_view event, const journal::fields& details) {
        log(event, details);
    };
    hooks.suspect = [this](const std::string& address, const std::string& cause) {
        peer_check_.suspect(address, cause);
    };
    hooks.on_answer_time = [this](milliseconds time) { metrics_.answer_time.observe(time); };
    return {loop_, std::move(values), protocol_, random_(), std::move(hooks)};
}

peer_check process::make_peer_check()
{
    peer_check::hooks hooks;
    hooks.now = [this] { return loop_.now(); };
    hooks.send = [this](const std::string& address, const wire::body& content) {
        send(address, {}, content);
    };
    hooks.on_unresponsive = [this](const std::string& address, const std::string& cause) {
        // Data gets lost in one of the two directions, so both nodes reset their connections. The
        // peer does so when it receives this message, and this node does so after `reset_delay`,
        // once the message has been sent. The sidecar ignores the number in the message.
        send(address, {}, wire::no_replies{1});
        loop_.after(reset_delay, [this, address, cause] { reset_connection(address, cause); });
    };
    return peer_check(std::move(hooks));
}

void process::reset_connection(const std::string& address, const std::string& cause)
{
    log("connection_reset", {{"address", address}, {"cause", cause}});
    transport_->reset(address);
    entry_.on_connection_reset(address);
    intake_.on_connection_lost(address);
}

void process::listen()
{
    transport_ = std::make_unique<net::peer_transport>(
        loop_, settings_.addresses.inner, [this](const wire::frame& frame) { on_frame(frame); },
        [this](const std::string& address, std::optional<time_point> unsent_since) {
            entry_.on_disconnect(address, unsent_since);
            intake_.on_connection_lost(address);
        },
        make_peer_limits(protocol_, budget_, settings_.memory_mb * bytes_per_mb));
    transport_->set_flow_hooks([this](const std::string& address) { entry_.on_drained(address); },
                               [this](incarnation_id peer) { intake_.on_sender_lost(peer); });
    auto limits = request_server_limits(budget_, protocol_, [this] { return routes_; });
    limits.request_timeout = default_idle_timeout;
    limits.max_connections = settings_.descriptors - reserved_descriptors;
    request_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.requests,
        [this](net::http_exchange exchange) {
            last_request_ = loop_.now();
            entry_.on_request(std::move(exchange));
        },
        limits);
    ready_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.ready,
        [this](const net::http_exchange& exchange) { on_ready(exchange); }, local_server_limits());
    control_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.control,
        [this](const net::http_exchange& exchange) { on_control(exchange); },
        local_server_limits());
    metrics_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.metrics,
        [this](const net::http_exchange& exchange) {
            if (is_explain_target(exchange.request.path)) {
                on_explain(exchange);
                return;
            }
            const auto& member = coordination_.member();
            sidecar_gauges gauges;
            gauges.manifest_version = routes_ ? routes_->content().version : 0;
            gauges.term = member.term();
            gauges.directory_version = member.view().version;
            gauges.store_calls = store_.calls();
            gauges.lines_dropped = journal_.dropped();
            gauges.target_load = gate_.load();
            gauges.warm_up_delays = gate_.warm_up_delays();
            gauges.warm_up_refusals = gate_.warm_up_refusals();
            gauges.target_is_cold = counts_as_cold_;
            gauges.lease_ms = static_cast<std::uint64_t>(member.lease_length().count());
            gauges.renewal_waits = gate_.renewal_waits();
            gauges.holds_lease = member.holds_lease(loop_.now());
            gauges.leads = coordination_.is_leader();
            gauges.store_up = store_.is_up();
            gauges.store_era = store_.era();
            gauges.errors = errors_;
            set_evacuation_gauges(gauges);
            gauges.key_moves = coordination_.key_moves();
            gauges.key_load_in_motion = coordination_.key_load_in_motion();
            gauges.requests_ignored = request_server_->abandoned_requests();
            exchange.respond({status_ok,
                              {{"content-type", "text/plain; version=0.0.4"}},
                              metrics_.text(entry_.counters(), gauges) + entry_.target_metrics() +
                                  traffic_text(transport_->counters()) +
                                  refusal_metrics(*request_server_, *budget_) +
                                  intake_text(intake_)});
        },
        local_server_limits());
}

int process::run()
{
    log("started", {{"zone", settings_.zone},
                    {"service", settings_.service},
                    {"target", net::to_string(settings_.target)}});
    loop_.on_error([this](const std::exception& failure) { on_error(failure); });
    loop_.on_signal([this] { on_signal(); });
    loop_.on_hangup([this] { on_hangup(); });
    loop_.every(coordination::tick_interval, [this] { on_tick(); });
    loop_.every(journal_interval, [this] { journal_.flush(loop_.now()); });
    loop_.every(state_interval, [this] { log_state(); });
    loop_.every(traffic_interval, [this] { log_traffic(); });
    store_.watch_manifest();
    coordination_.on_tick();
    loop_.run();
    deliver_answers();
    journal_.flush(loop_.now());
    return recent_errors_ > max_recent_errors ? exit_failure : 0;
}

void process::on_error(const std::exception& failure)
{
    const auto now = loop_.now();
    ++errors_;
    if (now - error_window_start_ >= error_window) {
        error_window_start_ = now;
        recent_errors_ = 0;
    }
    ++recent_errors_;
    log("unexpected_error", {{"cause", failure.what()}, {"errors", errors_}});
    if (recent_errors_ > max_recent_errors) {
        log("giving_up", {{"errors", recent_errors_}});
        loop_.stop();
    }
}

void process::log(std::string_view event, const journal::fields& details)
{
    journal_.write(loop_.now(), event, details);
}

// Logs the counts since the previous "state" line. They replace log lines for single answered
// requests.
void process::log_state()
{
    const auto& total = entry_.counters();
    const auto work = std::chrono::duration_cast<milliseconds>(gate_.mean_work());
    log("state", {{"slots", watch_.status().slots},
                  {"running", gate_.running()},
                  {"queued", gate_.queued()},
                  {"work_ms", work.count()},
                  {"pending", entry_.pending()},
                  {"requests", total.requests - logged_counters_.requests},
                  {"answered", total.answered - logged_counters_.answered},
                  {"refused", total.refused - logged_counters_.refused},
                  {"unknown", total.unknown - logged_counters_.unknown}});
    logged_counters_ = total;
    const auto over_budget = transport_->counters().frames_over_budget;
    if (const auto before = std::exchange(logged_over_budget_, over_budget); over_budget > before) {
        log("frames_over_budget",
            {{"frames", over_budget - before}, {"used_kb", budget_->used() / 1024}});
    }
    refusals_.log_changes(
        *request_server_, *budget_,
        [this](std::string_view event, const journal::fields& details) { log(event, details); });
}

// Logs totals since the start: the frames and the bytes before compression for each message type,
// and the bytes after compression for all types together.
void process::log_traffic()
{
    const auto& counters = transport_->counters();
    journal::fields line{{"bytes_sent", counters.bytes_sent},
                         {"connects", counters.connects},
                         {"writes", counters.writes}};
    if (counters.over_budget > 0) {
        line["over_budget"] = counters.over_budget;
    }
    if (counters.unfinished_closed > 0) {
        line["unfinished_closed"] = counters.unfinished_closed;
    }
    for (std::size_t i = 0; i < counters.queued.size(); ++i) {
        const auto& count = counters.queued[i];
        if (count.frames > 0) {
            line[std::string(wire::type_name(i))] = {count.frames, count.bytes};
        }
    }
    log("traffic", line);
}

bool process::send(const std::string& address, incarnation_id to, const wire::body& content)
{
    return transport_->send(address,
                            {self_, to, net::to_string(settings_.addresses.announced), content});
}

void process::on_frame(const wire::frame& frame)
{
    if (frame.to && frame.to != self_ && !std::holds_alternative<wire::forward>(frame.content)) {
        return;
    }
    if (const auto* part = std::get_if<wire::forward_part>(&frame.content)) {
        intake_.on_part(frame, *part);
    }
    else if (const auto* request = std::get_if<wire::forward>(&frame.content)) {
        on_forward(frame, *request);
    }
    else if (const auto* credit = std::get_if<wire::forward_credit>(&frame.content)) {
        entry_.on_credit(frame.from, *credit);
    }
    else if (const auto* reply = std::get_if<wire::forward_reply>(&frame.content)) {
        entry_.on_reply(frame.from, *reply);
    }
    else if (const auto* cancel = std::get_if<wire::cancel>(&frame.content)) {
        intake_.on_cancel(frame, *cancel);
    }
    else if (const auto* report = std::get_if<assignment::report>(&frame.content)) {
        coordination_.on_report(frame, *report);
    }
    else if (const auto* answer = std::get_if<assignment::report_reply>(&frame.content)) {
        coordination_.on_reply(frame, *answer);
    }
    else if (const auto* hint = std::get_if<assignment::leader_hint>(&frame.content)) {
        coordination_.on_hint(*hint);
    }
    else if (const auto* claim_request = std::get_if<assignment::lead_request>(&frame.content)) {
        coordination_.on_lead_request(*claim_request);
    }
    else if (const auto* round = std::get_if<assignment::confirm_request>(&frame.content)) {
        coordination_.on_confirm_request(frame, *round);
    }
    else if (const auto* notice = std::get_if<assignment::leadership_notice>(&frame.content)) {
        coordination_.on_notice(*notice);
    }
    else if (const auto* transfer = std::get_if<assignment::leadership_transfer>(&frame.content)) {
        coordination_.on_transfer(*transfer);
    }
    else if (const auto* update = std::get_if<assignment::directory_update>(&frame.content)) {
        coordination_.on_update(frame, *update);
    }
    else if (std::holds_alternative<wire::no_replies>(frame.content)) {
        reset_connection(frame.reply_address, "the peer gets no replies");
    }
    else if (const auto* probe = std::get_if<wire::probe>(&frame.content)) {
        send(frame.reply_address, frame.from, wire::probe_reply{probe->number});
    }
    else if (const auto* probe_reply = std::get_if<wire::probe_reply>(&frame.content)) {
        peer_check_.on_reply(frame.reply_address, *probe_reply);
    }
    else if (const auto* pull = std::get_if<wire::rules_pull>(&frame.content)) {
        if (routes_ && routes_->content().version >= pull->version) {
            send(frame.reply_address, frame.from,
                 wire::rules_text{routes_->content().version, "", manifest_text_, ""});
        }
    }
    else if (const auto* text = std::get_if<wire::rules_text>(&frame.content)) {
        on_manifest(text->text);
    }
}

void process::on_forward(const wire::frame& frame, const wire::forward& request)
{
    if (frame.to != self_) {
        // The request is addressed to an earlier incarnation of this host. The current incarnation
        // has not run it.
        auto reply = refusal_of(request, request::reason::no_target);
        reply.intake_wait = intake_.schedule().wait(loop_.now());
        // The sender expects the reply from the incarnation to which it sent the request.
        transport_->send(
            frame.reply_address,
            {frame.to, frame.from, net::to_string(settings_.addresses.announced), reply});
        return;
    }
    intake_.on_forward(frame, request);
}

void process::on_control(const net::http_exchange& exchange)
{
    control_call call;
    try {
        call = protocol_.parse_control(exchange.request);
    }
    catch (const parse_error& failure) {
        log("heartbeat_unreadable", {{"cause", failure.what()}});
        exchange.respond(json_response(status_bad_request, protocol_.confirmation));
        return;
    }
    const auto now = loop_.now();
    if (const auto* beat = std::get_if<heartbeat>(&call)) {
        if (!watch_.on_heartbeat(now, *beat)) {
            log("heartbeat_ignored", {{"target", beat->target.id},
                                      {"address", beat->address},
                                      {"sequence", beat->sequence}});
        }
        else {
            observe_warmth(*beat);
            if (beat->target.is_same_instance(watch_.status())) {
                identity_.on_heartbeat(watch_.status());
            }
        }
    }
    else if (const auto* end = std::get_if<deregistration>(&call)) {
        const auto unix_time = std::chrono::system_clock::now().time_since_epoch();
        watch_.on_deregistration(now, end->target_id,
                                 std::chrono::duration_cast<milliseconds>(unix_time));
    }
    else {
        exchange.respond(json_response(status_not_found, protocol_.confirmation));
        return;
    }
    on_target_changed();
    check_target();
    exchange.respond(json_response(status_ok, protocol_.confirmation));
}

void process::on_ready(const net::http_exchange& exchange)
{
    // The manifest may have come from a peer before the orders of evacuation are known.
    const bool ready = routes_ && !stop_.is_stopping() && coordination_.member().view().term != 0 &&
                       coordination_.evacuations().version() != store_version{} &&
                       exchange.request.path == protocol_.ready_path;
    exchange.respond(json_response(ready ? status_ok : status_unavailable, "{}"));
}

void process::on_manifest(const std::string& text)
{
    if (text == manifest_text_) {
        return;
    }
    routing::manifest content;
    try {
        content = protocol_.parse_manifest(text);
    }
    catch (const routing::manifest_error& failure) {
        log("manifest_refused",
            {{"cause", failure.what()}, {"in_force", routes_ ? routes_->content().version : 0}});
        return;
    }
    if (routes_ && content.version <= routes_->content().version) {
        return;
    }
    std::set<std::string> sharded;
    std::map<std::string, double> cold_rates;
    for (const auto& service : content.services) {
        if (service.cold_requests_per_s > 0) {
            cold_rates[service.name] = service.cold_requests_per_s;
        }
        if (service.sharded) {
            sharded.insert(service.name);
        }
    }
    const auto version = content.version;
    log("manifest_applied", {{"version", version},
                             {"routes", content.routes.size()},
                             {"from", routes_ ? routes_->content().version : 0}});
    routes_ = std::make_shared<routing::route_index>(std::move(content));
    manifest_text_ = text;
    entry_.set_manifest(routes_);
    apply_limits(routes_->content().limits, *request_server_);
    if (const auto idle = routes_->content().limits.idle_time; idle.count() > 0) {
        request_server_->set_idle_timeout(idle + idle_margin);
    }
    coordination_.set_cold_rates(std::move(cold_rates));
    set_start_bound();
    coordination_.set_manifest(version, std::move(sharded),
                               routing::longest_keyed_work(routes_->content()));
    check_target();
}

void process::on_peer_manifest(const std::string& address, std::uint64_t version)
{
    const auto now = loop_.now();
    const std::uint64_t applied_version = routes_ ? routes_->content().version : 0;
    if (version > applied_version && now >= next_pull_) {
        next_pull_ = now + min_pull_interval;
        send(address, {}, wire::rules_pull{version});
    }
}

void process::grant(const assignment::grant_order& order)
{
    // The end of a connection may have been read since the coordination was told.
    if (!is_target_confirmed()) {
        coordination_.on_grant_result(order.id, assignment::order_outcome::not_sent);
        return;
    }
    gate_.order(protocol_.grant(order), grant_timeout, max_grant_write_delay,
                [this, order](const net::http_result& result) {
                    auto outcome = assignment::order_outcome::unknown;
                    const int status = result.response ? result.response->status : 0;
                    if (status == status_ok) {
                        outcome = assignment::order_outcome::done;
                    }
                    else if (status == status_conflict) {
                        outcome = assignment::order_outcome::refused;
                    }
                    else if (is_unwritten(result)) {
                        outcome = assignment::order_outcome::not_sent;
                    }
                    if (outcome != assignment::order_outcome::done) {
                        log("grant_failed", {{"first", order.first},
                                             {"last", order.last},
                                             {"fence", order.range_fence.value},
                                             {"status", status}});
                    }
                    coordination_.on_grant_result(order.id, outcome);
                });
}

void process::release(const assignment::release_order& order)
{
    // A confirmed release lets the keys go to another target, so its answer must not be mistaken.
    gate_.order_on_new_connection(
        protocol_.release(order), release_timeout,
        [this, order](const net::http_result& result) { on_release_result(order, result); });
}

void process::on_release_result(const assignment::release_order& order,
                                const net::http_result& result)
{
    // An order without a service releases all keys that were granted to the target before this
    // process started. A target that does not exist or does not support grants holds no keys.
    const bool target_missing = !result.response && result.failure == net::http_failure::connect;
    const int status = result.response ? result.response->status : 0;
    const bool orders_unsupported = status == status_not_found || status == status_bad_request;
    const bool answered = status == status_ok;
    const bool done = answered || (order.service.empty() && (target_missing || orders_unsupported));
    std::string handover;
    if (answered) {
        handover =
            net::find_header(result.response->headers, protocol_.names.handover).value_or("");
        // The next target would not recognize a token that cannot be passed on unchanged.
        if (!std::all_of(handover.begin(), handover.end(), is_printable_ascii)) {
            handover.clear();
        }
    }
    log("released", {{"first", order.first},
                     {"last", order.last},
                     {"fence", order.range_fence.value},
                     {"confirmed", done},
                     {"handover", !handover.empty()}});
    coordination_.on_release_result(
        order.id, done ? assignment::order_outcome::done : assignment::order_outcome::unknown,
        handover);
}

void process::on_target_changed()
{
    update_warmth();
    notify_target();
    // Last, so that a confirmation sends grants to the run that the coordination knows.
    update_identity();
}

void process::notify_target()
{
    const bool accepts = watch_.accepts(loop_.now());
    auto status = watch_.status();
    status.warming_up = warm_up_.is_warming_up(loop_.now());
    if (watch_.changes() == notified_changes_ && accepts == notified_accepts_ &&
        status.warming_up == notified_warming_up_) {
        return;
    }
    notified_changes_ = watch_.changes();
    notified_accepts_ = accepts;
    notified_warming_up_ = status.warming_up;
    log("target_changed", {{"target", status.id},
                           {"born", status.start_time_ms},
                           {"slots", status.slots},
                           {"phase", static_cast<int>(status.phase)},
                           {"warming_up", status.warming_up},
                           {"accepts", accepts}});
    gate_.on_target();
    coordination_.on_target(status);
}

void process::on_tick()
{
    on_target_changed();
    check_target();
    gate_.on_tick();
    log_evacuation();
    intake_.on_tick();
    peer_check_.on_tick();
    coordination_.set_mean_work(gate_.mean_work());
    coordination_.on_tick();
    store_.set_fast_watch(coordination_.is_leader());
    entry_.on_tick();
    if (coordination_.member().is_superseded()) {
        // The leader knows a later incarnation of this host, which is another process. This process
        // gets no lease any more, so it exits, and the platform starts a new one.
        log("superseded", {{"term", coordination_.member().term()}});
        loop_.stop();
    }
    if (stop_.is_stopping() && !exiting_) {
        finish_when_idle();
    }
}

// Begins a planned stop, or extends it if the platform repeats its signal.
void process::on_signal()
{
    const bool is_repeated = stop_.is_stopping();
    stop_.on_signal(loop_.now(), settings_.bounds.grace);
    gate_.stop_at(stop_.exit_limit());
    entry_.stop_at(stop_.exit_limit());
    log(is_repeated ? "stop_repeated" : "stopping",
        {{"pending", entry_.pending()}, {"running", gate_.active()}});
    if (!is_repeated) {
        coordination_.leave();
    }
}

// Reloads the settings. Only the bounds take effect, except `sidecar_bounds::longest_hold`, because
// it limits the lease, and `sidecar_bounds::evacuation`, which is part of the times. A change of
// the lease, the addresses or the names needs a restart.
void process::on_hangup()
{
    try {
        const settings changed = load_settings(file_);
        settings_.bounds = changed.bounds;
        watch_.set_drain(changed.bounds.drain);
        entry_.set_retry_limits(retry_settings_of(changed.bounds));
        set_start_bound();
        log("reloaded", {{"file", file_}});
    }
    catch (const settings_error& failure) {
        log("reload_refused", {{"cause", failure.what()}});
    }
}

// Answers all pending requests before the exit, so that clients learn their outcome, and closes all
// connections in order: the exit resets a connection whose input is not read, which drops answers
// that the client has not read yet.
void process::deliver_answers()
{
    exiting_ = true;
    const std::array servers{request_server_.get(), ready_server_.get(), control_server_.get(),
                             metrics_server_.get()};
    entry_.close();
    for (auto* server : servers) {
        server->finish();
    }
    entry_.answer_all_pending();
    const bool delivered = loop_.run_until(
        [&] {
            return !transport_->has_unsent_replies() &&
                   std::all_of(servers.begin(), servers.end(),
                               [](const auto* server) { return server->connections() == 0; });
        },
        max_delivery_time);
    if (!delivered) {
        log("answers_undelivered", {{"connections", request_server_->undelivered()},
                                    {"replies", transport_->has_unsent_replies()}});
    }
}

bool process::is_idle() const
{
    return entry_.pending() == 0 && gate_.active() == 0 && intake_.incomplete() == 0 &&
           coordination_.member().holds_no_keys(loop_.now()) && !transport_->has_unsent_replies() &&
           request_server_->undelivered() == 0;
}

// Ends a planned stop once the node is idle, or at the latest shortly before the platform kills the
// process.
void process::finish_when_idle()
{
    const auto now = loop_.now();
    const stop_progress progress{is_idle(), last_request_};
    if (stop_.is_closed(now, progress)) {
        // Requests that arrive from now on are refused instead of being aborted by the exit.
        entry_.close();
    }
    if (stop_.is_over(now, progress)) {
        log("stopped", {{"pending", entry_.pending()},
                        {"running", gate_.active()},
                        {"undelivered", request_server_->undelivered()}});
        loop_.stop();
    }
}

int run_sidecar(const std::string& file, const platform_protocol& protocol)
{
    // The object is not destroyed, since the process exits after this call: the kernel closes its
    // connections, and calls in progress need no callback.
    return std::make_unique<process>(file, protocol).release()->run();
}

} // namespace bulrushgw::sidecar
