#include "dispatch/unanswered_requests.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

/// A request that waits for this multiple of the usual time is late. Half of the usual spread of
/// long runs, which take seven times as long, is below; two such runs in a row are rare.
constexpr double late_factor = 4;
/// A request that ended after this multiple of the usual time counts as missed. At its end it is
/// known that no answer came, so that it needs less evidence than one that still waits.
constexpr double missed_factor = 2;
/// Shorter waits are never late: a host with a tenth of a core pauses for this long.
constexpr double min_late_ms = 100;
/// This many requests without an answer show that the target does not answer. One may be a long
/// run.
constexpr int evidence = 2;
/// Part of its wait that a single missed request shows.
constexpr double weight_of_one = 0.3;
/// What missed requests show counts half as much after each such time, so that a target that gets
/// no probes is used again.
constexpr std::chrono::duration<double> missed_half_life{4};

/// An answer after this part of the wait of missed requests is as late as they were.
constexpr double least_part_of_missed = 0.5;

bool is_late(double waited_ms, double usual_ms)
{
    return waited_ms >= std::max(min_late_ms, late_factor * usual_ms);
}

double ms_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void unanswered_requests::on_sent(time_point sent, double extra_ms)
{
    waiting_.push_back({sent, extra_ms});
}

unanswered_requests::iterator unanswered_requests::find(time_point sent) const
{
    const auto found =
        std::lower_bound(waiting_.begin(), waiting_.end(), sent,
                         [](const auto& item, time_point at) { return item.sent < at; });
    return found != waiting_.end() && found->sent == sent ? found : waiting_.end();
}

void unanswered_requests::on_end(time_point sent)
{
    if (const auto found = find(sent); found != waiting_.end()) {
        waiting_.erase(found);
    }
}

bool unanswered_requests::on_answer(time_point sent)
{
    on_end(sent);
    newest_answered_ = std::max(newest_answered_, sent);
    if (missed_ == 0 || sent <= newest_missed_) {
        return false;
    }
    missed_ = 0;
    missed_ms_ = 0;
    return true;
}

bool unanswered_requests::on_missed(time_point now, time_point sent, double usual_ms)
{
    const double waited = ms_between(sent, now) - extra_ms(sent).value_or(0);
    on_end(sent);
    if (sent <= newest_answered_ || waited < std::max(min_late_ms, missed_factor * usual_ms)) {
        return false;
    }
    ++missed_;
    missed_ms_ = std::max(missed_ms_, waited);
    newest_missed_ = std::max(newest_missed_, sent);
    last_missed_at_ = now;
    return true;
}

std::optional<double> unanswered_requests::extra_ms(time_point sent) const
{
    const auto found = find(sent);
    return found != waiting_.end() ? std::optional(found->extra_ms) : std::nullopt;
}

double unanswered_requests::shown_ms(time_point now, double usual_ms,
                                     const unanswered_settings& settings) const
{
    if (is_empty()) {
        return 0;
    }
    int late = missed_;
    double longest_ms =
        missed_ms_ *
        std::exp2(-std::chrono::duration<double>(now - last_missed_at_) / missed_half_life);
    if (settings.counts_waiting) {
        auto item =
            std::upper_bound(waiting_.begin(), waiting_.end(), newest_answered_,
                             [](time_point at, const auto& than) { return at < than.sent; });
        for (; item != waiting_.end() && late < evidence + missed_; ++item) {
            const double waited = ms_between(item->sent, now);
            if (!is_late(waited, usual_ms)) {
                break;
            }
            if (is_late(waited - item->extra_ms, usual_ms)) {
                ++late;
                longest_ms = std::max(longest_ms, waited - item->extra_ms);
            }
        }
    }
    if (late >= evidence) {
        return longest_ms;
    }
    return missed_ > 0 ? usual_ms + weight_of_one * std::max(0.0, longest_ms - usual_ms) : 0;
}

bool unanswered_requests::is_as_late(double took_ms, double usual_ms) const
{
    return missed_ > 0 && usual_ms > 0 && is_late(took_ms, usual_ms) &&
           took_ms >= least_part_of_missed * missed_ms_;
}

} // namespace bulrushgw::dispatch
