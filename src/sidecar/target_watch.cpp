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
    const auto& said = beat.target;
    if (beat.address != address_ || said.service != service_ || said.slots == 0) {
        return false;
    }
    const bool ended =
        said.id == ended_id_ && (said.start_time_ms == 0 || said.start_time_ms <= ended_born_);
    if (ended) {
        return false;
    }
    const bool same = !status_.id.empty() && status_.is_same_instance(said);
    // A heartbeat that was held up may come after its sender was replaced.
    if (!same && status_.start_time_ms != 0 && said.start_time_ms < status_.start_time_ms) {
        return false;
    }
    if (same && beat.sequence <= sequence_) {
        return false;
    }
    sequence_ = beat.sequence;
    if (!same) {
        leaving_since_.reset();
        unanswered_ = 0;
        refused_ = 0;
    }
    const bool changed =
        !same || status_.slots != said.slots || status_.start_time_ms != said.start_time_ms;
    const target_phase before = status_.phase;
    status_ = said;
    status_.phase = before;
    if (changed) {
        ++changes_;
    }
    if (said.phase == target_phase::draining) {
        begin_leave(now);
    }
    // Nothing was heard of it since it fell silent, but it lives.
    unanswered_ = 0;
    set_phase(leaving_since_ ? target_phase::draining : target_phase::ready);
    return true;
}

void target_watch::begin_leave(time_point now)
{
    if (!leaving_since_) {
        leaving_since_ = now;
    }
}

void target_watch::on_deregistration(time_point now, const std::string& target_id,
                                     milliseconds unix_time)
{
    ended_id_ = target_id;
    ended_born_ = static_cast<std::uint64_t>(unix_time.count());
    if (target_id == status_.id) {
        if (status_.start_time_ms != 0) {
            ended_born_ = status_.start_time_ms;
        }
        begin_leave(now);
        set_phase(target_phase::draining);
    }
}

void target_watch::on_identity(time_point now, const std::string& target_id, std::uint32_t slots)
{
    if (!status_.id.empty() || target_id.empty() || target_id == ended_id_) {
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
        set_phase(leaving_since_ ? target_phase::draining : target_phase::ready);
    }
}

void target_watch::on_no_answer(time_point now)
{
    ++unanswered_;
    if (unanswered_ >= settings_.unanswered && now - last_answer_ >= settings_.silence) {
        set_phase(target_phase::absent);
    }
}

void target_watch::on_refused(time_point)
{
    if (++refused_ >= settings_.refused) {
        set_phase(target_phase::absent);
    }
}

bool target_watch::accepts(time_point now) const
{
    if (status_.id.empty() || status_.phase == target_phase::absent) {
        return false;
    }
    return !leaving_since_ || now - *leaving_since_ < settings_.drain - settings_.drain_margin;
}

} // namespace bulrushgw::sidecar
