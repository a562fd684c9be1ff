#pragma once

/// Admission of requests to the target on this node's host. The number of requests that run at the
/// target is limited to its slots, because a target that receives more requests than it has slots
/// may break connections. A request that was sent over a broken connection may or may not have run.
/// Each request has a latency goal: the time after which its answer is worth less. When more
/// requests arrive than the target can process, they run in the order of `slot_policy`. A request
/// that can no longer be answered in time is refused at once, together with the expected time until
/// a slot is free. A request that future arrivals would delay for too long is refused in the same
/// way. Under overload, a caller thus learns of the refusal at once and not at its deadline.
/// The starts at a target that warms up are limited in addition, see `warm_up_limiter`.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "dispatch/offered_load.h"
#include "dispatch/slot_forecast.h"
#include "dispatch/slot_policy.h"
#include "dispatch/warm_up_limiter.h"
#include "dispatch/work_estimates.h"
#include "dispatch/work_scale.h"

namespace bulrushgw::dispatch {

using ticket = std::uint64_t;

struct waiting_request {
    ticket id = 0;
    std::string kind;       ///< requests of one kind take about the same time
    std::uint32_t rank = 0; ///< 0 is the most urgent
    time_point aim;         ///< latency goal: an answer after it is worth less
    time_point deadline;    ///< an answer after it is worthless
    /// Another target can probably run the request in time, so it does not wait for the warm-up
    /// limit beyond its latency goal.
    bool has_alternative = false;
    bool was_delayed = false; ///< set by the queue: counted in `delayed_starts`
};

enum class refusal_cause : std::uint8_t { no_slot, warm_up_limit };

struct refused_request {
    ticket id = 0;
    milliseconds retry_after{0};
    refusal_cause cause = refusal_cause::no_slot;
};

struct slot_decisions {
    std::vector<ticket> start;
    std::vector<refused_request> refuse;
};

/// Deterministic; not thread-safe.
class slot_queue {
public:
    explicit slot_queue(std::uint32_t slots, slot_policy policy = default_slot_policy())
        : slots_(slots), policy_(std::move(policy))
    {
    }

    void set_slots(std::uint32_t slots) { slots_ = slots; }
    /// The limiter of this target, in which the queue records its starts. It must outlive this
    /// object. Null: starts are not limited.
    void set_limiter(warm_up_limiter* limiter) { limiter_ = limiter; }
    /// The target reported at `now` that work takes `percent` of the usual time.
    void set_work_percent(time_point now, std::uint32_t percent) { scale_.set(now, percent); }
    /// The last reported duration of work in percent; 100 if it is not known or out of date.
    [[nodiscard]] std::uint32_t work_percent(time_point now) const { return scale_.percent(now); }
    /// Precondition: the ticket is new.
    slot_decisions offer(time_point now, waiting_request request);
    /// `answered` is true if the target ran the request and answered. Only then does the duration
    /// of the request count in the mean work times.
    slot_decisions finish(time_point now, ticket id, bool answered);
    /// Returns false if the request is not queued.
    bool cancel_queued(ticket id);
    /// Refuses requests that can no longer be answered in time.
    slot_decisions on_tick(time_point now);
    /// Removes all queued requests and returns their tickets.
    std::vector<ticket> clear();

    /// Expected time that the target takes to run a request of that kind.
    [[nodiscard]] milliseconds expected(const std::string& kind) const;
    /// Mean time that the target takes to run a request of any kind; 0 before the first answer.
    [[nodiscard]] std::chrono::microseconds mean_work() const { return work_.mean(); }
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    /// Number of requests that had a slot but waited for the warm-up limit.
    [[nodiscard]] std::uint64_t delayed_starts() const { return delayed_starts_; }

private:
    struct running_request {
        std::string kind;
        std::uint32_t rank = 0;
        time_point started;
        double scale_at_start = 1; ///< duration of work as a multiple of the usual one
    };

    /// Load of one kind of request, and worth density of its requests while they are not late.
    struct kind_density {
        double density = 0;
        double slots = 0;
        double starts_per_s = 0;
    };

    /// What decides on a queued request, computed once for each decision.
    struct queued_request {
        waiting_request request;
        double work_ms = 0;
        double density = 0;
        bool has_ample_time = false;
    };

    /// Expected wait of a queued request until its start, and what it waits for.
    struct expected_wait {
        double ms = 0;
        refusal_cause cause = refusal_cause::no_slot;
    };

    [[nodiscard]] double admission_ms(time_point now, const std::string& kind) const;
    [[nodiscard]] bool is_start_allowed(time_point now) const;
    void count_delay(waiting_request& request);
    /// Share of the slots, or of the starts that the warm-up limit allows, that requests with a
    /// density above `density`, or with this density if `inclusive`, take.
    [[nodiscard]] double share_ahead(double density, bool inclusive,
                                     const std::vector<kind_density>& offered) const;
    void decide(time_point now, slot_decisions& decisions);
    [[nodiscard]] std::vector<queued_request> take_sorted_queue(time_point now);
    [[nodiscard]] std::vector<kind_density> offered_densities(time_point now) const;
    /// Slots that the request must leave free for kinds of a much higher density.
    [[nodiscard]] std::uint32_t reserved_for_denser(time_point now, const waiting_request& request,
                                                    const std::vector<kind_density>& offered) const;
    /// True if a request that starts after `wait_ms`, or later because of requests that arrive
    /// meanwhile, will not be answered in time.
    [[nodiscard]] bool is_unservable(time_point now, const queued_request& item,
                                     const expected_wait& wait,
                                     const std::vector<kind_density>& offered) const;
    [[nodiscard]] double density_of(time_point now, const waiting_request& request,
                                    bool late) const;

    std::uint32_t slots_;
    slot_policy policy_;
    std::vector<waiting_request> queue_;
    std::map<ticket, running_request> running_;
    work_estimates work_;
    work_scale scale_;
    offered_load offered_;
    warm_up_limiter* limiter_ = nullptr;
    std::uint64_t delayed_starts_ = 0;
};

} // namespace bulrushgw::dispatch
