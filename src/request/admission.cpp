#include "request/admission.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::request {

namespace {

constexpr std::uint32_t queue_per_slot = 4;
constexpr std::uint32_t cold_divisor = 4; ///< a cold target starts with a quarter
/// A load report lowers the share at most to half of the slots: with one slot
/// left, a false report took the target's ranges out of service. A target that
/// is truly busy with other work refuses what is too much as not-run.
constexpr std::uint32_t report_divisor = 2;

/// Weight of one answer in the mean answer time is one of these.
constexpr int mean_samples = 16;

/// A gap between two ticks above this means that this process was paused: the
/// target's answers may wait unread, so its silence proves nothing.
constexpr milliseconds own_pause{500};

std::uint32_t part_of(std::uint32_t slots, std::uint32_t divisor)
{
    return (slots + divisor - 1) / divisor;
}

} // namespace

admission::admission(admission_settings settings, time_point now, bool cold)
    : settings_(settings), warm_since_(cold ? now : now - settings.slow_start)
{
}

std::size_t admission::queue_limit() const
{
    return settings_.queue.value_or(queue_per_slot * settings_.slots);
}

std::optional<reason> admission::closed_for() const
{
    if (closed_) {
        return closed_;
    }
    if (silent_) {
        return reason::target_silent;
    }
    if (report_ && report_->draining) {
        return reason::draining;
    }
    return std::nullopt;
}

std::uint32_t admission::share(time_point now) const
{
    const std::uint32_t full = std::max(1U, std::min(settings_.slots, settings_.max_connections));
    std::uint32_t limit = full;
    const auto elapsed = now - warm_since_;
    if (elapsed < settings_.slow_start) {
        const std::uint32_t cold = part_of(full, cold_divisor);
        const double progress =
            std::max(0.0, static_cast<double>(elapsed.count())) /
            static_cast<double>(boot_clock::duration{settings_.slow_start}.count());
        limit = cold + static_cast<std::uint32_t>(progress * (full - cold));
    }
    if (report_ && !report_->ready) {
        return std::min(limit, part_of(full, cold_divisor));
    }
    const std::uint32_t least = std::min(limit, part_of(full, report_divisor));
    return std::max(least, limit > excess_ ? limit - excess_ : 0);
}

void admission::refuse(ticket id, reason why)
{
    effects_.emplace_back(refuse_request{id, why});
}

void admission::refuse_queue(reason why)
{
    for (const auto& [key, request] : queue_) {
        refuse(request.id, why);
    }
    queue_.clear();
    queue_keys_.clear();
}

void admission::expire(time_point now)
{
    // A request that is started with too little time left is cut off with an
    // unknown outcome; refused in time, it is known not to have run.
    for (auto next = queue_.begin(); next != queue_.end();) {
        if (next->second.deadline - now > mean_answer_) {
            ++next;
            continue;
        }
        ++counters_.expired;
        refuse(next->second.id, reason::deadline_not_sent);
        queue_keys_.erase(next->second.id);
        next = queue_.erase(next);
    }
}

void admission::start(time_point now, ticket id)
{
    in_flight_.emplace(id, now);
    peak_in_flight_ = std::max(peak_in_flight_, static_cast<std::uint32_t>(in_flight_.size()));
    if (!awaiting_since_) {
        awaiting_since_ = now;
    }
    ++counters_.started;
    effects_.emplace_back(start_request{id});
}

bool admission::may_start(time_point now) const
{
    return !is_suspect(now) && in_flight_.size() < share(now);
}

void admission::start_waiting(time_point now)
{
    if (closed_for()) {
        return;
    }
    expire(now);
    while (!queue_.empty() && may_start(now)) {
        const auto first = queue_.begin();
        const ticket id = first->second.id;
        queue_keys_.erase(id);
        queue_.erase(first);
        start(now, id);
    }
}

void admission::enqueue(const queued_request& request)
{
    const by_worth key{request.worth, arrivals_++};
    if (queue_.size() >= queue_limit()) {
        ++counters_.overloaded;
        if (queue_.empty() || !(key < std::prev(queue_.end())->first)) {
            refuse(request.id, reason::overloaded);
            return;
        }
        const auto least = std::prev(queue_.end());
        refuse(least->second.id, reason::overloaded);
        queue_keys_.erase(least->second.id);
        queue_.erase(least);
    }
    ++counters_.queued;
    queue_.emplace(key, request);
    queue_keys_.emplace(request.id, key);
}

void admission::offer(time_point now, const queued_request& request)
{
    if (const auto closed = closed_for()) {
        refuse(request.id, *closed);
        return;
    }
    if (request.deadline <= now) {
        ++counters_.expired;
        refuse(request.id, reason::deadline_not_sent);
        return;
    }
    // Requests that cannot run any more must not push out one that can.
    start_waiting(now);
    if (queue_.empty() && may_start(now)) {
        start(now, request.id);
        return;
    }
    enqueue(request);
}

void admission::finish(time_point now, ticket id, finish_kind kind)
{
    const auto found = in_flight_.find(id);
    if (found == in_flight_.end()) {
        return;
    }
    const auto duration = now - found->second;
    in_flight_.erase(found);
    if (kind == finish_kind::answered) {
        mean_answer_ += (duration - mean_answer_) / mean_samples;
    }
    if (kind == finish_kind::answered) {
        on_target_response(now);
    }
    else {
        update_wait(now);
        start_waiting(now);
    }
}

bool admission::cancel_queued(time_point now, ticket id)
{
    const auto found = queue_keys_.find(id);
    if (found == queue_keys_.end()) {
        return false;
    }
    queue_.erase(found->second);
    queue_keys_.erase(found);
    start_waiting(now);
    return true;
}

void admission::on_report(time_point now, const load_report& report)
{
    report_ = report;
    // A report lags behind this node's counts. Only what exceeds the most that
    // this node had in flight since the last report can be other load.
    excess_ = report.in_flight > peak_in_flight_ ? report.in_flight - peak_in_flight_ : 0;
    peak_in_flight_ = static_cast<std::uint32_t>(in_flight_.size());
    if (report.draining) {
        refuse_queue(reason::draining);
    }
    start_waiting(now);
}

void admission::on_probe_sent(time_point now)
{
    probe_waits_ = true;
    if (!awaiting_since_) {
        awaiting_since_ = now;
    }
}

void admission::update_wait(time_point now)
{
    if (in_flight_.empty() && !probe_waits_) {
        awaiting_since_.reset();
    }
    else if (!awaiting_since_) {
        awaiting_since_ = now;
    }
}

void admission::on_target_response(time_point now)
{
    probe_waits_ = false;
    awaiting_since_.reset();
    update_wait(now);
    if (silent_) {
        silent_ = false;
        effects_.emplace_back(target_answers_again{});
    }
    start_waiting(now);
}

void admission::on_restart(time_point now)
{
    warm_since_ = now;
    excess_ = 0;
    on_target_response(now);
}

void admission::close(time_point now, reason why)
{
    expire(now);
    closed_ = why;
    refuse_queue(why);
}

void admission::reopen(time_point now)
{
    closed_.reset();
    start_waiting(now);
}

void admission::configure(time_point now, const admission_settings& settings)
{
    settings_ = settings;
    start_waiting(now);
}

void admission::check_silence(time_point now)
{
    const bool paused = last_tick_ && now - *last_tick_ > own_pause;
    last_tick_ = now;
    if (paused && awaiting_since_) {
        awaiting_since_ = now;
    }
    if (silent_ || !awaiting_since_ || now - *awaiting_since_ < settings_.silence) {
        return;
    }
    silent_ = true;
    ++counters_.silences;
    effects_.emplace_back(target_went_silent{*awaiting_since_});
    refuse_queue(reason::target_silent);
}

void admission::on_tick(time_point now)
{
    expire(now);
    check_silence(now);
    start_waiting(now);
}

std::vector<admission_effect> admission::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace bulrushgw::request
