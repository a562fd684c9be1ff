#pragma once

/// Takes in the requests for the target on this host, from other nodes and from the entry of this
/// node, within the memory budget.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"
#include "dispatch/intake_schedule.h"
#include "net/memory_budget.h"
#include "sidecar/body_assembly.h"
#include "sidecar/gate.h"
#include "sidecar/journal.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct intake_counters {
    std::uint64_t refused = 0;   ///< requests refused because the budget has no room
    std::uint64_t crowded = 0;   ///< bodies refused because too many others were announced
    std::uint64_t late = 0;      ///< bodies refused because they could not arrive in time
    std::uint64_t assembled = 0; ///< bodies that arrived in parts and are complete
    std::uint64_t dropped = 0;   ///< bodies dropped because their sender was lost or was too late
    std::uint64_t invalid = 0;   ///< bodies dropped because a part was missing or malformed
    /// Cancelled requests of other nodes that have certainly not run.
    std::uint64_t cancelled_not_run = 0;
};

/// Reserves the memory of each request until the gate has finished with it, and refuses a request
/// for which there is no room as not run. Collects bodies that arrive in parts, and credits them to
/// their senders in the order and at the rate of `dispatch::intake_schedule`. Not thread-safe.
class forward_intake {
public:
    struct hooks {
        std::function<time_point()> now;
        /// Run the request at the gate, directly or after the events of this loop iteration. After
        /// a pause of this process, or of the connection, a request may arrive together with its
        /// cancellation.
        std::function<void(request_key, wire::forward, gate::completion)> run;
        std::function<void(request_key, wire::forward, gate::completion)> run_later;
        /// Cancels a request at the gate, see `gate::cancel`.
        std::function<bool(request_key)> cancel;
        /// Why the gate would refuse the request now, as far as that is known without its body.
        std::function<std::optional<request::reason>(const wire::forward&)> expected_refusal;
        /// Requests running and queued at the gate.
        std::function<std::size_t()> load;
        /// Expected time that the target takes to run the request.
        std::function<milliseconds(const wire::forward&)> expected_work;
        /// Returns false if the message was certainly not sent.
        std::function<bool(const std::string& address, incarnation_id to, const wire::body&)> send;
        /// Calls `on_rate` after the time.
        std::function<void(milliseconds)> call_on_rate_after;
        std::function<void(std::string_view event, const journal::fields&)> log;
    };

    /// `link_mbps`: speed of the host's link in Mbit/s, positive. All hooks must be set.
    forward_intake(std::shared_ptr<net::memory_budget> budget, double link_mbps, hooks callbacks);

    /// A request of the entry of this node. `done` is called as by `gate::run`.
    void run_local(request_key key, wire::forward request, gate::completion done);
    /// A request of another node, whose body may follow in parts.
    void on_forward(const wire::frame& frame, const wire::forward& request);
    void on_part(const wire::frame& frame, const wire::forward_part& part);
    /// Cancels a request, whether its body is complete or not. Returns true if the request has
    /// certainly not been sent to the target and never will be.
    bool cancel(request_key key);
    /// Cancels a request of another node, and replies that it has not run if that is certain.
    void on_cancel(const wire::frame& frame, const wire::cancel& cancellation);
    /// A node has no connection to this node any more: bodies that it was sending are dropped.
    void on_sender_lost(incarnation_id sender);
    /// The outgoing connection to `address` broke or was reset: credits that were sent to it may be
    /// lost. They are sent again, which is harmless if they arrived.
    void on_connection_lost(const std::string& address);
    /// The time of `hooks::call_on_rate_after` has passed.
    void on_rate();
    /// Drops bodies whose deadline has passed, refuses those that can no longer arrive in time,
    /// repeats lost credits, and logs the changes of `counters` and of the backlog. Call every
    /// 50 ms.
    void on_tick();

    [[nodiscard]] const intake_counters& counters() const { return counters_; }
    /// Number of bodies that are being received.
    [[nodiscard]] std::size_t incomplete() const { return bodies_.size(); }
    [[nodiscard]] const dispatch::intake_schedule& schedule() const { return schedule_; }

private:
    void on_announced(const wire::frame& frame, const wire::forward& request);
    void send_reply(const std::string& address, incarnation_id to, wire::forward_reply reply);
    void refuse(const std::string& address, request_key key, const std::string& request_id,
                request::reason why, milliseconds retry_after);
    /// Refuses and drops a body that is being collected.
    void refuse_body(request_key key, request::reason why, milliseconds retry_after);
    void drop(const std::vector<request_key>& keys);
    /// Sends the credits that the link allows now, and arranges for the next ones.
    void credit_bodies();
    void send_credit(request_key key);
    void repeat_credits();
    void log_counts(time_point now);
    void log_backlog(time_point now);
    [[nodiscard]] wire::forward_reply refusal(std::uint64_t number, const std::string& request_id,
                                              request::reason why, milliseconds retry_after) const;

    std::shared_ptr<net::memory_budget> budget_;
    hooks hooks_;
    body_assembly bodies_;
    dispatch::intake_schedule schedule_;
    std::set<request_key> unsent_credits_; ///< not accepted by the transport, or lost with it
    bool is_call_pending_ = false;         ///< of `on_rate`
    intake_counters counters_;
    intake_counters logged_;
    time_point next_log_{};
    bool has_backlog_ = false; ///< as logged
    time_point next_backlog_log_{};
};

} // namespace bulrushgw::sidecar
