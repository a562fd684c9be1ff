#include "sidecar/entry.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

#include "dispatch/body_transfer.h"

namespace bulrushgw::sidecar {

namespace {

using request::reason;

/// For requests without a deadline header whose route has no timeout.
constexpr milliseconds default_timeout{10000};
/// If a route has no latency goal, the goal is the time from the arrival of the request to its
/// deadline, divided by this.
constexpr int default_aim_divisor = 2;
/// Limits the wait of a request for an owner of its key or for a target of its service. The limit
/// is the time from the arrival of the request to its deadline, divided by this. A planned move of
/// a key takes as long as the running requests that the move waits for. A takeover after a failure
/// takes longer than a client should be kept waiting.
constexpr int owner_wait_divisor = 3;
/// Upper bound on the number of nodes to which a request is sent in turn if each of them refuses
/// it.
constexpr std::uint32_t max_tries = 4;
/// Upper bound on the refusals of one request because of warm-ups, which do not count as tries.
/// While most targets of a service are cold, a caller should learn of it soon.
constexpr std::uint32_t max_warm_up_refusals = 4;
/// A request is not retried if less time than this is left, because the retry would not be answered
/// before the deadline.
constexpr milliseconds min_retry_time{20};
/// A stopping node takes a request if this multiple of the mean answer time of its route ends
/// before the exit. A higher one would refuse requests that are served in time: the clients of a
/// host have no other node until the platform moves them.
constexpr double max_answer_to_mean_ratio = 2;
constexpr int min_failure_status = 500; ///< lowest HTTP status code that counts as a failure
/// The connection to a node is probed after this many successive timeouts of requests to the node.
/// Any reply from the node resets the count.
constexpr int timeouts_before_probe = 2;

constexpr std::array<std::string_view, 9> connection_headers{
    "connection", "keep-alive",     "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "content-length", "transfer-encoding"};

bool is_same_header_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

/// The reply in place of a peer that did not get the request, or not all of it.
wire::forward_reply unsent_reply(std::uint64_t number, const std::string& request_id)
{
    wire::forward_reply reply;
    reply.number = number;
    reply.request_id = request_id;
    reply.outcome = wire::forward_outcome::not_run;
    reply.reason = request::to_text(reason::peer_unreachable);
    return reply;
}

std::string seconds_text(milliseconds time)
{
    std::array<char, 32> text{};
    constexpr double ms_per_s = 1000;
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(time.count()) / ms_per_s);
    return text.data();
}

} // namespace

entry::entry(net::loop& loop, entry_settings settings, const platform_protocol& protocol,
             std::uint64_t seed, hooks callbacks)
    : loop_(loop), settings_(std::move(settings)), protocol_(protocol), random_(seed),
      hooks_(std::move(callbacks)), picker_({settings_.zones}), parts_(make_part_sender())
{
}

part_sender entry::make_part_sender()
{
    part_sender::hooks hooks;
    hooks.now = [this] { return loop_.now(); };
    hooks.send = [this](const std::string& address, incarnation_id to, const wire::body& content) {
        return hooks_.send(address, to, content);
    };
    hooks.body_of = [this](std::uint64_t number) { return body_of(number); };
    hooks.call_on_rate_after = [this](milliseconds time) {
        loop_.after(time, [this] { parts_.on_rate(); });
    };
    return {settings_.link_mbps, std::move(hooks)};
}

void entry::set_retry_limits(const dispatch::allowance_settings& retries)
{
    settings_.retries = retries;
    on_directory();
}

void entry::answer_all_pending()
{
    while (!pending_.empty()) {
        auto& request = pending_.begin()->second;
        cancel_sent(request);
        refuse(request, reason::shut_down, default_retry_after, "the node stops");
    }
}

void entry::set_manifest(std::shared_ptr<const routing::route_index> routes)
{
    routes_ = std::move(routes);
}

net::http_response entry::make_response(const std::string& request_id, int status,
                                        const std::string& text) const
{
    net::http_response response;
    response.status = status;
    response.headers = {{"content-type", "text/plain"}};
    if (!request_id.empty()) {
        response.headers.push_back({protocol_.names.request_id, request_id});
    }
    response.body = text + "\n";
    return response;
}

void entry::log(std::string_view event, const pending_request& request,
                const journal::fields& details)
{
    const auto now = loop_.now();
    journal::fields line{
        {"request", request.request_id},
        {"route", request.route.name},
        {"service", request.service},
        {"rank", request.route.rank},
        {"age_ms", std::chrono::duration_cast<milliseconds>(now - request.arrived).count()},
        {"left_ms", std::chrono::duration_cast<milliseconds>(request.deadline - now).count()},
        {"manifest", routes_ ? routes_->content().version : 0},
        {"directory", hooks_.member().view().version}};
    if (request.key) {
        line["key"] = *request.key;
    }
    line.update(details);
    hooks_.log(event, line);
}

void entry::on_request(net::http_exchange exchange)
{
    ++counters_.requests;
    const auto& names = protocol_.names;
    const auto& headers = exchange.request.headers;
    const std::string request_id(net::find_header(headers, names.request_id).value_or(""));
    if (!routes_ || closed_) {
        ++counters_.refused;
        auto response =
            make_response(request_id, 503, closed_ ? "the node stops" : "no manifest is known yet");
        response.headers.push_back({names.retry_after, seconds_text(default_retry_after)});
        exchange.respond(std::move(response));
        return;
    }
    const auto* route =
        routes_->find(net::find_header(headers, "host").value_or(""), exchange.request.path);
    if (route == nullptr) {
        exchange.respond(make_response(request_id, 404, "no route"));
        return;
    }
    const auto now = loop_.now();
    pending_request request;
    request.id = next_id_++;
    request.route = *route;
    request.service = choose_destination(*route).service;
    const auto* service = routes_->find_service(request.service);
    request.sharded = service != nullptr && service->sharded;
    request.request_id = request_id;
    request.arrived = now;
    const auto client_time_left =
        parse_number<std::int64_t>(net::find_header(headers, names.deadline).value_or(""));
    const auto client_time =
        client_time_left ? std::optional{milliseconds{*client_time_left}} : std::nullopt;
    const auto already_spent =
        client_time ? time_spent_.observe(route->name, *client_time) : milliseconds{0};
    const auto limits = limits_of(*route, client_time, already_spent);
    request.client_deadline = now + limits.client_deadline;
    request.deadline = now + limits.deadline;
    request.aim = now + limits.aim;
    request.owner_wait_end = now + limits.owner_wait;
    const auto key =
        parse_number<std::uint32_t>(net::find_header(headers, names.shard_key).value_or(""));
    if (request.sharded && key && *key < assignment::key_count) {
        request.key = key;
        hooks_.on_keyed_request(request.service, *key);
    }
    request.body = std::make_shared<const std::string>(std::move(exchange.request.body));
    request.exchange = std::move(exchange);
    const std::uint64_t id = request.id;
    if (request.exchange.on_cancel) {
        *request.exchange.on_cancel = [this, id] {
            const auto found = pending_.find(id);
            if (found != pending_.end()) {
                ++counters_.abandoned;
                cancel_sent(found->second);
                loop_.cancel(found->second.timer);
                pending_.erase(found);
            }
        };
    }
    request.timer = loop_.after(limits.deadline, [this, id] { on_deadline(id); });
    retry_allowances_[request.service].on_request(now);
    auto& stored = pending_.emplace(id, std::move(request)).first->second;
    if (stored.sharded && !stored.key) {
        end(id, make_response(stored.request_id, 400,
                              "the service is divided by key, and the request "
                              "names none"));
        return;
    }
    dispatch(stored);
}

entry::time_limits entry::limits_of(const routing::route& route,
                                    std::optional<milliseconds> client_time,
                                    milliseconds already_spent)
{
    time_limits result;
    result.client_deadline = client_time
                                 ? std::clamp(*client_time, milliseconds{0}, wire::max_duration)
                                 : default_timeout;
    result.deadline = route.timeout.count() > 0 ? std::min(result.client_deadline, route.timeout)
                                                : result.client_deadline;
    const auto aim =
        route.aim.count() > 0 ? route.aim - already_spent : result.deadline / default_aim_divisor;
    result.aim = std::clamp(aim, milliseconds{0}, result.deadline);
    result.owner_wait = result.deadline / owner_wait_divisor;
    return result;
}

// Only what another attempt would add counts: a request that may have reached a target ends with
// an unknown outcome either way.
bool entry::ends_too_late(const pending_request& request) const
{
    const std::chrono::duration<double, std::milli> expected{
        max_answer_to_mean_ratio * answer_times_.expected_ms(request.route.name)};
    return exit_time_ && loop_.now() + std::chrono::ceil<milliseconds>(expected) > *exit_time_;
}

void entry::dispatch(pending_request& request)
{
    request.waits_for_owner = false;
    if (ends_too_late(request)) {
        refuse(request, reason::shut_down, default_retry_after, "the node stops");
        return;
    }
    if (request.sharded) {
        dispatch_keyed(request);
    }
    else {
        dispatch_balanced(request);
    }
}

void entry::dispatch_keyed(pending_request& request)
{
    take(request, step_for_key(request.route, request.service, *request.key));
}

void entry::take(pending_request& request, const step& next)
{
    switch (next.action) {
    case explained_action::send:
        send(request, next.owner.node, next.owner.address);
        return;
    case explained_action::wait:
        wait_for_owner(request, next.cause, next.why);
        return;
    case explained_action::refuse:
        refuse(request, next.why, next.retry_after, next.cause);
        return;
    }
}

void entry::dispatch_balanced(pending_request& request)
{
    const auto& view = hooks_.member().view();
    const auto candidates = candidates_for(request.route, request.service);
    if (candidates.empty()) {
        take(request, step_without_target(request.route, request.service));
        return;
    }
    const auto now = loop_.now();
    const auto aim =
        std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(request.aim - now));
    const auto picked = picker_.pick(now, candidates, request.avoid, aim, random_,
                                     {request.service, request.route.rank, request.body->size()});
    if (!picked && request.warm_up_refusals > 0) {
        refuse(request, reason::warming_up, request.warm_up_wait, "all targets refused");
        return;
    }
    if (!picked) {
        refuse(request, reason::overloaded, default_retry_after, "all targets refused");
        return;
    }
    // After a refusal because of a warm-up, the request may wait at the next target: the others may
    // be cold, too.
    request.has_alternative =
        request.warm_up_refusals == 0 && candidates.size() > request.avoid.size() + 1;
    const auto node = std::find_if(view.nodes.begin(), view.nodes.end(),
                                   [&](const auto& item) { return item.node == *picked; });
    zone_traffic_.on_sent(node->zone);
    send(request, *picked, node->address);
}

dispatch::sent_request entry::sent_of(const pending_request& request)
{
    return {request.node, request.sent, request.body->size()};
}

wire::forward entry::message_for(const pending_request& request) const
{
    const auto now = loop_.now();
    const auto& names = protocol_.names;
    wire::forward message;
    message.number = request.number;
    message.service = request.service;
    message.route = request.route.name;
    message.key = request.key ? std::to_string(*request.key) : std::string{};
    message.request_id = request.request_id;
    message.has_alternative = request.has_alternative;
    message.idempotent = request.route.idempotent;
    message.worth = request.route.rank;
    message.deadline = std::chrono::duration_cast<milliseconds>(request.deadline - now);
    message.aim =
        std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(request.aim - now));
    message.method = request.exchange.request.method;
    message.path = request.exchange.request.path;
    for (const auto& header : request.exchange.request.headers) {
        const bool skipped =
            is_same_header_name(header.name, names.request_id) ||
            is_same_header_name(header.name, names.deadline) ||
            is_same_header_name(header.name, names.expected_target) ||
            is_same_header_name(header.name, names.caller) ||
            std::any_of(connection_headers.begin(), connection_headers.end(),
                        [&](auto name) { return is_same_header_name(name, header.name); });
        if (!skipped) {
            message.headers.emplace_back(header.name, header.value);
        }
    }
    message.headers.emplace_back(names.caller, settings_.service);
    return message;
}

void entry::send(pending_request& request, incarnation_id node, const std::string& address)
{
    const auto id = request.id;
    request.number = next_number_++;
    request.node = node;
    request.address = address;
    request.sent = loop_.now();
    request.in_flight = true;
    ++request.tries;
    ++request.sends;
    requests_by_number_[request.number] = id;
    picker_.on_sent(sent_of(request));
    wire::forward message = message_for(request);
    const std::string& body = *request.body;
    const auto self = hooks_.self();
    if (node == self) {
        message.shared_body = request.body;
        // `run_locally` may complete synchronously. The reply is deferred, since it must not modify
        // the request that is being dispatched.
        hooks_.run_locally(
            {self, request.number}, std::move(message), [this, self](wire::forward_reply reply) {
                loop_.defer([this, self, reply = std::move(reply)] { on_reply(self, reply); });
            });
        return;
    }
    const bool in_parts = body.size() > dispatch::direct_body_bytes;
    if (in_parts) {
        message.body_bytes = body.size();
    }
    else {
        message.body = body;
    }
    if (!hooks_.send(address, node, std::move(message))) {
        loop_.defer([this, node, reply = unsent_reply(request.number, request.request_id)] {
            on_reply(node, reply);
        });
    }
    else if (in_parts) {
        parts_.begin(request.number, address, node);
    }
}

const std::string* entry::body_of(std::uint64_t number) const
{
    const auto found = requests_by_number_.find(number);
    const auto request =
        found == requests_by_number_.end() ? pending_.end() : pending_.find(found->second);
    return request == pending_.end() ? nullptr : request->second.body.get();
}

void entry::stop_parts(pending_request& request)
{
    if (parts_.stop(request.number)) {
        --request.sends;
    }
}

void entry::wait_for_owner(pending_request& request, const char* cause, reason why)
{
    if (loop_.now() >= request.owner_wait_end) {
        refuse(request, why, default_retry_after, cause);
        return;
    }
    request.waits_for_owner = true;
}

entry::pending_request* entry::find_in_flight(incarnation_id from, const wire::forward_reply& reply)
{
    const auto number = requests_by_number_.find(reply.number);
    const auto found =
        number == requests_by_number_.end() ? pending_.end() : pending_.find(number->second);
    const bool matches = found != pending_.end() && found->second.in_flight &&
                         found->second.number == reply.number && found->second.node == from &&
                         found->second.request_id == reply.request_id;
    if (!matches) {
        // The host of a target also replies to a cancellation after which nobody waits.
        counters_.foreign_replies += detail::is_cancellation_reply(reply) ? 0 : 1;
        return nullptr;
    }
    requests_by_number_.erase(number);
    return &found->second;
}

// Probes a node after successive timeouts, because the connection to the node may lose all data
// without reporting an error.
void entry::count_timeout(const pending_request& request)
{
    if (!request.in_flight || request.node == hooks_.self()) {
        return;
    }
    if (++successive_timeouts_[request.node] >= timeouts_before_probe) {
        successive_timeouts_.erase(request.node);
        hooks_.suspect(request.address, "requests got no reply");
    }
}

void entry::on_reply(incarnation_id from, const wire::forward_reply& reply)
{
    if (reply.outcome == wire::forward_outcome::answered && !net::is_final_status(reply.status)) {
        wire::forward_reply invalid;
        invalid.number = reply.number;
        invalid.request_id = reply.request_id;
        invalid.reason = request::to_text(reason::malformed_answer);
        on_reply(from, invalid);
        return;
    }
    successive_timeouts_.erase(from);
    if (pending_request* cancelled = find_cancelled(from, reply)) {
        on_reply_after_cancellation(*cancelled, reply);
        return;
    }
    pending_request* request = find_in_flight(from, reply);
    if (request == nullptr) {
        return;
    }
    request->in_flight = false;
    parts_.stop(request->number);
    const auto now = loop_.now();
    const auto sent = sent_of(*request);
    picker_.on_work_percent(now, from, reply.work_percent);
    picker_.on_intake_wait(now, from, reply.intake_wait);
    switch (reply.outcome) {
    case wire::forward_outcome::answered:
        if (reply.status >= min_failure_status) {
            picker_.on_failure(now, sent);
        }
        else {
            answer_times_.record(now, request->route.name, now - request->sent);
            picker_.on_answer(
                now, sent, std::chrono::duration_cast<milliseconds>(now - request->sent),
                static_cast<int>(reply.load),
                std::chrono::duration_cast<milliseconds>(request->aim - request->sent));
        }
        if (reply.status >= min_failure_status && try_spend_retry(*request)) {
            request->avoid.push_back(from);
            dispatch(*request);
            return;
        }
        deliver(*request, reply);
        return;
    case wire::forward_outcome::not_run:
    case wire::forward_outcome::not_owner:
        if (request::reason_of(reply.reason, reason::target_refused) == reason::target_refused) {
            picker_.on_target_refusal(now, sent, static_cast<int>(reply.load));
        }
        else if (request::reason_of(reply.reason, reason::none) == reason::warming_up) {
            picker_.on_warm_up_refusal(now, sent, static_cast<int>(reply.load), reply.retry_after);
        }
        else {
            picker_.on_refusal(now, sent, static_cast<int>(reply.load));
        }
        --request->sends;
        on_not_run(*request, reply);
        return;
    case wire::forward_outcome::unknown:
        picker_.on_failure(now, sent);
        on_unknown_outcome(*request, request::reason_of(reply.reason, reason::connection_lost));
        return;
    }
}

void entry::count_warm_up_refusal(pending_request& request, const wire::forward_reply& reply)
{
    ++counters_.warm_up_refusals;
    request.warm_up_wait = request.warm_up_refusals == 0
                               ? reply.retry_after
                               : std::min(request.warm_up_wait, reply.retry_after);
    ++request.warm_up_refusals;
}

void entry::on_not_run(pending_request& request, const wire::forward_reply& reply)
{
    const reason why = request::reason_of(reply.reason, reason::target_refused);
    if (why == reason::warming_up) {
        count_warm_up_refusal(request, reply);
    }
    if (request.sharded) {
        take(request,
             step_after_owner_refused(request.route, request.service, why, reply.retry_after));
        return;
    }
    request.avoid.push_back(request.node);
    // If the target itself refused, another attempt counts as a retry, because it would reach a
    // second target. If only the target's node refused, the request has not reached any target.
    const bool reached_target = why == reason::target_refused;
    if (reached_target && !retry_allowances_[request.service].try_spend(loop_.now())) {
        refuse(request, why, reply.retry_after, "no repeat is left for the service");
        return;
    }
    if (request.warm_up_refusals >= max_warm_up_refusals) {
        refuse(request, reason::warming_up, request.warm_up_wait, "several targets warm up");
        return;
    }
    if (request.tries - request.warm_up_refusals >= max_tries) {
        refuse(request, why, reply.retry_after, "several targets refused");
        return;
    }
    dispatch(request);
}

bool entry::try_spend_retry(pending_request& request)
{
    const auto now = loop_.now();
    const bool eligible = request.route.idempotent && request.sends < request.route.attempts &&
                          now + min_retry_time < request.deadline;
    if (!eligible || !retry_allowances_[request.service].try_spend(now)) {
        return false;
    }
    ++counters_.retries;
    return true;
}

void entry::on_unknown_outcome(pending_request& request, reason why)
{
    if (try_spend_retry(request)) {
        log("repeat", request, {{"cause", request::to_text(why)}, {"sends", request.sends}});
        request.avoid.push_back(request.node);
        dispatch(request);
        return;
    }
    fail(request, why == reason::deadline_sent ? 504 : 502, why);
}

void entry::on_disconnect(const std::string& address, std::optional<time_point> unsent_since)
{
    std::vector<std::uint64_t> affected;
    for (const auto& [id, request] : pending_) {
        const bool awaits_reply = request.in_flight || request.is_cancelled;
        if (awaits_reply && request.address == address && request.node != hooks_.self()) {
            affected.push_back(id);
        }
    }
    for (const auto id : affected) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            continue;
        }
        auto& request = found->second;
        wire::forward_reply reply;
        reply.number = request.number;
        reply.request_id = request.request_id;
        const bool unsent =
            parts_.is_sending(request.number) || (unsent_since && request.sent >= *unsent_since);
        reply.outcome = unsent ? wire::forward_outcome::not_run : wire::forward_outcome::unknown;
        reply.reason =
            request::to_text(unsent ? reason::peer_unreachable : reason::connection_lost);
        on_reply(request.node, reply);
    }
}

void entry::on_connection_reset(const std::string& address)
{
    std::vector<std::uint64_t> affected;
    for (const auto& [id, request] : pending_) {
        if (request.in_flight && request.address == address && request.node != hooks_.self()) {
            affected.push_back(id);
        }
    }
    for (const auto id : affected) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            continue;
        }
        auto& request = found->second;
        if (parts_.is_sending(request.number)) {
            on_reply(request.node, unsent_reply(request.number, request.request_id));
            continue;
        }
        if (!try_spend_retry(request)) {
            continue;
        }
        log("repeat", request, {{"cause", "the connection lost data"}, {"sends", request.sends}});
        request.in_flight = false;
        requests_by_number_.erase(request.number);
        picker_.on_end(sent_of(request));
        dispatch(request);
    }
}

void entry::on_directory()
{
    std::vector<incarnation_id> live;
    for (const auto& node : hooks_.member().view().nodes) {
        live.push_back(node.node);
    }
    picker_.keep(live);
    for (auto& [service, allowance] : retry_allowances_) {
        auto settings = settings_.retries;
        settings.nodes = static_cast<std::uint32_t>(std::max<std::size_t>(live.size(), 1));
        allowance.configure(settings);
    }
    on_tick();
}

void entry::on_tick()
{
    zone_traffic_.report(loop_.now(), picker_, hooks_.log);
    avoided_targets_.report(loop_.now(), picker_, hooks_.log);
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, request] : pending_) {
        if (request.waits_for_owner) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        const auto found = pending_.find(id);
        if (found != pending_.end()) {
            dispatch(found->second);
        }
    }
}

void entry::on_deadline(std::uint64_t id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    auto& request = found->second;
    ++counters_.timed_out;
    count_timeout(request);
    const bool was_in_flight = request.in_flight;
    if (was_in_flight) {
        picker_.on_overdue(loop_.now(), sent_of(request));
    }
    cancel_sent(request);
    if (was_in_flight && can_await_cancellation(request)) {
        await_cancellation(request);
    }
    else if (request.sends > 0) {
        fail(request, 504, reason::deadline_sent);
    }
    else {
        refuse(request, reason::deadline_not_sent, default_retry_after, "the time is over");
    }
}

void entry::cancel_sent(pending_request& request)
{
    if (std::exchange(request.is_cancelled, false)) {
        requests_by_number_.erase(request.number);
    }
    if (!request.in_flight) {
        return;
    }
    request.in_flight = false;
    stop_parts(request);
    requests_by_number_.erase(request.number);
    picker_.on_cancelled(loop_.now(), sent_of(request));
    const auto self = hooks_.self();
    if (request.node == self) {
        request.sends -= hooks_.cancel_locally({self, request.number}) ? 1 : 0;
    }
    else {
        hooks_.send(request.address, request.node, wire::cancel{request.number});
    }
}

void entry::deliver(pending_request& request, const wire::forward_reply& reply)
{
    ++counters_.answered;
    hooks_.on_answer_time(std::chrono::duration_cast<milliseconds>(loop_.now() - request.arrived));
    net::http_response response;
    response.status = reply.status;
    response.body = reply.body;
    for (const auto& [name, value] : reply.headers) {
        response.headers.push_back({name, value});
    }
    end(request.id, std::move(response));
}

milliseconds entry::add_jitter(milliseconds time)
{
    std::uniform_int_distribution<milliseconds::rep> extra(0, std::max<long>(time.count(), 20) / 2);
    return time + milliseconds{extra(random_)};
}

void entry::refuse(pending_request& request, reason why, milliseconds retry_after,
                   const std::string& cause)
{
    // After an attempt with an unknown outcome the request may have run, so it cannot be
    // reported as not run.
    if (request.sends > 0) {
        fail(request, 502, why);
        return;
    }
    ++counters_.refused;
    counters_.refused_evacuated += why == reason::zone_evacuated ? 1 : 0;
    counters_.refused_by_region += why == reason::no_target_in_region ? 1 : 0;
    const milliseconds wait =
        add_jitter(retry_after.count() > 0 ? retry_after : default_retry_after);
    log("refused", request,
        {{"reason", request::to_text(why)},
         {"cause", cause},
         {"tries", request.tries},
         {"node", to_string(request.node)},
         {"retry_after_ms", wait.count()}});
    auto response = make_response(request.request_id, 503, cause);
    response.headers.push_back({protocol_.names.retry_after, seconds_text(wait)});
    end(request.id, std::move(response));
}

void entry::fail(pending_request& request, int status, reason why)
{
    ++counters_.unknown;
    log("failed", request,
        {{"reason", request::to_text(why)},
         {"status", status},
         {"sends", request.sends},
         {"node", to_string(request.node)}});
    end(request.id, make_response(request.request_id, status, "the outcome is not known"));
}

void entry::end(std::uint64_t id, net::http_response response)
{
    auto extracted = pending_.extract(id);
    loop_.cancel(extracted.mapped().timer);
    extracted.mapped().exchange.respond(std::move(response));
}

} // namespace bulrushgw::sidecar
