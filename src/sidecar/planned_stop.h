#pragma once

/// Times of a planned stop: until when the node accepts requests, and when it exits. Addresses
/// requests that arrive, or that still run, while the platform restarts hosts one after the other.

#include <optional>

#include "common/boot_clock.h"

namespace bulrushgw::sidecar {

/// What a stopping node still has to do.
struct stop_progress {
    /// No request is pending, running or without its whole answer, and the target holds no keys.
    bool is_idle = false;
    time_point last_request{};
};

/// Deterministic; not thread-safe.
class planned_stop {
public:
    /// The platform sent a stop signal and kills the process `grace` later. A repeated signal
    /// starts the grace time anew: the platform stopped the host twice, and requests that run may
    /// use the later end. Precondition: `now` does not decrease.
    void on_signal(time_point now, milliseconds grace);
    [[nodiscard]] bool is_stopping() const { return begin_.has_value(); }
    /// Time by which all answers must be given. Precondition: `is_stopping`.
    [[nodiscard]] time_point exit_limit() const { return exit_limit_; }
    /// Whether new requests are refused. Stays true once it is.
    [[nodiscard]] bool is_closed(time_point now, const stop_progress& progress);
    /// Whether the process exits now. Precondition: `is_stopping`.
    [[nodiscard]] bool is_over(time_point now, const stop_progress& progress) const;

private:
    std::optional<time_point> begin_; ///< of the first signal
    time_point accept_limit_{};
    time_point exit_limit_{};
    std::optional<time_point> closed_since_; ///< the node was found idle
};

} // namespace bulrushgw::sidecar
