#pragma once

/// Handles requests of clients and of the target on this host, from arrival to answer: routing,
/// choice of a target, retries, timeouts and refusals.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "assignment/member.h"
#include "dispatch/retry_allowance.h"
#include "dispatch/target_picker.h"
#include "dispatch/time_spent.h"
#include "dispatch/work_estimates.h"
#include "net/http.h"
#include "net/loop.h"
#include "request/outcomes.h"
#include "routing/evacuations.h"
#include "routing/regions.h"
#include "routing/route_index.h"
#include "sidecar/avoided_targets.h"
#include "sidecar/explain.h"
#include "sidecar/gate.h"
#include "sidecar/journal.h"
#include "sidecar/part_sender.h"
#include "sidecar/protocol.h"
#include "sidecar/zone_traffic.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct entry_settings {
    std::string zone;
    std::string service; ///< sent to targets as the calling service
    dispatch::allowance_settings retries;
    routing::zone_regions regions;
    /// See `assignment::timing::evacuation_grace`.
    milliseconds evacuation_grace = assignment::timing{}.evacuation_grace;
    dispatch::zone_balance_settings zones;
    double link_mbps = 100; ///< speed of this host's link in each direction, in Mbit/s
};

struct entry_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t timed_out = 0;
    /// Refused after the timeout of their route, because a reply to the cancellation said that they
    /// had not run; part of `timed_out` and of `refused`.
    std::uint64_t cancelled_not_run = 0;
    std::uint64_t abandoned = 0; ///< clients that disconnected before the answer
    std::uint64_t retries = 0;
    std::uint64_t foreign_replies = 0;   ///< replies that match no request in flight
    std::uint64_t refused_evacuated = 0; ///< because of an evacuation; part of `refused`
    std::uint64_t refused_by_region = 0; ///< no target in the regions; part of `refused`
    std::uint64_t warm_up_refusals = 0;  ///< by nodes whose targets warm up
};

namespace detail {

/// True if the reply says that a cancelled request has not run and never will.
bool is_cancellation_reply(const wire::forward_reply& reply);

} // namespace detail

/// Implemented in four files: requests (entry.cpp), the exclusion of targets by regions and
/// evacuations (entry_targets.cpp), the replies to cancellations (entry_cancellation.cpp), and
/// explanations (entry_explain.cpp). Not thread-safe: runs on one loop.
class entry {
public:
    struct hooks {
        std::function<incarnation_id()> self;
        std::function<const assignment::member&()> member;
        std::function<const routing::evacuations&()> evacuations;
        /// Returns false if the message was certainly not sent.
        std::function<bool(const std::string& address, incarnation_id to, const wire::body&)> send;
        /// Run or cancel a request at the target on this host, see `forward_intake::run_local` and
        /// `forward_intake::cancel`.
        std::function<void(request_key, wire::forward, gate::completion)> run_locally;
        std::function<bool(request_key)> cancel_locally;
        std::function<void(const std::string& service, std::uint32_t key)> on_keyed_request;
        /// The peer at `address` did not answer in time, see `peer_check::suspect`.
        std::function<void(const std::string& address, const std::string& cause)> suspect;
        std::function<void(std::string_view event, const journal::fields&)> log;
        std::function<void(milliseconds)> on_answer_time;
    };

    /// All hooks must be set; `loop` and `protocol` must outlive this object.
    entry(net::loop& loop, entry_settings settings, const platform_protocol& protocol,
          std::uint64_t seed, hooks callbacks);

    /// Replaces the retry limits, after the settings were reloaded.
    void set_retry_limits(const dispatch::allowance_settings& retries);
    /// Refuses all requests that arrive later.
    void close() { closed_ = true; }
    /// The process exits at `end`. A request is refused if its answer is not expected before `end`.
    void stop_at(time_point end) { exit_time_ = end; }
    /// Answers all pending requests: refuses those that certainly did not run, and reports an
    /// unknown outcome for the others.
    void answer_all_pending();
    /// Sets the routes for requests that arrive later. Before the first call all requests are
    /// refused.
    void set_manifest(std::shared_ptr<const routing::route_index> routes);
    /// Answers the request exactly once, at its deadline at the latest.
    void on_request(net::http_exchange exchange);
    /// A reply that matches no request in flight is counted and dropped.
    void on_reply(incarnation_id from, const wire::forward_reply& reply);
    /// The target's host takes more of a body. Ignored if it is for no request in flight.
    void on_credit(incarnation_id from, const wire::forward_credit& credit)
    {
        parts_.on_credit(from, credit.number, credit.bytes);
    }
    /// The connection to `address` broke. If `unsent_since` has a value, the frames of that time
    /// and later were not sent. Without a value, all frames were sent.
    void on_disconnect(const std::string& address, std::optional<time_point> unsent_since);
    /// A write of the connection to `address` ended: parts of bodies can be sent.
    void on_drained(const std::string& address) { parts_.on_drained(address); }
    /// The connections to and from `address` lost data and were reset. Idempotent requests in
    /// flight to `address` are retried within the retry limits. Replies to the other requests may
    /// still arrive.
    void on_connection_reset(const std::string& address);
    /// The directory changed: dispatches requests that wait for an owner or a target.
    void on_directory();
    /// Dispatches requests that wait for an owner or a target again. Call at least every 50 ms.
    void on_tick();

    /// Tells what would happen to a request now, without sending it, see docs/design/explain.md.
    /// Changes no state. Throws `explain_failure` if no decision can be made on such a request.
    /// `ask_gate` tells what the gate of this node would do with a request that goes to its target.
    [[nodiscard]] explanation
    explain(const explain_query& query,
            const std::function<gate_explanation(const wire::forward&)>& ask_gate) const;
    [[nodiscard]] const entry_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }
    /// The metrics of the traffic to each availability zone, and of requests without an answer.
    [[nodiscard]] std::string target_metrics() const
    {
        return zone_traffic_.metrics_text(picker_) + unanswered_text(picker_);
    }

private:
    struct pending_request {
        std::uint64_t id = 0;
        net::http_exchange exchange; ///< without the body
        std::shared_ptr<const std::string> body;
        routing::route route;
        std::string service;
        bool sharded = false;
        std::optional<std::uint32_t> key;
        std::string request_id;
        time_point arrived;
        time_point aim; ///< latency goal: an answer after this time is worth less
        time_point deadline;
        time_point client_deadline;         ///< not before `deadline`, which the route may bound
        time_point owner_wait_end;          ///< end of the wait for an owner or a target
        std::uint32_t sends = 0;            ///< attempts that may have reached a target
        std::uint32_t tries = 0;            ///< all attempts
        std::uint32_t warm_up_refusals = 0; ///< attempts refused because the target warms up
        bool has_alternative = false;       ///< another target can probably run the request
        milliseconds warm_up_wait{0}; ///< least time until one of these targets accepts a request
        bool waits_for_owner = false; ///< waits for an owner or a target
        bool in_flight = false;       ///< sent, no reply yet
        bool is_cancelled = false;    ///< the reply to its cancellation is awaited
        std::uint64_t number = 0;     ///< of the last message that was sent for the request
        incarnation_id node;          ///< receiver of that message
        std::string address;          ///< of `node`
        time_point sent;
        std::vector<incarnation_id> avoid; ///< nodes that refused or failed the request
        net::loop::timer_id timer = 0;
    };

    /// Retry-after time for clients when no better estimate is known.
    static constexpr milliseconds default_retry_after{150};

    /// What happens to a request to which no choice by load applies.
    struct step {
        explained_action action = explained_action::wait;
        request::reason why = request::reason::no_owner; ///< if it is refused, at once or later
        const char* cause = "";
        milliseconds retry_after = default_retry_after;
        assignment::key_owner owner; ///< receiver, if the request is sent
    };

    /// Times that count from the arrival of a request.
    struct time_limits {
        milliseconds client_deadline{0}; ///< not before `deadline`, which the route may bound
        milliseconds deadline{0};
        milliseconds aim{0};
        milliseconds owner_wait{0}; ///< longest wait for an owner or a target
    };

    [[nodiscard]] static time_limits limits_of(const routing::route& route,
                                               std::optional<milliseconds> client_time,
                                               milliseconds already_spent);
    [[nodiscard]] step step_for_key(const routing::route& route, const std::string& service,
                                    std::uint32_t key) const;
    /// For a service without a target that may run the request.
    [[nodiscard]] step step_without_target(const routing::route& route,
                                           const std::string& service) const;
    [[nodiscard]] step step_out_of_evacuated_zone(const routing::route& route,
                                                  const std::string& service) const;
    /// For a request that the owner of its key refused as not run.
    [[nodiscard]] step step_after_owner_refused(const routing::route& route,
                                                const std::string& service, request::reason why,
                                                milliseconds retry_after) const;
    [[nodiscard]] static step unservable_step(request::reason why);
    /// Sends or refuses the request, or makes it wait.
    void take(pending_request& request, const step& next);
    /// The targets that may run the request, for the choice by load.
    [[nodiscard]] std::vector<dispatch::pick_candidate>
    candidates_for(const routing::route& route, const std::string& service) const;
    /// True if a request of the route may go to the destination.
    [[nodiscard]] bool is_usable(const routing::route& route,
                                 const routing::destination& item) const;
    void explain_sources(explanation& report, const routing::route& route) const;
    void explain_owner(explanation& report, const routing::route& route) const;
    void explain_candidates(explanation& report, const routing::route& route) const;
    void explain_destinations(explanation& report, const routing::route& route) const;
    void explain_limits(explanation& report, const routing::route& route) const;
    /// Applies what the gate of this node told about the request.
    void apply_gate(explanation& report, const routing::route& route) const;
    void set_step(explanation& report, const step& next) const;
    void dispatch(pending_request& request);
    void dispatch_keyed(pending_request& request);
    void dispatch_balanced(pending_request& request);
    void send(pending_request& request, incarnation_id node, const std::string& address);
    /// Refuses the request with `why` if it has waited for too long.
    void wait_for_owner(pending_request& request, const char* cause,
                        request::reason why = request::reason::no_owner);
    const routing::destination& choose_destination(const routing::route& route);
    /// True if regions or evacuations may exclude targets.
    [[nodiscard]] bool is_restricted(const routing::route& route) const;
    /// True if targets of the zone get no requests any more because of its evacuation.
    [[nodiscard]] bool is_closed(const std::string& zone) const;
    /// Why the zone's targets get no new requests of the route; none: they may get them.
    [[nodiscard]] std::optional<request::reason> exclusion_of(const routing::route& route,
                                                              const std::string& zone) const;
    /// Why regions or evacuations exclude all targets of the service; none: they do not.
    [[nodiscard]] std::optional<request::reason>
    unservable_reason(const routing::route& route, const std::string& service) const;
    /// True if the answer may arrive only after the exit of the process.
    [[nodiscard]] bool ends_too_late(const pending_request& request) const;
    void on_not_run(pending_request& request, const wire::forward_reply& reply);
    void count_warm_up_refusal(pending_request& request, const wire::forward_reply& reply);
    void on_unknown_outcome(pending_request& request, request::reason why);
    void on_deadline(std::uint64_t id);
    void deliver(pending_request& request, const wire::forward_reply& reply);
    void refuse(pending_request& request, request::reason why, milliseconds retry_after,
                const std::string& cause);
    void fail(pending_request& request, int status, request::reason why);
    void end(std::uint64_t id, net::http_response response);
    void cancel_sent(pending_request& request);
    /// Whether a reply to the cancellation can tell that the request has not run, while its client
    /// still waits. Precondition: the request was in flight and has been cancelled.
    [[nodiscard]] bool can_await_cancellation(const pending_request& request) const;
    void await_cancellation(pending_request& request);
    void on_cancellation_timeout(std::uint64_t id);
    /// Returns the request whose cancellation the reply can answer, or null.
    pending_request* find_cancelled(incarnation_id from, const wire::forward_reply& reply);
    void on_reply_after_cancellation(pending_request& request, const wire::forward_reply& reply);
    /// Sends no more parts of the body. A request with unsent parts has not run.
    void stop_parts(pending_request& request);
    [[nodiscard]] const std::string* body_of(std::uint64_t number) const;
    [[nodiscard]] part_sender make_part_sender();
    void count_timeout(const pending_request& request);
    /// Takes one retry from the service's allowance, if the request may be retried.
    bool try_spend_retry(pending_request& request);
    /// The last attempt, as the picker knows it.
    [[nodiscard]] static dispatch::sent_request sent_of(const pending_request& request);
    /// The message without the body.
    [[nodiscard]] wire::forward message_for(const pending_request& request) const;
    /// A plain-text response that this node generates itself.
    [[nodiscard]] net::http_response make_response(const std::string& request_id, int status,
                                                   const std::string& text) const;
    /// Returns `time` plus a random amount of at most half of `time`, so that refused clients do
    /// not all return at the same time.
    [[nodiscard]] milliseconds add_jitter(milliseconds time);
    pending_request* find_in_flight(incarnation_id from, const wire::forward_reply& reply);
    void log(std::string_view event, const pending_request& request,
             const journal::fields& details);

    net::loop& loop_;
    entry_settings settings_;
    const platform_protocol& protocol_;
    std::mt19937_64 random_;
    hooks hooks_;
    std::shared_ptr<const routing::route_index> routes_;
    dispatch::target_picker picker_;
    part_sender parts_;
    zone_traffic zone_traffic_;
    avoided_targets avoided_targets_;
    dispatch::time_spent time_spent_;
    std::map<std::string, dispatch::retry_allowance> retry_allowances_;
    std::map<std::uint64_t, pending_request> pending_;
    std::map<std::uint64_t, std::uint64_t> requests_by_number_; ///< request ids, by message number
    /// Number of timeouts of requests to each node since its last reply or probe.
    std::map<incarnation_id, int> successive_timeouts_;
    std::uint64_t next_id_ = 1;
    std::uint64_t next_number_ = 1;
    entry_counters counters_;
    dispatch::work_estimates answer_times_; ///< by route
    std::optional<time_point> exit_time_;   ///< see `stop_at`; none: not stopping
    bool closed_ = false;
};

} // namespace bulrushgw::sidecar
