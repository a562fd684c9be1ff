#pragma once

/// Work that arrives at a target, by kind of request. It shows how many slots the requests that run
/// before others occupy. This determines how long a request waits while more requests that run
/// before it keep arriving.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Not thread-safe.
class offered_load {
public:
    struct kind_load {
        std::string kind;
        std::uint32_t rank = 0;
        double slots = 0; ///< number of slots that the requests of the kind keep busy
    };

    /// Counts an arriving request of this kind and rank that is expected to take `work_ms`
    /// milliseconds. If requests of one kind have different ranks, the rank of the last one counts.
    void add(time_point now, const std::string& kind, std::uint32_t rank, double work_ms);
    [[nodiscard]] std::vector<kind_load> loads(time_point now) const;

private:
    struct kind_work {
        std::uint32_t rank = 0;
        double decayed_work_ms = 0; ///< as of `updated_at`
        time_point updated_at{};
    };

    void remove_idle(time_point now);

    std::map<std::string, kind_work, std::less<>> kinds_;
};

} // namespace bulrushgw::dispatch
