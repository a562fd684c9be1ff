#pragma once

/// Work that arrives at a target, by rank: how much of its slots the more urgent requests
/// take, and so how long a less urgent one waits while they keep coming.

#include <cstdint>
#include <map>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class offered_load {
public:
    /// A request of this rank arrived, which will take `work`.
    void add(time_point now, std::uint32_t rank, milliseconds work);
    /// Slots that the requests of ranks below `rank`, or up to it, keep busy.
    [[nodiscard]] double up_to(time_point now, std::uint32_t rank, bool inclusive) const;
    [[nodiscard]] double total(time_point now) const;

private:
    struct sum {
        double work_ms = 0; ///< decayed to `at`
        time_point at{};
    };

    std::map<std::uint32_t, sum> ranks_;
};

} // namespace bulrushgw::dispatch
