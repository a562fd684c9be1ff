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

/// Longest wait without a look at the timers.
constexpr milliseconds max_wait{1000};
/// Turns that the destructor grants to closing connections.
constexpr int closing_turns = 64;

/// Write end of the pipe that carries signals to the loop; -1 when none.
volatile std::sig_atomic_t signal_pipe = -1;

void forward_signal(int number)
{
    const int saved = errno;
    const char byte = static_cast<char>(number);
    // A full pipe already holds a wake-up, so that a failure loses nothing.
    [[maybe_unused]] const auto written = write(signal_pipe, &byte, 1);
    errno = saved;
}

/// h2o_evloop_destroy crashes on registered timeouts and on sockets with events.
/// `own`: a timeout that is disposed of first.
bool is_idle(h2o_evloop_t& evloop, const h2o_timeout_t& own)
{
    const bool only_own =
        evloop._timeouts.next == &own._link && own._link.next == &evloop._timeouts;
    return only_own && evloop._pending_as_client == nullptr &&
           evloop._pending_as_server == nullptr && evloop._statechanged.head == nullptr;
}

struct timer {
    std::function<void()> action;
    milliseconds period{0}; ///< 0 for a single call
};

} // namespace

struct loop::state {
    struct action_entry {
        h2o_timeout_entry_t super; ///< first, so that h2o's pointer leads here
        loop::state* state;
    };

    h2o_evloop_t* evloop = h2o_evloop_create();
    h2o_timeout_t at_once{};
    action_entry entry{};
    std::exception_ptr failure; ///< of an action
    std::map<std::pair<time_point, timer_id>, timer> timers;
    std::unordered_map<timer_id, time_point> due;
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
        due[id] = at;
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
                due.erase(id);
                call(entry.action);
                continue;
            }
            // After a pause the missed calls are skipped, not made up for.
            const auto next = std::max(at + entry.period, now + milliseconds{1});
            due[id] = next;
            auto action = entry.action;
            node.key().first = next;
            timers.insert(std::move(node));
            call(action);
        }
    }

    void run_deferred()
    {
        // Actions added meanwhile belong to the next turn, which `wait` starts at once.
        auto actions = std::exchange(deferred, {});
        for (auto& action : actions) {
            call(action);
        }
    }

    [[nodiscard]] milliseconds wait(milliseconds limit) const
    {
        // h2o runs the callbacks of finished writes after its wait for events. A
        // write from a timer or a deferred action would otherwise end only with
        // the next event, and the answer to it would not be read before.
        const bool writes_finished =
            evloop->_pending_as_client != nullptr || evloop->_pending_as_server != nullptr;
        if (stopped || !deferred.empty() || writes_finished) {
            return milliseconds{0};
        }
        auto result = std::min(limit, max_wait);
        if (!timers.empty()) {
            const auto left = timers.begin()->first.first - boot_clock::now();
            result = std::min(result, std::chrono::ceil<milliseconds>(left));
        }
        return std::max(result, milliseconds{0});
    }

    void turn(milliseconds limit)
    {
        h2o_evloop_run(evloop, static_cast<std::int32_t>(wait(limit).count()));
        run_actions();
    }

    // h2o frees a closed socket before it runs the callbacks of finished writes. A socket
    // that an action wrote to and closed would be used after that, so actions run within a
    // timeout of h2o, after which it runs these callbacks at once.
    void run_actions()
    {
        entry.state = this;
        entry.super.cb = [](h2o_timeout_entry_t* fired) {
            auto& self = *reinterpret_cast<action_entry*>(fired)->state;
            try {
                self.run_timers();
                self.run_deferred();
            }
            catch (...) {
                // An exception must not cross h2o's C frames.
                self.failure = std::current_exception();
            }
        };
        h2o_timeout_link(evloop, &at_once, &entry.super);
        h2o_timeout_run(evloop, &at_once, h2o_now(evloop));
        if (failure) {
            std::rethrow_exception(std::exchange(failure, nullptr));
        }
    }
};

loop::loop() : state_(std::make_unique<state>())
{
    h2o_timeout_init(state_->evloop, &state_->at_once, 0);
    // A write to a connection that the peer closed must fail, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

loop::~loop()
{
    if (state_->signal_socket != nullptr) {
        std::signal(SIGTERM, SIG_DFL);
        std::signal(SIGINT, SIG_DFL);
        close(signal_pipe);
        signal_pipe = -1;
        h2o_socket_close(state_->signal_socket);
    }
    state_->timers.clear();
    auto* evloop = state_->evloop;
    for (int i = 0; i < closing_turns; ++i) {
        state_->run_actions();
        h2o_evloop_run(evloop, i == 0 ? 0 : 1);
        if (is_idle(*evloop, state_->at_once)) {
            h2o_timeout_dispose(evloop, &state_->at_once);
            h2o_evloop_destroy(evloop);
            return;
        }
    }
    // Leaking a busy loop is harmless, since the process or a test ends here.
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
    const auto found = state_->due.find(timer);
    if (found != state_->due.end()) {
        state_->timers.erase({found->second, timer});
        state_->due.erase(found);
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
        state_->turn(max_wait);
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
        state_->turn(std::chrono::ceil<milliseconds>(left));
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
    int ends[2] = {-1, -1};
    if (signal_pipe != -1 || pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) {
        throw error("signals are already watched, or no pipe can be opened");
    }
    signal_pipe = ends[1];
    state_->signal_socket = h2o_evloop_socket_create(state_->evloop, ends[0], 0);
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
