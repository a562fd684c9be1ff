#include "ownership/store_schedule.h"

#include "store/backoff.h"

namespace bulrushgw::ownership {

bool store_schedule::try_spend(time_point now, bool is_write)
{
    token_bucket& bucket = is_write ? writes_ : reads_;
    if (now < bucket.blocked_until) {
        return false;
    }
    const auto nodes = static_cast<double>(nodes_);
    const double burst = std::clamp(total_burst / nodes, min_burst, max_burst);
    if (bucket.filled) {
        const double seconds = std::chrono::duration<double>(now - bucket.filled_at).count();
        bucket.tokens +=
            seconds * (is_write ? total_writes_per_second : total_reads_per_second) / nodes;
    }
    bucket.tokens = std::min(burst, bucket.tokens);
    bucket.filled = true;
    bucket.filled_at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void store_schedule::on_result(time_point now, bool is_write, store::status result,
                               random_source& random)
{
    token_bucket& bucket = is_write ? writes_ : reads_;
    const bool failed = result == store::status::unavailable || result == store::status::unknown;
    if (!failed) {
        bucket.failures = 0;
        bucket.blocked_until = {};
        answered_ = true;
        last_answer_ = now;
        return;
    }
    const milliseconds ceiling = store::backoff_ceiling(bucket.failures, nodes_);
    ++bucket.failures;
    bucket.blocked_until = now + random.between(milliseconds{1}, ceiling);
}

} // namespace bulrushgw::ownership
