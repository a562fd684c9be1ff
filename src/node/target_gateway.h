#pragma once

/// Handling of forwarded requests on the owner node: checks whether this node may serve a request,
/// queues it, sends it to the target, and replies exactly once.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "net/http.h"
#include "net/loop.h"
#include "node/target_link.h"
#include "ownership/engine.h"
#include "request/admission.h"
#include "request/duplicate_table.h"
#include "wire/messages.h"

namespace bulrushgw::node {

/// Identifies a forwarded request for cancellation: the incarnation of the entry node and the
/// number that the entry node assigned to the forward.
struct forward_key {
    incarnation_id entry;
    std::uint64_t number = 0;
    auto operator<=>(const forward_key&) const = default;
};

struct gateway_counters {
    std::uint64_t started = 0;             ///< requests passed to the HTTP client
    std::uint64_t answered = 0;            ///< requests that the target answered
    std::uint64_t lease_checks_failed = 0; ///< requests rejected by the check before the write
    std::uint64_t written_after_lease = 0; ///< requests whose lease was over right after the write
};

/// Not thread-safe: all calls and hooks run on the node's event loop.
class target_gateway {
public:
    using completion = std::function<void(wire::forward_reply)>;

    struct hooks {
        std::function<ownership::serve_decision(const std::string& service, range_id range)>
            may_serve;
        std::function<placement_version(const std::string& service)> version_of;
        /// Returns true for a balanced service, false for a keyed or unknown one.
        std::function<bool(const std::string& service)> is_balanced;
        /// Called when the number of queued and running requests of a range changed.
        std::function<void(const std::string& service, range_id range, std::size_t count)>
            on_in_flight;
        /// Called when the target doesn't answer; the callee must end this incarnation. The target
        /// executes no request of the incarnation after `idle_from`.
        std::function<void(time_point idle_from)> on_target_silent;
        /// Called with the response time of each answered request.
        std::function<void(milliseconds)> on_target_time;
    };

    /// `max_queued` limits the queue even if the rules allow more.
    target_gateway(net::loop& loop, unsigned drift_permille, std::size_t max_queued,
                   request::duplicate_settings duplicates, target_link::hooks link_hooks,
                   hooks hooks);

    /// Calls `on_reply` exactly once, before it returns or later.
    void run(forward_key key, wire::forward request, completion on_reply);
    void cancel(forward_key key);

    /// Returns true for the first announcement and after a restart of the target.
    bool on_announcement(const announcement& announced);
    void on_serving_changed(const ownership::serving_changed& change);
    /// Cancels all requests of keyed services, which must not continue to run after the end of the
    /// incarnation.
    void on_incarnation_ended();
    /// Sets the queue limit that the rules define for the target's service, if any.
    void set_queue_limit(std::optional<std::uint32_t> queue);
    void on_tick();
    /// Returns the request rate of each range in requests per second, smoothed over about 10 s.
    /// Must be called once a second.
    std::vector<ownership::range_load> update_loads();
    /// Planned stop: rejects new requests of balanced services. Keyed ranges are served until they
    /// are handed over.
    void drain();
    /// Asks the target to drain, after its ranges were handed over.
    void drain_target() { link_.drain(); }

    [[nodiscard]] const std::optional<announcement>& target() const { return link_.target(); }
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] std::size_t queued() const;
    /// Number of requests that are queued or in flight.
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }
    [[nodiscard]] bool is_silent() const { return admission_ && admission_->is_silent(); }
    [[nodiscard]] const gateway_counters& counters() const { return counters_; }
    [[nodiscard]] const request::duplicate_counters& duplicate_counters() const
    {
        return duplicates_.counters();
    }

private:
    struct pending_request {
        forward_key key;
        wire::forward request;
        completion on_reply;
        time_point deadline;
        time_point written; ///< when the request was passed to the HTTP client
        fence token;
        bool keyed = false;
        bool recorded = false;    ///< registered in the duplicate table
        bool started = false;     ///< admitted from the queue
        bool call_active = false; ///< the HTTP call to the target is in progress
        net::http_client::call_id call = 0;
        std::optional<request::reason> end_reason; ///< why the call was cancelled
    };
    using pending_map = std::map<request::ticket, pending_request>;

    /// Returns the reason why this node must not run a request, or none if it may.
    [[nodiscard]] std::optional<request::reason> refusal_of(const wire::forward& request) const;
    bool check_duplicate(const pending_request& entry, wire::forward_reply& reply);
    void run_admission_effects();
    void start(request::ticket id);
    bool check_before_write(request::ticket id);
    void on_result(request::ticket id, const net::http_result& result);
    void finish(request::ticket id, wire::forward_reply reply);
    void refuse(request::ticket id, request::reason why);
    [[nodiscard]] time_point idle_from() const;
    void cancel_started(pending_request& entry, request::reason why);
    void change_pending_count(const std::string& service, range_id range, int change);
    [[nodiscard]] milliseconds time_for_target(const pending_request& entry) const;
    [[nodiscard]] net::http_request message_for(const pending_request& entry,
                                                milliseconds time_left) const;
    [[nodiscard]] wire::forward_reply reply_to(const wire::forward& request,
                                               request::reason why) const;
    [[nodiscard]] wire::forward_reply reply_from(const pending_request& entry,
                                                 const net::http_result& result) const;

    net::loop& loop_;
    hooks hooks_;
    net::http_client http_;
    target_link link_;
    request::duplicate_table duplicates_;
    std::optional<request::admission> admission_;
    std::uint32_t max_queued_;
    std::optional<std::uint32_t> queue_limit_;
    pending_map pending_;
    std::map<forward_key, request::ticket> tickets_;
    std::map<std::pair<std::string, range_id>, std::size_t> pending_counts_;
    std::map<range_id, double> request_rates_;                ///< requests per second, smoothed
    std::map<range_id, std::uint64_t> arrivals_since_update_; ///< since the last `update_loads`
    request::ticket next_ticket_ = 1;
    time_point latest_run_deadline_; ///< latest deadline of the keyed requests sent to the target
    bool draining_ = false;
    gateway_counters counters_;
};

} // namespace bulrushgw::node
