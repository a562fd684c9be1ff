#include "sidecar/warm_up_state.h"

#include <algorithm>

namespace bulrushgw::sidecar {

using assignment::target_phase;

std::optional<milliseconds>
warm_up_left(std::optional<std::string_view> text,
             const std::function<std::optional<milliseconds>(std::string_view)>& parse)
{
    return text ? parse(*text) : milliseconds{0};
}

void warm_up_state::set_service(bool is_limited, milliseconds cold_time)
{
    is_limited_ = is_limited;
    cold_time_ = cold_time;
}

void warm_up_state::count_as_cold(time_point now)
{
    if (is_warm_) {
        cold_since_ = now;
    }
    is_warm_ = false;
    cold_until_ = now;
}

void warm_up_state::become_warm()
{
    is_warm_ = true;
    is_confirmed_cold_ = false;
}

void warm_up_state::forget_warmth(time_point now)
{
    count_as_cold(now);
    evidence_since_ = now;
}

void warm_up_state::on_target(time_point now, const assignment::target_status& target)
{
    const bool is_other_id = target_.id != target.id;
    const bool has_restarted = !is_other_id && !target_.is_same_instance(target);
    const bool became_absent =
        target_.phase != target_phase::absent && target.phase == target_phase::absent;
    if (is_other_id) {
        // Answers name the target, so they are no evidence about the one before it.
        count_as_cold(now);
        cold_since_ = now;
        run_seen_ = now;
    }
    else if (has_restarted || became_absent) {
        forget_warmth(now);
        cold_since_ = now;
        run_seen_ = has_restarted ? now : run_seen_;
    }
    target_ = target;
}

// A late heartbeat may have been sent before an earlier report, so one that contradicts the report
// only makes the target count as cold until the next health check.
void warm_up_state::on_heartbeat(time_point now, milliseconds left,
                                 std::optional<milliseconds> run_age)
{
    if (left.count() > 0) {
        if (is_warm_) {
            forget_warmth(now);
        }
        return;
    }
    const bool is_newer = now - evidence_since_ >= settings_.max_heartbeat_delay;
    const auto age = run_age.value_or(std::chrono::duration_cast<milliseconds>(now - run_seen_));
    const bool began_long_ago = age >= cold_time_ + settings_.max_heartbeat_delay;
    if (is_newer && began_long_ago) {
        become_warm();
    }
}

void warm_up_state::on_check_sent(time_point now)
{
    check_sent_ = now;
}

void warm_up_state::on_check_answer(time_point now, const std::string& target_id, milliseconds left)
{
    if (target_id.empty() || target_id != target_.id || target_.phase == target_phase::absent) {
        return;
    }
    if (left.count() == 0) {
        if (check_sent_ && *check_sent_ >= evidence_since_) {
            become_warm();
        }
        return;
    }
    forget_warmth(now);
    is_confirmed_cold_ = true;
    cold_until_ = now + left;
}

bool warm_up_state::is_warming_up(time_point now) const
{
    return is_cold() && !target_.id.empty() &&
           (is_confirmed_cold_ || now - cold_since_ >= settings_.report_delay);
}

bool warm_up_state::needs_check(time_point now, bool is_rate_critical) const
{
    if (!is_limited_ || target_.id.empty() || target_.phase == target_phase::absent) {
        return false;
    }
    if (is_warm_ && !is_rate_critical) {
        return false;
    }
    if (!check_sent_) {
        return true;
    }
    const auto since_check = now - *check_sent_;
    const auto left = is_warm_ ? boot_clock::duration::zero() : cold_until_ - *check_sent_;
    return since_check >= std::clamp<boot_clock::duration>(left, settings_.check_interval,
                                                           settings_.max_check_interval);
}

} // namespace bulrushgw::sidecar
