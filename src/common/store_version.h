#pragma once

/// Versions of a store that may come back from an older copy. It then gives numbers of versions out
/// again for other contents, and raises its era by one.

#include <compare>
#include <cstdint>

namespace bulrushgw {

/// A version of the store, or of one of its rows, in an era of the store. A version of a later era
/// is above all versions of earlier ones.
struct store_version {
    /// Number of low bits that hold the number of the version. The bits above them hold the era.
    static constexpr unsigned number_bits = 44;
    static constexpr std::uint64_t max_number = (std::uint64_t{1} << number_bits) - 1;
    /// Terms and fences contain the era too, which limits it further than this layout does.
    static constexpr std::uint64_t max_era = (std::uint64_t{1} << 19) - 1;

    std::uint64_t value = 0;

    auto operator<=>(const store_version&) const = default;
    [[nodiscard]] constexpr std::uint64_t era() const { return value >> number_bits; }
    /// 0: nothing was written in this era, or the row does not exist.
    [[nodiscard]] constexpr std::uint64_t number() const { return value & max_number; }
};

/// Precondition: neither argument is above its bound. Thread-safe.
constexpr store_version version_in_era(std::uint64_t era, std::uint64_t number)
{
    return {era << store_version::number_bits | number};
}

} // namespace bulrushgw
