#include "sidecar/target_watch.h"

#include <utility>

namespace bulrushgw::sidecar {

using assignment::target_phase;

target_watch::target_watch(target_watch_settings settings, std::string service, std::string address)
    : settings_(settings), service_(std::move(service)), address_(std::move(address))
{
}

void target_watch::set_phase(target_phase phase)
{
    if (status_.phase != phase) {
        status_.phase = phase;
        ++changes_;
    }
}

target_phase target_watch::present_phase() const
{
    return draining_since_ || !was_ready_ ? target_phase::draining : target_phase::ready;
}

bool target_watch::is_earlier_run(const assignment::target_status& reported) const
{
    const bool deregistered =
        reported.id == deregistered_id_ &&
        (reported.start_time_ms == 0 || reported.start_time_ms <= max_deregistered_start_ms_);
    const bool same_run = !status_.id.empty() && status_.is_same_instance(reported);
    // A delayed heartbeat may arrive after its sender was replaced by a later target.
    return deregistered || (!same_run && status_.start_time_ms != 0 &&
                            reported.start_time_ms < status_.start_time_ms);
}

// True if no earlier process of this host can have confirmed to the target that it leaves, or the
// target is ready all the same. Otherwise remembers the heartbeat for the health check.
bool target_watch::counts_as_ready(time_point now, const heartbeat& beat)
{
    const auto& reported = beat.target;
    // The known target ran under this process, and this one started later.
    const bool is_later_run =
        was_ready_ && status_.start_time_ms != 0 && reported.start_time_ms > status_.start_time_ms;
    // `is_earlier_run` ruled out the run that was deregistered at this process.
    const bool is_after_deregistration = reported.id == deregistered_id_;
    if (is_later_run || is_after_deregistration || reported.id == checked_id_) {
        return true;
    }
    if (!unchecked_ || !unchecked_->latest.target.is_same_instance(reported)) {
        unchecked_ = unchecked_target{beat, now, now};
    }
    else if (beat.sequence > unchecked_->latest.sequence) {
        unchecked_->latest = beat;
        unchecked_->latest_arrival = now;
    }
    return unchecked_->latest_arrival - unchecked_->first_arrival >= settings_.max_heartbeat_delay;
}

void target_watch::adopt(const assignment::target_status& target, std::uint64_t sequence)
{
    const bool same_run = !status_.id.empty() && status_.is_same_instance(target);
    if (!same_run) {
        draining_since_.reset();
        unanswered_ = 0;
        refused_ = 0;
        is_replaced_ = false;
        unidentified_answer_.reset();
    }
    if (!same_run || status_.slots != target.slots ||
        status_.start_time_ms != target.start_time_ms) {
        ++changes_;
    }
    const target_phase previous_phase = status_.phase;
    status_ = target;
    status_.phase = previous_phase;
    sequence_ = sequence;
    unchecked_.reset();
}

bool target_watch::on_heartbeat(time_point now, const heartbeat& beat)
{
    const auto& reported = beat.target;
    if (beat.address != address_ || reported.service != service_ || reported.slots == 0 ||
        is_earlier_run(reported)) {
        return false;
    }
    const bool same_run = !status_.id.empty() && status_.is_same_instance(reported);
    if (same_run && beat.sequence <= sequence_) {
        return false;
    }
    const bool draining = reported.phase == target_phase::draining;
    const bool is_known = same_run && was_ready_;
    if (!is_known && !draining && !counts_as_ready(now, beat)) {
        return true;
    }
    adopt(reported, beat.sequence);
    was_ready_ = is_known || !draining;
    if (draining) {
        begin_drain(now);
    }
    // A heartbeat proves that a target counted as absent is alive, unless another one has answered
    // since: the heartbeat may have been sent before that.
    unanswered_ = 0;
    if (!is_replaced_) {
        set_phase(present_phase());
    }
    return true;
}

void target_watch::begin_drain(time_point now)
{
    if (!draining_since_) {
        draining_since_ = now;
    }
}

void target_watch::on_deregistration(time_point now, const std::string& target_id,
                                     milliseconds unix_time)
{
    deregistered_id_ = target_id;
    max_deregistered_start_ms_ = static_cast<std::uint64_t>(unix_time.count());
    if (unchecked_ && unchecked_->latest.target.id == target_id) {
        const heartbeat latest = unchecked_->latest;
        adopt(latest.target, latest.sequence);
        was_ready_ = false;
    }
    if (target_id == status_.id) {
        if (status_.start_time_ms != 0) {
            max_deregistered_start_ms_ = status_.start_time_ms;
        }
        begin_drain(now);
        set_phase(target_phase::draining);
    }
}

bool target_watch::needs_check(time_point now) const
{
    const auto is_recent = [&](time_point at) { return now - at < settings_.max_check_time; };
    return (unchecked_ && is_recent(unchecked_->latest_arrival)) ||
           (unidentified_answer_ && is_recent(*unidentified_answer_));
}

void target_watch::on_other_target(time_point now)
{
    if (!status_.id.empty()) {
        is_replaced_ = true;
        unidentified_answer_ = now;
        set_phase(target_phase::absent);
    }
}

void target_watch::on_health(time_point now, const target_health& health)
{
    if (unidentified_answer_ && health.target_id == status_.id) {
        unidentified_answer_.reset();
        is_replaced_ = false;
        refused_ = 0;
        set_phase(present_phase());
    }
    const bool is_reported = unchecked_ && unchecked_->latest.target.id == health.target_id;
    const bool is_known = !status_.id.empty() && !unchecked_ && !unidentified_answer_;
    const bool is_deregistered = health.target_id == deregistered_id_ && !is_reported;
    if (is_known || is_deregistered || health.target_id.empty()) {
        return;
    }
    last_answer_ = now;
    if (health.is_ready) {
        checked_id_ = health.target_id;
    }
    assignment::target_status found{health.target_id, 0, service_, health.slots};
    std::uint64_t sequence = 0;
    if (is_reported) {
        found = unchecked_->latest.target;
        sequence = unchecked_->latest.sequence;
    }
    if (found.slots == 0) {
        // The next heartbeat tells the number of slots.
        return;
    }
    // A target that is failing may become ready, so it is checked again.
    auto checked_again = health.is_ready ? std::nullopt : unchecked_;
    adopt(found, sequence);
    unchecked_ = std::move(checked_again);
    was_ready_ = health.is_ready;
    set_phase(present_phase());
}

void target_watch::on_answer(time_point now)
{
    last_answer_ = now;
    unanswered_ = 0;
    const bool is_absent = !status_.id.empty() && status_.phase == target_phase::absent;
    // After refused connections, the answer may come from a target that was started since.
    if (is_absent && (is_replaced_ || refused_ >= settings_.refused_limit)) {
        unidentified_answer_ = now;
        return;
    }
    refused_ = 0;
    if (is_absent) {
        set_phase(present_phase());
    }
}

void target_watch::on_no_answer(time_point now)
{
    ++unanswered_;
    if (unanswered_ >= settings_.unanswered_limit && now - last_answer_ >= settings_.min_silence) {
        set_phase(target_phase::absent);
    }
}

void target_watch::on_refused(time_point)
{
    if (++refused_ >= settings_.refused_limit) {
        set_phase(target_phase::absent);
    }
}

bool target_watch::accepts(time_point now) const
{
    if (status_.id.empty() || status_.phase == target_phase::absent || !was_ready_) {
        return false;
    }
    return !draining_since_ || now - *draining_since_ < settings_.drain - settings_.drain_margin;
}

} // namespace bulrushgw::sidecar
