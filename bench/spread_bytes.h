#pragma once

/// Bytes of spreading accepted rules as whole files and as deltas.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgw::bench {

/// The stated number of configuration changes for two years from now.
inline constexpr double changes_per_day = 9400;

struct spread_figures {
    std::size_t lines = 0;
    std::size_t file_bytes = 0;
    double whole_bytes = 0;            ///< mean for one change, each version pulled once
    double delta_bytes = 0;            ///< mean for one change, node is one version behind
    double delta_after_10_bytes = 0;   ///< one delta over ten versions
    double whole_bytes_per_second = 0; ///< of one node at `changes_per_day`
    double delta_bytes_per_second = 0;
    double fallback_bytes_per_second = 0; ///< deltas, with 2 % of nodes without the base
};

/// One figure for each file size. Each change edits, adds or removes one rule.
std::vector<spread_figures> measure_spread(std::uint64_t seed);

} // namespace bulrushgw::bench
