#pragma once

/// Canonical text of rules, and line differences between two texts.

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "rules/types.h"

namespace bulrushgw::rules {

/// Writes one rule per line, with single spaces and with options in a fixed order. Options that
/// have their default value are omitted. Services come first, then routes, limits and pins, each in
/// the order of the file. Comment lines are dropped.
std::string canonical_text(const rule_set& rules);

enum class change_kind { removed, added };

struct changed_line {
    change_kind kind = change_kind::added;
    std::size_t line = 0; ///< in the old text for a removed line, in the new for an added one
    std::string text;
    std::string asked_by; ///< requester named after the `#` of the line; empty if there is none
    auto operator<=>(const changed_line&) const = default;
};

/// The smallest set of removed and added lines that turns `before` into `after`, in the order of
/// the text. Beyond 2,000 changes the result is still correct, but not minimal.
std::vector<changed_line> diff_lines(std::string_view before, std::string_view after);

/// Formats each change as a line such as "-12 route ..." or "+12 route ...".
std::string format_diff(const std::vector<changed_line>& changes);

/// Splits a text into lines without their line ends.
std::vector<std::string_view> split_lines(std::string_view text);

namespace detail {

/// `diff_lines` for texts that are already split into lines.
std::vector<changed_line> diff_split(const std::vector<std::string_view>& before,
                                     const std::vector<std::string_view>& after);

} // namespace detail

} // namespace bulrushgw::rules
