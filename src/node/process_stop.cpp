/// Planned stop of a node: hand over its ranges, finish the requests in flight, exit.

#include "node/process.h"

namespace bulrushgw::node {

namespace {
// If the ranges can't be handed over within this time because the store is down, the incarnation
// is ended through its witnesses instead.
constexpr milliseconds leave_timeout{10000};
// How long requests in flight may take to finish, and clients to read their responses, after the
// grace period that follows the hand-over.
constexpr milliseconds finish_timeout{5000};
constexpr milliseconds idle_poll_interval{20};
// Nodes with an outdated placement may keep sending requests for a short time after the hand-over.
// They get the reply `not_owner` instead of a broken connection.
constexpr milliseconds grace_after_leave{300};
} // namespace

void process::on_signal()
{
    if (stop_cause_) {
        exit_code_ = 1;
        loop_.stop();
        return;
    }
    begin_leave("signal");
}

void process::begin_leave(const std::string& cause)
{
    if (stop_cause_) {
        return;
    }
    stop_cause_ = cause;
    log_event event;
    event.kind = event_kind::stopping;
    event.cause = cause;
    log_.write(loop_.now(), event);
    gateway_.drain();
    ownership_.leave();
    loop_.after(leave_timeout, [this] {
        if (!left_) {
            ownership_.end_incarnation("planned stop without the store", std::nullopt);
            on_left();
        }
    });
}

void process::on_left()
{
    if (left_) {
        return;
    }
    left_ = true;
    gateway_.drain_target();
    loop_.after(grace_after_leave, [this] { finish_when_idle(); });
    loop_.after(grace_after_leave + finish_timeout, [this] { loop_.stop(); });
}

void process::finish_when_idle()
{
    // The clients' connections are closed in order: an exit with unread input on them would reset
    // them, and drop responses that are not read yet.
    client_server_->finish();
    if (gateway_.pending() == 0 && entry_.pending() == 0 && client_server_->connections() == 0) {
        all_requests_finished_ = true;
        loop_.stop();
        return;
    }
    loop_.after(idle_poll_interval, [this] { finish_when_idle(); });
}

} // namespace bulrushgw::node
