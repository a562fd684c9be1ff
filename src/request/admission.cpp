#include "request/admission.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::request {

namespace {

constexpr std::uint32_t queue_per_slot = 4;
constexpr std::uint32_t cold_divisor = 4; ///< a cold target starts with 1/4 of its slots
/// The number of requests in a load report never lowers the limit below 1/2 of the slots. If it
/// could lower the limit to one slot, a false report would take the target's ranges out of service.
/// A target that really is busy with other work refuses excess requests as not-run.
constexpr std::uint32_t report_divisor = 2;

/// Each answer has a weight of 1/16 in the moving average of the answer time.
constexpr int mean_answer_divisor = 16;

/// A longer gap between two ticks means that this process was paused. Answers of the target may
/// have arrived during the pause and not been read yet, so the target must not be taken for silent.
constexpr milliseconds process_pause_threshold{500};

std::uint32_t divide_rounding_up(std::uint32_t slots, std::uint32_t divisor)
{
    return (slots + divisor - 1) / divisor;
}

} // namespace

admission::admission(admission_settings settings, time_point now, bool cold)
    : settings_(settings), slow_start_began_(cold ? now : now - settings.slow_start)
{
}

std::size_t admission::queue_limit() const
{
    return settings_.queue.value_or(queue_per_slot * settings_.slots);
}

std::optional<reason> admission::refusal_reason() const
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

std::uint32_t admission::concurrency_limit(time_point now) const
{
    const std::uint32_t full = std::max(1U, std::min(settings_.slots, settings_.max_connections));
    std::uint32_t limit = full;
    const auto elapsed = now - slow_start_began_;
    if (elapsed < settings_.slow_start) {
        const std::uint32_t cold = divide_rounding_up(full, cold_divisor);
        const double progress =
            std::max(0.0, static_cast<double>(elapsed.count())) /
            static_cast<double>(boot_clock::duration{settings_.slow_start}.count());
        limit = cold + static_cast<std::uint32_t>(progress * (full - cold));
    }
    if (report_ && !report_->ready) {
        return std::min(limit, divide_rounding_up(full, cold_divisor));
    }
    const std::uint32_t lowest = std::min(limit, divide_rounding_up(full, report_divisor));
    return std::max(lowest, limit > other_in_flight_ ? limit - other_in_flight_ : 0);
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
    // A request that starts with too little time left would reach its deadline with an unknown
    // outcome. A request that is refused before it starts has the outcome not-run.
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
    return !is_suspect(now) && in_flight_.size() < concurrency_limit(now);
}

void admission::start_queued(time_point now)
{
    if (refusal_reason()) {
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
        const auto lowest = std::prev(queue_.end());
        refuse(lowest->second.id, reason::overloaded);
        queue_keys_.erase(lowest->second.id);
        queue_.erase(lowest);
    }
    ++counters_.queued;
    queue_.emplace(key, request);
    queue_keys_.emplace(request.id, key);
}

void admission::offer(time_point now, const queued_request& request)
{
    if (const auto closed = refusal_reason()) {
        refuse(request.id, *closed);
        return;
    }
    if (request.deadline <= now) {
        ++counters_.expired;
        refuse(request.id, reason::deadline_not_sent);
        return;
    }
    // Expires queued requests first, so that a request without time left does not displace this
    // one.
    start_queued(now);
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
        mean_answer_ += (duration - mean_answer_) / mean_answer_divisor;
    }
    if (kind == finish_kind::answered) {
        on_target_answer(now);
    }
    else {
        update_awaiting(now);
        start_queued(now);
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
    start_queued(now);
    return true;
}

void admission::on_report(time_point now, const load_report& report)
{
    report_ = report;
    // A report may be older than this node's own counts. Load from elsewhere is therefore only what
    // exceeds the highest number of requests that this node had in flight since the last report.
    other_in_flight_ = report.in_flight > peak_in_flight_ ? report.in_flight - peak_in_flight_ : 0;
    peak_in_flight_ = static_cast<std::uint32_t>(in_flight_.size());
    if (report.draining) {
        refuse_queue(reason::draining);
    }
    start_queued(now);
}

void admission::on_probe_sent(time_point now)
{
    probe_pending_ = true;
    if (!awaiting_since_) {
        awaiting_since_ = now;
    }
}

void admission::update_awaiting(time_point now)
{
    if (in_flight_.empty() && !probe_pending_) {
        awaiting_since_.reset();
    }
    else if (!awaiting_since_) {
        awaiting_since_ = now;
    }
}

void admission::on_target_answer(time_point now)
{
    probe_pending_ = false;
    awaiting_since_.reset();
    update_awaiting(now);
    if (silent_) {
        silent_ = false;
        effects_.emplace_back(target_answers_again{});
    }
    start_queued(now);
}

void admission::on_restart(time_point now)
{
    slow_start_began_ = now;
    other_in_flight_ = 0;
    on_target_answer(now);
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
    start_queued(now);
}

void admission::configure(time_point now, const admission_settings& settings)
{
    settings_ = settings;
    start_queued(now);
}

void admission::check_silence(time_point now)
{
    const bool paused = last_tick_ && now - *last_tick_ > process_pause_threshold;
    last_tick_ = now;
    if (paused && awaiting_since_) {
        awaiting_since_ = now;
    }
    if (silent_ || !awaiting_since_ || now - *awaiting_since_ < settings_.silent_after) {
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
    start_queued(now);
}

std::vector<admission_effect> admission::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace bulrushgw::request
