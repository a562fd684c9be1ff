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
/// An exception that leaves an action ends `run` or `run_until` with it, unless
/// `on_error` was called.
class loop {
public:
    using timer_id = std::uint64_t;

    loop();
    ~loop();
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    loop(loop&&) = delete;
    loop& operator=(loop&&) = delete;

    /// Calls `action` once after `delay`. The result cancels it.
    timer_id after(milliseconds delay, std::function<void()> action);
    /// Calls `action` every `period` until it is cancelled.
    timer_id every(milliseconds period, std::function<void()> action);
    /// Does nothing for a timer that already fired or was cancelled.
    void cancel(timer_id timer);

    /// Calls `action` once at the end of the current turn, after the sockets that
    /// are ready now. Actions run in the order in which they were added.
    void defer(std::function<void()> action);

    /// Runs until `stop`.
    void run();
    /// Runs until `done` holds after a turn, or `limit` has passed. Returns whether
    /// `done` holds. For tests and for bounded waits before an exit.
    bool run_until(const std::function<bool()>& done, milliseconds limit);
    void stop();
    /// Calls `action` on the loop each time SIGTERM or SIGINT arrives. Only one
    /// loop of a process can watch signals at a time; throws `error` otherwise.
    void on_signal(std::function<void()> action);

    /// Calls `action` on the loop each time SIGHUP arrives. Precondition:
    /// `on_signal` was called before.
    void on_hangup(std::function<void()> action);

    /// Calls `hook` with each exception that leaves an action; the loop goes on with the
    /// next one. An exception of the hook itself ends `run`.
    void on_error(std::function<void(const std::exception&)> hook);

    /// Current time, read anew on each call.
    [[nodiscard]] time_point now() const;

    [[nodiscard]] st_h2o_evloop_t* evloop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net
