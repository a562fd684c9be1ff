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

/// Adds the memory of a request to its completion, which the gate keeps as long as the request.
gate::completion keep_until_done(net::memory_charge memory, gate::completion done)
{
    return [held = std::make_shared<net::memory_charge>(std::move(memory)),
            done = std::move(done)](wire::forward_reply reply) { done(std::move(reply)); };
}

} // namespace

forward_intake::forward_intake(std::shared_ptr<net::memory_budget> budget, hooks callbacks)
    : budget_(std::move(budget)), hooks_(std::move(callbacks)), bodies_(budget_)
{
}

wire::forward_reply forward_intake::refusal(std::uint64_t number, const std::string& request_id,
                                            reason why) const
{
    wire::forward_reply reply;
    reply.number = number;
    reply.request_id = request_id;
    reply.outcome = why == reason::not_owner ? wire::forward_outcome::not_owner
                                             : wire::forward_outcome::not_run;
    reply.reason = request::to_text(why);
    reply.load = static_cast<std::uint32_t>(hooks_.load());
    reply.retry_after = why == reason::overloaded ? low_memory_retry_after : milliseconds{0};
    return reply;
}

void forward_intake::refuse(const std::string& address, request_key key,
                            const std::string& request_id, reason why)
{
    hooks_.send(address, key.first, refusal(key.second, request_id, why));
}

void forward_intake::run_local(request_key key, wire::forward request, gate::completion done)
{
    net::memory_charge memory(budget_);
    if (!memory.try_resize(held_bytes(request))) {
        ++counters_.refused;
        done(refusal(request.number, request.request_id, reason::overloaded));
        return;
    }
    hooks_.run(key, std::move(request), keep_until_done(std::move(memory), std::move(done)));
}

void forward_intake::on_forward(const wire::frame& frame, const wire::forward& request)
{
    const request_key key{frame.from, request.number};
    if (request.body_bytes > 0) {
        if (const auto why = hooks_.expected_refusal(request)) {
            refuse(frame.reply_address, key, request.request_id, *why);
        }
        else if (!bodies_.begin(hooks_.now(), key, frame.reply_address, request)) {
            ++counters_.refused;
            refuse(frame.reply_address, key, request.request_id, reason::overloaded);
        }
        return;
    }
    net::memory_charge memory(budget_);
    if (!memory.try_resize(held_bytes(request))) {
        ++counters_.refused;
        refuse(frame.reply_address, key, request.request_id, reason::overloaded);
        return;
    }
    hooks_.run_later(key, request,
                     keep_until_done(std::move(memory),
                                     [this, to = frame.from,
                                      address = frame.reply_address](wire::forward_reply reply) {
                                         hooks_.send(address, to, std::move(reply));
                                     }));
}

void forward_intake::on_part(const wire::frame& frame, const wire::forward_part& part)
{
    const request_key key{frame.from, part.number};
    const std::string request_id = bodies_.request_id(key);
    switch (bodies_.add(key, part)) {
    case part_verdict::more_expected:
    case part_verdict::not_expected:
        return;
    case part_verdict::invalid:
        ++counters_.invalid;
        refuse(frame.reply_address, key, request_id, reason::peer_unreachable);
        return;
    case part_verdict::complete:
        break;
    }
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
                            hooks_.send(address, to, std::move(reply));
                        }));
}

bool forward_intake::cancel(request_key key)
{
    return bodies_.cancel(key) || hooks_.cancel(key);
}

// The sender knows the request by its number. The id is not known here if the request never
// arrived.
void forward_intake::on_cancel(const wire::frame& frame, const wire::cancel& cancellation)
{
    const request_key key{frame.from, cancellation.number};
    if (cancel(key)) {
        ++counters_.cancelled_not_run;
        refuse(frame.reply_address, key, "", reason::cancelled_not_sent);
    }
}

void forward_intake::on_sender_lost(incarnation_id sender)
{
    counters_.dropped += bodies_.drop_sender(sender);
}

void forward_intake::on_tick()
{
    const auto now = hooks_.now();
    counters_.dropped += bodies_.expire(now);
    const bool changed = counters_.refused != logged_.refused ||
                         counters_.dropped != logged_.dropped ||
                         counters_.invalid != logged_.invalid;
    if (!changed || now < next_log_) {
        return;
    }
    hooks_.log("bodies_lost", {{"refused", counters_.refused - logged_.refused},
                               {"dropped", counters_.dropped - logged_.dropped},
                               {"invalid", counters_.invalid - logged_.invalid},
                               {"reserved_kb", budget_->used() / 1024},
                               {"limit_kb", budget_->limit() / 1024}});
    logged_ = counters_;
    next_log_ = now + log_interval;
}

} // namespace bulrushgw::sidecar
