#pragma once

/// Admission of requests to the target on this node's host. The number of requests that run at the
/// target is limited to its slots, because a target that receives more requests than it has slots
/// may break connections. A request that was sent over a broken connection may or may not have run.
/// Each request has a latency goal: the time after which its answer is worth less. When more
/// requests arrive than the target can process, they run in the order of `slot_policy`. A request
/// that can no longer be answered in time is refused at once, together with the expected time until
/// a slot is free. A request that future arrivals would delay for too long is refused in the same
/// way. Under overload, a caller thus learns of the refusal at once and not at its deadline.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "dispatch/offered_load.h"
#include "dispatch/slot_forecast.h"
#include "dispatch/slot_policy.h"
#include "dispatch/work_estimates.h"

namespace bulrushgw::dispatch {

using ticket = std::uint64_t;

struct waiting_request {
    ticket id = 0;
    std::string kind;       ///< requests of one kind take about the same time
    std::uint32_t rank = 0; ///< 0 is the most urgent
    time_point aim;         ///< latency goal: an answer after it is worth less
    time_point deadline;    ///< an answer after it is worthless
};

struct refused_request {
    ticket id = 0;
    milliseconds retry_after{0};
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

private:
    struct running_request {
        std::string kind;
        std::uint32_t rank = 0;
        time_point started;
    };

    /// Load of one kind of request, and worth density of its requests while they are not late.
    struct kind_density {
        double density = 0;
        double slots = 0;
    };

    /// What decides on a queued request, computed once for each decision.
    struct queued_request {
        waiting_request request;
        double work_ms = 0;
        double density = 0;
        bool has_ample_time = false;
    };

    void decide(time_point now, slot_decisions& decisions);
    [[nodiscard]] std::vector<queued_request> take_sorted_queue(time_point now);
    [[nodiscard]] std::vector<kind_density> offered_densities(time_point now) const;
    /// Slots that the request must leave free for kinds of a much higher density.
    [[nodiscard]] std::uint32_t reserved_for_denser(time_point now, const waiting_request& request,
                                                    const std::vector<kind_density>& offered) const;
    /// True if a request that starts after `wait_ms`, or later because of requests that arrive
    /// meanwhile, will not be answered in time.
    [[nodiscard]] bool is_unservable(time_point now, const queued_request& item, double wait_ms,
                                     const std::vector<kind_density>& offered) const;
    [[nodiscard]] double density_of(time_point now, const waiting_request& request,
                                    bool late) const;

    std::uint32_t slots_;
    slot_policy policy_;
    std::vector<waiting_request> queue_;
    std::map<ticket, running_request> running_;
    work_estimates work_;
    offered_load offered_;
};

} // namespace bulrushgw::dispatch
