#pragma once

/// Hash functions whose values are part of the protocol between nodes.

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace bulrushgw {

/// xxHash64 with seed 0. Thread-safe.
std::uint64_t hash_bytes(std::string_view bytes);

/// xxHash64 of two integers. Thread-safe.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// The range of a key. Precondition: ranges > 0.
range_id range_of(std::string_view key, std::uint32_t ranges);

/// 128-bit XXH3 digest as 32 hexadecimal digits; names an immutable object.
std::string content_digest(std::string_view bytes);

} // namespace bulrushgw
