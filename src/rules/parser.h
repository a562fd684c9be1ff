#pragma once

/// Reads a rules file and reports all of its problems at once.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rules/types.h"

namespace bulrushgw::rules {

/// A rules text must fit into one frame between nodes.
inline constexpr std::size_t max_file_bytes = std::size_t{768} * 1024;
inline constexpr std::size_t max_name_bytes = 64;
inline constexpr std::uint32_t max_ranges = 65536;
inline constexpr std::uint32_t max_worth = 1000;
inline constexpr std::uint32_t max_queue = 10000;
inline constexpr std::uint32_t max_moves_per_hour = 10000;
inline constexpr milliseconds max_service_deadline{60000};

/// One word of a line. Columns count bytes from 1.
struct token {
    std::string text;
    std::size_t column = 1;
};

struct parsed_file {
    rule_set rules; ///< every rule that could be read
    std::vector<rule_problem> problems;
    std::map<std::size_t, std::vector<token>> tokens; ///< words of each line with a rule
};

/// Reads the syntax only. Never throws for any text.
parsed_file parse(std::string_view text);

/// Problems of meaning: names that are used twice or not at all, routes that
/// shadow each other, limits and pins that do not fit their service. Ordered by
/// line and column.
std::vector<rule_problem> check(const parsed_file& file);

/// `parse` and `check` together, problems ordered by line and column.
parsed_file parse_and_check(std::string_view text);

/// "FILE:LINE:COLUMN: found X, expected Y".
std::string format_problem(std::string_view file, const rule_problem& problem);

/// True when the patterns match a common path.
bool patterns_overlap(std::string_view first, std::string_view second);

/// Segments of a path without its leading slash; "/" has none.
std::vector<std::string_view> split_path(std::string_view path);

} // namespace bulrushgw::rules
