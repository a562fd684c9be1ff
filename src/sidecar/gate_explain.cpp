#include "sidecar/gate.h"

#include <algorithm>

namespace bulrushgw::sidecar {

using request::reason;
using verdict = gate_explanation::verdict;

gate_explanation gate::explain(const wire::forward& request) const
{
    const auto now = loop_.now();
    gate_explanation result;
    result.slots = watch_.status().slots;
    result.running = queue_.running();
    result.queued = queue_.queued();
    result.expected_work = queue_.expected(request.route);
    if (limiter_.is_limiting()) {
        result.next_start = std::chrono::ceil<milliseconds>(limiter_.next_start(now) - now);
    }
    const auto refusal = refusal_for(request);
    if (refusal || ends_too_late(request)) {
        result.result = verdict::refuse;
        result.why = refusal.value_or(reason::shut_down);
        return result;
    }
    auto limiter = limiter_;
    auto queue = queue_;
    queue.set_limiter(&limiter);
    const auto id = next_ticket_;
    const auto decisions = queue.offer(now, waiting_for(id, request, now, now + request.deadline));
    const auto refused = std::find_if(decisions.refuse.begin(), decisions.refuse.end(),
                                      [&](const auto& item) { return item.id == id; });
    if (refused != decisions.refuse.end()) {
        result.result = verdict::refuse;
        result.why = refused->cause == dispatch::refusal_cause::warm_up_limit ? reason::warming_up
                                                                              : reason::overloaded;
        result.retry_after = refused->retry_after;
    }
    else if (std::find(decisions.start.begin(), decisions.start.end(), id) ==
             decisions.start.end()) {
        result.result = verdict::queue;
    }
    return result;
}

} // namespace bulrushgw::sidecar
