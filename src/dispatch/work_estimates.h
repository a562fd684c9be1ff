#pragma once

/// Mean work times of a target, by kind of request, from the requests that it answered.

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class work_estimates {
public:
    /// Records that the target answered a request of this kind at `now`, after `took`, while work
    /// took `scale` times as long as usual. Precondition: `scale` is positive.
    void record(time_point now, const std::string& kind, boot_clock::duration took,
                double scale = 1);
    /// Expected time, in milliseconds, that the target takes to run a request of that kind while
    /// work takes as long as usual. Always positive.
    [[nodiscard]] double expected_ms(const std::string& kind) const;
    /// Notes that a request of this kind was refused for lack of time.
    void on_refusal(time_point now, const std::string& kind);
    /// Like `expected_ms`, but short if no request of the kind was answered yet, or none since one
    /// was refused a while ago. If all requests of a kind are refused because of a long expected
    /// time, no answer corrects that time: a target that was slow for a moment would refuse them
    /// for ever.
    [[nodiscard]] double admission_ms(time_point now, const std::string& kind) const;
    /// Mean time that the target takes to run a request of any kind; 0 before the first answer.
    [[nodiscard]] std::chrono::microseconds mean() const;

private:
    struct kind_mean {
        double ms = 0;
        /// First refusal since the last answer.
        std::optional<time_point> refused_since;
    };

    [[nodiscard]] static bool is_doubtful(time_point now, const kind_mean& mean);

    std::map<std::string, kind_mean, std::less<>> means_by_kind_;
    double overall_mean_ms_ = 0;
    double overall_answers_ = 0; ///< number of answers in `overall_mean_ms_`
};

} // namespace bulrushgw::dispatch
