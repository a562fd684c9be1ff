#pragma once

/// Hash functions. Their values are part of the protocol between nodes and must not change.

#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace bulrushgw {

/// xxHash64 with seed 0. Thread-safe.
std::uint64_t hash_bytes(std::string_view bytes);

/// xxHash64 of two integers. Thread-safe.
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

/// The range of a key in a service with `ranges` ranges. Precondition: ranges > 0. Thread-safe.
range_id range_of(std::string_view key, std::uint32_t ranges);

/// 128-bit XXH3 digest as 32 hexadecimal digits; used as the name of an immutable object.
/// Thread-safe.
std::string content_digest(std::string_view bytes);

} // namespace bulrushgw
