#pragma once

/// Admission to the one target beside this node. It keeps the target below the
/// number of requests that it runs at once, because a full target may break
/// connections, after which a request that was sent may or may not have run. When
/// more arrives than the target can do, the requests that can still be answered
/// within their aim go first, by rank, and those that can no longer be answered
/// in time are refused at once, with the time at which there will be room. So are those
/// that requests still to come would push back until it is too late: under overload a
/// caller learns that at once, not at the end of its time.

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
    time_point aim;         ///< an answer after it is worth less
    time_point deadline;    ///< an answer after it is worth nothing
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
    /// `answered`: the target answered after running it, so that the time counts.
    slot_decisions finish(time_point now, ticket id, bool answered);
    /// False when the request is not queued.
    bool cancel_queued(ticket id);
    /// Refuses what can no longer be answered in time.
    slot_decisions on_tick(time_point now);
    /// Removes all queued requests and returns them.
    std::vector<ticket> clear();

    /// Time that the target takes for a request of that kind.
    [[nodiscard]] milliseconds expected(const std::string& kind) const;
    /// Mean over all kinds; 0 before the first answer.
    [[nodiscard]] std::chrono::microseconds mean_work() const;
    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

private:
    struct running_request {
        std::string kind;
        time_point started;
    };

    void decide(time_point now, slot_decisions& decisions);
    /// True when a request with `ahead_ms` of work before it will not be answered in time.
    [[nodiscard]] bool is_unservable(time_point now, const waiting_request& request,
                                     double ahead_ms) const;
    void sort(time_point now);
    void start(time_point now, const waiting_request& request, slot_decisions& decisions);
    [[nodiscard]] bool will_miss_aim(time_point now, const waiting_request& request) const;
    [[nodiscard]] bool has_ample_time(time_point now, const waiting_request& request) const;

    std::uint32_t slots_;
    std::vector<waiting_request> queue_;
    std::map<ticket, running_request> running_;
    std::map<std::string, double, std::less<>> mean_ms_by_kind_; ///< mean by kind
    offered_load offered_;
    double overall_mean_ms_ = 0;
    double overall_answers_ = 0; ///< answers in the mean
};

} // namespace bulrushgw::dispatch
