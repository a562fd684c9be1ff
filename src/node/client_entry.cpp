#include "node/client_entry.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::node {

namespace {

using request::reason;

constexpr std::array<std::string_view, 12> connection_headers{"date",
                                                              "server",
                                                              "connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "te",
                                                              "trailer",
                                                              "upgrade",
                                                              "transfer-encoding",
                                                              "content-length",
                                                              "host"};
constexpr std::string_view protocol_prefix = "bulrush-";

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return lower;
}

wire::header_pairs forwarded_headers(const net::header_list& headers)
{
    wire::header_pairs pairs;
    for (const auto& header : headers) {
        if (is_forwarded_header(header.name)) {
            pairs.emplace_back(header.name, header.value);
        }
    }
    return pairs;
}

request::reply_kind kind_of(wire::forward_outcome outcome)
{
    switch (outcome) {
    case wire::forward_outcome::answered:
        return request::reply_kind::answered;
    case wire::forward_outcome::not_run:
        return request::reply_kind::not_run;
    case wire::forward_outcome::not_owner:
        return request::reply_kind::not_owner;
    case wire::forward_outcome::unknown:
        break;
    }
    return request::reply_kind::unknown;
}

reason reason_of(const wire::forward_reply& reply)
{
    switch (reply.outcome) {
    case wire::forward_outcome::answered:
        return request::reason_of(reply.reason, reason::none);
    case wire::forward_outcome::not_run:
        return request::reason_of(reply.reason, reason::target_refused);
    case wire::forward_outcome::not_owner:
        return reason::not_owner;
    case wire::forward_outcome::unknown:
        break;
    }
    return request::reason_of(reply.reason, reason::connection_lost);
}

net::http_response refusal_response(reason why, const std::string& detail)
{
    net::http_response response;
    response.status = request::info_of(why).status;
    response.headers = {{"Content-Type", "application/json"}};
    const nlohmann::json body{{"outcome", request::to_text(request::info_of(why).result)},
                              {"reason", request::to_text(why)},
                              {"detail", detail}};
    // The detail may quote invalid UTF-8 from the request.
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

void add_outcome(net::http_response& response, reason why)
{
    const auto& info = request::info_of(why);
    response.headers.push_back({"Bulrush-Outcome", std::string(request::to_text(info.result))});
    response.headers.push_back({"Bulrush-Reason", std::string(request::to_text(why))});
}

} // namespace

bool is_forwarded_header(std::string_view name)
{
    const std::string lower = lower_case(name);
    return !lower.starts_with(protocol_prefix) &&
           std::find(connection_headers.begin(), connection_headers.end(), lower) ==
               connection_headers.end();
}

client_entry::client_entry(net::loop& loop, metrics& values, std::string zone, std::uint64_t seed,
                           hooks hooks)
    : loop_(loop), metrics_(values), zone_(std::move(zone)), hooks_(std::move(hooks)),
      random_(seed),
      tracker_(
          {},
          [this](const request::forward_request& request,
                 const std::vector<incarnation_id>& avoid) { return choose(request, avoid); },
          [this](time_point now, const std::string& service) { return spend_retry(now, service); })
{
}

void client_entry::on_request(net::http_exchange exchange)
{
    const request::route_table* routes = hooks_.routes();
    if (routes == nullptr) {
        refuse(exchange, "", reason::no_rules, "no rules have been accepted yet");
        return;
    }
    const auto& headers = exchange.request.headers;
    const request::request_head head{exchange.request.method, exchange.request.path,
                                     net::find_header(headers, "Bulrush-Request-Id"),
                                     net::find_header(headers, "Bulrush-Attempt"),
                                     net::find_header(headers, "Bulrush-Deadline-Ms")};
    auto found = routes->find(head);
    if (const auto* refused = std::get_if<request::refusal>(&found)) {
        refuse(exchange, "", refused->why, refused->detail);
        return;
    }
    waiting_client client;
    client.exchange = std::move(exchange);
    client.routed = std::get<request::routed_request>(std::move(found));
    client.arrived = loop_.now();
    client.deadline = client.arrived + client.routed.deadline;

    request::forward_request wanted;
    wanted.service = client.routed.service;
    wanted.kind = client.routed.kind;
    wanted.range = client.routed.range;
    wanted.request_id = client.routed.request_id;
    wanted.repeat = client.routed.repeat;
    wanted.deadline = client.deadline;
    retry_budgets_[wanted.service].on_request(client.arrived);

    const request::forward_id id = tracker_.submit(client.arrived, std::move(wanted));
    if (client.exchange.on_cancel) {
        *client.exchange.on_cancel = [this, id] {
            clients_.erase(id);
            tracker_.cancel(loop_.now(), id);
            run_effects(nullptr);
        };
    }
    clients_.emplace(id, std::move(client));
    run_effects(nullptr);
}

std::optional<request::forward_choice>
client_entry::choose(const request::forward_request& request,
                     const std::vector<incarnation_id>& avoid)
{
    const ownership::engine& engine = hooks_.engine();
    if (request.kind == rules::service_kind::balanced) {
        const auto node = choose_balanced(request.service, avoid);
        return node ? std::optional(
                          request::forward_choice{*node, engine.version_of(request.service)})
                    : std::nullopt;
    }
    const auto view = engine.owner_of(request.service, request.range);
    if (!view.owner) {
        return std::nullopt;
    }
    return request::forward_choice{view.owner, view.version};
}

std::optional<incarnation_id>
client_entry::choose_balanced(const std::string& service, const std::vector<incarnation_id>& avoid)
{
    const ownership::engine& engine = hooks_.engine();
    std::vector<request::balance_candidate> untried;
    std::vector<request::balance_candidate> all;
    for (const incarnation_id node : engine.live_members(service)) {
        const ownership::member_row* member = engine.find_member(node);
        const bool same_zone = member != nullptr && member->zone == zone_;
        const request::balance_candidate candidate{node, tracker_.in_flight(node), same_zone};
        all.push_back(candidate);
        if (std::find(avoid.begin(), avoid.end(), node) == avoid.end()) {
            untried.push_back(candidate);
        }
    }
    return request::pick_of_two(untried.empty() ? all : untried, random_);
}

bool client_entry::spend_retry(time_point now, const std::string& service)
{
    const bool spent = retry_budgets_[service].try_spend(now);
    if (spent) {
        metrics_.value(metric::retries, {service}).add();
    }
    return spent;
}

void client_entry::on_rules()
{
    const request::route_table* routes = hooks_.routes();
    for (auto& [service, budget] : retry_budgets_) {
        request::retry_settings settings;
        settings.percent = routes->limits_of(service).retry_percent.value_or(settings.percent);
        budget.configure(settings);
    }
}

void client_entry::on_reply(incarnation_id peer, const wire::forward_reply& reply)
{
    const request::reply_facts facts{reply.number, reply.request_id, kind_of(reply.outcome),
                                     reason_of(reply), reply.version};
    tracker_.on_reply(loop_.now(), peer, facts);
    run_effects(&reply);
}

void client_entry::on_disconnect(incarnation_id peer, std::optional<time_point> unsent_since)
{
    if (unsent_since) {
        tracker_.on_unreachable(loop_.now(), peer, *unsent_since);
    }
    else {
        tracker_.on_disconnect(loop_.now(), peer);
    }
    run_effects(nullptr);
}

void client_entry::on_owner_view_changed()
{
    const request::route_table* routes = hooks_.routes();
    if (routes == nullptr || tracker_.pending() == 0) {
        return;
    }
    for (const auto& [service, budget] : retry_budgets_) {
        tracker_.on_placement(loop_.now(), service);
    }
    run_effects(nullptr);
}

void client_entry::on_tick()
{
    tracker_.on_tick(loop_.now());
    run_effects(nullptr);
}

void client_entry::run_effects(const wire::forward_reply* reply)
{
    for (auto effects = tracker_.take_effects(); !effects.empty();
         effects = tracker_.take_effects()) {
        for (const auto& effect : effects) {
            if (const auto* accepted = std::get_if<request::accept_reply>(&effect)) {
                accept(accepted->id, *reply);
            }
            else if (const auto* forward = std::get_if<request::send_forward>(&effect)) {
                run(*forward);
            }
            else if (const auto* cancel = std::get_if<request::send_cancel>(&effect)) {
                run(*cancel);
            }
            else if (const auto* end = std::get_if<request::end_forward>(&effect)) {
                run(*end);
            }
        }
    }
}

wire::forward client_entry::message_for(const waiting_client& client,
                                        const request::send_forward& effect) const
{
    wire::forward message;
    message.number = effect.number;
    message.service = client.routed.service;
    message.range = client.routed.range;
    message.key = client.routed.key;
    message.request_id = client.routed.request_id;
    message.attempt = client.routed.attempt;
    message.idempotent = client.routed.repeat == rules::repeat_kind::idempotent;
    message.worth = client.routed.worth;
    message.deadline = effect.deadline;
    message.method = client.exchange.request.method;
    message.path = client.exchange.request.path;
    message.headers = forwarded_headers(client.exchange.request.headers);
    message.body = client.exchange.request.body;
    return message;
}

void client_entry::run(const request::send_forward& effect)
{
    const auto found = clients_.find(effect.id);
    if (found == clients_.end()) {
        return;
    }
    found->second.sent = loop_.now();
    wire::forward message = message_for(found->second, effect);
    const incarnation_id self = hooks_.engine().self();
    if (effect.peer == self) {
        hooks_.run_here({self, effect.number}, std::move(message),
                        [this, self](const wire::forward_reply& reply) {
                            // The gateway may reply before it returns. Defer the reply, because the
                            // tracker is not reentrant.
                            loop_.after(milliseconds{0},
                                        [this, self, reply] { on_reply(self, reply); });
                        });
        return;
    }
    if (!hooks_.send(effect.peer, std::move(message))) {
        tracker_.on_not_sent(loop_.now(), effect.number);
    }
}

void client_entry::run(const request::send_cancel& effect)
{
    const incarnation_id self = hooks_.engine().self();
    if (effect.peer == self) {
        hooks_.cancel_here({self, effect.number});
    }
    else {
        hooks_.send(effect.peer, wire::cancel{effect.number});
    }
}

void client_entry::run(const request::end_forward& effect)
{
    respond(effect.id, refusal_response(effect.why, "see Bulrush-Reason"), effect.why);
}

void client_entry::accept(request::forward_id id, const wire::forward_reply& reply)
{
    if (const auto found = clients_.find(id); found != clients_.end()) {
        metrics_.summary(metric::forward_seconds)
            .observe(std::chrono::duration<double>(loop_.now() - found->second.sent).count());
    }
    const bool is_invalid =
        reply.outcome == wire::forward_outcome::answered && !net::is_final_status(reply.status);
    const reason why = is_invalid ? reason::malformed_answer : reason_of(reply);
    if (is_invalid || reply.outcome != wire::forward_outcome::answered) {
        respond(id, refusal_response(why, "see Bulrush-Reason"), why);
        return;
    }
    net::http_response response;
    response.status = reply.status;
    for (const auto& [name, value] : reply.headers) {
        if (is_forwarded_header(name)) {
            response.headers.push_back({name, value});
        }
    }
    response.body = reply.body;
    respond(id, std::move(response), why);
}

void client_entry::respond(request::forward_id id, net::http_response response, reason why)
{
    const auto found = clients_.find(id);
    if (found == clients_.end()) {
        return;
    }
    const waiting_client client = std::move(found->second);
    clients_.erase(found);
    add_outcome(response, why);
    const std::string& service = client.routed.service;
    const auto outcome = request::to_text(request::info_of(why).result);
    metrics_.value(metric::requests, {service, outcome}).add();
    if (request::info_of(why).result != request::outcome::answered) {
        metrics_.value(metric::refusals, {service, request::to_text(why)}).add();
    }
    metrics_.summary(metric::request_seconds, {service})
        .observe(std::chrono::duration<double>(loop_.now() - client.arrived).count());
    client.exchange.respond(std::move(response));
}

void client_entry::refuse(const net::http_exchange& exchange, const std::string& service,
                          reason why, const std::string& detail)
{
    net::http_response response = refusal_response(why, detail);
    add_outcome(response, why);
    metrics_.value(metric::requests, {service, request::to_text(request::outcome::not_run)}).add();
    metrics_.value(metric::refusals, {service, request::to_text(why)}).add();
    exchange.respond(std::move(response));
}

} // namespace bulrushgw::node
