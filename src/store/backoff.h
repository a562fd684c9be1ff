#pragma once

/// Exponential backoff of calls to the platform store.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/boot_clock.h"

namespace bulrushgw::store {

inline constexpr milliseconds min_backoff{100};
inline constexpr milliseconds max_backoff{10000};
/// The maximum delay is this value times the number of nodes, but at least
/// `small_cluster_max_backoff` and at most `max_backoff`. Between these two bounds, all nodes
/// together make about 100 calls per second to a failing store. With a fixed maximum of 10 s, ten
/// nodes took up to 8 s to detect that the store was back, and a lost witness could not be replaced
/// until then.
inline constexpr milliseconds max_backoff_per_node{20};
inline constexpr milliseconds small_cluster_max_backoff{1000};

/// Upper bound of the delay after a failed call that follows `failures` other consecutive failures.
/// The delay is drawn uniformly between 0 and this bound. Thread-safe.
constexpr milliseconds backoff_ceiling(unsigned failures, std::size_t nodes)
{
    constexpr unsigned max_doublings = 7; // 100 ms * 2^7 is above `max_backoff`
    constexpr std::size_t max_counted_nodes = 1000;
    const auto share = max_backoff_per_node *
                       static_cast<std::int64_t>(std::min<std::size_t>(nodes, max_counted_nodes));
    const milliseconds limit =
        std::clamp(milliseconds{share}, small_cluster_max_backoff, max_backoff);
    return std::min(limit, min_backoff * (1U << std::min(failures, max_doublings)));
}

} // namespace bulrushgw::store
