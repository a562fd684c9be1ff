#pragma once

/// Whether the target on this host is known to be warm. A target is cold for some time after its
/// start and may become cold again at any moment; while it is cold, it crashes under the usual
/// rate of requests. It therefore counts as cold unless there is evidence that it is warm. Pure: no
/// socket or clock.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "assignment/types.h"
#include "common/boot_clock.h"

namespace bulrushgw::sidecar {

struct warm_up_settings {
    /// Minimum time between two health checks.
    milliseconds check_interval{300};
    /// A cold target is checked at the latest after this time, even if it reported a longer
    /// warm-up, because its report may be wrong.
    milliseconds max_check_interval{2000};
    /// Bound on the delay of heartbeats. One that arrives within this time after a reason to count
    /// the target as cold may have been sent before it.
    milliseconds max_heartbeat_delay{6000};
    /// A target that is not known to be warm is reported as warming up after this time, if no
    /// health check has told until then. Two checks fit into it.
    milliseconds report_delay{700};
};

/// The rest of the warm-up that the answer to a health check tells: 0 if the answer names none,
/// because a warm target may leave it out; none if it cannot be read. `parse`: see
/// `platform_protocol::parse_warm_up`.
[[nodiscard]] std::optional<milliseconds>
warm_up_left(std::optional<std::string_view> text,
             const std::function<std::optional<milliseconds>(std::string_view)>& parse);

/// Not thread-safe.
class warm_up_state {
public:
    explicit warm_up_state(time_point process_start, warm_up_settings settings = {})
        : settings_(settings), cold_since_(process_start), evidence_since_(process_start)
    {
    }

    /// Whether the target's service limits requests to cold targets, and how long a target is cold
    /// after its start. Without a limit, the target never counts as cold.
    void set_service(bool is_limited, milliseconds cold_time);
    /// The state of the target according to `target_watch`. Call it before each of the calls below.
    /// A new run, and one that was absent, count as cold.
    void on_target(time_point now, const assignment::target_status& target);
    /// A heartbeat of the known target, which began `run_age` ago; none: its start time is not
    /// known. `left` is the rest of its warm-up.
    void on_heartbeat(time_point now, milliseconds left, std::optional<milliseconds> run_age);
    /// A health check was sent.
    void on_check_sent(time_point now);
    /// The answer of `target_id` to the last health check, if it reported the rest of its warm-up.
    void on_check_answer(time_point now, const std::string& target_id, milliseconds left);
    /// The target may have become cold, for example while its zone was evacuated. It counts as cold
    /// until there is evidence that is newer than `now`.
    void forget_warmth(time_point now);

    /// True while starts at the target must be limited.
    [[nodiscard]] bool is_cold() const { return is_limited_ && !is_warm_; }
    /// True while other nodes should treat the target as warming up. Unlike `is_cold`, it does not
    /// change for the short time until a health check tells that the target is warm.
    [[nodiscard]] bool is_warming_up(time_point now) const;
    /// True if a health check should be sent. `is_rate_critical`: the target gets requests at a
    /// rate that it does not tolerate while it is cold. Then a warm target is checked too, because
    /// its next heartbeat may tell too late that it became cold.
    [[nodiscard]] bool needs_check(time_point now, bool is_rate_critical) const;

private:
    void count_as_cold(time_point now);
    void become_warm();

    warm_up_settings settings_;
    bool is_limited_ = false;
    milliseconds cold_time_{0};
    assignment::target_status target_;
    time_point run_seen_{}; ///< when this process first knew of the target's run
    bool is_warm_ = false;
    time_point cold_since_; ///< the target has not been known to be warm since
    /// Evidence of warmth from before this time does not count.
    time_point evidence_since_;
    bool is_confirmed_cold_ = false; ///< a health check told that the target is cold
    std::optional<time_point> check_sent_;
    time_point cold_until_{}; ///< expected end of the warm-up by the last report
};

} // namespace bulrushgw::sidecar
