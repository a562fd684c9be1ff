#pragma once

/// Admission of requests to the one target beside this node: slots, connections,
/// a bounded queue, slow start, draining and the detection of a silent target.

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
    /// After this long without an answer requests wait in the queue. What a frozen
    /// target may still run is then over before the silence is, so that a
    /// successor serves within 2 s.
    milliseconds hold{400};
    milliseconds silence{1000}; ///< no answer for this long while some are awaited
};

/// The caller's number of a request, unique while the request is known here.
using ticket = std::uint64_t;

struct queued_request {
    ticket id = 0;
    std::uint32_t worth = 1;
    time_point deadline;
};

/// The target's announced load. Reports lag and mislead, so they can only lower
/// the number of concurrent requests, and not below half of the slots (a quarter
/// for a target that is not ready).
struct load_report {
    std::uint32_t in_flight = 0;
    bool ready = true;
    bool draining = false;
};

/// Why a request that was in flight is no longer.
enum class finish_kind {
    answered, ///< the target answered, in whatever way
    no_answer ///< cancelled, timed out, or the connection broke
};

/// The request may be written to the target now.
struct start_request {
    ticket id = 0;
};
/// The request was in the queue or just offered and will not run.
struct refuse_request {
    ticket id = 0;
    reason why = reason::overloaded;
};
/// No answer for `silence` while requests or probes wait: the target is frozen
/// or dead. Emitted once until the target answers again.
struct target_went_silent {
    time_point since; ///< the last answer, or the oldest thing that waits
};
struct target_answers_again {};

using admission_effect =
    std::variant<start_request, refuse_request, target_went_silent, target_answers_again>;

struct admission_counters {
    std::uint64_t started = 0;
    std::uint64_t queued = 0;
    std::uint64_t overloaded = 0;
    std::uint64_t expired = 0;
    std::uint64_t silences = 0;
};

/// Deterministic; not thread-safe.
class admission {
public:
    /// A target that was announced for the first time is cold.
    admission(admission_settings settings, time_point now, bool cold = true);

    /// Starts, queues or refuses the request; the effects say which.
    void offer(time_point now, const queued_request& request);
    /// A started request ended. Ignored for an unknown ticket.
    void finish(time_point now, ticket id, finish_kind kind);
    /// Removes a request from the queue; false when it was not queued (it is in
    /// flight, or unknown).
    bool cancel_queued(time_point now, ticket id);

    void on_report(time_point now, const load_report& report);
    /// A probe (a grant, a health question) was written to the target. The
    /// caller probes at least twice in `silence` while requests are in flight,
    /// because a healthy target may take longer than that for one request.
    void on_probe_sent(time_point now);
    /// The target answered anything at all.
    void on_target_response(time_point now);
    /// The target restarted empty: slow start begins again.
    void on_restart(time_point now);
    /// While draining or closed, new and queued requests are refused with `why`.
    void close(time_point now, reason why);
    void reopen(time_point now);
    /// Changed limits take effect for further requests.
    void configure(time_point now, const admission_settings& settings);
    /// Expires the queue and checks for silence. Call at least every 50 ms.
    void on_tick(time_point now);

    /// Effects since the last call, in order.
    std::vector<admission_effect> take_effects();

    /// Requests that may be in flight at once now.
    [[nodiscard]] std::uint32_t share(time_point now) const;
    [[nodiscard]] std::size_t in_flight() const { return in_flight_.size(); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] bool is_silent() const { return silent_; }
    /// No answer for `hold` while some are awaited.
    [[nodiscard]] bool is_suspect(time_point now) const
    {
        return awaiting_since_ && now - *awaiting_since_ >= settings_.hold;
    }
    /// Why new requests are refused; none when they are admitted.
    [[nodiscard]] std::optional<reason> closed_for() const;
    [[nodiscard]] const admission_counters& counters() const { return counters_; }

private:
    struct by_worth {
        std::uint32_t worth;
        std::uint64_t arrival;
        // The most worthy first, then the earliest.
        bool operator<(const by_worth& other) const
        {
            return std::tie(other.worth, arrival) < std::tie(worth, other.arrival);
        }
    };

    void enqueue(const queued_request& request);
    void refuse(ticket id, reason why);
    void refuse_queue(reason why);
    void update_wait(time_point now);
    void expire(time_point now);
    [[nodiscard]] bool may_start(time_point now) const;
    void start_waiting(time_point now);
    void start(time_point now, ticket id);
    void check_silence(time_point now);
    [[nodiscard]] std::size_t queue_limit() const;

    admission_settings settings_;
    time_point warm_since_;
    std::map<by_worth, queued_request> queue_;
    std::map<ticket, by_worth> queue_keys_;
    std::map<ticket, time_point> in_flight_; ///< with the time of the start
    std::uint64_t arrivals_ = 0;
    std::optional<load_report> report_;
    std::optional<reason> closed_;
    std::optional<time_point> awaiting_since_; ///< oldest thing without a later answer
    boot_clock::duration mean_answer_{0};
    bool probe_waits_ = false;
    std::optional<time_point> last_tick_;
    std::uint32_t peak_in_flight_ = 0; ///< since the last report
    std::uint32_t excess_ = 0;         ///< reported load that is not this node's
    bool silent_ = false;
    std::vector<admission_effect> effects_;
    admission_counters counters_;
};

} // namespace bulrushgw::request
