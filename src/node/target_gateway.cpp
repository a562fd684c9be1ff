#include "node/target_gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "common/hash.h"

namespace bulrushgw::node {

namespace {

constexpr std::size_t max_target_connections = 100;
constexpr std::size_t max_response_bytes = 768 * 1024;
// A request of a keyed service must finish this long before the lease ends, so that a cancellation
// can still reach the target. The expiry of the grants alone is not enough: a target that checks
// fences rejects requests that it reads after the expiry, but a target that froze would finish a
// request that it had already started.
constexpr milliseconds lease_margin{50};
constexpr milliseconds min_time_for_target{5};
// Ranges with a lower request rate are no longer tracked.
constexpr double min_tracked_requests_per_second = 0.01;
// Maximum number of queued requests per slot of the target if the rules define no limit.
constexpr std::uint32_t queue_per_slot = 4;

using request::reason;

std::uint64_t fingerprint_of(const wire::forward& request)
{
    return hash_pair(hash_pair(hash_bytes(request.method), hash_bytes(request.path)),
                     hash_bytes(request.body));
}

request::request_key duplicate_key(const wire::forward& request)
{
    return {request.service, request.range, request.request_id};
}

wire::forward_outcome outcome_of(reason why)
{
    switch (request::info_of(why).result) {
    case request::outcome::answered:
        return wire::forward_outcome::answered;
    case request::outcome::not_run:
        return wire::forward_outcome::not_run;
    case request::outcome::unknown:
        break;
    }
    return wire::forward_outcome::unknown;
}

} // namespace

target_gateway::target_gateway(net::loop& loop, unsigned drift_permille, std::size_t max_queued,
                               request::duplicate_settings duplicates,
                               target_link::hooks link_hooks, hooks hooks)
    : loop_(loop), hooks_(std::move(hooks)),
      http_(loop, max_target_connections, max_response_bytes),
      link_(loop, http_, drift_permille,
            [this, &link_hooks] {
                link_hooks.may_renew = [this] {
                    return !admission_ || !admission_->is_suspect(loop_.now());
                };
                link_hooks.on_probe_sent = [this] {
                    if (admission_) {
                        admission_->on_probe_sent(loop_.now());
                    }
                };
                link_hooks.on_target_answer = [this] {
                    if (admission_) {
                        admission_->on_target_answer(loop_.now());
                    }
                };
                link_hooks.on_restarted = [this] {
                    if (admission_) {
                        admission_->on_restart(loop_.now());
                    }
                };
                return std::move(link_hooks);
            }()),
      duplicates_(duplicates), max_queued_(static_cast<std::uint32_t>(max_queued))
{
}

void target_gateway::run(forward_key key, wire::forward request, completion on_reply)
{
    if (const auto why = refusal_of(request)) {
        on_reply(reply_to(request, *why));
        return;
    }
    pending_request entry;
    entry.key = key;
    entry.deadline = loop_.now() + request.deadline;
    entry.keyed = !hooks_.is_balanced(request.service);
    entry.request = std::move(request);
    wire::forward_reply known;
    if (!entry.request.idempotent) {
        if (check_duplicate(entry, known)) {
            on_reply(std::move(known));
            return;
        }
        entry.recorded = true;
    }
    entry.on_reply = std::move(on_reply);
    if (entry.keyed) {
        ++arrivals_since_update_[entry.request.range];
    }
    const request::ticket id = next_ticket_++;
    const request::queued_request offered{id, entry.request.worth, entry.deadline};
    change_pending_count(entry.request.service, entry.request.range, 1);
    tickets_[key] = id;
    pending_.emplace(id, std::move(entry));
    admission_->offer(loop_.now(), offered);
    run_admission_effects();
}

std::optional<reason> target_gateway::refusal_of(const wire::forward& request) const
{
    const auto& target = link_.target();
    if (!target || !admission_) {
        return reason::no_target;
    }
    if (target->service != request.service) {
        return reason::not_owner;
    }
    if (hooks_.is_balanced(request.service)) {
        return draining_ ? std::optional(reason::draining) : std::nullopt;
    }
    const auto decision = hooks_.may_serve(request.service, request.range);
    // The target would reject a request if it has not confirmed the grant of the range.
    const bool ready = decision.allowed && link_.is_granted(request.range, decision.token);
    return ready ? std::nullopt : std::optional(reason::not_owner);
}

/// Returns true if the request must not run. `reply` is then the reply to the request.
bool target_gateway::check_duplicate(const pending_request& entry, wire::forward_reply& reply)
{
    const auto check = duplicates_.begin(loop_.now(), duplicate_key(entry.request),
                                         entry.request.attempt, fingerprint_of(entry.request));
    switch (check.verdict) {
    case request::duplicate_verdict::run:
        return false;
    case request::duplicate_verdict::in_progress:
        reply = reply_to(entry.request, reason::in_progress);
        return true;
    case request::duplicate_verdict::history_lost:
        reply = reply_to(entry.request, reason::history_lost);
        return true;
    case request::duplicate_verdict::id_reused:
        reply = reply_to(entry.request, reason::request_id_reused);
        return true;
    case request::duplicate_verdict::full:
        reply = reply_to(entry.request, reason::history_full);
        return true;
    case request::duplicate_verdict::replay:
        break;
    }
    reply = reply_to(entry.request, check.answer->why);
    reply.status = check.answer->status;
    reply.headers = check.answer->headers;
    reply.body = check.answer->body;
    return true;
}

void target_gateway::run_admission_effects()
{
    // Starting or rejecting a request may add further effects, which the next iteration takes.
    for (auto effects = admission_->take_effects(); !effects.empty();
         effects = admission_->take_effects()) {
        for (const auto& effect : effects) {
            if (const auto* begin = std::get_if<request::start_request>(&effect)) {
                start(begin->id);
            }
            else if (const auto* drop = std::get_if<request::refuse_request>(&effect)) {
                refuse(drop->id, drop->why);
            }
            else if (std::holds_alternative<request::target_went_silent>(effect)) {
                // Ending the incarnation cancels requests and thereby modifies `admission_`, which
                // must not happen inside this loop.
                loop_.after(milliseconds{0}, [this] { hooks_.on_target_silent(idle_from()); });
            }
        }
    }
}

milliseconds target_gateway::time_for_target(const pending_request& entry) const
{
    const time_point now = loop_.now();
    time_point end = entry.deadline;
    if (entry.keyed) {
        const auto decision = hooks_.may_serve(entry.request.service, entry.request.range);
        end = std::min(end, decision.lease_end - lease_margin);
    }
    return std::chrono::duration_cast<milliseconds>(end - now);
}

net::http_request target_gateway::message_for(const pending_request& entry,
                                              milliseconds time_left) const
{
    net::http_request message;
    message.method = entry.request.method;
    message.path = entry.request.path;
    for (const auto& [name, value] : entry.request.headers) {
        message.headers.push_back({name, value});
    }
    message.headers.push_back({"Bulrush-Request-Id", entry.request.request_id});
    message.headers.push_back({"Bulrush-Deadline-Ms", std::to_string(time_left.count())});
    message.headers.push_back({"Bulrush-Service", entry.request.service});
    message.headers.push_back({"Bulrush-Key", entry.request.key});
    if (entry.keyed) {
        message.headers.push_back({"Bulrush-Range", std::to_string(entry.request.range.value)});
        message.headers.push_back({"Bulrush-Fence", std::to_string(entry.token.value)});
    }
    message.body = entry.request.body;
    return message;
}

void target_gateway::start(request::ticket id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    pending_request& entry = found->second;
    entry.started = true;
    // Check the ownership again, because it may have changed while the request was queued.
    if (const auto why = refusal_of(entry.request)) {
        refuse(id, *why);
        return;
    }
    if (entry.keyed) {
        entry.token = hooks_.may_serve(entry.request.service, entry.request.range).token;
    }
    const milliseconds time_left = time_for_target(entry);
    if (time_left < min_time_for_target) {
        const bool limited_by_lease = entry.deadline - loop_.now() >= min_time_for_target;
        refuse(id, limited_by_lease ? reason::lease_over : reason::deadline_not_sent);
        return;
    }
    ++counters_.started;
    entry.written = loop_.now();
    if (entry.keyed) {
        latest_run_deadline_ = std::max(latest_run_deadline_, entry.written + time_left);
    }
    entry.call_active = true;
    const auto message = message_for(entry, time_left);
    const auto call = http_.send(
        link_.target()->address, message, time_left,
        [this, id](const net::http_result& result) { on_result(id, result); },
        [this, id] { return check_before_write(id); });
    const auto still_pending = pending_.find(id);
    if (still_pending != pending_.end()) {
        still_pending->second.call = call;
    }
}

/// Last check of the ownership before the first byte is written. It can't detect a pause of this
/// process between the check and the write; docs/design.md section 4 describes this window.
bool target_gateway::check_before_write(request::ticket id)
{
    const auto found = pending_.find(id);
    if (found == pending_.end() || found->second.end_reason) {
        return false;
    }
    pending_request& entry = found->second;
    if (entry.keyed) {
        const auto decision = hooks_.may_serve(entry.request.service, entry.request.range);
        if (!decision.allowed || decision.token != entry.token) {
            ++counters_.lease_checks_failed;
            entry.end_reason = reason::not_owner;
            return false;
        }
    }
    loop_.after(milliseconds{0}, [this, id] {
        const auto written = pending_.find(id);
        if (written == pending_.end() || !written->second.keyed) {
            return;
        }
        const auto& request = written->second.request;
        const auto decision = hooks_.may_serve(request.service, request.range);
        if (decision.refusal == ownership::serve_refusal::lease_over && !decision.allowed) {
            ++counters_.written_after_lease;
            cancel_started(written->second, reason::cancelled_sent);
        }
    });
    return true;
}

/// A frozen target that resumes may execute requests that are still in its socket buffer. It
/// executes none of them after the deadline of the request or after the expiry of its grant.
time_point target_gateway::idle_from() const
{
    const time_point by_link = link_.idle_from();
    return by_link <= loop_.now() ? by_link : std::max(by_link, latest_run_deadline_);
}

wire::forward_reply target_gateway::reply_to(const wire::forward& request, reason why) const
{
    wire::forward_reply reply;
    reply.number = request.number;
    reply.request_id = request.request_id;
    reply.outcome = why == reason::not_owner ? wire::forward_outcome::not_owner : outcome_of(why);
    reply.reason = request::to_text(why);
    reply.version = hooks_.version_of(request.service);
    reply.status = request::info_of(why).status;
    return reply;
}

wire::forward_reply target_gateway::reply_from(const pending_request& entry,
                                               const net::http_result& result) const
{
    if (result.response) {
        const auto& response = *result.response;
        if (const auto not_run = net::find_header(response.headers, "Bulrush-Not-Run")) {
            const bool stale = response.status == 409;
            return reply_to(entry.request, stale ? reason::stale_fence : reason::target_refused);
        }
        wire::forward_reply reply = reply_to(entry.request, reason::none);
        reply.status = response.status;
        for (const auto& header : response.headers) {
            reply.headers.emplace_back(header.name, header.value);
        }
        reply.body = response.body;
        return reply;
    }
    switch (result.failure) {
    case net::http_failure::connect:
        return reply_to(entry.request, reason::no_target);
    case net::http_failure::not_sent:
        return reply_to(entry.request, entry.end_reason.value_or(reason::no_target));
    case net::http_failure::timeout:
        return reply_to(entry.request, reason::deadline_sent);
    case net::http_failure::closed:
        return reply_to(entry.request, entry.end_reason.value_or(reason::connection_lost));
    case net::http_failure::malformed:
        break;
    }
    return reply_to(entry.request, reason::malformed_answer);
}

void target_gateway::on_result(request::ticket id, const net::http_result& result)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    found->second.call_active = false;
    if (result.response) {
        link_.on_answer(*result.response);
        ++counters_.answered;
        hooks_.on_target_time(
            std::chrono::duration_cast<milliseconds>(loop_.now() - found->second.written));
    }
    const auto kind =
        result.response ? request::finish_kind::answered : request::finish_kind::no_answer;
    auto reply = reply_from(found->second, result);
    if (admission_) {
        admission_->finish(loop_.now(), id, kind);
    }
    finish(id, std::move(reply));
    if (admission_) {
        run_admission_effects();
    }
}

void target_gateway::refuse(request::ticket id, reason why)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    if (found->second.started && admission_) {
        admission_->finish(loop_.now(), id, request::finish_kind::no_answer);
    }
    finish(id, reply_to(found->second.request, why));
}

void target_gateway::finish(request::ticket id, wire::forward_reply reply)
{
    const auto found = pending_.find(id);
    pending_request entry = std::move(found->second);
    pending_.erase(found);
    const auto ticket = tickets_.find(entry.key);
    if (ticket != tickets_.end() && ticket->second == id) {
        tickets_.erase(ticket);
    }
    if (entry.recorded) {
        request::final_answer answer;
        // Like a rejection, the outcome `not_owner` means that the request was not executed.
        answer.why = reply.outcome == wire::forward_outcome::not_owner
                         ? reason::not_owner
                         : request::reason_of(reply.reason, reason::connection_lost);
        answer.status = reply.status;
        answer.headers = reply.headers;
        answer.body = reply.body;
        duplicates_.complete(loop_.now(), duplicate_key(entry.request), std::move(answer));
    }
    entry.on_reply(std::move(reply));
    change_pending_count(entry.request.service, entry.request.range, -1);
}

void target_gateway::change_pending_count(const std::string& service, range_id range, int change)
{
    const auto key = std::make_pair(service, range);
    std::size_t& count = pending_counts_[key];
    count = static_cast<std::size_t>(static_cast<std::int64_t>(count) + change);
    const std::size_t current = count;
    if (count == 0) {
        pending_counts_.erase(key);
    }
    hooks_.on_in_flight(service, range, current);
}

void target_gateway::cancel(forward_key key)
{
    const auto ticket = tickets_.find(key);
    if (ticket == tickets_.end()) {
        return;
    }
    const request::ticket id = ticket->second;
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    if (found->second.call_active) {
        cancel_started(found->second, reason::cancelled_sent);
    }
    else if (admission_ && admission_->cancel_queued(loop_.now(), id)) {
        refuse(id, reason::cancelled_not_sent);
        run_admission_effects();
    }
}

void target_gateway::cancel_started(pending_request& entry, reason why)
{
    entry.end_reason = why;
    if (entry.call_active) {
        http_.cancel(entry.call);
    }
}

bool target_gateway::on_announcement(const announcement& announced)
{
    request::admission_settings limits;
    limits.slots = announced.slots;
    limits.max_connections = std::min<std::uint32_t>(announced.connections, max_target_connections);
    limits.queue = std::min(queue_limit_.value_or(queue_per_slot * announced.slots), max_queued_);
    const bool new_run = link_.on_announcement(announced);
    if (!admission_) {
        admission_.emplace(limits, loop_.now());
    }
    else {
        admission_->configure(loop_.now(), limits);
    }
    admission_->on_report(loop_.now(), announced.load);
    run_admission_effects();
    return new_run;
}

void target_gateway::on_serving_changed(const ownership::serving_changed& change)
{
    link_.on_serving_changed(change);
    for (const auto& grant : change.grants) {
        duplicates_.on_acquired(loop_.now(), change.service, grant.range);
    }
    // Return the queued requests of released ranges to their entry nodes, which forward them to the
    // new owner. Requests that were already sent to the target finish.
    std::vector<request::ticket> moved;
    for (const auto& [id, entry] : pending_) {
        const bool lost = std::find(change.releases.begin(), change.releases.end(),
                                    entry.request.range) != change.releases.end();
        if (!entry.started && lost && entry.request.service == change.service) {
            moved.push_back(id);
        }
    }
    for (const request::ticket id : moved) {
        if (admission_ && admission_->cancel_queued(loop_.now(), id)) {
            refuse(id, reason::not_owner);
        }
    }
    if (admission_) {
        run_admission_effects();
    }
}

void target_gateway::on_incarnation_ended()
{
    link_.on_incarnation_ended();
    std::vector<request::ticket> keyed;
    for (const auto& [id, entry] : pending_) {
        if (entry.keyed) {
            keyed.push_back(id);
        }
    }
    for (const request::ticket id : keyed) {
        const auto found = pending_.find(id);
        if (found == pending_.end()) {
            continue;
        }
        if (found->second.call_active) {
            cancel_started(found->second, reason::cancelled_sent);
        }
        else if (admission_ && admission_->cancel_queued(loop_.now(), id)) {
            refuse(id, reason::not_owner);
        }
    }
    if (admission_) {
        run_admission_effects();
    }
}

void target_gateway::set_queue_limit(std::optional<std::uint32_t> queue)
{
    queue_limit_ = queue;
}

void target_gateway::on_tick()
{
    duplicates_.on_tick(loop_.now());
    link_.on_tick();
    if (admission_) {
        admission_->on_tick(loop_.now());
        run_admission_effects();
    }
}

void target_gateway::drain()
{
    draining_ = true;
}

std::vector<ownership::range_load> target_gateway::update_loads()
{
    constexpr double decay_factor = 0.9;
    for (const auto& [range, count] : arrivals_since_update_) {
        request_rates_.try_emplace(range, 0);
    }
    std::vector<ownership::range_load> result;
    for (auto& [range, rate] : request_rates_) {
        const auto found = arrivals_since_update_.find(range);
        const double count =
            found == arrivals_since_update_.end() ? 0 : static_cast<double>(found->second);
        rate = rate * decay_factor + count * (1 - decay_factor);
        result.push_back({range, rate});
    }
    arrivals_since_update_.clear();
    std::erase_if(request_rates_,
                  [](const auto& entry) { return entry.second < min_tracked_requests_per_second; });
    return result;
}

std::size_t target_gateway::in_flight() const
{
    return admission_ ? admission_->in_flight() : 0;
}

std::size_t target_gateway::queued() const
{
    return admission_ ? admission_->waiting() : 0;
}

} // namespace bulrushgw::node
