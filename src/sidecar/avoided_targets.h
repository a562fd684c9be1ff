#pragma once

/// Reports the targets that the picker avoids because they do not answer: metrics, and a log line
/// when a target starts and stops being avoided.

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "dispatch/target_picker.h"
#include "sidecar/journal.h"

namespace bulrushgw::sidecar {

/// Not thread-safe.
class avoided_targets {
public:
    using log_hook = std::function<void(std::string_view event, const journal::fields&)>;

    /// Calls `log` for each change since the last call, at most `max_lines` times in `period`. The
    /// first line after that has the number of suppressed lines.
    void report(time_point now, dispatch::target_picker& picker, const log_hook& log);

    static constexpr std::uint32_t max_lines = 20;
    static constexpr milliseconds period{10000};

private:
    time_point period_begin_{};
    std::uint32_t lines_ = 0; ///< in the present period
    std::uint64_t suppressed_ = 0;
};

/// The metrics of requests without an answer, in the Prometheus text format.
[[nodiscard]] std::string unanswered_text(const dispatch::target_picker& picker);

} // namespace bulrushgw::sidecar
