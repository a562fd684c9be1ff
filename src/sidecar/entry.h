#pragma once

/// Requests of clients, and of the target on this host, from their arrival to
/// their answer: route, choice of a target, repeats, time-outs and refusals.

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
#include "net/http.h"
#include "net/loop.h"
#include "request/outcomes.h"
#include "routing/route_index.h"
#include "sidecar/gate.h"
#include "sidecar/journal.h"
#include "sidecar/protocol.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct entry_settings {
    std::string zone;
    std::string service; ///< told to targets as the caller
    dispatch::allowance_settings repeats;
};

struct entry_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t timed_out = 0;
    std::uint64_t left = 0; ///< clients that went before the answer
    std::uint64_t repeats = 0;
    std::uint64_t foreign_replies = 0;
};

/// Not thread-safe: runs on one loop.
class entry {
public:
    struct hooks {
        std::function<incarnation_id()> self;
        std::function<const assignment::member&()> member;
        /// False when the message was certainly not sent.
        std::function<bool(const std::string& address, incarnation_id to, const wire::body&)> send;
        std::function<void(request_key, wire::forward, gate::completion)> run_here;
        std::function<void(request_key)> cancel_here;
        std::function<void(const std::string& service, std::uint32_t key)> on_keyed_request;
        /// The peer at the address should have answered, see `peer_check::suspect`.
        std::function<void(const std::string& address, const std::string& cause)> suspect;
        std::function<void(std::string_view event, const journal::fields&)> log;
        std::function<void(milliseconds)> on_answer_time;
    };

    /// All hooks must be set; `loop` and `protocol` must outlive this object.
    entry(net::loop& loop, entry_settings settings, const platform_protocol& protocol,
          std::uint64_t seed, hooks with);

    /// Changed bounds of the deployment.
    void set_repeats(const dispatch::allowance_settings& repeats);
    /// From now on new requests are refused.
    void close() { closed_ = true; }
    /// Answers everything that is pending with what is known of it.
    void end_all();
    /// Requests that arrive later follow it. Until the first, all are refused.
    void set_manifest(std::shared_ptr<const routing::route_index> routes);
    /// Answers the request exactly once, at the end of its time at the latest.
    void on_request(net::http_exchange exchange);
    /// A reply that matches no request under way is counted and dropped.
    void on_reply(incarnation_id from, const wire::forward_reply& reply);
    /// Frames to `address` since `unsent_since` were not sent; none: all were.
    void on_disconnect(const std::string& address, std::optional<time_point> unsent_since);
    /// Connections to or from `address` swallowed what was sent on them: what may be sent
    /// again is. A reply to the rest may still come.
    void on_silent_connection(const std::string& address);
    /// The directory changed: requests that wait for an owner go on.
    void on_directory();
    /// Requests that wait for an owner look again. Call at least every 50 ms.
    void on_tick();

    [[nodiscard]] const entry_counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

private:
    struct pending_request {
        std::uint64_t id = 0;
        net::http_exchange exchange;
        routing::route route;
        std::string service;
        bool sharded = false;
        std::optional<std::uint32_t> key;
        std::string request_id;
        time_point arrived;
        time_point aim;
        time_point deadline;
        time_point park_limit;   ///< until then it waits for an owner
        std::uint32_t sends = 0; ///< that may have reached a target
        std::uint32_t tries = 0; ///< all of them
        bool parked = false;
        bool under_way = false;
        std::uint64_t number = 0;
        incarnation_id node;
        std::string address;
        time_point sent;
        std::vector<incarnation_id> avoid;
        net::loop::timer_id timer = 0;
    };

    void dispatch(pending_request& request);
    void dispatch_keyed(pending_request& request);
    void dispatch_balanced(pending_request& request);
    void send(pending_request& request, incarnation_id node, const std::string& address);
    void park(pending_request& request, const char* cause);
    void on_not_run(pending_request& request, const wire::forward_reply& reply);
    void on_unknown(pending_request& request, request::reason why);
    void on_deadline(std::uint64_t id);
    void deliver(pending_request& request, const wire::forward_reply& reply);
    void refuse(pending_request& request, request::reason why, milliseconds retry_after,
                const std::string& cause);
    void fail(pending_request& request, int status, request::reason why);
    void end(std::uint64_t id, net::http_response response);
    void cancel_sent(pending_request& request);
    void note_silence(const pending_request& request);
    bool may_repeat(pending_request& request);
    [[nodiscard]] wire::forward message_for(const pending_request& request) const;
    [[nodiscard]] net::http_response own_answer(const std::string& request_id, int status,
                                                const std::string& text) const;
    [[nodiscard]] milliseconds spread(milliseconds time);
    pending_request* find_sent(incarnation_id from, const wire::forward_reply& reply);
    void log(std::string_view event, const pending_request& request,
             const journal::fields& details);

    net::loop& loop_;
    entry_settings settings_;
    const platform_protocol& protocol_;
    std::mt19937_64 random_;
    hooks hooks_;
    std::shared_ptr<const routing::route_index> routes_;
    dispatch::target_picker picker_;
    dispatch::time_spent time_spent_;
    std::map<std::string, dispatch::retry_allowance> repeats_;
    std::map<std::uint64_t, pending_request> pending_;
    std::map<std::uint64_t, std::uint64_t> numbers_; ///< of sent messages, to requests
    std::map<incarnation_id, int> unanswered_;       ///< requests in a row that a node let time out
    std::uint64_t next_id_ = 1;
    std::uint64_t next_number_ = 1;
    entry_counters counters_;
    bool closed_ = false;
};

} // namespace bulrushgw::sidecar
