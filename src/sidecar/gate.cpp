#include "sidecar/gate.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>
#include <vector>

#include "sidecar/target_answer.h"

namespace bulrushgw::sidecar {

namespace {

using request::reason;

/// The gate waits this long after the deadline of a request, because the target may still answer
/// that the deadline has passed.
constexpr milliseconds answer_grace{60};
/// Longest time for which a request waits until the target confirms the grant of its key.
constexpr milliseconds max_grant_wait{150};
constexpr milliseconds grant_poll_interval{10};
/// Upper bound on the connections to the target for requests. A target is expected to have fewer
/// slots than this, and its slots limit the admission of requests.
constexpr std::size_t max_connections = 64;
/// Upper bound on the connections to the target for the calls of `gate::order`, and for those of
/// `gate::order_on_new_connection`. A release occupies its connection until the running requests
/// for its keys have ended, and grants must not wait for releases.
constexpr std::size_t max_order_connections = 16;
constexpr std::size_t max_answer_bytes = std::size_t{768} * 1024;
constexpr std::size_t max_order_answer_bytes = std::size_t{16} * 1024;
constexpr int min_failure_status = 500; ///< lowest HTTP status code that counts as a failure
/// A stopping node expects a request to run for at most this multiple of its mean run time. Run
/// times vary by about as much as their mean, so nearly all runs end within four times the mean.
constexpr int max_run_to_mean_ratio = 4;
/// A request or health check that cannot be written within this time after its start is not sent
/// to a cold target. `dispatch::warm_up_limiter` allows for this time
/// between the starts of requests and their arrivals.
constexpr milliseconds max_write_delay{100};

/// True if the target did not accept a connection. A call that ends as `not_sent` waited for one of
/// the connections here, or was held back or invalid, which tells nothing about the target.
bool is_refused(const net::http_result& result)
{
    return !result.response && result.failure == net::http_failure::connect;
}

} // namespace

gate::gate(net::loop& loop, net::endpoint target, const platform_protocol& protocol,
           target_watch& watch, hooks callbacks)
    : loop_(loop), target_(std::move(target)), protocol_(protocol), watch_(watch),
      hooks_(std::move(callbacks)), http_(loop, max_connections, max_answer_bytes,
                                          net::http_client::connection_reuse::allowed, continuity_),
      orders_(loop, max_order_connections, max_order_answer_bytes,
              net::http_client::connection_reuse::allowed, continuity_),
      separate_orders_(loop, max_order_connections, max_order_answer_bytes,
                       net::http_client::connection_reuse::never, continuity_),
      limiter_(loop.now())
{
    queue_.set_limiter(&limiter_);
}

std::uint32_t gate::key_of(const wire::forward& request)
{
    std::uint32_t key = 0;
    std::from_chars(request.key.data(), request.key.data() + request.key.size(), key);
    return key;
}

std::optional<reason> gate::refusal_for(const wire::forward& request) const
{
    if (is_evacuated()) {
        return reason::zone_evacuated;
    }
    if (watch_.status().service != request.service || !watch_.accepts(loop_.now())) {
        return reason::no_target;
    }
    const bool not_owned =
        !request.key.empty() &&
        hooks_.may_serve(request.service, key_of(request)) == assignment::serve_verdict::not_owner;
    return not_owned ? std::optional{reason::not_owner} : std::nullopt;
}

void gate::run(request_key key, wire::forward request, completion done)
{
    if (history_.is_cancelled(key)) {
        return;
    }
    const auto now = loop_.now();
    const dispatch::ticket id = next_ticket_++;
    active_request entry;
    entry.key = key;
    entry.deadline = now + request.deadline;
    entry.request = std::move(request);
    entry.done = std::move(done);
    const auto& stored = active_.emplace(id, std::move(entry)).first->second;
    tickets_[key] = id;
    if (is_evacuated()) {
        refuse_evacuated(id);
        return;
    }
    if (watch_.status().service != stored.request.service || !watch_.accepts(now)) {
        refuse(id, reason::no_target, milliseconds{0}, "the target does not accept requests");
        return;
    }
    if (!stored.request.key.empty()) {
        wait_for_grant(id, std::min(now + max_grant_wait, stored.deadline));
        return;
    }
    admit(id);
}

void gate::run_later(request_key key, wire::forward request, completion done)
{
    arrivals_.insert_or_assign(key, arrival{std::move(request), std::move(done)});
    loop_.defer([this, key] { run_arrival(key); });
}

void gate::run_arrival(request_key key)
{
    auto found = arrivals_.extract(key);
    if (!found.empty()) {
        run(key, std::move(found.mapped().request), std::move(found.mapped().done));
    }
}

void gate::wait_for_grant(dispatch::ticket id, time_point until)
{
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    const auto& request = found->second.request;
    const auto verdict = hooks_.may_serve(request.service, key_of(request));
    if (verdict == assignment::serve_verdict::serve) {
        admit(id);
    }
    else if (verdict == assignment::serve_verdict::pending && loop_.now() < until) {
        loop_.after(grant_poll_interval, [this, id, until] { wait_for_grant(id, until); });
    }
    else {
        refuse(id, reason::not_owner, milliseconds{0}, "the target does not hold the key");
    }
}

bool gate::ends_too_late(const wire::forward& request) const
{
    return exit_time_ &&
           loop_.now() + max_run_to_mean_ratio * queue_.expected(request.route) > *exit_time_;
}

void gate::admit(dispatch::ticket id)
{
    const auto& entry = active_.at(id);
    const auto now = loop_.now();
    if (ends_too_late(entry.request)) {
        refuse(id, reason::shut_down, milliseconds{0}, "the node stops");
        return;
    }
    auto waiting = waiting_for(id, entry.request, now, entry.deadline);
    send_due_check();
    apply(queue_.offer(now, std::move(waiting)));
}

dispatch::waiting_request gate::waiting_for(dispatch::ticket id, const wire::forward& request,
                                            time_point now, time_point deadline)
{
    dispatch::waiting_request waiting;
    waiting.id = id;
    waiting.kind = request.route;
    waiting.rank = request.worth;
    waiting.aim = now + request.aim;
    waiting.deadline = deadline;
    waiting.has_alternative = request.has_alternative;
    return waiting;
}

void gate::apply(const dispatch::slot_decisions& decisions)
{
    for (const auto& refused : decisions.refuse) {
        if (refused.cause == dispatch::refusal_cause::warm_up_limit) {
            ++warm_up_refusals_;
            refuse(refused.id, reason::warming_up, refused.retry_after, "the target warms up");
        }
        else {
            refuse(refused.id, reason::overloaded, refused.retry_after,
                   "the target cannot answer the request in time");
        }
    }
    for (const auto id : decisions.start) {
        start(id);
    }
    schedule_start();
}

void gate::schedule_start()
{
    const bool waits = check_ || queue_.queued() > 0;
    const auto now = loop_.now();
    const auto next = limiter_.next_start(now);
    if (!waits || next <= now || start_scheduled_) {
        return;
    }
    start_scheduled_ = true;
    loop_.after(std::chrono::ceil<milliseconds>(next - now), [this] {
        start_scheduled_ = false;
        on_tick();
    });
}

bool gate::may_write(time_point started) const
{
    return !limiter_.is_limiting() || loop_.now() - started <= max_write_delay;
}

net::http_request gate::message_for(active_request& entry) const
{
    auto& request = entry.request;
    const auto left =
        std::chrono::duration_cast<milliseconds>(entry.deadline - loop_.now()).count();
    net::http_request message;
    message.method = request.method;
    message.path = request.path;
    message.body = std::move(request.body);
    for (const auto& [name, value] : request.headers) {
        message.headers.push_back({name, value});
    }
    message.headers.push_back({protocol_.names.request_id, request.request_id});
    message.headers.push_back({protocol_.names.deadline, std::to_string(std::max<long>(left, 1))});
    message.headers.push_back({protocol_.names.expected_target, entry.target_id});
    return message;
}

void gate::start(dispatch::ticket id)
{
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    auto& entry = found->second;
    const auto now = loop_.now();
    const auto& request = entry.request;
    const bool owned = request.key.empty() || hooks_.may_serve(request.service, key_of(request)) ==
                                                  assignment::serve_verdict::serve;
    if (is_evacuated()) {
        refuse_evacuated(id);
        return;
    }
    if (!owned || !watch_.accepts(now)) {
        refuse(id, owned ? reason::no_target : reason::not_owner, milliseconds{0},
               "the target stopped accepting the request while it was queued");
        return;
    }
    if (ends_too_late(request)) {
        refuse(id, reason::shut_down, milliseconds{0}, "the node stops");
        return;
    }
    if (!covers_work(entry)) {
        wait_for_renewal(id, entry);
        return;
    }
    entry.sent = true;
    history_.on_sent(entry.key);
    entry.target_id = watch_.status().id;
    const auto left = std::chrono::duration_cast<milliseconds>(entry.deadline - now);
    entry.call = http_.send(
        target_, message_for(entry), left + answer_grace,
        [this, id](const net::http_result& result) { on_result(id, result); },
        [this, id, now] {
            const bool allowed = may_write(now);
            if (const auto written = active_.find(id); written != active_.end()) {
                written->second.is_late = !allowed;
                written->second.session = target_session();
            }
            return allowed;
        },
        [this, expected = request.request_id](const net::http_response& head,
                                              bool is_new_connection) {
            return judge_head(protocol_.names, head, expected, is_new_connection);
        },
        request.shared_body);
}

// A renewal does not extend the hold of a run that has begun, so a run that starts just before the
// renewal would be cut off.
bool gate::covers_work(const active_request& entry) const
{
    const auto& request = entry.request;
    return request.key.empty() ||
           hooks_.covers_work(request.service, key_of(request), queue_.expected(request.route));
}

void gate::wait_for_renewal(dispatch::ticket id, active_request& entry)
{
    const auto now = loop_.now();
    if (!entry.renewal_limit) {
        entry.renewal_limit = std::min(now + max_grant_wait, entry.deadline);
        ++renewal_waits_;
    }
    if (now >= *entry.renewal_limit) {
        refuse(id, reason::not_owner, milliseconds{0}, "the hold of the key was not renewed");
        return;
    }
    loop_.after(grant_poll_interval, [this, id] { start(id); });
}

wire::forward_reply gate::reply_for(const active_request& entry, const net::http_response& answer)
{
    wire::forward_reply reply;
    reply.number = entry.request.number;
    reply.request_id = entry.request.request_id;
    const auto verdict = judge_answer(protocol_.names, answer);
    reply.outcome = verdict.outcome;
    reply.reason = request::to_text(verdict.why);
    if (verdict.outcome != wire::forward_outcome::answered) {
        return reply;
    }
    reply.status = answer.status;
    reply.body = answer.body;
    for (const auto& header : answer.headers) {
        if (header.name != "server" && header.name != "date" && header.name != "keep-alive" &&
            header.name != "connection" && header.name != "content-length" &&
            header.name != "transfer-encoding") {
            reply.headers.emplace_back(header.name, header.value);
        }
    }
    return reply;
}

void gate::on_result(dispatch::ticket id, const net::http_result& result)
{
    const auto now = loop_.now();
    const auto found = active_.find(id);
    const bool answered = result.response.has_value();
    const bool not_run = is_unwritten(result);
    const bool is_late = found != active_.end() && found->second.is_late;
    if (answered) {
        observe_load(*result.response);
    }
    const bool is_other =
        answered && found != active_.end() && found->second.target_id == watch_.status().id &&
        is_from_other_target(protocol_.names, *result.response, found->second.target_id);
    if (is_other) {
        watch_.on_other_target(now);
    }
    else if (answered) {
        watch_.on_answer(now);
        // A target that is not the expected one refuses the request.
        if (found != active_.end() && result.response->status < min_failure_status &&
            judge_answer(protocol_.names, *result.response).outcome ==
                wire::forward_outcome::answered) {
            hooks_.on_identified(found->second.session, found->second.target_id);
        }
    }
    else if (is_refused(result) && found != active_.end()) {
        // A call that was cancelled before it had a connection proves nothing about the target.
        watch_.on_refused(now);
    }
    else if (found != active_.end() && result.failure == net::http_failure::timeout) {
        watch_.on_no_answer(now);
    }
    if (found != active_.end()) {
        auto& entry = found->second;
        wire::forward_reply reply;
        if (answered) {
            reply = reply_for(entry, *result.response);
        }
        else {
            reply.number = entry.request.number;
            reply.request_id = entry.request.request_id;
            reply.outcome =
                not_run ? wire::forward_outcome::not_run : wire::forward_outcome::unknown;
            const reason why =
                is_late                                          ? reason::warming_up
                : not_run                                        ? reason::no_target
                : result.failure == net::http_failure::timeout   ? reason::deadline_sent
                : result.failure == net::http_failure::malformed ? reason::malformed_answer
                                                                 : reason::connection_lost;
            reply.reason = request::to_text(why);
            warm_up_refusals_ += is_late ? 1 : 0;
            hooks_.on_failure(entry.request, why,
                              is_late ? "the connection to the cold target took too long"
                                      : "the target sent no complete answer");
        }
        finish(id, std::move(reply));
    }
    const bool ran = answered && result.response->status < min_failure_status;
    send_due_check();
    apply(queue_.finish(now, id, ran));
    hooks_.on_target_changed();
}

void gate::refuse(dispatch::ticket id, reason why, milliseconds retry_after,
                  const std::string& cause)
{
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    wire::forward_reply reply;
    reply.number = found->second.request.number;
    reply.request_id = found->second.request.request_id;
    reply.outcome = why == reason::not_owner ? wire::forward_outcome::not_owner
                                             : wire::forward_outcome::not_run;
    reply.reason = request::to_text(why);
    reply.retry_after = retry_after;
    hooks_.on_failure(found->second.request, why, cause);
    queue_.cancel_queued(id);
    finish(id, std::move(reply));
    // `start` may refuse a request that already took a slot: free the slot.
    apply(queue_.finish(loop_.now(), id, false));
}

void gate::finish(dispatch::ticket id, wire::forward_reply reply)
{
    auto extracted = active_.extract(id);
    tickets_.erase(extracted.mapped().key);
    reply.load = static_cast<std::uint32_t>(load());
    reply.work_percent = queue_.work_percent(loop_.now());
    extracted.mapped().done(std::move(reply));
}

bool gate::cancel(request_key key)
{
    if (arrivals_.erase(key) > 0) {
        return true;
    }
    const auto found = tickets_.find(key);
    if (found == tickets_.end()) {
        return history_.cancel(key);
    }
    const dispatch::ticket id = found->second;
    const auto entry = active_.extract(id);
    tickets_.erase(found);
    if (entry.mapped().sent) {
        // `on_result` frees the slot once the connection is closed.
        return http_.cancel(entry.mapped().call);
    }
    if (!queue_.cancel_queued(id)) {
        // The request may have a slot while it waits for a renewal.
        apply(queue_.finish(loop_.now(), id, false));
    }
    return true;
}

void gate::on_target()
{
    const bool ready = watch_.accepts(loop_.now());
    queue_.set_slots(ready ? watch_.status().slots : 0);
    on_tick();
}

void gate::refuse_evacuated(dispatch::ticket id)
{
    ++evacuation_refusals_;
    refuse(id, reason::zone_evacuated, milliseconds{0}, "the zone is under evacuation");
}

void gate::set_start_bound(const dispatch::start_bound& bound)
{
    limiter_.set_bound(bound);
    on_tick();
}

void gate::set_cold(bool cold)
{
    limiter_.set_cold(cold);
    on_tick();
}

void gate::check(const net::http_request& request, milliseconds timeout,
                 std::function<void(const net::http_result&)> done)
{
    check_ = pending_check{request, timeout, std::move(done)};
    send_due_check();
    schedule_start();
}

void gate::send_due_check()
{
    const auto now = loop_.now();
    if (!check_ || limiter_.next_start(now) > now) {
        return;
    }
    limiter_.on_start(now);
    const auto due = std::exchange(check_, std::nullopt);
    const auto latest = now + (limiter_.is_limiting() ? max_write_delay : due->timeout);
    const auto session = std::make_shared<std::uint64_t>(0);
    send_order(
        orders_, due->request, due->timeout,
        [this, latest, session] {
            *session = target_session();
            return loop_.now() <= latest;
        },
        [this, session, done = due->done](const net::http_result& result) {
            const auto id = result.response ? net::find_header(result.response->headers,
                                                               protocol_.names.target_id)
                                            : std::nullopt;
            if (id && !id->empty()) {
                hooks_.on_identified(*session, std::string(*id));
            }
            done(result);
        });
}

void gate::observe_load(const net::http_response& answer)
{
    const auto header = net::find_header(answer.headers, protocol_.names.load);
    if (header) {
        if (const auto load = protocol_.parse_load(*header)) {
            queue_.set_work_percent(loop_.now(), load->work_percent);
        }
    }
}

void gate::on_tick()
{
    if (is_evacuated()) {
        std::vector<dispatch::ticket> waiting;
        for (const auto& [id, entry] : active_) {
            if (!entry.sent) {
                waiting.push_back(id);
            }
        }
        // Taken out of the queue first, so that a refusal starts no other request.
        queue_.clear();
        for (const auto id : waiting) {
            refuse_evacuated(id);
        }
    }
    send_due_check();
    apply(queue_.on_tick(loop_.now()));
}

void gate::order(const net::http_request& request, milliseconds timeout, milliseconds latest_write,
                 std::function<void(const net::http_result&)> done)
{
    send_order(
        orders_, request, timeout,
        [this, latest = loop_.now() + latest_write, session = target_session()] {
            return loop_.now() <= latest && session == target_session();
        },
        std::move(done));
}

void gate::order_on_new_connection(const net::http_request& request, milliseconds timeout,
                                   std::function<void(const net::http_result&)> done)
{
    send_order(separate_orders_, request, timeout, {}, std::move(done));
}

void gate::send_order(net::http_client& client, const net::http_request& request,
                      milliseconds timeout, std::function<bool()> may_write,
                      std::function<void(const net::http_result&)> done)
{
    const auto on_result = [this, done = std::move(done)](const net::http_result& result) {
        const auto now = loop_.now();
        if (result.response) {
            observe_load(*result.response);
            watch_.on_answer(now);
        }
        else if (is_refused(result)) {
            watch_.on_refused(now);
        }
        else if (!is_unwritten(result)) {
            watch_.on_no_answer(now);
        }
        done(result);
        hooks_.on_target_changed();
    };
    client.send(target_, request, timeout, on_result, std::move(may_write));
}

} // namespace bulrushgw::sidecar
