#pragma once

/// What the requests of this host to one target show about it while they have no answer, and after
/// they ended without one. It addresses a target that accepts requests and does not answer them,
/// for example behind a saturated link: its mean answer time keeps its earlier good value, because
/// no answer changes it.
///
/// Only requests that no answered request has overtaken count, that is, none that was sent later.
/// A target that answers later requests is not silent; the request is then a long run. Pure: no
/// clock, no I/O.

#include <cstddef>
#include <optional>
#include <vector>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Switches for experiments.
struct unanswered_settings {
    bool counts_ended = true;   ///< requests that ended without an answer
    bool counts_waiting = true; ///< requests that still wait
    bool probes = true;         ///< return of avoided targets by probes, see `probe_schedule`
};

/// Not thread-safe. Times of `now` must not decrease.
class unanswered_requests {
public:
    /// A request was sent at `sent`, which must not decrease. Its answer is expected `extra_ms`
    /// later than usual, because of its body.
    void on_sent(time_point sent, double extra_ms = 0);
    /// The request ended with a reply that is not an answer of the target, or without an
    /// observation. Has no effect if no request of this time waits.
    void on_end(time_point sent);
    /// The target answered the request that was sent at `sent`. Returns true if this shows that the
    /// target has recovered: requests were missed, and the answered one was sent after them.
    bool on_answer(time_point sent);
    /// The request ended at `now` without an answer in a useful time; the usual answer time is
    /// `usual_ms`. Returns true if it counts in `shown_ms`. Otherwise it is an observation like
    /// that of a slow answer.
    bool on_missed(time_point now, time_point sent, double usual_ms);
    /// The `extra_ms` of the waiting request that was sent at this time; none: no request waits.
    [[nodiscard]] std::optional<double> extra_ms(time_point sent) const;
    /// Lower bound of the expected answer time in ms, from the requests without an answer; 0 if
    /// they show nothing. `usual_ms`: usual answer time.
    [[nodiscard]] double shown_ms(time_point now, double usual_ms,
                                  const unanswered_settings& settings) const;
    /// True if requests were missed and an answer after `took_ms` is as late as they were, so that
    /// the target has not recovered. A shorter answer is one of a target that became slower.
    [[nodiscard]] bool is_as_late(double took_ms, double usual_ms) const;
    /// True if there is no request that `shown_ms` depends on.
    [[nodiscard]] bool is_empty() const { return waiting_.empty() && missed_ == 0; }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    /// Requests that ended without an answer since the last answer that counted.
    [[nodiscard]] int missed() const { return missed_; }

private:
    struct waiting_request {
        time_point sent;
        double extra_ms = 0;
    };
    using iterator = std::vector<waiting_request>::const_iterator;

    /// The waiting request that was sent at this time, or the end.
    [[nodiscard]] iterator find(time_point sent) const;

    std::vector<waiting_request> waiting_; ///< by time of sending
    time_point newest_answered_{};         ///< latest time of sending of an answered request
    time_point newest_missed_{};           ///< latest time of sending of a missed request
    time_point last_missed_at_{};
    int missed_ = 0;
    double missed_ms_ = 0; ///< longest wait of the missed requests
};

} // namespace bulrushgw::dispatch
