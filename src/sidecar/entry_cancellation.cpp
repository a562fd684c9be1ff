#include "sidecar/entry.h"

#include <algorithm>

namespace bulrushgw::sidecar {

using request::reason;

namespace {

/// Upper bound on the wait for the reply to a cancellation. It covers the latency between zones and
/// a busy host; a client that waits longer would rather repeat an idempotent request.
constexpr milliseconds max_cancellation_wait{100};

} // namespace

bool detail::is_cancellation_reply(const wire::forward_reply& reply)
{
    return reply.outcome == wire::forward_outcome::not_run &&
           reply.reason == request::to_text(reason::cancelled_not_sent);
}

// After several attempts, the reply would cover only the last one.
bool entry::can_await_cancellation(const pending_request& request) const
{
    return request.sends == 1 && request.node != hooks_.self() &&
           loop_.now() < request.client_deadline;
}

void entry::await_cancellation(pending_request& request)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(request.client_deadline - loop_.now());
    request.is_cancelled = true;
    requests_by_number_[request.number] = request.id;
    request.timer = loop_.after(std::min(max_cancellation_wait, left),
                                [this, id = request.id] { on_cancellation_timeout(id); });
}

void entry::on_cancellation_timeout(std::uint64_t id)
{
    const auto found = pending_.find(id);
    if (found != pending_.end()) {
        cancel_sent(found->second);
        fail(found->second, 504, reason::deadline_sent);
    }
}

// The reply to a cancellation bears no request id if the request did not reach its receiver.
entry::pending_request* entry::find_cancelled(incarnation_id from, const wire::forward_reply& reply)
{
    const auto number = requests_by_number_.find(reply.number);
    const auto found =
        number == requests_by_number_.end() ? pending_.end() : pending_.find(number->second);
    const bool matches =
        found != pending_.end() && found->second.is_cancelled &&
        found->second.number == reply.number && found->second.node == from &&
        (found->second.request_id == reply.request_id || detail::is_cancellation_reply(reply));
    return matches ? &found->second : nullptr;
}

// The reply may also be the one to the request itself, which crossed the cancellation. The target
// selection counted the request when its time limit expired.
void entry::on_reply_after_cancellation(pending_request& request, const wire::forward_reply& reply)
{
    cancel_sent(request);
    switch (reply.outcome) {
    case wire::forward_outcome::answered:
        deliver(request, reply);
        return;
    case wire::forward_outcome::not_run:
    case wire::forward_outcome::not_owner:
        --request.sends;
        ++counters_.cancelled_not_run;
        refuse(request, request::reason_of(reply.reason, reason::cancelled_not_sent),
               reply.retry_after, "the time is over before the request was sent to a target");
        return;
    case wire::forward_outcome::unknown:
        fail(request, 504, reason::deadline_sent);
        return;
    }
}

} // namespace bulrushgw::sidecar
