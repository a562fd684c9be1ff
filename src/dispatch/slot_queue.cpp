#include "dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the mean.
constexpr double sample_weight = 0.1;
/// The same in the mean over all kinds, by which keys are divided among targets: work
/// times spread by as much as their mean, so it takes about 50 answers to tell targets
/// apart whose speeds differ by a fifth.
constexpr double mean_weight = 0.04;
/// Assumed before the first answer.
constexpr double initial_work_ms = 50;
/// A run may be this much shorter than the mean: a request is refused for lack of
/// time only when even a short run would be late.
constexpr double short_run = 0.5;
/// With this many times the mean left until its aim, a request is nearly sure to be
/// timely: work times spread by as much as their mean.
constexpr double sure_run = 1.5;
/// Part of the slots that is left to a request, at least, whatever is more urgent.
constexpr double least_share = 0.02;
/// Kinds that are remembered; the names come from the manifest, which may be large.
constexpr std::size_t max_kinds = 256;

milliseconds to_ms(double value)
{
    return milliseconds{std::lround(value)};
}

} // namespace

milliseconds slot_queue::expected(const std::string& kind) const
{
    const auto found = work_ms_.find(kind);
    if (found != work_ms_.end()) {
        return to_ms(found->second);
    }
    return to_ms(mean_ms_ > 0 ? mean_ms_ : initial_work_ms);
}

std::chrono::microseconds slot_queue::mean_work() const
{
    return std::chrono::microseconds{static_cast<std::int64_t>(mean_ms_ * 1000)};
}

slot_decisions slot_queue::offer(time_point now, waiting_request request)
{
    slot_decisions result;
    offered_.add(now, request.rank, expected(request.kind));
    queue_.push_back(std::move(request));
    decide(now, result);
    return result;
}

slot_decisions slot_queue::finish(time_point now, ticket id, bool answered)
{
    slot_decisions result;
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return result;
    }
    if (answered) {
        const double took =
            std::chrono::duration<double, std::milli>(now - found->second.started).count();
        mean_count_ += 1;
        mean_ms_ += std::max(mean_weight, 1 / mean_count_) * (took - mean_ms_);
        if (work_ms_.size() >= max_kinds && !work_ms_.contains(found->second.kind)) {
            work_ms_.clear();
        }
        const auto [kind, is_new] = work_ms_.emplace(found->second.kind, took);
        if (!is_new) {
            kind->second += sample_weight * (took - kind->second);
        }
    }
    running_.erase(found);
    decide(now, result);
    return result;
}

bool slot_queue::cancel_queued(ticket id)
{
    return std::erase_if(queue_, [id](const auto& item) { return item.id == id; }) > 0;
}

slot_decisions slot_queue::on_tick(time_point now)
{
    slot_decisions result;
    decide(now, result);
    return result;
}

std::vector<ticket> slot_queue::clear()
{
    std::vector<ticket> result;
    for (const auto& item : std::exchange(queue_, {})) {
        result.push_back(item.id);
    }
    return result;
}

bool slot_queue::is_late(time_point now, const waiting_request& request) const
{
    return now + expected(request.kind) > request.aim;
}

bool slot_queue::is_sure(time_point now, const waiting_request& request) const
{
    const auto work = static_cast<double>(expected(request.kind).count());
    return now + to_ms(work * sure_run) <= request.aim;
}

void slot_queue::sort(time_point now)
{
    std::stable_sort(
        queue_.begin(), queue_.end(), [&](const waiting_request& a, const waiting_request& b) {
            const bool a_late = is_late(now, a);
            const bool b_late = is_late(now, b);
            if (a_late != b_late) {
                return b_late;
            }
            // Under overload the oldest of a rank would all be started
            // just too late.
            const bool a_unsure = !is_sure(now, a);
            const bool b_unsure = !is_sure(now, b);
            return std::tie(a.rank, a_unsure, a.deadline) < std::tie(b.rank, b_unsure, b.deadline);
        });
}

void slot_queue::start(time_point now, const waiting_request& request, slot_decisions& into)
{
    running_[request.id] = {request.kind, now};
    into.start.push_back(request.id);
}

// A request waits for the work ahead of it, and for what arrives meanwhile and goes before
// it. Late ones wait for all that arrives; when there is no hope for them, one must start
// before it is late.
bool slot_queue::is_hopeless(time_point now, const waiting_request& request, double ahead_ms) const
{
    const double wait = ahead_ms / slots_;
    const auto pushed_back = [&](double urgent) {
        return to_ms(wait / std::max(least_share, 1 - urgent / slots_));
    };
    const auto work = static_cast<double>(expected(request.kind).count());
    const auto late_start = now + pushed_back(offered_.total(now));
    const bool late_hopeless = late_start + to_ms(work * short_run) >= request.deadline;
    if (is_late(now, request) || !late_hopeless) {
        return late_hopeless;
    }
    const double urgent = offered_.up_to(now, request.rank, !is_sure(now, request));
    return now + pushed_back(urgent) + to_ms(work * short_run) >= request.aim;
}

// Goes through the queue in the order of service and adds up the work ahead.
void slot_queue::decide(time_point now, slot_decisions& into)
{
    if (queue_.empty()) {
        return;
    }
    sort(now);
    double ahead_ms = 0;
    for (const auto& [id, item] : running_) {
        const double total = static_cast<double>(expected(item.kind).count());
        const double done = std::chrono::duration<double, std::milli>(now - item.started).count();
        // A run that takes longer than the mean is about to end, or is a long one.
        ahead_ms += std::max(total - done, total / 4);
    }
    // The first in the queue needs only the slot that is free first.
    const double first_free_ms =
        ahead_ms / static_cast<double>(std::max<std::size_t>(running_.size(), 1));
    std::vector<waiting_request> left;
    for (auto& request : queue_) {
        const auto work = static_cast<double>(expected(request.kind).count());
        const bool has_slot = running_.size() < slots_;
        const double wait = has_slot || slots_ == 0 ? 0 : ahead_ms / slots_;
        const double before_ms = has_slot ? 0 : left.empty() ? first_free_ms : ahead_ms;
        if (slots_ == 0 || is_hopeless(now, request, before_ms)) {
            into.refuse.push_back({request.id, to_ms(std::max(wait, work))});
            continue;
        }
        ahead_ms += work;
        if (has_slot) {
            start(now, request, into);
        }
        else {
            left.push_back(std::move(request));
        }
    }
    queue_ = std::move(left);
}

} // namespace bulrushgw::dispatch
