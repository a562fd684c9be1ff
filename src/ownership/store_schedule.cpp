#include "ownership/store_schedule.h"

namespace bulrushgw::ownership {

void store_schedule::refill(time_point now)
{
    if (filled_) {
        const double seconds = std::chrono::duration<double>(now - filled_at_).count();
        const double share = seconds / static_cast<double>(nodes_);
        writes_ = std::min(burst, writes_ + share * total_writes);
        reads_ = std::min(burst, reads_ + share * total_reads);
    }
    filled_ = true;
    filled_at_ = now;
}

bool store_schedule::take(time_point now, bool is_write)
{
    if (now < blocked_until_) {
        return false;
    }
    refill(now);
    double& tokens = is_write ? writes_ : reads_;
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

void store_schedule::on_result(time_point now, store::status result, random_source& random)
{
    const bool failed = result == store::status::unavailable || result == store::status::unknown;
    if (!failed) {
        failures_ = 0;
        blocked_until_ = {};
        answered_ = true;
        last_answer_ = now;
        return;
    }
    constexpr unsigned doublings = 7; // 100 ms * 2^7 is above the upper bound
    const milliseconds ceiling =
        std::min(backoff_high, backoff_low * (1U << std::min(failures_, doublings)));
    ++failures_;
    blocked_until_ = now + random.between(milliseconds{1}, ceiling);
}

} // namespace bulrushgw::ownership
