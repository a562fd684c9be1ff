#pragma once

/// Limits the starts of requests at a target that warms up after its start. Such a target crashes
/// when it gets requests at a rate well above the one that it tolerates. The load that the limiter
/// answers is more requests than that: after the restart of a target or of a whole deployment, the
/// usual traffic meets targets that tolerate a fraction of it.

#include <cstddef>
#include <deque>
#include <optional>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// What a cold target tolerates.
struct start_bound {
    double requests_per_s = 0; ///< 0: no limit
    /// Hard bound: no second may contain more than `requests_per_s` * `overage` + `slack` arrivals.
    double overage = 1;
    double slack = 0;
    bool operator==(const start_bound&) const = default;
};

/// A sliding window over the starts of requests. It holds at most `max_starts` starts, a fifth
/// fewer than the hard bound or the rate allows. Once half of them are used, further starts are
/// spaced evenly, so that after a burst requests need not wait for a whole window.
///
/// An earlier process may have sent requests until directly before this one was started. Starts
/// that it may have made fill the window at first, except for what the hard bound leaves for both
/// processes together.
///
/// Starts are recorded also while the target is warm, because it may become cold at any moment.
/// Deterministic; not thread-safe.
class warm_up_limiter {
public:
    /// `process_start` is a time at which no request of this process had been started.
    explicit warm_up_limiter(time_point process_start) : process_start_(process_start) {}

    void set_bound(const start_bound& bound);
    /// Whether the target counts as cold. True at first.
    void set_cold(bool cold) { is_cold_ = cold; }
    /// Records a start.
    void on_start(time_point now);

    /// True while starts are limited.
    [[nodiscard]] bool is_limiting() const { return is_cold_ && max_starts_ > 0; }
    /// Time at which the next start is allowed; `now` if it is allowed now.
    [[nodiscard]] time_point next_start(time_point now) const;
    /// True if a target that became cold at this moment would get no further start at first.
    [[nodiscard]] bool is_window_full(time_point now) const;
    /// Starts per second that the limiter admits in the long run; 0: no limit.
    [[nodiscard]] double starts_per_s() const;

private:
    /// Length of the window: one second, for which the hard bound holds, and the time by which
    /// requests may arrive at the target closer to each other than they were started.
    static constexpr milliseconds min_window{1100};

    /// Time of the `n`-th latest start, counted from 1; none if there were fewer.
    [[nodiscard]] std::optional<time_point> latest(std::size_t n) const;
    void drop_expired(time_point now);

    time_point process_start_;
    bool is_cold_ = true;
    start_bound bound_;
    std::size_t max_starts_ = 0; ///< in one window; 0: no limit
    boot_clock::duration window_ = min_window;
    std::size_t earlier_starts_ = 0; ///< assumed starts of an earlier process, at `process_start_`
    std::deque<time_point> starts_;  ///< of this process, in order
};

} // namespace bulrushgw::dispatch
