#pragma once

/// Line-based delta between two versions of the rules. Nodes don't send deltas to each other but
/// full texts; docs/measures.md lists the cases in which a delta is smaller than the full text.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/errors.h"

namespace bulrushgw::rules {

/// Thrown if a delta was made for a different base text, or if it is truncated or damaged.
struct delta_error : error {
    using error::error;
};

struct delta {
    std::string base_digest;
    std::string result_digest;
    /// Copies `kept` lines of the base, then replaces the next `removed` lines with `added`.
    /// Lines include their line ends.
    struct hunk {
        std::size_t kept = 0;
        std::size_t removed = 0;
        std::vector<std::string> added;
        auto operator<=>(const hunk&) const = default;
    };
    std::vector<hunk> hunks;
};

delta make_delta(std::string_view base, std::string_view result);

/// Throws `delta_error` if the digest of the base or of the result does not match, or if a hunk
/// refers to lines after the end of the base.
std::string apply_delta(std::string_view base, const delta& change);

std::string encode_delta(const delta& change);
/// Throws `delta_error`.
delta decode_delta(std::string_view bytes);

} // namespace bulrushgw::rules
