#pragma once

/// Which requests are sent again, and how often at most.

#include <array>
#include <chrono>
#include <cstdint>

#include "common/boot_clock.h"
#include "request/outcomes.h"
#include "rules/types.h"

namespace bulrushgw::request {

struct retry_settings {
    std::uint32_t percent = 10;   ///< of the service's requests in the last 10 s
    std::uint32_t per_second = 3; ///< in addition
    std::uint32_t max_attempts = 3;
};

/// Budget of one service: a failing service gets little more load than without
/// retries. Deterministic; not thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_settings settings = {});

    /// A first attempt was made.
    void on_request(time_point now);
    /// Takes one retry from the budget, if there is one.
    bool try_spend(time_point now);
    void configure(const retry_settings& settings) { settings_ = settings; }

    [[nodiscard]] std::uint64_t spent() const { return spent_; }
    [[nodiscard]] std::uint64_t refused() const { return refused_; }

private:
    static constexpr std::size_t window_seconds = 10;
    struct second {
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t by_percent = 0;
        std::uint64_t by_second = 0;
    };

    second& current(time_point now);

    retry_settings settings_;
    std::array<second, window_seconds> window_{};
    std::uint64_t spent_ = 0;
    std::uint64_t refused_ = 0;
};

/// What is known about an attempt that brought no answer.
struct failed_attempt {
    reason why = reason::connection_lost;
    rules::repeat_kind repeat = rules::repeat_kind::once;
    std::uint32_t attempts = 1; ///< made so far
    milliseconds remaining{0};  ///< until the deadline
};

enum class retry_kind {
    give_up,
    /// Nothing ran and the state of ownership changed: send again when there is
    /// newer state. Costs no budget.
    resend,
    /// Needs a token of the retry budget.
    retry,
};

/// Below this there is no time left for another attempt.
inline constexpr milliseconds min_attempt_time{5};

retry_kind decide_retry(const failed_attempt& attempt, rules::service_kind kind,
                        const retry_settings& settings);

} // namespace bulrushgw::request
