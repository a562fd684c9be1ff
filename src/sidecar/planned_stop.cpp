#include "sidecar/planned_stop.h"

namespace bulrushgw::sidecar {

namespace {

/// Minimum time from the stop signal to the exit. Clients continue to send new requests until two
/// of their readiness checks have failed.
constexpr milliseconds min_stop_time{2500};
/// A stopping node that received no request for this time has no clients left.
constexpr milliseconds stop_idle_time{300};
/// Time reserved for the exit itself before the platform kills the process.
constexpr milliseconds stop_margin{500};
/// A stopping node accepts new requests for the grace time divided by this. Clients that have no
/// other node send requests until the exit, but accepted requests must be answered before the
/// platform kills the process.
constexpr int stop_accept_divisor = 2;

bool has_no_clients(time_point now, const stop_progress& progress)
{
    return progress.is_idle && now - progress.last_request >= stop_idle_time;
}

} // namespace

void planned_stop::on_signal(time_point now, milliseconds grace)
{
    if (!begin_) {
        begin_ = now;
        accept_limit_ = now + grace / stop_accept_divisor;
    }
    exit_limit_ = now + grace - stop_margin;
}

bool planned_stop::is_closed(time_point now, const stop_progress& progress)
{
    if (!begin_) {
        return false;
    }
    if (!closed_since_ && now - *begin_ >= min_stop_time && has_no_clients(now, progress)) {
        closed_since_ = now;
    }
    return closed_since_ || now >= accept_limit_;
}

bool planned_stop::is_over(time_point now, const stop_progress& progress) const
{
    const bool has_ended =
        closed_since_ && has_no_clients(now, progress) && now - *closed_since_ >= stop_idle_time;
    return has_ended || now >= exit_limit_;
}

} // namespace bulrushgw::sidecar
