#pragma once

/// Exponential backoff of calls to the platform store.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/boot_clock.h"

namespace bulrushgw::store {

inline constexpr milliseconds backoff_least{100};
inline constexpr milliseconds backoff_most{10000};
/// Few nodes may ask a failing store often: the share of one node in a rate of
/// about 100 calls/s. With a fixed bound of 10 s, ten nodes found a store that
/// had returned after up to 8 s, and a lost witness was not replaced before.
inline constexpr milliseconds backoff_per_node{20};
inline constexpr milliseconds backoff_most_of_few{1000};

/// Upper bound of the delay after this many failures in a row; the delay itself
/// is drawn evenly below it. Thread-safe.
constexpr milliseconds backoff_ceiling(unsigned failures, std::size_t nodes)
{
    constexpr unsigned most_doublings = 7; // 100 ms * 2^7 is above `backoff_most`
    constexpr std::size_t many_nodes = 1000;
    const auto share =
        backoff_per_node * static_cast<std::int64_t>(std::min<std::size_t>(nodes, many_nodes));
    const milliseconds most = std::clamp(milliseconds{share}, backoff_most_of_few, backoff_most);
    return std::min(most, backoff_least * (1U << std::min(failures, most_doublings)));
}

} // namespace bulrushgw::store
