#include "node/process.h"

#include <algorithm>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "common/hash.h"
#include "node/node.h"

namespace bulrushgw::node {

namespace {

constexpr milliseconds second{1000};
constexpr int exit_internal_failure = 1;
// Replies of an incarnation may still arrive for this long after its end became known.
constexpr milliseconds late_reply_grace{200};

std::uint64_t random_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

ownership::engine_settings engine_settings_of(const settings& values)
{
    ownership::engine_settings out;
    out.times = values.lease;
    out.host = values.host;
    out.zone = values.zone;
    out.region = values.region;
    out.address = net::to_string(values.addresses.inner);
    out.client_address = net::to_string(values.addresses.clients);
    for (const auto& peer : values.join_peers) {
        out.join_peers.push_back(net::to_string(peer));
    }
    return out;
}

store::client_settings store_settings_of(const settings& values)
{
    store::client_settings out;
    out.nodes = values.store_nodes;
    return out;
}

audit_settings audit_settings_of(const settings& values)
{
    audit_settings out;
    out.rows_per_minute = values.audit_per_minute;
    return out;
}

/// Outcome headers for requests that the HTTP server itself rejects.
net::header_list refusal_headers(int status)
{
    constexpr int too_large = 413;
    constexpr int headers_too_large = 431;
    request::reason why = request::reason::bad_path;
    if (status == too_large) {
        why = request::reason::body_too_large;
    }
    else if (status == headers_too_large) {
        why = request::reason::headers_too_large;
    }
    return {{"Bulrush-Outcome", std::string(request::to_text(request::outcome::not_run))},
            {"Bulrush-Reason", std::string(request::to_text(why))}};
}

net::http_response json_error(int status, const std::string& message)
{
    const nlohmann::json body{{"error", message}};
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

} // namespace

process::process(const settings& values)
    : settings_(values), random_(random_seed()), log_(values.level, values.host),
      started_(loop_.now()), store_(loop_, values.store, store_settings_of(values), random_()),
      gateway_(make_gateway()), ownership_(make_ownership()), rules_(make_rules()),
      entry_(make_entry()),
      audit_(audit_settings_of(values),
             [this](store::transact store_request, std::function<void(store::status)> done) {
                 store_.call(
                     std::move(store_request), store::priority::background,
                     [done = std::move(done)](const store::reply& reply) { done(reply.result); });
             }),
      watch_([this](const log_event& event) {
          if (event.kind == event_kind::lease_lost) {
              metrics_.value(metric::lease_lost).add();
          }
          log_.write(loop_.now(), event);
      }),
      operator_hooks_(make_operator_hooks()), next_tick_(loop_.now())
{
    transport_ = std::make_unique<net::peer_transport>(
        loop_, settings_.addresses.inner, [this](const wire::frame& frame) { on_frame(frame); },
        [this](const std::string& address, std::optional<time_point> unsent_since) {
            on_disconnect(address, unsent_since);
        });
    net::http_server_limits client_limits;
    client_limits.max_body_bytes = settings_.limits.body_bytes;
    client_limits.max_header_bytes = settings_.limits.header_bytes;
    client_limits.max_connections = settings_.limits.connections;
    client_limits.refusal_headers = refusal_headers;
    client_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.clients,
        [this](net::http_exchange exchange) { entry_.on_request(std::move(exchange)); },
        client_limits);
    operator_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.operators, [this](const net::http_exchange& exchange) {
            handle_operator_request(exchange.request, operator_hooks_, exchange.respond);
        });
    announce_server_ = std::make_unique<net::http_server>(
        loop_, settings_.addresses.announce,
        [this](const net::http_exchange& exchange) { on_announce(exchange); });
    audit_.set_incarnation(ownership_.engine().self());
    log_.set_incarnation(ownership_.engine().self());
}

target_gateway process::make_gateway()
{
    request::duplicate_settings duplicates;
    duplicates.max_bytes = settings_.limits.duplicate_bytes;
    target_link::hooks link;
    link.incarnation = [this] { return ownership_.engine().self(); };
    link.lease_end = [this] { return ownership_.engine().lease_end(loop_.now()); };
    target_gateway::hooks hooks;
    hooks.may_serve = [this](const std::string& service, range_id range) {
        return ownership_.engine().may_serve(loop_.now(), service, range);
    };
    hooks.version_of = [this](const std::string& service) {
        return ownership_.engine().version_of(service);
    };
    hooks.is_balanced = [this](const std::string& service) {
        const auto* routes = rules_.routes();
        const auto* rule = routes == nullptr ? nullptr : routes->find_service(service);
        return rule != nullptr && rule->kind == rules::service_kind::balanced;
    };
    hooks.on_in_flight = [this](const std::string& service, range_id range, std::size_t count) {
        ownership_.on_in_flight(service, range, count);
    };
    hooks.on_target_silent = [this](time_point idle_from) {
        metrics_.value(metric::target_silences).add();
        const auto lease_end = ownership_.engine().lease_end(loop_.now());
        ownership_.end_incarnation("the target did not answer for 1 s",
                                   std::min(idle_from, lease_end.value_or(idle_from)));
    };
    hooks.on_target_time = [this](milliseconds time) {
        metrics_.summary(metric::target_seconds)
            .observe(std::chrono::duration<double>(time).count());
    };
    return {loop_,
            settings_.lease.drift_permille,
            settings_.limits.queue,
            duplicates,
            std::move(link),
            std::move(hooks)};
}

ownership_host process::make_ownership()
{
    ownership_host::hooks hooks;
    hooks.now = [this] { return loop_.now(); };
    hooks.random_seed = [this] { return random_(); };
    hooks.send = [this](const std::string& address, const wire::frame& frame) {
        transport_->send(address, frame);
    };
    hooks.call_store = [this](const store::request& store_request,
                              ownership_host::store_completion done) {
        store_.call(store_request, store::priority::urgent, std::move(done));
    };
    hooks.on_serving_changed = [this](const ownership::serving_changed& change) {
        auto& served = served_[change.service];
        for (const auto& grant : change.grants) {
            served.insert(grant.range.value);
        }
        for (const range_id range : change.releases) {
            served.erase(range.value);
        }
        metrics_.value(metric::range_moves, {change.service, "gained"})
            .add(static_cast<double>(change.grants.size()));
        metrics_.value(metric::range_moves, {change.service, "lost"})
            .add(static_cast<double>(change.releases.size()));
        log_event event;
        event.kind = event_kind::ranges_changed;
        event.service = change.service;
        event.count = served.size();
        log_.write(loop_.now(), event);
        gateway_.on_serving_changed(change);
    };
    hooks.on_ended = [this](incarnation_id ended, const std::string& cause) {
        on_incarnation_ended(ended, cause);
    };
    hooks.on_left = [this] { on_left(); };
    hooks.on_audit = [this](const ownership::audit_event& event) { on_audit(event); };
    hooks.on_input = [this] { on_ownership_input(); };
    return {engine_settings_of(settings_), std::move(hooks)};
}

rules_service process::make_rules()
{
    rules_service::hooks hooks;
    hooks.now = [this] { return loop_.now(); };
    hooks.call_store = [this](store::request store_request, store::priority request_priority,
                              std::function<void(const store::reply&)> done) {
        store_.call(std::move(store_request), request_priority, std::move(done));
    };
    hooks.send_to_any_peer = [this](const wire::body& content) {
        return send_to_any_peer(content);
    };
    hooks.announce = [this](const ownership::rules_stamp& stamp) { ownership_.set_rules(stamp); };
    hooks.on_applied = [this] { on_rules_applied(); };
    hooks.on_refused = [this](const std::string& cause) {
        log_event event;
        event.kind = event_kind::rules_refused;
        event.cause = cause;
        log_.write(loop_.now(), event);
    };
    hooks.node_count = [this] { return ownership_.engine().members().size(); };
    return rules_service(std::move(hooks));
}

client_entry process::make_entry()
{
    client_entry::hooks hooks;
    hooks.routes = [this] { return rules_.routes(); };
    hooks.engine = [this]() -> const ownership::engine& { return ownership_.engine(); };
    hooks.send = [this](incarnation_id peer, const wire::body& content) {
        return send_to(peer, content);
    };
    hooks.run_here = [this](forward_key key, wire::forward request,
                            target_gateway::completion done) {
        gateway_.run(key, std::move(request), std::move(done));
    };
    hooks.cancel_here = [this](forward_key key) { gateway_.cancel(key); };
    return {loop_, metrics_, settings_.zone, random_(), std::move(hooks)};
}

bool process::send_to(incarnation_id peer, const wire::body& content)
{
    const ownership::engine& engine = ownership_.engine();
    const ownership::member_row* member = engine.find_member(peer);
    if (member == nullptr) {
        return false;
    }
    return transport_->send(
        member->address, {engine.self(), peer, net::to_string(settings_.addresses.inner), content});
}

bool process::send_to_any_peer(const wire::body& content)
{
    std::vector<incarnation_id> peers;
    for (const auto& member : ownership_.engine().members()) {
        const bool live = member.state != ownership::member_state::ended;
        if (live && member.incarnation != ownership_.engine().self()) {
            peers.push_back(member.incarnation);
        }
    }
    return !peers.empty() && send_to(peers[random_() % peers.size()], content);
}

void process::on_frame(const wire::frame& frame)
{
    if (const auto* message = std::get_if<ownership::message>(&frame.content)) {
        ownership_.on_message(frame, *message);
        if (const auto* digest = std::get_if<ownership::digest>(message)) {
            rules_.on_stamp(digest->rules);
        }
        else if (std::holds_alternative<ownership::gossip>(*message)) {
            rules_.on_stamp(ownership_.engine().newest_rules());
        }
        return;
    }
    if (const auto* request = std::get_if<wire::forward>(&frame.content)) {
        on_forward(frame, *request);
    }
    else if (const auto* reply = std::get_if<wire::forward_reply>(&frame.content)) {
        entry_.on_reply(frame.from, *reply);
    }
    else if (const auto* cancellation = std::get_if<wire::cancel>(&frame.content)) {
        gateway_.cancel({frame.from, cancellation->number});
    }
    else if (const auto* pull = std::get_if<wire::rules_pull>(&frame.content)) {
        on_rules_pull(frame, *pull);
    }
    else if (const auto* text = std::get_if<wire::rules_text>(&frame.content)) {
        rules_.on_text(*text);
    }
    else if (const auto* failure = std::get_if<wire::protocol_failure>(&frame.content)) {
        log_event event;
        event.kind = event_kind::peer_failure;
        event.cause = failure->reason;
        log_.write(loop_.now(), event);
    }
}

void process::on_forward(const wire::frame& frame, const wire::forward& request)
{
    // The sender of the reply is the incarnation that the request was addressed to. This process
    // may have started a new incarnation since, but the entry node must be able to match the reply
    // to the request.
    const auto answer = [this, from = frame.to, to = frame.from,
                         address = frame.reply_address](wire::forward_reply reply) {
        transport_->send(address,
                         {from, to, net::to_string(settings_.addresses.inner), std::move(reply)});
    };
    if (frame.to != ownership_.engine().self()) {
        wire::forward_reply reply;
        reply.number = request.number;
        reply.request_id = request.request_id;
        reply.outcome = wire::forward_outcome::not_owner;
        reply.reason = request::to_text(request::reason::not_owner);
        answer(std::move(reply));
        return;
    }
    gateway_.run({frame.from, request.number}, request, answer);
}

void process::on_rules_pull(const wire::frame& frame, const wire::rules_pull& pull)
{
    if (auto text = rules_.text_for(pull)) {
        transport_->send(frame.reply_address,
                         {ownership_.engine().self(), frame.from,
                          net::to_string(settings_.addresses.inner), std::move(*text)});
    }
}

void process::on_disconnect(const std::string& address, std::optional<time_point> unsent_since)
{
    for (const auto& member : ownership_.engine().members()) {
        if (member.address == address) {
            entry_.on_disconnect(member.incarnation, unsent_since);
        }
    }
}

void process::on_announce(const net::http_exchange& exchange)
{
    if (exchange.request.method != "POST" || exchange.request.path != "/v1/announce") {
        exchange.respond(json_error(404, "expected POST /v1/announce"));
        return;
    }
    try {
        const announcement announced = parse_announcement(exchange.request.body);
        const bool known = gateway_.target().has_value();
        if (gateway_.on_announcement(announced)) {
            log_event event;
            event.kind = known ? event_kind::target_restarted : event_kind::target_announced;
            event.service = announced.service;
            log_.write(loop_.now(), event);
        }
        if (!gateway_.is_silent() && !announced.load.draining && !ownership_.is_leaving()) {
            ownership_.on_target({announced.service, announced.slots, announced.checks_fences});
        }
        exchange.respond({200, {{"Content-Type", "application/json"}}, "{}\n"});
    }
    catch (const error& failure) {
        exchange.respond(json_error(400, failure.what()));
    }
}

void process::on_rules_applied()
{
    const auto current = rules_.current();
    std::vector<ownership::service_config> services;
    for (const auto& service : current->rules.services) {
        ownership::service_config config;
        config.name = service.name;
        config.ranges = service.ranges;
        config.moves_per_hour =
            rules_.routes()->limits_of(service.name).moves_per_hour.value_or(config.moves_per_hour);
        for (const auto& pin : current->rules.pins) {
            if (pin.service == service.name) {
                config.pinned_zones[range_of(pin.key, service.ranges)] = pin.zone;
            }
        }
        services.push_back(std::move(config));
    }
    ownership_.set_services(std::move(services));
    if (const auto& target = gateway_.target()) {
        gateway_.set_queue_limit(rules_.routes()->limits_of(target->service).queue);
    }
    entry_.on_rules();
    audit_record record;
    record.at = std::chrono::system_clock::now();
    record.kind = audit_kind::rules_change;
    record.cause = "version " + std::to_string(current->version) + " in force";
    audit_.record(std::move(record));
}

void process::on_incarnation_ended(incarnation_id ended, const std::string& cause)
{
    served_.clear();
    gateway_.on_incarnation_ended();
    metrics_.value(metric::incarnations, {cause}).add();
    log_event event;
    event.kind = event_kind::incarnation_ended;
    event.subject = ended;
    event.cause = cause;
    log_.write(loop_.now(), event);
    // The new engine doesn't exist yet. `on_one_second_timer` passes the new incarnation to the log
    // and to the audit trail.
}

void process::on_audit(const ownership::audit_event& event)
{
    audit_.record(std::chrono::system_clock::now(), event);
    metrics_.value(metric::audit_events, {to_string(from_engine(event.kind))}).add();
    if (event.kind == ownership::audit_kind::takeover) {
        metrics_.value(metric::takeovers, {event.service}).add();
    }
    else if (event.kind == ownership::audit_kind::seal) {
        metrics_.value(metric::seals).add();
    }
    else if (event.kind == ownership::audit_kind::witness_replaced) {
        metrics_.value(metric::witness_replacements).add();
        write_event(event_kind::witness_replaced, event);
    }
    else if (event.kind == ownership::audit_kind::end &&
             event.subject != ownership_.engine().self()) {
        write_event(event_kind::member_ended, event);
        // If the ended node is only paused, its connections stay open and no disconnect is
        // reported. Its end is handled like a disconnect, because the ended incarnation will not
        // answer the requests forwarded to it.
        loop_.after(late_reply_grace,
                    [this, ended = event.subject] { entry_.on_disconnect(ended, std::nullopt); });
    }
}

void process::write_event(event_kind kind, const ownership::audit_event& event)
{
    log_event line;
    line.kind = kind;
    line.subject = event.subject;
    line.cause = event.cause;
    log_.write(loop_.now(), line);
}

/// Retries waiting requests if the owners of ranges may have changed. A change is detected by a
/// hash of the placement versions and of the number of certificates.
void process::on_ownership_input()
{
    const ownership::engine& engine = ownership_.engine();
    std::uint64_t hash = engine.certificate_count();
    if (const auto rules = rules_.current()) {
        for (const auto& service : rules->rules.services) {
            hash = hash_pair(hash, engine.version_of(service.name).value);
        }
    }
    if (hash != owner_view_hash_) {
        owner_view_hash_ = hash;
        entry_.on_owner_view_changed();
    }
}

void process::on_tick()
{
    const time_point now = loop_.now();
    metrics_.summary(metric::loop_delay_seconds)
        .observe(std::chrono::duration<double>(now - next_tick_).count());
    if (now - next_tick_ > settings_.lease.pause_threshold) {
        metrics_.value(metric::pauses).add();
        log_event event;
        event.kind = event_kind::pause_detected;
        event.cause =
            std::to_string(std::chrono::duration_cast<milliseconds>(now - next_tick_).count()) +
            " ms";
        log_.write(now, event);
    }
    next_tick_ = now + settings_.lease.tick;
    ownership_.on_tick();
    store_.on_tick();
    gateway_.on_tick();
    entry_.on_tick();
    rules_.on_tick();
}

void process::on_one_second_timer()
{
    const time_point now = loop_.now();
    const ownership::engine& engine = ownership_.engine();
    audit_.set_incarnation(engine.self());
    log_.set_incarnation(engine.self());
    if (engine.has_recent_contact(now)) {
        rules_.mark_fresh();
    }
    store_.set_nodes(std::max(settings_.store_nodes, engine.members().size()));
    if (const auto& target = gateway_.target()) {
        ownership_.on_load(target->service, gateway_.update_loads());
    }
    audit_.on_tick(now);
    log_.on_tick(now);
    update_metrics();

    observed_state state;
    state.lease_running = engine.lease_end(now).has_value();
    state.store_up = store_.client().is_store_up();
    state.store_outcome_known = state.store_up || store_.client().counters().not_sent > 0 ||
                                store_.client().counters().answers_lost > 0;
    state.rules_stale = rules_.possibly_stale();
    state.rules_version = rules_.current() ? rules_.current()->version : 0;
    state.target_known = gateway_.target().has_value();
    state.target_silent = gateway_.is_silent();
    state.target_draining = state.target_known && gateway_.target()->load.draining;
    if (state.target_known) {
        const auto live = engine.live_members(gateway_.target()->service);
        state.member = std::find(live.begin(), live.end(), engine.self()) != live.end();
    }
    const auto members = engine.members();
    state.other_members = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const ownership::member_row& member) {
            return member.state != ownership::member_state::ended &&
                   member.incarnation != engine.self();
        }));
    watch_.observe(state);
}

int process::run()
{
    loop_.on_signal([this] { on_signal(); });
    loop_.every(settings_.lease.tick, [this] { on_tick(); });
    loop_.every(second, [this] { on_one_second_timer(); });
    log_event event;
    event.kind = event_kind::started;
    log_.write(loop_.now(), event);
    try {
        loop_.run();
    }
    catch (const std::exception& failure) {
        // Exit, and let the witnesses end this incarnation. Continuing in an unknown state could
        // violate the exclusive ownership of keys.
        event.kind = event_kind::internal_failure;
        event.cause = failure.what();
        log_.write(loop_.now(), event);
        return exit_internal_failure;
    }
    event.kind = event_kind::stopped;
    event.cause = all_requests_finished_ ? "the hand-over ended and all requests finished"
                                         : "stopped before all requests finished";
    log_.write(loop_.now(), event);
    return exit_code_;
}

int run_node(const settings& values)
{
    process node(values);
    return node.run();
}

} // namespace bulrushgw::node
