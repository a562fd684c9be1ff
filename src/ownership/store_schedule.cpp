#include "ownership/store_schedule.h"

#include "store/backoff.h"

namespace bulrushgw::ownership {

bool store_schedule::take(time_point now, bool is_write)
{
    lane& used = is_write ? writes_ : reads_;
    if (now < used.blocked_until) {
        return false;
    }
    const auto nodes = static_cast<double>(nodes_);
    const double burst = std::clamp(total_burst / nodes, burst_low, burst_high);
    if (used.filled) {
        const double seconds = std::chrono::duration<double>(now - used.filled_at).count();
        used.tokens += seconds * (is_write ? total_writes : total_reads) / nodes;
    }
    used.tokens = std::min(burst, used.tokens);
    used.filled = true;
    used.filled_at = now;
    if (used.tokens < 1) {
        return false;
    }
    used.tokens -= 1;
    return true;
}

void store_schedule::on_result(time_point now, bool is_write, store::status result,
                               random_source& random)
{
    lane& used = is_write ? writes_ : reads_;
    const bool failed = result == store::status::unavailable || result == store::status::unknown;
    if (!failed) {
        used.failures = 0;
        used.blocked_until = {};
        answered_ = true;
        last_answer_ = now;
        return;
    }
    const milliseconds ceiling = store::backoff_ceiling(used.failures, nodes_);
    ++used.failures;
    used.blocked_until = now + random.between(milliseconds{1}, ceiling);
}

} // namespace bulrushgw::ownership
