#pragma once

/// Decides which failed requests are sent again, and limits how often.

#include <array>
#include <chrono>
#include <cstdint>

#include "common/boot_clock.h"
#include "request/outcomes.h"
#include "rules/types.h"

namespace bulrushgw::request {

struct retry_settings {
    std::uint32_t percent = 10;     ///< retries allowed per 100 requests in the last 10 s
    std::uint32_t per_second = 3;   ///< retries allowed per second in addition to `percent`
    std::uint32_t max_attempts = 3; ///< attempts per request, including the first
};

/// Limits the retries of one service, so that they add only little load to a failing service.
/// Deterministic; not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings = {});

    /// Counts the first attempt of a request.
    void on_request(time_point now);
    /// Takes one retry from the budget and returns true, or returns false if none is left.
    bool try_spend(time_point now);
    void configure(const retry_settings& settings) { settings_ = settings; }

    [[nodiscard]] std::uint64_t spent() const { return spent_; }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    static constexpr std::size_t window_seconds = 10;
    /// Counts of one second.
    struct second {
        std::int64_t number = -1; ///< of the second, since the start of the clock
        std::uint64_t requests = 0;
        std::uint64_t within_percent = 0;    ///< retries within `retry_settings::percent`
        std::uint64_t within_per_second = 0; ///< retries within `retry_settings::per_second`
    };

    second& current(time_point now);

    retry_settings settings_;
    std::array<second, window_seconds> window_{};
    std::uint64_t spent_ = 0;
    std::uint64_t refused_ = 0;
};

struct failed_attempt {
    reason why = reason::connection_lost;
    rules::repeat_kind repeat = rules::repeat_kind::once;
    std::uint32_t attempts = 1; ///< number of attempts so far
    milliseconds remaining{0};  ///< time left until the deadline
};

enum class retry_kind {
    /// End the request with the reason of the failure.
    give_up,
    /// The request did not run, and another node may own its range now. Send the request again when
    /// a newer placement is known. This does not take a retry from the budget.
    resend,
    /// Send the request again at once, if the retry budget allows it.
    retry,
};

/// No attempt is made with less time than this left until the deadline.
inline constexpr milliseconds min_attempt_time{5};

retry_kind decide_retry(const failed_attempt& attempt, rules::service_kind kind,
                        const retry_settings& settings);

} // namespace bulrushgw::request
