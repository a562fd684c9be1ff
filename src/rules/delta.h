#pragma once

/// The difference of two texts in a form that a program applies. Only for
/// spreading versions; see docs/measures.md for when it is smaller.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/errors.h"

namespace bulrushgw::rules {

/// The delta does not belong to this text or did not arrive whole.
struct delta_error : error {
    using error::error;
};

struct delta {
    std::string base_digest;
    std::string result_digest;
    /// Replaces `removed` lines of the base after keeping `kept` lines.
    struct hunk {
        std::size_t kept = 0;
        std::size_t removed = 0;
        std::vector<std::string> added;
        auto operator<=>(const hunk&) const = default;
    };
    std::vector<hunk> hunks;
};

delta make_delta(std::string_view base, std::string_view result);

/// Throws `delta_error` when the base has another digest, a hunk is outside of
/// it, or the result has another digest.
std::string apply_delta(std::string_view base, const delta& change);

std::string encode_delta(const delta& change);
/// Throws `delta_error`.
delta decode_delta(std::string_view bytes);

} // namespace bulrushgw::rules
