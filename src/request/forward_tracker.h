#pragma once

/// Tracks the requests that an entry node forwards to owner nodes.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "request/outcomes.h"
#include "request/retry.h"
#include "rules/types.h"

namespace bulrushgw::request {

struct forward_settings {
    /// Subtracted from the deadline at each hop, so that a refusal by the owner still reaches the
    /// entry node before the deadline there.
    milliseconds hop_margin{5};
    /// Bound on the resends of one request after not_owner and other not-run replies. With the
    /// intervals below, 16 resends take 2.7 s. This is longer than a takeover, which takes at most
    /// 2 s.
    std::uint32_t max_resends = 16;
    /// A request that waits for a newer placement is resent after this interval even if no newer
    /// one arrives. The interval doubles with each resend, up to `max_resend_interval`.
    milliseconds first_resend_interval{20};
    milliseconds max_resend_interval{200};
    retry_settings retry;
};

struct forward_request {
    std::string service;
    rules::service_kind kind = rules::service_kind::keyed;
    range_id range;
    std::string request_id;
    rules::repeat_kind repeat = rules::repeat_kind::once;
    time_point deadline;
};

/// The peer to which a request should be sent now.
struct forward_choice {
    incarnation_id peer;
    placement_version version; ///< placement version that the choice is based on
};

/// Called for each attempt. Returns the peer to send to, or none if no owner is known. `avoid`
/// contains the peers that were tried without success. For a balanced service, the function should
/// return a peer that is not in `avoid` if possible.
using choose_peer = std::function<std::optional<forward_choice>(
    const forward_request& request, const std::vector<incarnation_id>& avoid)>;

/// Called before each retry. Takes one retry from the service's budget and returns true, or returns
/// false if none is left.
using spend_retry = std::function<bool(time_point now, const std::string& service)>;

/// Identifies a request at this entry node and is the same for all attempts of the request. The
/// `number` in a frame is different for each attempt, so that late replies to an earlier attempt
/// are detected.
using forward_id = std::uint64_t;

/// Write a frame to the peer; call `forward_tracker::on_not_sent` if the transport refuses it.
struct send_forward {
    forward_id id = 0;
    std::uint64_t number = 0;
    incarnation_id peer;
    milliseconds deadline{0};  ///< time left for the peer
    std::uint32_t attempt = 1; ///< number of the attempt of this entry node, from 1
};
/// Tell the peer that the reply to the request frame with this number is no longer needed.
struct send_cancel {
    std::uint64_t number = 0;
    incarnation_id peer;
};
/// The request ended without a reply that can be passed to the client.
struct end_forward {
    forward_id id = 0;
    reason why = reason::no_owner;
};
/// The reply in the current call of `forward_tracker::on_reply` is the client's answer.
struct accept_reply {
    forward_id id = 0;
};

/// An action for the caller to carry out.
using forward_effect = std::variant<send_forward, send_cancel, end_forward, accept_reply>;

enum class reply_kind { answered, not_run, unknown, not_owner };

/// The fields of a reply that the tracker uses.
struct reply_facts {
    std::uint64_t number = 0;
    std::string request_id;
    reply_kind kind = reply_kind::unknown;
    reason why = reason::none;
    placement_version version; ///< with not_owner: placement version of the peer
};

struct forward_counters {
    std::uint64_t submitted = 0;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t late = 0;       ///< replies whose number is not pending, including duplicates
    std::uint64_t mismatched = 0; ///< replies from the wrong peer or with the wrong request id
    std::uint64_t not_owner = 0;
    std::uint64_t resent = 0;
    std::uint64_t retried = 0;
    std::uint64_t retries_refused = 0; ///< no retry was left in the budget
    std::uint64_t broken = 0;          ///< attempts pending when the peer's connection broke
};

/// Deterministic; not thread-safe.
class forward_tracker {
public:
    forward_tracker(forward_settings settings, choose_peer choose, spend_retry spend);

    /// Forwards a request. The result is an `end_forward` or an `accept_reply` effect.
    forward_id submit(time_point now, forward_request request);
    void on_reply(time_point now, incarnation_id peer, const reply_facts& reply);
    /// The transport refused the frame, so it was certainly not sent.
    void on_not_sent(time_point now, std::uint64_t number);
    /// The connection to the peer broke, or the peer is known to have ended. Unanswered requests
    /// that were sent to the peer may have run.
    void on_disconnect(time_point now, incarnation_id peer);
    /// No connection to the peer could be established. Requests sent since `unsent_since` certainly
    /// did not arrive. Requests sent earlier may have run.
    void on_unreachable(time_point now, incarnation_id peer, time_point unsent_since);
    /// The placement of a service changed: resends the requests that wait for that.
    void on_placement(time_point now, const std::string& service);
    /// The client disconnected. No `end_forward` follows.
    void cancel(time_point now, forward_id id);
    /// Ends requests past their deadline and resends waiting ones. Call at least every 20 ms.
    void on_tick(time_point now);

    /// Returns the effects since the last call, in order.
    std::vector<forward_effect> take_effects();

    [[nodiscard]] std::size_t pending() const { return requests_.size(); }
    /// Number of requests sent to the peer and not answered, for the choice in a balanced service.
    [[nodiscard]] std::uint32_t in_flight(incarnation_id peer) const;
    [[nodiscard]] const forward_counters& counters() const { return counters_; }

private:
    struct record {
        forward_request request;
        std::vector<incarnation_id> avoid;
        std::uint32_t sends = 0;
        std::uint32_t retries = 0;
        std::uint32_t resends = 0;
        std::uint64_t number = 0; ///< of the pending attempt; 0: waits for the next attempt
        incarnation_id peer;      ///< of the last attempt
        time_point sent_at;       ///< of the last attempt
        time_point next_try;
        placement_version min_version; ///< highest version in a not_owner reply
        /// Why the last attempt failed, or why no attempt could be made.
        reason last_failure = reason::deadline_not_sent;
        /// Why the last attempt that may have run failed; none if no attempt may have run. If it is
        /// set, the request never ends as not-run.
        std::optional<reason> may_have_run;
    };

    /// Sends the request, or schedules the next attempt if it cannot be sent now.
    void attempt(time_point now, forward_id id);
    /// Handles a failed attempt: resends, retries or ends the request. `replied`: `why` comes from
    /// a reply that can be passed to the client.
    void on_attempt_failed(time_point now, forward_id id, reason why, bool replied);
    void schedule_next_attempt(time_point now, record& entry, reason why);
    void resend(time_point now, forward_id id, reason why, bool replied);
    void end(forward_id id, reason why, bool replied = false);
    /// Ends the pending attempt, if there is one. A reply to that attempt then counts as late.
    void clear_attempt(record& entry);
    void expire(forward_id id);
    [[nodiscard]] std::vector<forward_id>
    select(const std::function<bool(const record&)>& wanted) const;

    forward_settings settings_;
    choose_peer choose_;
    spend_retry spend_;
    std::map<forward_id, record> requests_;
    std::map<std::uint64_t, forward_id> numbers_;
    std::map<incarnation_id, std::uint32_t> in_flight_;
    std::uint64_t next_id_ = 1;
    std::uint64_t next_number_ = 1;
    std::vector<forward_effect> effects_;
    forward_counters counters_;
};

} // namespace bulrushgw::request
