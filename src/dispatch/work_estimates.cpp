#include "dispatch/work_estimates.h"

#include <algorithm>

namespace bulrushgw::dispatch {

namespace {

/// Weight of one answer in the mean work time of its kind of request.
constexpr double sample_weight = 0.1;
/// Weight of an answer when the mean is doubtful.
constexpr double doubtful_sample_weight = 0.5;
/// The mean work time of a kind is doubtful when requests of the kind were refused for this time
/// and none was answered.
constexpr milliseconds max_refusal_time{1000};
/// Weight of one answer in the mean work time over all kinds. Keys are divided among targets by
/// this mean. Work times vary by as much as their mean, so about 50 answers are needed to
/// distinguish targets whose speeds differ by a fifth.
constexpr double overall_sample_weight = 0.04;
/// Expected work time before the first answer.
constexpr double initial_work_ms = 50;
/// Lower bound of an expected work time, because rates are computed as its inverse.
constexpr double min_work_ms = 0.1;
/// Maximum number of kinds of requests for which a mean work time is kept. When a request of a
/// further kind is answered, the mean work times of all kinds are cleared. There is a limit because
/// the kinds are routes of the manifest, and the manifest may be large.
constexpr std::size_t max_kinds = 256;

} // namespace

void work_estimates::record(time_point now, const std::string& kind, boot_clock::duration took,
                            double scale)
{
    const double real_ms = std::chrono::duration<double, std::milli>(took).count();
    const double took_ms = real_ms / scale;
    overall_answers_ += 1;
    overall_mean_ms_ +=
        std::max(overall_sample_weight, 1 / overall_answers_) * (real_ms - overall_mean_ms_);
    if (means_by_kind_.size() >= max_kinds && !means_by_kind_.contains(kind)) {
        means_by_kind_.clear();
    }
    const auto [entry, is_new] = means_by_kind_.emplace(kind, kind_mean{took_ms, std::nullopt});
    if (!is_new) {
        auto& mean = entry->second;
        const double weight = is_doubtful(now, mean) ? doubtful_sample_weight : sample_weight;
        mean.ms += weight * (took_ms - mean.ms);
        mean.refused_since.reset();
    }
}

void work_estimates::on_refusal(time_point now, const std::string& kind)
{
    const auto found = means_by_kind_.find(kind);
    if (found != means_by_kind_.end() && !found->second.refused_since) {
        found->second.refused_since = now;
    }
}

bool work_estimates::is_doubtful(time_point now, const kind_mean& mean)
{
    return mean.refused_since && now - *mean.refused_since > max_refusal_time;
}

double work_estimates::expected_ms(const std::string& kind) const
{
    const auto found = means_by_kind_.find(kind);
    const double mean_ms = found != means_by_kind_.end() ? found->second.ms
                           : overall_mean_ms_ > 0        ? overall_mean_ms_
                                                         : initial_work_ms;
    return std::max(mean_ms, min_work_ms);
}

double work_estimates::admission_ms(time_point now, const std::string& kind) const
{
    const double expected = expected_ms(kind);
    const auto found = means_by_kind_.find(kind);
    const bool is_usable = found != means_by_kind_.end() && !is_doubtful(now, found->second);
    return is_usable ? expected : std::min(expected, initial_work_ms);
}

std::chrono::microseconds work_estimates::mean() const
{
    return std::chrono::microseconds{static_cast<std::int64_t>(overall_mean_ms_ * 1000)};
}

} // namespace bulrushgw::dispatch
