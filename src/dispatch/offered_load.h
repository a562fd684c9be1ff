#pragma once

/// Work that arrives at a target, by rank. It shows how many slots the more urgent requests occupy.
/// This determines how long a less urgent request waits while more urgent requests keep arriving.

#include <cstdint>
#include <map>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class offered_load {
public:
    /// Counts an arriving request of this rank that is expected to take `work`.
    void add(time_point now, std::uint32_t rank, milliseconds work);
    /// Number of slots kept busy by requests of ranks below `rank`, and of `rank` itself if
    /// `inclusive`.
    [[nodiscard]] double load_up_to_rank(time_point now, std::uint32_t rank, bool inclusive) const;
    [[nodiscard]] double total(time_point now) const;

private:
    struct rank_load {
        double decayed_work_ms = 0; ///< as of `updated_at`
        time_point updated_at{};
    };

    std::map<std::uint32_t, rank_load> ranks_;
};

} // namespace bulrushgw::dispatch
