#pragma once

/// Sends requests to the target on this host. The gate is the only sender to the target: it
/// admits requests within the target's slots, checks the ownership of keyed requests directly
/// before it sends them, and reports the outcome of each. It limits the requests and health checks
/// that reach a target which warms up, see `dispatch::warm_up_limiter`.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "assignment/member.h"
#include "dispatch/slot_queue.h"
#include "dispatch/warm_up_limiter.h"
#include "net/http.h"
#include "net/loop.h"
#include "request/outcomes.h"
#include "sidecar/protocol.h"
#include "sidecar/request_history.h"
#include "sidecar/target_watch.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

/// What the gate would do with a request now.
struct gate_explanation {
    enum class verdict : std::uint8_t { start, queue, refuse };
    verdict result = verdict::start;
    request::reason why = request::reason::none; ///< of a refusal
    milliseconds retry_after{0};                 ///< of a refusal; 0: no estimate
    std::uint32_t slots = 0;
    std::size_t running = 0;
    std::size_t queued = 0;
    milliseconds expected_work{0};
    /// Time until the limit of a cold target allows the next start; none: starts are not limited.
    std::optional<milliseconds> next_start;
};

/// Not thread-safe: runs on one loop.
class gate {
public:
    using completion = std::function<void(wire::forward_reply)>;

    struct hooks {
        /// Whether the target may run a request for the key now.
        std::function<assignment::serve_verdict(const std::string& service, std::uint32_t key)>
            may_serve;
        /// Whether the hold of a key that the target may serve covers `work`, see
        /// `assignment::member::covers_work`.
        std::function<bool(const std::string& service, std::uint32_t key, milliseconds work)>
            covers_work;
        /// The state in `target_watch` may have changed.
        std::function<void()> on_target_changed;
        /// An answer on a connection of `session` came from the target with this id, see
        /// `target_session`.
        std::function<void(std::uint64_t session, const std::string& target_id)> on_identified;
        /// A request was refused, or the target gave no answer. For logs.
        std::function<void(const wire::forward&, request::reason, const std::string& cause)>
            on_failure;
    };

    /// All hooks must be set; the references must outlive this object.
    gate(net::loop& loop, net::endpoint target, const platform_protocol& protocol,
         target_watch& watch, hooks callbacks);

    /// Runs the request at the target. `done` is called exactly once, on the loop, possibly within
    /// this call. It is not called after `cancel`, also if the cancellation arrived first.
    void run(request_key key, wire::forward request, completion done);
    /// Runs the request as `run` does, after the events of this loop iteration, so that a `cancel`
    /// that arrived together with the request prevents the run.
    void run_later(request_key key, wire::forward request, completion done);
    /// The reason for which the request would be refused now, whatever its load; none if it may
    /// run.
    [[nodiscard]] std::optional<request::reason> refusal_for(const wire::forward& request) const;
    /// Tells what `run` would do with the request now. Decides on a copy of the queue, so the cost
    /// is that of one more request, and changes no state.
    [[nodiscard]] gate_explanation explain(const wire::forward& request) const;
    /// Cancels the request: removes it from the queue, or closes its connection to the target.
    /// Returns true if the request has certainly not been sent to the target and never will be, see
    /// `request_history` for requests that the gate does not have.
    bool cancel(request_key key);
    /// The process exits at `end`. A request is refused if its answer is not expected before `end`,
    /// so that the exit aborts no running request.
    void stop_at(time_point end) { exit_time_ = end; }
    /// From `begin` on, all requests that do not run yet are refused, because the zone of the
    /// target is under evacuation. None: the zone is not under evacuation.
    void refuse_from(std::optional<time_point> begin) { evacuated_from_ = begin; }
    /// True while requests are refused because of the evacuation.
    [[nodiscard]] bool is_evacuated() const
    {
        return evacuated_from_ && loop_.now() >= *evacuated_from_;
    }
    /// Number of requests refused because of an evacuation.
    [[nodiscard]] std::uint64_t evacuation_refusals() const { return evacuation_refusals_; }
    /// The target's status or slots changed.
    void on_target();
    /// What the target tolerates while it is cold, and whether it counts as cold.
    void set_start_bound(const dispatch::start_bound& bound);
    void set_cold(bool cold);
    /// Refuses queued requests that can no longer be answered in time. Call at least every 50 ms.
    void on_tick();
    /// Sends a health check to the target without taking a slot, as soon as the limit of a cold
    /// target allows it. Precondition: the check before it has ended.
    void check(const net::http_request& request, milliseconds timeout,
               std::function<void(const net::http_result&)> done);
    /// Sends a grant of keys to the target without taking a slot. If the call cannot be written
    /// within `latest_write`, it is not sent, because the hold of a grant counts from its arrival
    /// at the target. Nor is it sent on a connection of a later session than the current one: that
    /// may lead to another process, which must not get keys under the fence of the one before.
    void order(const net::http_request& request, milliseconds timeout, milliseconds latest_write,
               std::function<void(const net::http_result&)> done);
    /// Sends a release of keys without taking a slot, on a connection of its own. Orders bear no
    /// request id, so on a kept connection a second copy of an earlier answer cannot be told from
    /// the answer.
    void order_on_new_connection(const net::http_request& request, milliseconds timeout,
                                 std::function<void(const net::http_result&)> done);

    /// The session of the connections to the target, see `net::server_continuity`.
    [[nodiscard]] std::uint64_t target_session() const { return continuity_->session(); }
    /// The latest session of which the target ended a connection.
    [[nodiscard]] std::uint64_t last_broken_session() const { return continuity_->last_broken(); }

    [[nodiscard]] std::chrono::microseconds mean_work() const { return queue_.mean_work(); }
    /// Expected time that the target takes to run the request.
    [[nodiscard]] milliseconds expected_work(const wire::forward& request) const
    {
        return queue_.expected(request.route);
    }
    [[nodiscard]] std::size_t running() const { return queue_.running(); }
    [[nodiscard]] std::size_t queued() const { return queue_.queued(); }
    [[nodiscard]] std::size_t load() const { return queue_.running() + queue_.queued(); }
    /// True if the target gets more requests than it would get while it is cold.
    [[nodiscard]] bool is_rate_critical() const { return limiter_.is_window_full(loop_.now()); }
    /// Requests that waited, or were refused, because the target warms up.
    [[nodiscard]] std::uint64_t warm_up_delays() const { return queue_.delayed_starts(); }
    [[nodiscard]] std::uint64_t warm_up_refusals() const { return warm_up_refusals_; }
    /// Number of requests that waited for a renewal of the hold of their key.
    [[nodiscard]] std::uint64_t renewal_waits() const { return renewal_waits_; }
    [[nodiscard]] std::size_t active() const { return active_.size() + arrivals_.size(); }

private:
    struct arrival {
        wire::forward request;
        completion done;
    };

    struct active_request {
        request_key key;
        wire::forward request;
        completion done;
        time_point deadline;
        bool sent = false;
        bool is_late = false; ///< not written, because the connection took too long
        /// While the request has a slot but waits for a renewal: the end of the wait.
        std::optional<time_point> renewal_limit;
        net::http_client::call_id call = 0;
        std::string target_id;
        std::uint64_t session = 0; ///< of the connection to the target; 0: not written
    };

    struct pending_check {
        net::http_request request;
        milliseconds timeout;
        std::function<void(const net::http_result&)> done;
    };

    /// Sends the pending health check if it is allowed now. It goes before queued requests.
    void send_due_check();
    /// Arranges for the next start that the limit of a cold target allows.
    void schedule_start();
    /// Returns false if a request that was started at `started` must no longer be written.
    [[nodiscard]] bool may_write(time_point started) const;
    void observe_load(const net::http_response& answer);
    /// `may_write` is called immediately before the call is written.
    void send_order(net::http_client& client, const net::http_request& request,
                    milliseconds timeout, std::function<bool()> may_write,
                    std::function<void(const net::http_result&)> done);
    void apply(const dispatch::slot_decisions& decisions);
    void run_arrival(request_key key);
    void start(dispatch::ticket id);
    [[nodiscard]] bool covers_work(const active_request& entry) const;
    /// Starts the request once the hold of its key is renewed, and refuses it if the hold is not
    /// renewed within `max_grant_wait`.
    void wait_for_renewal(dispatch::ticket id, active_request& entry);
    void on_result(dispatch::ticket id, const net::http_result& result);
    /// Admits the request once the grant of its key is confirmed. Refuses the request if the grant
    /// is still unconfirmed at `until`, or at once if the target does not own the key.
    void wait_for_grant(dispatch::ticket id, time_point until);
    void admit(dispatch::ticket id);
    void finish(dispatch::ticket id, wire::forward_reply reply);
    void refuse(dispatch::ticket id, request::reason why, milliseconds retry_after,
                const std::string& cause);
    /// Moves the body of the request into the message.
    [[nodiscard]] net::http_request message_for(active_request& entry) const;
    [[nodiscard]] wire::forward_reply reply_for(const active_request& entry,
                                                const net::http_response& answer);
    /// True if the answer may arrive only after the exit of the process.
    [[nodiscard]] bool ends_too_late(const wire::forward& request) const;
    /// The request as `slot_queue` takes it.
    [[nodiscard]] static dispatch::waiting_request waiting_for(dispatch::ticket id,
                                                               const wire::forward& request,
                                                               time_point now, time_point deadline);
    void refuse_evacuated(dispatch::ticket id);
    [[nodiscard]] static std::uint32_t key_of(const wire::forward& request);

    net::loop& loop_;
    net::endpoint target_;
    const platform_protocol& protocol_;
    target_watch& watch_;
    hooks hooks_;
    /// Of the connections of all three clients.
    std::shared_ptr<net::server_continuity> continuity_ =
        std::make_shared<net::server_continuity>();
    net::http_client http_;                   ///< for requests
    net::http_client orders_;                 ///< for the calls of `order` and health checks
    net::http_client separate_orders_;        ///< for the calls of `order_on_new_connection`
    std::map<request_key, arrival> arrivals_; ///< wait for the end of the loop iteration
    dispatch::warm_up_limiter limiter_;
    dispatch::slot_queue queue_{0};
    std::optional<pending_check> check_; ///< not sent yet
    bool start_scheduled_ = false;
    std::uint64_t warm_up_refusals_ = 0;
    std::map<dispatch::ticket, active_request> active_;
    std::map<request_key, dispatch::ticket> tickets_;
    request_history history_;
    dispatch::ticket next_ticket_ = 1;
    std::optional<time_point> exit_time_;      ///< exit time of the process; none: not stopping
    std::optional<time_point> evacuated_from_; ///< see `refuse_from`
    std::uint64_t evacuation_refusals_ = 0;
    std::uint64_t renewal_waits_ = 0;
};

} // namespace bulrushgw::sidecar
