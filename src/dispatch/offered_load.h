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
    [[nodiscard]] double load_up_to_rank(time_point now, std::uint32_t rank, bool inclusive) const;
    [[nodiscard]] double total(time_point now) const;

private:
    struct rank_load {
        double decayed_work_ms = 0; ///< decayed to `updated_at`
        time_point updated_at{};
    };

    std::map<std::uint32_t, rank_load> ranks_;
};

} // namespace bulrushgw::dispatch
