#include "bench/dispatch_figures.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::bench {

double load_figures::worth_share() const
{
    return worth_owed > 0 ? worth_earned / worth_owed : 0;
}

double load_figures::served_share() const
{
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    for (const auto& [name, counts] : kinds) {
        asked += counts.asked;
        served += counts.in_aim + counts.late;
    }
    return asked > 0 ? static_cast<double>(served) / static_cast<double>(asked) : 0;
}

double load_figures::nines() const
{
    constexpr double best = 1e-6;
    return -std::log10(std::max(best, 1 - served_share()));
}

} // namespace bulrushgw::bench
