#include "common/hash.h"

#include <array>
#include <cstdio>

#include <xxhash.h>

namespace bulrushgw {

std::uint64_t hash_bytes(std::string_view bytes)
{
    return XXH64(bytes.data(), bytes.size(), 0);
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH64(pair.data(), sizeof pair, 0);
}

range_id range_of(std::string_view key, std::uint32_t ranges)
{
    return range_id{static_cast<std::uint32_t>(hash_bytes(key) % ranges)};
}

std::string content_digest(std::string_view bytes)
{
    const XXH128_hash_t digest = XXH3_128bits(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(digest.high64),
                  static_cast<unsigned long long>(digest.low64));
    return text.data();
}

} // namespace bulrushgw
