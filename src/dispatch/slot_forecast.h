#pragma once

/// Estimates when the requests in the queue of a busy target start. With `n` runs at the target,
/// one of them ends about `n` times as soon as a given one does. A short request behind long runs
/// therefore starts much earlier than the rest of the running work, divided by the slots, suggests.

#include <cstdint>

namespace bulrushgw::dispatch {

/// Work times vary by about as much as their mean, so each run is assumed to end at a constant
/// rate, the inverse of its expected time. Not thread-safe.
class slot_forecast {
public:
    explicit slot_forecast(std::uint32_t slots) : slots_(slots) {}

    /// Adds a run that occupies a slot now. Precondition: `work_ms`, its expected time in
    /// milliseconds, is positive.
    void add_running(double work_ms);
    /// Expected time, in milliseconds, until the next request in the queue can start, if it leaves
    /// `reserved` slots free. Precondition: there is at least one slot.
    [[nodiscard]] double wait_ms(std::uint32_t reserved) const;
    /// The next request in the queue, with this expected time, starts after `wait_ms(reserved)`.
    void add_queued(double work_ms, std::uint32_t reserved);

private:
    std::uint32_t slots_;
    std::uint32_t busy_ = 0; ///< slots that are occupied when the next request can start
    double end_rate_ = 0;    ///< ends of runs per millisecond
    double elapsed_ms_ = 0;  ///< until the last queued request started
};

} // namespace bulrushgw::dispatch
