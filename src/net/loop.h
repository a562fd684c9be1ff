#pragma once

/// The event loop of a process, built on h2o's evloop.

#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <memory>

#include "common/boot_clock.h"

struct st_h2o_evloop_t;
struct st_h2o_context_t;

namespace bulrushgw::net {

/// Runs all sockets and timers of the process on one thread. Not thread-safe.
/// An exception thrown by an action propagates out of `run` or `run_until`, unless
/// a hook was set by `on_error`.
class loop {
public:
    using timer_id = std::uint64_t;

    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    loop(loop&&) = delete;
    loop& operator=(loop&&) = delete;

    /// Calls `action` once after `delay`. Returns the id to pass to `cancel`.
    timer_id after(milliseconds delay, std::function<void()> action);
    /// Calls `action` every `period` until the timer is cancelled. A period below 1 ms counts as
    /// 1 ms; periods missed while the loop was blocked are skipped.
    timer_id every(milliseconds period, std::function<void()> action);
    /// Cancels a timer. Does nothing if the timer already fired or was cancelled.
    void cancel(timer_id timer);

    /// Calls `action` once at the end of the current iteration, after the callbacks of the
    /// sockets that are ready now. Actions run in the order in which they were added.
    void defer(std::function<void()> action);

    /// Runs until `stop` is called.
    void run();
    /// Runs until `done` returns true, which is checked before each iteration, or until `limit`
    /// has passed. Returns whether `done` returned true. For tests, for blocking calls of the
    /// command line, and for bounded waits before an exit.
    bool run_until(const std::function<bool()>& done, milliseconds limit);
    void stop();
    /// Calls `action` on the loop each time SIGTERM or SIGINT arrives. Only one loop of a process
    /// can watch signals at a time. Throws `error` if another loop does.
    void on_signal(std::function<void()> action);

    /// Calls `action` on the loop each time SIGHUP arrives. Precondition:
    /// `on_signal` was called before.
    void on_hangup(std::function<void()> action);

    /// Calls `hook` with each exception that an action throws; the loop continues with the next
    /// action. An exception thrown by `hook` itself propagates out of `run` or `run_until`.
    void on_error(std::function<void(const std::exception&)> hook);

    /// The current time; reads the clock on each call.
    [[nodiscard]] time_point now() const;

    /// The h2o event loop, on which the sockets of package `net` are created.
    [[nodiscard]] st_h2o_evloop_t* evloop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net
