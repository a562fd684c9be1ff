#pragma once

/// Identifiers that are used across packages.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bulrushgw {

/// Identifies one run of a node process. Random, so that a restarted process is not mistaken for
/// the previous run. The value 0 means "none".
struct incarnation_id {
    std::uint64_t value = 0;
    auto operator<=>(const incarnation_id&) const = default;
    explicit operator bool() const { return value != 0; }
};

/// Number of a range: one of the hash buckets into which the keys of a keyed service are divided.
struct range_id {
    std::uint32_t value = 0;
    auto operator<=>(const range_id&) const = default;
};

/// Version of a service's placement. The value 0 means "no placement".
struct placement_version {
    std::uint64_t value = 0;
    auto operator<=>(const placement_version&) const = default;
};

/// Fencing token of a range: every change of owner increases it.
struct fence {
    std::uint64_t value = 0;
    auto operator<=>(const fence&) const = default;
};

/// Number of low bits of a fence of `bulrushgw node` that hold the owner's position in the
/// candidate list. The bits above them hold the placement version. Fences of `bulrushgw sidecar`
/// have the layout of `assignment::fence_count_bits`.
inline constexpr unsigned fence_position_bits = 16;

/// The incarnation as 16 hexadecimal digits, the form used in rows and logs.
std::string to_string(incarnation_id id);

/// Parses the result of `to_string`. Throws `parse_error` for any other text.
incarnation_id parse_incarnation(const std::string& text);

} // namespace bulrushgw

template <>
struct std::hash<bulrushgw::incarnation_id> {
    std::size_t operator()(bulrushgw::incarnation_id id) const noexcept
    {
        return std::hash<std::uint64_t>{}(id.value);
    }
};
