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

bool target_watch::on_heartbeat(time_point now, const heartbeat& beat)
{
    const auto& reported = beat.target;
    if (beat.address != address_ || reported.service != service_ || reported.slots == 0) {
        return false;
    }
    const bool deregistered =
        reported.id == deregistered_id_ &&
        (reported.start_time_ms == 0 || reported.start_time_ms <= max_deregistered_start_ms_);
    if (deregistered) {
        return false;
    }
    const bool same_run = !status_.id.empty() && status_.is_same_instance(reported);
    // A delayed heartbeat may arrive after its sender was replaced by a later target.
    if (!same_run && status_.start_time_ms != 0 && reported.start_time_ms < status_.start_time_ms) {
        return false;
    }
    if (same_run && beat.sequence <= sequence_) {
        return false;
    }
    sequence_ = beat.sequence;
    if (!same_run) {
        draining_since_.reset();
        unanswered_ = 0;
        refused_ = 0;
    }
    const bool changed = !same_run || status_.slots != reported.slots ||
                         status_.start_time_ms != reported.start_time_ms;
    const target_phase previous_phase = status_.phase;
    status_ = reported;
    status_.phase = previous_phase;
    if (changed) {
        ++changes_;
    }
    if (reported.phase == target_phase::draining) {
        begin_drain(now);
    }
    // A heartbeat proves that a target counted as absent is alive.
    unanswered_ = 0;
    set_phase(draining_since_ ? target_phase::draining : target_phase::ready);
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
    if (target_id == status_.id) {
        if (status_.start_time_ms != 0) {
            max_deregistered_start_ms_ = status_.start_time_ms;
        }
        begin_drain(now);
        set_phase(target_phase::draining);
    }
}

void target_watch::on_target_id(time_point now, const std::string& target_id, std::uint32_t slots)
{
    if (!status_.id.empty() || target_id.empty() || target_id == deregistered_id_) {
        return;
    }
    status_.id = target_id;
    status_.service = service_;
    status_.slots = slots;
    ++changes_;
    last_answer_ = now;
    set_phase(target_phase::ready);
}

void target_watch::on_answer(time_point now)
{
    last_answer_ = now;
    unanswered_ = 0;
    refused_ = 0;
    if (!status_.id.empty() && status_.phase == target_phase::absent) {
        set_phase(draining_since_ ? target_phase::draining : target_phase::ready);
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
    if (status_.id.empty() || status_.phase == target_phase::absent) {
        return false;
    }
    return !draining_since_ || now - *draining_since_ < settings_.drain - settings_.drain_margin;
}

} // namespace bulrushgw::sidecar
