#pragma once

/// The owner side of a request: decides whether this node may run it, admits it
/// to the target, and gives one truthful reply.

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

/// Identifies a forward for cancellation: the entry node's incarnation and its
/// number for the forward.
struct forward_key {
    incarnation_id entry;
    std::uint64_t number = 0;
    auto operator<=>(const forward_key&) const = default;
};

struct gateway_counters {
    std::uint64_t started = 0;
    std::uint64_t answered = 0;
    std::uint64_t lease_checks_failed = 0; ///< immediately before the write
    std::uint64_t written_after_lease = 0; ///< found over by the check after the write
};

/// Not thread-safe: all calls and hooks run on the node's loop.
class target_gateway {
public:
    using completion = std::function<void(wire::forward_reply)>;

    struct hooks {
        std::function<ownership::serve_decision(const std::string& service, range_id range)>
            may_serve;
        std::function<placement_version(const std::string& service)> version_of;
        /// True for a balanced service that this node's target belongs to.
        std::function<bool(const std::string& service)> is_balanced;
        std::function<void(const std::string& service, range_id range, std::size_t count)>
            on_in_flight;
        /// The target is silent: the caller ends this incarnation. The target runs
        /// nothing of it from `idle_from` on.
        std::function<void(time_point idle_from)> on_target_silent;
        std::function<void(milliseconds)> on_target_time;
    };

    /// `most_queued` bounds the queue whatever the rules allow.
    target_gateway(net::loop& loop, unsigned drift_permille, std::size_t most_queued,
                   request::duplicate_settings duplicates, target_link::hooks link_hooks,
                   hooks hooks);

    /// Calls back exactly once, at once or later.
    void run(forward_key key, wire::forward request, completion on_reply);
    void cancel(forward_key key);

    /// Returns true for another run of the target than before, or the first.
    bool on_announcement(const announcement& news);
    void on_serving_changed(const ownership::serving_changed& change);
    /// Cancels everything: nothing of the old incarnation may run on.
    void on_incarnation_ended();
    /// Queue length that the rules give this service.
    void set_queue_limit(std::optional<std::uint32_t> queue);
    void on_tick();
    /// Requests a second of each range, smoothed over about 10 s. Call once a second.
    std::vector<ownership::range_load> update_loads();
    /// Planned stop: refuse new work of balanced services. Keyed ranges go on
    /// until they are handed over.
    void drain();
    /// Tells the target that its ranges were handed over.
    void drain_target() { link_.drain(); }

    [[nodiscard]] const std::optional<announcement>& target() const { return link_.target(); }
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] std::size_t queued() const;
    /// Requests known to this gateway, in flight or queued.
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
        time_point written;
        fence token;
        bool keyed = false;
        bool recorded = false; ///< in the duplicate table
        bool started = false;
        bool call_active = false;
        net::http_client::call_id call = 0;
        std::optional<request::reason> end_reason; ///< why the call was cancelled
    };
    using pending_map = std::map<request::ticket, pending_request>;

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
    void recount(const std::string& service, range_id range, int change);
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
    std::uint32_t most_queued_;
    std::optional<std::uint32_t> queue_limit_;
    pending_map pending_;
    std::map<forward_key, request::ticket> tickets_;
    std::map<std::pair<std::string, range_id>, std::size_t> counts_;
    std::map<range_id, double> loads_;           ///< requests a second
    std::map<range_id, std::uint64_t> arrivals_; ///< since the last update of the loads
    request::ticket next_ticket_ = 1;
    time_point runs_end_; ///< latest deadline of a keyed request that was written
    bool draining_ = false;
    gateway_counters counters_;
};

} // namespace bulrushgw::node
