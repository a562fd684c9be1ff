#pragma once

/// Bytes needed to distribute accepted rules as whole files and as deltas.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgw::bench {

/// Configuration changes per day expected two years from now.
inline constexpr double changes_per_day = 9400;

struct spread_figures {
    std::size_t lines = 0;
    std::size_t file_bytes = 0;
    double whole_bytes = 0;          ///< mean per change if each version is pulled as a whole file
    double delta_bytes = 0;          ///< mean per change if the node is one version behind
    double delta_after_10_bytes = 0; ///< mean of one delta over ten versions
    double whole_bytes_per_second = 0; ///< for one node at `changes_per_day`
    double delta_bytes_per_second = 0;
    double fallback_bytes_per_second =
        0; ///< deltas, and whole files for the 2% of nodes that lack the base version
};

/// Returns one row of figures for each file size. Each change edits, adds or removes one rule.
std::vector<spread_figures> measure_spread(std::uint64_t seed);

} // namespace bulrushgw::bench
