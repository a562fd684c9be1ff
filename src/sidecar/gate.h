#pragma once

/// Requests on their way to the target on this host. The gate is the only sender
/// to the target: it admits by the target's slots, checks ownership of keyed
/// requests directly before it sends, and tells what became of each.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "assignment/member.h"
#include "dispatch/slot_queue.h"
#include "net/http.h"
#include "net/loop.h"
#include "request/outcomes.h"
#include "sidecar/protocol.h"
#include "sidecar/target_watch.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

/// The sender of a request and its number there.
using request_key = std::pair<incarnation_id, std::uint64_t>;

/// Not thread-safe: runs on one loop.
class gate {
public:
    using completion = std::function<void(wire::forward_reply)>;

    struct hooks {
        std::function<assignment::serve_verdict(const std::string& service, std::uint32_t key)>
            may_serve;
        std::function<void()> on_target_changed;
        std::function<void(const wire::forward&, request::reason, const std::string& cause)>
            on_failure;
    };

    /// All hooks must be set; the references must outlive this object.
    gate(net::loop& loop, net::endpoint target, const platform_protocol& protocol,
         target_watch& watch, hooks with);

    /// `done` is called exactly once, on the loop, possibly within this call.
    void run(request_key key, wire::forward request, completion done);
    /// Ends the request at the target by closing its connection.
    void cancel(request_key key);
    /// The process ends at this time: requests that would not be answered before are
    /// refused, so that none is cut off at work.
    void stop_at(time_point end) { end_ = end; }
    /// The target's status or slots changed.
    void on_target();
    /// Refuses what can no longer be answered in time. Call at least every 50 ms.
    void on_tick();
    /// Sends an order to the target outside of the slots. One that is not written
    /// within `latest_write` is not sent: the hold of a grant counts from its arrival.
    void order(const net::http_request& request, milliseconds timeout, milliseconds latest_write,
               std::function<void(const net::http_result&)> done);

    [[nodiscard]] std::chrono::microseconds mean_work() const { return queue_.mean_work(); }
    [[nodiscard]] std::size_t running() const { return queue_.running(); }
    [[nodiscard]] std::size_t queued() const { return queue_.queued(); }
    [[nodiscard]] std::size_t load() const { return queue_.running() + queue_.queued(); }
    [[nodiscard]] std::size_t active() const { return active_.size(); }

private:
    struct active_request {
        request_key key;
        wire::forward request;
        completion done;
        time_point deadline;
        bool sent = false;
        net::http_client::call_id call = 0;
        std::string target_id;
    };

    void apply(const dispatch::slot_decisions& decisions);
    void start(dispatch::ticket id);
    void on_result(dispatch::ticket id, const net::http_result& result);
    void wait_for_grant(dispatch::ticket id, time_point until);
    void admit(dispatch::ticket id);
    void finish(dispatch::ticket id, wire::forward_reply reply);
    void refuse(dispatch::ticket id, request::reason why, milliseconds retry_after,
                const std::string& cause);
    [[nodiscard]] net::http_request message_for(const active_request& entry) const;
    [[nodiscard]] wire::forward_reply reply_for(const active_request& entry,
                                                const net::http_response& answer);
    [[nodiscard]] bool ends_too_late(const active_request& entry) const;
    [[nodiscard]] static std::uint32_t key_of(const wire::forward& request);

    net::loop& loop_;
    net::endpoint target_;
    const platform_protocol& protocol_;
    target_watch& watch_;
    hooks hooks_;
    net::http_client http_;
    net::http_client orders_;
    dispatch::slot_queue queue_{0};
    std::map<dispatch::ticket, active_request> active_;
    std::map<request_key, dispatch::ticket> tickets_;
    dispatch::ticket next_ticket_ = 1;
    std::optional<time_point> end_; ///< of the process, once it stops
};

} // namespace bulrushgw::sidecar
