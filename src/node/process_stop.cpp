/// The planned stop of a node: hand over, finish what is in flight, leave.

#include "node/process.h"

namespace bulrushgw::node {

namespace {
// A planned stop that cannot hand over within this time, because the store is
// down, ends the incarnation through its witnesses instead.
constexpr milliseconds leave_patience{10000};
// Requests in flight may finish for this long after the hand-over.
constexpr milliseconds finish_patience{5000};
constexpr milliseconds idle_poll{20};
// Nodes that route by older state may still send requests for a short time.
// They get a truthful not_owner instead of a broken connection.
constexpr milliseconds linger_after_leave{300};
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
    loop_.after(leave_patience, [this] {
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
    loop_.after(linger_after_leave, [this] {
        client_server_->stop_accepting();
        finish_when_idle();
    });
    loop_.after(linger_after_leave + finish_patience, [this] { loop_.stop(); });
}

void process::finish_when_idle()
{
    if (gateway_.pending() == 0 && entry_.pending() == 0) {
        leave_complete_ = true;
        loop_.stop();
        return;
    }
    loop_.after(idle_poll, [this] { finish_when_idle(); });
}

} // namespace bulrushgw::node
