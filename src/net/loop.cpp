#include "net/loop.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <map>
#include <string_view>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/errors.h"
#include "net/h2o_library.h"

namespace bulrushgw::net {

namespace {

/// Upper bound on one wait for events.
constexpr milliseconds max_poll_wait{1000};
/// Upper bound on the iterations that the destructor runs so that closing connections can finish.
constexpr int max_closing_iterations = 64;

/// Write end of the pipe that carries signal numbers to the loop; -1 when no loop watches signals.
volatile std::sig_atomic_t signal_pipe_fd = -1;

void forward_signal(int number)
{
    const int saved_errno = errno;
    const char byte = static_cast<char>(number);
    // A write fails only if the pipe is full. In that case, the bytes in the pipe already wake the
    // loop.
    [[maybe_unused]] const auto written = write(signal_pipe_fd, &byte, 1);
    errno = saved_errno;
}

/// True if `evloop` can be destroyed. h2o_evloop_destroy crashes if timeouts are registered or
/// sockets have pending events. `own_timeout` may be registered, because the caller disposes of it
/// before it destroys `evloop`.
bool is_idle(h2o_evloop_t& evloop, const h2o_timeout_t& own_timeout)
{
    const bool only_own_linked =
        evloop._timeouts.next == &own_timeout._link && own_timeout._link.next == &evloop._timeouts;
    return only_own_linked && evloop._pending_as_client == nullptr &&
           evloop._pending_as_server == nullptr && evloop._statechanged.head == nullptr;
}

struct timer {
    std::function<void()> action;
    milliseconds period{0}; ///< 0 for a one-shot timer
};

} // namespace

struct loop::state {
    struct action_entry {
        h2o_timeout_entry_t super; ///< must be first: h2o's pointer to it is cast to `action_entry`
        loop::state* state;
    };

    h2o_evloop_t* evloop = h2o_evloop_create();
    h2o_timeout_t zero_timeout{};
    action_entry entry{};
    std::exception_ptr failure; ///< thrown by an action, rethrown after the iteration
    std::map<std::pair<time_point, timer_id>, timer> timers;
    std::unordered_map<timer_id, time_point> due_times;
    std::vector<std::function<void()>> deferred;
    timer_id next_timer = 1;
    bool stopped = false;
    std::function<void()> signal_action;
    std::function<void()> hangup_action;
    h2o_socket_t* signal_socket = nullptr;
    std::function<void(const std::exception&)> error_hook;

    void call(const std::function<void()>& action) const
    {
        try {
            action();
        }
        catch (const std::exception& failure) {
            if (!error_hook) {
                throw;
            }
            error_hook(failure);
        }
    }

    void add(timer_id id, time_point at, timer entry)
    {
        due_times[id] = at;
        timers.emplace(std::pair{at, id}, std::move(entry));
    }

    void run_timers()
    {
        const auto now = boot_clock::now();
        while (!timers.empty() && timers.begin()->first.first <= now) {
            auto node = timers.extract(timers.begin());
            const auto [at, id] = node.key();
            timer& entry = node.mapped();
            if (entry.period.count() == 0) {
                due_times.erase(id);
                call(entry.action);
                continue;
            }
            // Periods missed while the loop was blocked are skipped, not caught up on.
            const auto next = std::max(at + entry.period, now + milliseconds{1});
            due_times[id] = next;
            auto action = entry.action;
            node.key().first = next;
            timers.insert(std::move(node));
            call(action);
        }
    }

    void run_deferred()
    {
        // Actions that these actions add run in the next iteration, for which `poll_timeout`
        // returns 0.
        auto actions = std::exchange(deferred, {});
        for (auto& action : actions) {
            call(action);
        }
    }

    [[nodiscard]] milliseconds poll_timeout(milliseconds limit) const
    {
        // h2o runs the callbacks of finished writes after it has waited for events. If the wait
        // were longer than zero, the callback of a write made by a timer or a deferred action would
        // be delayed until the next event. The response to that write would not be read until then
        // either.
        const bool has_finished_writes =
            evloop->_pending_as_client != nullptr || evloop->_pending_as_server != nullptr;
        if (stopped || !deferred.empty() || has_finished_writes) {
            return milliseconds{0};
        }
        auto result = std::min(limit, max_poll_wait);
        if (!timers.empty()) {
            const auto left = timers.begin()->first.first - boot_clock::now();
            result = std::min(result, std::chrono::ceil<milliseconds>(left));
        }
        return std::max(result, milliseconds{0});
    }

    void run_iteration(milliseconds limit)
    {
        h2o_evloop_run(evloop, static_cast<std::int32_t>(poll_timeout(limit).count()));
        run_timers_and_deferred();
    }

    // Actions run within an h2o timeout, because h2o runs the callbacks of finished writes
    // immediately after a timeout. Elsewhere, h2o frees closed sockets before it runs these
    // callbacks, so a socket that an action wrote to and then closed would be used after it was
    // freed.
    void run_timers_and_deferred()
    {
        entry.state = this;
        entry.super.cb = [](h2o_timeout_entry_t* fired) {
            auto& self = *reinterpret_cast<action_entry*>(fired)->state;
            try {
                self.run_timers();
                self.run_deferred();
            }
            catch (...) {
                // An exception must not propagate through h2o's C stack frames.
                self.failure = std::current_exception();
            }
        };
        h2o_timeout_link(evloop, &zero_timeout, &entry.super);
        h2o_timeout_run(evloop, &zero_timeout, h2o_now(evloop));
        if (failure) {
            std::rethrow_exception(std::exchange(failure, nullptr));
        }
    }
};

loop::loop() : state_(std::make_unique<state>())
{
    h2o_timeout_init(state_->evloop, &state_->zero_timeout, 0);
    // A write to a connection closed by the peer must fail with EPIPE, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

loop::~loop()
{
    if (state_->signal_socket != nullptr) {
        std::signal(SIGTERM, SIG_DFL);
        std::signal(SIGINT, SIG_DFL);
        close(signal_pipe_fd);
        signal_pipe_fd = -1;
        h2o_socket_close(state_->signal_socket);
    }
    state_->timers.clear();
    auto* evloop = state_->evloop;
    for (int i = 0; i < max_closing_iterations; ++i) {
        state_->run_timers_and_deferred();
        h2o_evloop_run(evloop, i == 0 ? 0 : 1);
        if (is_idle(*evloop, state_->zero_timeout)) {
            h2o_timeout_dispose(evloop, &state_->zero_timeout);
            h2o_evloop_destroy(evloop);
            return;
        }
    }
    // An event loop that is still busy is leaked. This is harmless because the process or the test
    // ends here.
}

loop::timer_id loop::after(milliseconds delay, std::function<void()> action)
{
    const auto id = state_->next_timer++;
    state_->add(id, now() + delay, {std::move(action), milliseconds{0}});
    return id;
}

loop::timer_id loop::every(milliseconds period, std::function<void()> action)
{
    const auto id = state_->next_timer++;
    period = std::max(period, milliseconds{1});
    state_->add(id, now() + period, {std::move(action), period});
    return id;
}

void loop::cancel(timer_id timer)
{
    const auto found = state_->due_times.find(timer);
    if (found != state_->due_times.end()) {
        state_->timers.erase({found->second, timer});
        state_->due_times.erase(found);
    }
}

void loop::defer(std::function<void()> action)
{
    state_->deferred.push_back(std::move(action));
}

void loop::run()
{
    state_->stopped = false;
    while (!state_->stopped) {
        state_->run_iteration(max_poll_wait);
    }
}

bool loop::run_until(const std::function<bool()>& done, milliseconds limit)
{
    const auto end = now() + limit;
    while (!done()) {
        const auto left = end - now();
        if (left <= boot_clock::duration{0}) {
            return false;
        }
        state_->run_iteration(std::chrono::ceil<milliseconds>(left));
    }
    return true;
}

void loop::stop()
{
    state_->stopped = true;
}

void loop::on_signal(std::function<void()> action)
{
    state_->signal_action = std::move(action);
    if (state_->signal_socket != nullptr) {
        return;
    }
    int pipe_fds[2] = {-1, -1};
    if (signal_pipe_fd != -1 || pipe2(pipe_fds, O_NONBLOCK | O_CLOEXEC) != 0) {
        throw error("another loop watches signals already, or the signal pipe cannot be opened");
    }
    signal_pipe_fd = pipe_fds[1];
    state_->signal_socket = h2o_evloop_socket_create(state_->evloop, pipe_fds[0], 0);
    state_->signal_socket->data = state_.get();
    h2o_socket_read_start(state_->signal_socket, [](h2o_socket_t* socket, const char*) {
        auto* self = static_cast<state*>(socket->data);
        const std::string_view signals(socket->input->bytes, socket->input->size);
        if (signals.find(static_cast<char>(SIGHUP)) != std::string_view::npos) {
            self->deferred.push_back(self->hangup_action);
        }
        if (signals.find_first_not_of(static_cast<char>(SIGHUP)) != std::string_view::npos) {
            self->deferred.push_back(self->signal_action);
        }
        h2o_buffer_consume(&socket->input, socket->input->size);
    });
    struct sigaction handler = {};
    handler.sa_handler = forward_signal;
    sigaction(SIGTERM, &handler, nullptr);
    sigaction(SIGINT, &handler, nullptr);
}

void loop::on_hangup(std::function<void()> action)
{
    state_->hangup_action = std::move(action);
    struct sigaction handler = {};
    handler.sa_handler = forward_signal;
    sigaction(SIGHUP, &handler, nullptr);
}

void loop::on_error(std::function<void(const std::exception&)> hook)
{
    state_->error_hook = std::move(hook);
}

time_point loop::now() const
{
    return boot_clock::now();
}

st_h2o_evloop_t* loop::evloop()
{
    return state_->evloop;
}

} // namespace bulrushgw::net
