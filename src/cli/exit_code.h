#pragma once

/// Exit codes of `bulrushgw`. They are part of its interface, documented in docs/operators.md.

namespace bulrushgw::cli {

enum class exit_code {
    done = 0,
    refused = 1,     ///< refused, invalid rules, or not found
    usage = 2,       ///< bad usage or settings
    unreachable = 3, ///< the node or the store cannot be reached
    lost_race = 4,   ///< another submission was accepted first
};

} // namespace bulrushgw::cli
