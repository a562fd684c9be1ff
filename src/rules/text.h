#pragma once

/// Text of rules: the canonical form and the difference of two versions.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "rules/types.h"

namespace bulrushgw::rules {

/// One rule in a line, with single spaces, options in a fixed order, and values
/// that equal the default left out. Services first, then routes, limits, pins,
/// each in the order of the file. Comment lines are not part of the rules.
std::string canonical_text(const rule_set& rules);

enum class change_kind { removed, added };

struct changed_line {
    change_kind kind = change_kind::added;
    std::size_t line = 0; ///< in the old text for removed, in the new for added
    std::string text;
    std::string asked_by; ///< name behind the `#`, empty if the line has none
    auto operator<=>(const changed_line&) const = default;
};

/// The fewest removed and added lines that turn one text into the other, in the
/// order of the text. Beyond 2,000 changes the result is correct, not minimal.
std::vector<changed_line> diff_lines(std::string_view before, std::string_view after);

/// "-12 route ...", "+12 route ..." one line for each change.
std::string format_diff(const std::vector<changed_line>& changes);

/// Lines without their line ends.
std::vector<std::string_view> split_lines(std::string_view text);

namespace detail {

/// `diff_lines` for texts that are split already.
std::vector<changed_line> diff_split(const std::vector<std::string_view>& before,
                                     const std::vector<std::string_view>& after);

} // namespace detail

} // namespace bulrushgw::rules
