#pragma once

/// Admission of requests to the target on this node's host. The number of requests that run at the
/// target is limited to its slots, because a target that receives more requests than it has slots
/// may break connections. A request that was sent over a broken connection may or may not have run.
/// Each request has a latency goal: the time after which its answer is worth less. When more
/// requests arrive than the target can process, requests that can still meet their latency goal go
/// first, by rank. A request that can no longer be answered in time is refused at
/// once, together with the expected time until a slot is free. A request that future arrivals would
/// delay for too long is refused in the same way. Under overload, a caller thus learns of the
/// refusal at once and not at its deadline.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "dispatch/offered_load.h"

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
    explicit slot_queue(std::uint32_t slots) : slots_(slots) {}

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
    [[nodiscard]] std::chrono::microseconds mean_work() const;
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

private:
    struct running_request {
        std::string kind;
        time_point started;
    };

    void decide(time_point now, slot_decisions& decisions);
    /// True if a request with `ahead_ms` of work ahead of it will not be answered in time.
    [[nodiscard]] bool is_unservable(time_point now, const waiting_request& request,
                                     double ahead_ms) const;
    void sort(time_point now);
    void start(time_point now, const waiting_request& request, slot_decisions& decisions);
    [[nodiscard]] bool will_miss_aim(time_point now, const waiting_request& request) const;
    [[nodiscard]] bool has_ample_time(time_point now, const waiting_request& request) const;

    std::uint32_t slots_;
    std::vector<waiting_request> queue_;
    std::map<ticket, running_request> running_;
    std::map<std::string, double, std::less<>> mean_ms_by_kind_;
    offered_load offered_;
    double overall_mean_ms_ = 0;
    double overall_answers_ = 0; ///< number of answers in `overall_mean_ms_`
};

} // namespace bulrushgw::dispatch
