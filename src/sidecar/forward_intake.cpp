#include "sidecar/forward_intake.h"

#include <memory>
#include <utility>

namespace bulrushgw::sidecar {

namespace {

using request::reason;

/// Interval of the log line with the counts of refused and dropped bodies.
constexpr milliseconds log_interval{2000};
/// Retry-after time of a request for which there is no memory: requests end within seconds.
constexpr milliseconds low_memory_retry_after{1000};
/// Upper bound on the bodies that are announced and not complete. Each takes a few KiB for its
/// request; a body of 60,000 bytes on a link of 200 Mbit/s takes 3 ms.
constexpr std::size_t max_announced_bodies = 1024;
/// The log states when a newly announced body would wait for longer than this, and when it would
/// wait for less than half of it again.
constexpr milliseconds backlog_limit{500};

/// Adds the memory of a request to its completion, which the gate keeps as long as the request.
gate::completion keep_until_done(net::memory_charge memory, gate::completion done)
{
    return [held = std::make_shared<net::memory_charge>(std::move(memory)),
            done = std::move(done)](wire::forward_reply reply) { done(std::move(reply)); };
}

} // namespace

forward_intake::forward_intake(std::shared_ptr<net::memory_budget> budget, double link_mbps,
                               hooks callbacks)
    : budget_(std::move(budget)), hooks_(std::move(callbacks)), bodies_(budget_),
      schedule_(link_mbps)
{
}

wire::forward_reply forward_intake::refusal(std::uint64_t number, const std::string& request_id,
                                            reason why, milliseconds retry_after) const
{
    wire::forward_reply reply;
    reply.number = number;
    reply.request_id = request_id;
    reply.outcome = why == reason::not_owner ? wire::forward_outcome::not_owner
                                             : wire::forward_outcome::not_run;
    reply.reason = request::to_text(why);
    reply.load = static_cast<std::uint32_t>(hooks_.load());
    reply.retry_after = retry_after;
    return reply;
}

void forward_intake::send_reply(const std::string& address, incarnation_id to,
                                wire::forward_reply reply)
{
    reply.intake_wait = schedule_.wait(hooks_.now());
    hooks_.send(address, to, std::move(reply));
}

void forward_intake::refuse(const std::string& address, request_key key,
                            const std::string& request_id, reason why, milliseconds retry_after)
{
    send_reply(address, key.first, refusal(key.second, request_id, why, retry_after));
}

void forward_intake::refuse_body(request_key key, reason why, milliseconds retry_after)
{
    const auto origin = bodies_.origin_of(key);
    bodies_.cancel(key);
    drop({key});
    refuse(origin.reply_address, key, origin.request_id, why, retry_after);
}

void forward_intake::drop(const std::vector<request_key>& keys)
{
    for (const auto& key : keys) {
        schedule_.remove(key);
        unsent_credits_.erase(key);
    }
}

void forward_intake::run_local(request_key key, wire::forward request, gate::completion done)
{
    net::memory_charge memory(budget_);
    if (!memory.try_resize(held_bytes(request))) {
        ++counters_.refused;
        done(refusal(request.number, request.request_id, reason::overloaded,
                     low_memory_retry_after));
        return;
    }
    hooks_.run(key, std::move(request), keep_until_done(std::move(memory), std::move(done)));
}

void forward_intake::on_forward(const wire::frame& frame, const wire::forward& request)
{
    if (request.body_bytes > 0) {
        on_announced(frame, request);
        return;
    }
    const request_key key{frame.from, request.number};
    net::memory_charge memory(budget_);
    if (!memory.try_resize(held_bytes(request))) {
        ++counters_.refused;
        refuse(frame.reply_address, key, request.request_id, reason::overloaded,
               low_memory_retry_after);
        return;
    }
    hooks_.run_later(key, request,
                     keep_until_done(std::move(memory),
                                     [this, to = frame.from,
                                      address = frame.reply_address](wire::forward_reply reply) {
                                         send_reply(address, to, std::move(reply));
                                     }));
}

void forward_intake::on_announced(const wire::frame& frame, const wire::forward& request)
{
    const request_key key{frame.from, request.number};
    const auto refuse_now = [&](reason why, milliseconds retry_after) {
        refuse(frame.reply_address, key, request.request_id, why, retry_after);
    };
    const auto now = hooks_.now();
    if (const auto why = hooks_.expected_refusal(request)) {
        refuse_now(*why, milliseconds{0});
        return;
    }
    if (bodies_.size() >= max_announced_bodies) {
        ++counters_.crowded;
        refuse_now(reason::overloaded, schedule_.wait(now));
        return;
    }
    if (!bodies_.begin(now, key, frame.reply_address, request)) {
        ++counters_.refused;
        refuse_now(reason::overloaded, low_memory_retry_after);
        return;
    }
    const auto retry_after = schedule_.announce(now, {key, request.body_bytes, request.worth,
                                                      hooks_.expected_work(request),
                                                      now + request.aim, now + request.deadline});
    if (retry_after) {
        ++counters_.late;
        bodies_.cancel(key);
        refuse_now(reason::overloaded, *retry_after);
        return;
    }
    credit_bodies();
}

void forward_intake::credit_bodies()
{
    std::set<request_key> credited;
    while (const auto credit = schedule_.next_credit(hooks_.now())) {
        // The target may have left, or the key moved, while the body waited.
        const auto* first = bodies_.uncredited_request(credit->key);
        if (const auto why = first != nullptr ? hooks_.expected_refusal(*first) : std::nullopt) {
            refuse_body(credit->key, *why, milliseconds{0});
        }
        else if (bodies_.credit(credit->key, credit->bytes)) {
            credited.insert(credit->key);
        }
        else {
            ++counters_.refused;
            refuse_body(credit->key, reason::overloaded, low_memory_retry_after);
        }
    }
    for (const auto& key : credited) {
        send_credit(key);
    }
    const auto next = schedule_.next_attempt(hooks_.now());
    if (next && !std::exchange(is_call_pending_, true)) {
        hooks_.call_on_rate_after(*next);
    }
}

void forward_intake::send_credit(request_key key)
{
    const auto origin = bodies_.origin_of(key);
    const wire::forward_credit credit{key.second, origin.credited_bytes};
    if (hooks_.send(origin.reply_address, key.first, credit)) {
        unsent_credits_.erase(key);
    }
    else {
        unsent_credits_.insert(key);
    }
}

void forward_intake::repeat_credits()
{
    for (const auto& key : std::set<request_key>(unsent_credits_)) {
        send_credit(key);
    }
}

void forward_intake::on_connection_lost(const std::string& address)
{
    const auto keys = bodies_.credited_from(address);
    unsent_credits_.insert(keys.begin(), keys.end());
}

void forward_intake::on_rate()
{
    is_call_pending_ = false;
    credit_bodies();
}

void forward_intake::on_part(const wire::frame& frame, const wire::forward_part& part)
{
    const request_key key{frame.from, part.number};
    const auto origin = bodies_.origin_of(key);
    switch (bodies_.add(key, part)) {
    case part_verdict::not_expected:
        return;
    case part_verdict::more_expected:
        schedule_.on_arrived(hooks_.now(), key, part.bytes.size());
        credit_bodies();
        return;
    case part_verdict::invalid:
        ++counters_.invalid;
        drop({key});
        refuse(frame.reply_address, key, origin.request_id, reason::peer_unreachable,
               milliseconds{0});
        credit_bodies();
        return;
    case part_verdict::complete:
        break;
    }
    schedule_.on_arrived(hooks_.now(), key, part.bytes.size());
    drop({key});
    credit_bodies();
    auto body = bodies_.take(hooks_.now(), key);
    if (!body) {
        return;
    }
    ++counters_.assembled;
    hooks_.run_later(
        key, std::move(body->request),
        keep_until_done(std::move(body->memory),
                        [this, to = frame.from,
                         address = std::move(body->reply_address)](wire::forward_reply reply) {
                            send_reply(address, to, std::move(reply));
                        }));
}

bool forward_intake::cancel(request_key key)
{
    if (!bodies_.cancel(key)) {
        return hooks_.cancel(key);
    }
    drop({key});
    credit_bodies();
    return true;
}

// The sender knows the request by its number. The id is not known here if the request never
// arrived.
void forward_intake::on_cancel(const wire::frame& frame, const wire::cancel& cancellation)
{
    const request_key key{frame.from, cancellation.number};
    if (cancel(key)) {
        ++counters_.cancelled_not_run;
        refuse(frame.reply_address, key, "", reason::cancelled_not_sent, milliseconds{0});
    }
}

void forward_intake::on_sender_lost(incarnation_id sender)
{
    const auto dropped = bodies_.drop_sender(sender);
    counters_.dropped += dropped.size();
    drop(dropped);
    credit_bodies();
}

void forward_intake::on_tick()
{
    const auto now = hooks_.now();
    const auto expired = bodies_.expire(now);
    counters_.dropped += expired.size();
    drop(expired);
    // A sender that makes no progress may have lost its credit.
    const auto stalled = schedule_.take_stalled(now);
    unsent_credits_.insert(stalled.begin(), stalled.end());
    for (const auto& late : schedule_.take_late(now)) {
        ++counters_.late;
        refuse_body(late.key, reason::overloaded, late.retry_after);
    }
    repeat_credits();
    credit_bodies();
    log_counts(now);
    log_backlog(now);
}

void forward_intake::log_counts(time_point now)
{
    const bool changed = counters_.refused != logged_.refused ||
                         counters_.crowded != logged_.crowded || counters_.late != logged_.late ||
                         counters_.dropped != logged_.dropped ||
                         counters_.invalid != logged_.invalid;
    if (!changed || now < next_log_) {
        return;
    }
    hooks_.log("bodies_lost", {{"refused", counters_.refused - logged_.refused},
                               {"crowded", counters_.crowded - logged_.crowded},
                               {"late", counters_.late - logged_.late},
                               {"dropped", counters_.dropped - logged_.dropped},
                               {"invalid", counters_.invalid - logged_.invalid},
                               {"reserved_kb", budget_->used() / 1024},
                               {"limit_kb", budget_->limit() / 1024}});
    logged_ = counters_;
    next_log_ = now + log_interval;
}

void forward_intake::log_backlog(time_point now)
{
    const auto wait = schedule_.wait(now);
    const bool begins = !has_backlog_ && wait > backlog_limit && now >= next_backlog_log_;
    const bool ends = has_backlog_ && wait < backlog_limit / 2;
    if (!begins && !ends) {
        return;
    }
    has_backlog_ = begins;
    next_backlog_log_ = now + log_interval;
    hooks_.log(begins ? "body_backlog_began" : "body_backlog_ended",
               {{"wait_ms", wait.count()},
                {"waiting", schedule_.waiting()},
                {"late", counters_.late},
                {"crowded", counters_.crowded}});
}

} // namespace bulrushgw::sidecar
