#pragma once

/// Random numbers of the engine, all derived from one seed, so that runs are reproducible.

#include <cstddef>
#include <cstdint>
#include <random>

#include "common/boot_clock.h"

namespace bulrushgw::ownership {

/// Not thread-safe.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : generator_{seed} {}

    std::uint64_t next() { return generator_(); }

    /// Uniform in [0, bound). Precondition: bound > 0. The modulo bias is below 2^-32 for bounds
    /// below 2^32.
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(next() % bound); }

    /// Uniform in [low, high]. Precondition: low <= high.
    milliseconds between(milliseconds low, milliseconds high)
    {
        const auto width = static_cast<std::size_t>((high - low).count()) + 1;
        return low + milliseconds{static_cast<std::int64_t>(below(width))};
    }

private:
    std::mt19937_64 generator_;
};

} // namespace bulrushgw::ownership
