#include "store/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::store {

namespace {

using seconds = std::chrono::duration<double>;

boot_clock::duration to_duration(double value)
{
    return std::chrono::duration_cast<boot_clock::duration>(seconds(value));
}

} // namespace

rate_limit::rate_limit(double total_per_second, std::size_t nodes, std::uint64_t seed,
                       time_point now)
    : total_(total_per_second * rate_share), next_slot_(now), reserve_filled_(now)
{
    std::mt19937_64 random(seed);
    phase_ = std::uniform_real_distribution<double>(0, 1)(random);
    set_nodes(now, nodes);
}

void rate_limit::set_nodes(time_point now, std::size_t nodes)
{
    const double rate = total_ * (1 - rate_reserve_share) / static_cast<double>(nodes);
    const auto period = to_duration(1 / rate);
    if (period == period_) {
        return;
    }
    // Preserve the remaining fraction of the period. If each change of the membership started a new
    // period, frequent changes would starve nodes whose slot is late in the period.
    double remaining = phase_;
    if (period_.count() != 0) {
        remaining = std::clamp(seconds(next_slot_ - now) / seconds(period_), 0.0, 1.0);
    }
    period_ = period;
    capacity_ = std::floor(rate * seconds(rate_burst).count());
    tokens_ = std::min(tokens_, capacity_);
    next_slot_ = now + to_duration(remaining / rate);
}

void rate_limit::refill(time_point now)
{
    if (now < next_slot_) {
        return;
    }
    const auto slots = (now - next_slot_) / period_ + 1;
    tokens_ = std::min(tokens_ + static_cast<double>(slots), capacity_);
    next_slot_ += slots * period_;
}

bool rate_limit::take(time_point now)
{
    if (capacity_ >= 1) {
        refill(now);
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }
    if (now < next_slot_) {
        return false;
    }
    const auto lateness = (now - next_slot_) % period_;
    next_slot_ += ((now - next_slot_) / period_ + 1) * period_;
    return lateness <= rate_slot_grace;
}

bool rate_limit::take_reserve(time_point now)
{
    // The reserve refills at 5% of the node's share of the budget, so that all reserves together
    // use at most 5% of the budget after their initial tokens are spent.
    const double rate = rate_reserve_share / (1 - rate_reserve_share) / seconds(period_).count();
    const double gained = seconds(now - reserve_filled_).count() * rate;
    reserve_ = std::min(rate_reserve_tokens, reserve_ + gained);
    reserve_filled_ = now;
    if (reserve_ < 1) {
        return false;
    }
    reserve_ -= 1;
    return true;
}

} // namespace bulrushgw::store
