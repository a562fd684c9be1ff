#pragma once

/// The entry node's record of requests that it forwards to owner nodes.

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
    /// Subtracted from the deadline at each hop, so that the owner's refusal
    /// arrives before the entry node gives up.
    milliseconds hop_margin{5};
    /// After not_owner and other answers "not run". With the intervals below, 16
    /// cover 2.7 s, more than a takeover of at most 2 s.
    std::uint32_t max_resends = 16;
    /// A request that waits for newer placement state tries again after this
    /// long even without news; the interval doubles up to the maximum.
    milliseconds first_resend{20};
    milliseconds max_resend{200};
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

/// Where a request would go now.
struct forward_choice {
    incarnation_id peer;
    placement_version version; ///< of the state behind this choice
};

/// Asked at each attempt. `avoid` are the peers that were tried without success;
/// a balanced service picks another one if it can. None: no owner is known.
using choose_peer = std::function<std::optional<forward_choice>(
    const forward_request& request, const std::vector<incarnation_id>& avoid)>;

/// Asked before each retry of an idempotent request; takes from the budget.
using spend_retry = std::function<bool(time_point now, const std::string& service)>;

/// The request's number at this entry node for its whole life. The number in a
/// frame differs for each attempt, so that late answers of an earlier attempt
/// are recognised.
using forward_id = std::uint64_t;

/// Write a frame to the peer; call `on_not_sent` if the transport refuses it.
struct send_forward {
    forward_id id = 0;
    std::uint64_t number = 0;
    incarnation_id peer;
    milliseconds deadline{0};  ///< time left for the peer
    std::uint32_t attempt = 1; ///< of this entry node, from 1
};
/// Tell the peer that nobody waits for this number any more.
struct send_cancel {
    std::uint64_t number = 0;
    incarnation_id peer;
};
/// The request ended without an answer of a target.
struct end_forward {
    forward_id id = 0;
    reason why = reason::no_owner;
};
/// The reply that was just passed to `on_reply` is the client's answer.
struct accept_reply {
    forward_id id = 0;
};

using forward_effect = std::variant<send_forward, send_cancel, end_forward, accept_reply>;

enum class reply_kind { answered, not_run, unknown, not_owner };

/// The parts of a reply that the tracker looks at.
struct reply_facts {
    std::uint64_t number = 0;
    std::string request_id;
    reply_kind kind = reply_kind::unknown;
    reason why = reason::none;
    placement_version version; ///< with not_owner
};

struct forward_counters {
    std::uint64_t submitted = 0;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t late = 0;    ///< the number is not pending (any more), duplicates included
    std::uint64_t crossed = 0; ///< pending, but from another peer or with another id
    std::uint64_t not_owner = 0;
    std::uint64_t resent = 0;
    std::uint64_t retried = 0;
    std::uint64_t retries_refused = 0; ///< by the budget
    std::uint64_t broken = 0;          ///< pending when the peer's connection broke
};

/// Deterministic; not thread-safe.
class forward_tracker {
public:
    forward_tracker(forward_settings settings, choose_peer choose, spend_retry spend);

    /// Takes a request over until its end effect or accepted reply.
    forward_id submit(time_point now, forward_request request);
    void on_reply(time_point now, incarnation_id peer, const reply_facts& reply);
    /// The transport refused the frame: certainly not sent.
    void on_not_sent(time_point now, std::uint64_t number);
    /// The connection to the peer broke, or the peer is known to have ended:
    /// what was sent and not answered may or may not have run.
    void on_disconnect(time_point now, incarnation_id peer);
    /// Ownership state of a service changed: requests that wait try again.
    void on_placement(time_point now, const std::string& service);
    /// The client went away. No end effect follows.
    void cancel(time_point now, forward_id id);
    /// Ends requests past their deadline and tries waiting ones again. Call at
    /// least every 20 ms.
    void on_tick(time_point now);

    /// Effects since the last call, in order.
    std::vector<forward_effect> take_effects();

    [[nodiscard]] std::size_t pending() const { return requests_.size(); }
    /// Requests sent to the peer and not answered, for the balanced choice.
    [[nodiscard]] std::uint32_t in_flight(incarnation_id peer) const;
    [[nodiscard]] const forward_counters& counters() const { return counters_; }

private:
    struct record {
        forward_request request;
        std::vector<incarnation_id> avoid;
        std::uint32_t sends = 0;
        std::uint32_t retries = 0;
        std::uint32_t resends = 0;
        std::uint64_t number = 0; ///< 0: not sent, waits
        incarnation_id peer;
        time_point next_try;
        placement_version needed;                ///< not_owner named this version
        reason last = reason::deadline_not_sent; ///< why it waits
        /// Set when an attempt may have run: the end is then never "not run".
        std::optional<reason> may_have_run;
    };

    void attempt(time_point now, forward_id id);
    /// `replied`: `why` comes from a reply that can be passed to the client.
    void failed(time_point now, forward_id id, reason why, bool replied);
    void wait(time_point now, record& entry, reason why);
    void resend(time_point now, forward_id id, reason why, bool replied);
    void end(forward_id id, reason why, bool replied = false);
    void unlink(record& entry);
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
