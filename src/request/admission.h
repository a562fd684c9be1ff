#pragma once

/// Admission control for the target on this node's host: limits on slots and connections, a bounded
/// queue, slow start, draining, and detection of a target that stopped answering.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "request/outcomes.h"

namespace bulrushgw::request {

struct admission_settings {
    std::uint32_t slots = 1;
    std::uint32_t max_connections = 100;
    std::optional<std::uint32_t> queue = std::nullopt; ///< default 4 x slots
    milliseconds slow_start{10000};
    /// If an answer is awaited for this long, no more requests are started: they wait in the queue.
    /// The caller also stops renewing the target's grants. If the target is frozen, a successor
    /// must wait until the grants and requests that the target holds have expired. With this limit,
    /// they expire early enough for the successor to serve within 2 s.
    milliseconds suspect_after{400};
    /// If an answer is awaited for this long, the target counts as silent.
    milliseconds silent_after{1000};
};

/// The caller's id of a request, unique while the request is queued or in flight.
using ticket = std::uint64_t;

struct queued_request {
    ticket id = 0;
    std::uint32_t worth = 1; ///< priority from the rules, higher goes first
    time_point deadline;
};

/// Load reported by the target. Reports may be late or wrong, so they can only lower the number of
/// concurrent requests. They never lower it below half of the slots, or below a quarter if the
/// target is not ready.
struct load_report {
    std::uint32_t in_flight = 0;
    bool ready = true;
    bool draining = false;
};

/// How a request in flight ended.
enum class finish_kind {
    answered, ///< the target answered, with any status
    no_answer ///< cancelled, timed out, or the connection broke
};

/// The request may be written to the target now.
struct start_request {
    ticket id = 0;
};
/// The request, queued or just offered, will not run.
struct refuse_request {
    ticket id = 0;
    reason why = reason::overloaded;
};
/// No answer arrived for `admission_settings::silent_after` although requests or probes wait for
/// one. The target is frozen or dead. Emitted only once before `target_answers_again`.
struct target_went_silent {
    /// When the target last answered, or when the oldest waiting request or probe was sent,
    /// whichever is later.
    time_point since;
};
struct target_answers_again {};

/// An action for the caller to carry out.
using admission_effect =
    std::variant<start_request, refuse_request, target_went_silent, target_answers_again>;

struct admission_counters {
    std::uint64_t started = 0;
    std::uint64_t queued = 0;
    std::uint64_t overloaded = 0; ///< requests refused because the queue was full
    std::uint64_t expired = 0;    ///< requests refused because too little time was left
    std::uint64_t silences = 0;   ///< how often the target went silent
};

/// Deterministic; not thread-safe.
class admission {
public:
    /// `cold`: begin with a slow start. True for a target that announced itself for the first time.
    admission(admission_settings settings, time_point now, bool cold = true);

    /// Starts, queues or refuses the request. `take_effects` returns `start_request` when the
    /// request may run, and `refuse_request` when it will not run.
    void offer(time_point now, const queued_request& request);
    /// A started request ended. Ignores unknown tickets.
    void finish(time_point now, ticket id, finish_kind kind);
    /// Removes a request from the queue. Returns false if it was not queued, i.e. it is in flight
    /// or unknown.
    bool cancel_queued(time_point now, ticket id);

    void on_report(time_point now, const load_report& report);
    /// A probe (a grant or a health check) was sent to the target. While requests are in flight,
    /// the caller must probe at least twice per `admission_settings::silent_after`, because a
    /// healthy target may take longer than that to answer one request.
    void on_probe_sent(time_point now);
    /// The target answered a request or a probe.
    void on_target_answer(time_point now);
    /// Begins a new slow start. Call when the target restarted without requests in flight.
    void on_restart(time_point now);
    /// Refuses queued requests, and new ones until `reopen`, with the reason `why`.
    void close(time_point now, reason why);
    void reopen(time_point now);
    /// Replaces the settings; requests that are in flight or queued are kept.
    void configure(time_point now, const admission_settings& settings);
    /// Refuses expired requests and checks whether the target is silent. Call at least every 50 ms.
    void on_tick(time_point now);

    /// Returns the effects since the last call, in order.
    std::vector<admission_effect> take_effects();

    /// Number of requests that may be in flight at the same time now.
    [[nodiscard]] std::uint32_t concurrency_limit(time_point now) const;
    [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] bool is_silent() const { return silent_; }
    /// True if an answer has been awaited for at least `admission_settings::suspect_after`.
    [[nodiscard]] bool is_suspect(time_point now) const
    {
        return awaiting_since_ && now - *awaiting_since_ >= settings_.suspect_after;
    }
    /// The reason to refuse new requests, or none while they are admitted.
    [[nodiscard]] std::optional<reason> refusal_reason() const;
    [[nodiscard]] const admission_counters& counters() const { return counters_; }

private:
    struct by_worth {
        std::uint32_t worth;
        std::uint64_t arrival;
        // The highest worth first, then the earliest arrival.
        bool operator<(const by_worth& other) const
        {
            return std::tie(other.worth, arrival) < std::tie(worth, other.arrival);
        }
    };

    void enqueue(const queued_request& request);
    void refuse(ticket id, reason why);
    void refuse_queue(reason why);
    void update_awaiting(time_point now);
    void expire(time_point now);
    [[nodiscard]] bool may_start(time_point now) const;
    void start_queued(time_point now);
    void start(time_point now, ticket id);
    void check_silence(time_point now);
    [[nodiscard]] std::size_t queue_limit() const;

    admission_settings settings_;
    time_point slow_start_began_;
    std::map<by_worth, queued_request> queue_;
    std::map<ticket, by_worth> queue_keys_;
    std::map<ticket, time_point> in_flight_; ///< with the start time of each request
    std::uint64_t arrivals_ = 0;
    std::optional<load_report> report_;
    std::optional<reason> closed_;
    /// When the wait for an answer began: the later of the last answer and the sending of the
    /// oldest unanswered request or probe. None if no answer is awaited.
    std::optional<time_point> awaiting_since_;
    boot_clock::duration mean_answer_{0}; ///< moving average of the answer time
    bool probe_pending_ = false;
    std::optional<time_point> last_tick_;
    std::uint32_t peak_in_flight_ = 0;  ///< highest number in flight since the last report
    std::uint32_t other_in_flight_ = 0; ///< reported requests that this node did not send
    bool silent_ = false;
    std::vector<admission_effect> effects_;
    admission_counters counters_;
};

} // namespace bulrushgw::request
