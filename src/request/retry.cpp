#include "request/retry.h"

namespace bulrushgw::request {

namespace {

constexpr std::uint64_t hundred_percent = 100;

bool is_resendable(reason why)
{
    switch (why) {
    case reason::not_owner:
    case reason::no_owner:
    case reason::lease_over:
    case reason::draining:
    case reason::target_silent:
    case reason::no_target:
    case reason::peer_unreachable:
    case reason::no_rules:
        return true;
    default:
        return false;
    }
}

/// The request may have run, but no usable answer arrived.
bool is_answer_lost(reason why)
{
    return why == reason::connection_lost || why == reason::malformed_answer ||
           why == reason::shut_down;
}

} // namespace

retry_budget::retry_budget(retry_settings settings) : settings_(settings) {}

retry_budget::second& retry_budget::current(time_point now)
{
    const std::int64_t number =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto& found = window_[static_cast<std::size_t>(number) % window_seconds];
    if (found.number != number) {
        found = second{number, 0, 0, 0};
    }
    return found;
}

void retry_budget::on_request(time_point now)
{
    ++current(now).requests;
}

bool retry_budget::try_spend(time_point now)
{
    auto& this_second = current(now);
    if (this_second.within_per_second < settings_.per_second) {
        ++this_second.within_per_second;
        ++spent_;
        return true;
    }
    std::uint64_t requests = 0;
    std::uint64_t within_percent = 0;
    for (const auto& part : window_) {
        if (part.number > this_second.number - static_cast<std::int64_t>(window_seconds)) {
            requests += part.requests;
            within_percent += part.within_percent;
        }
    }
    if ((within_percent + 1) * hundred_percent <= requests * settings_.percent) {
        ++this_second.within_percent;
        ++spent_;
        return true;
    }
    ++refused_;
    return false;
}

retry_kind decide_retry(const failed_attempt& attempt, rules::service_kind kind,
                        const retry_settings& settings)
{
    if (attempt.remaining < min_attempt_time) {
        return retry_kind::give_up;
    }
    if (is_resendable(attempt.why)) {
        return retry_kind::resend;
    }
    const bool idempotent = attempt.repeat == rules::repeat_kind::idempotent;
    // A stale fence may mean that the range has just moved. Only idempotent requests are resent,
    // because a target must not receive a `once` request twice, even if it refused the first
    // attempt.
    if (attempt.why == reason::stale_fence && idempotent) {
        return retry_kind::resend;
    }
    if (attempt.attempts >= settings.max_attempts) {
        return retry_kind::give_up;
    }
    const bool balanced = kind == rules::service_kind::balanced;
    // The queue of the node was full, so no target received the request.
    if (attempt.why == reason::overloaded && balanced) {
        return retry_kind::retry;
    }
    if (attempt.why == reason::target_refused && balanced && idempotent) {
        return retry_kind::retry;
    }
    if (is_answer_lost(attempt.why) && idempotent) {
        return retry_kind::retry;
    }
    return retry_kind::give_up;
}

} // namespace bulrushgw::request
