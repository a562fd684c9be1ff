#pragma once

/// Takes in the requests for the target on this host, from other nodes and from the entry of this
/// node, within the memory budget.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/boot_clock.h"
#include "net/memory_budget.h"
#include "sidecar/body_assembly.h"
#include "sidecar/gate.h"
#include "sidecar/journal.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct intake_counters {
    std::uint64_t refused = 0;   ///< requests refused because the budget has no room
    std::uint64_t assembled = 0; ///< bodies that arrived in parts and are complete
    std::uint64_t dropped = 0;   ///< bodies dropped because their sender was lost or was too late
    std::uint64_t invalid = 0;   ///< bodies dropped because a part was missing or malformed
    /// Cancelled requests of other nodes that have certainly not run.
    std::uint64_t cancelled_not_run = 0;
};

/// Reserves the memory of each request until the gate has finished with it, and refuses a request
/// for which there is no room as not run. Collects bodies that arrive in parts. Not thread-safe.
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
        std::function<void(const std::string& address, incarnation_id to, const wire::body&)> send;
        std::function<void(std::string_view event, const journal::fields&)> log;
    };

    /// All hooks must be set.
    forward_intake(std::shared_ptr<net::memory_budget> budget, hooks callbacks);

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
    /// Drops bodies whose deadline has passed, and logs the counts of `counters` that changed. Call
    /// at least once a second.
    void on_tick();

    [[nodiscard]] const intake_counters& counters() const { return counters_; }
    /// Number of bodies that are being received.
    [[nodiscard]] std::size_t incomplete() const { return bodies_.size(); }

private:
    void refuse(const std::string& address, request_key key, const std::string& request_id,
                request::reason why);
    [[nodiscard]] wire::forward_reply refusal(std::uint64_t number, const std::string& request_id,
                                              request::reason why) const;

    std::shared_ptr<net::memory_budget> budget_;
    hooks hooks_;
    body_assembly bodies_;
    intake_counters counters_;
    intake_counters logged_;
    time_point next_log_{};
};

} // namespace bulrushgw::sidecar
