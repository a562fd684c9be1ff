#pragma once

/// The event loop of a process, built on h2o's evloop.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "common/boot_clock.h"

struct st_h2o_evloop_t;
struct st_h2o_context_t;

namespace bulrushgw::net {

/// Runs all sockets and timers of the process on one thread. Not thread-safe,
/// except `stop_from_signal`.
class loop {
public:
    using timer_id = std::uint64_t;

    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;

    /// Calls `action` once after `delay`. The result cancels it.
    timer_id after(milliseconds delay, std::function<void()> action);
    /// Calls `action` every `period` until it is cancelled.
    timer_id every(milliseconds period, std::function<void()> action);
    /// Does nothing for a timer that already fired or was cancelled.
    void cancel(timer_id timer);

    /// Runs until `stop`.
    void run();
    void stop();
    /// Calls `action` on the loop when SIGTERM or SIGINT arrives.
    void on_signal(std::function<void()> action);

    /// Current time, read anew on each call.
    [[nodiscard]] time_point now() const;

    [[nodiscard]] st_h2o_evloop_t* evloop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net
