#pragma once

/// Parser of rules files. It reports all problems of a file at once.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rules/types.h"

namespace bulrushgw::rules {

/// A rules file must fit into one frame of the protocol between nodes.
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
    rule_set rules; ///< all rules that could be parsed
    std::vector<rule_problem> problems;
    std::map<std::size_t, std::vector<token>> tokens; ///< by line number, for lines with a rule
};

/// Checks only the syntax. Reports invalid text as problems and never throws.
parsed_file parse(std::string_view text);

/// Semantic problems: duplicate or unknown services, routes that overlap, limits and pins that do
/// not fit their service. Ordered by line and column.
std::vector<rule_problem> check(const parsed_file& file);

/// Combines `parse` and `check`. Problems are ordered by line and column.
parsed_file parse_and_check(std::string_view text);

/// "FILE:LINE:COLUMN: found X, expected Y".
std::string format_problem(std::string_view file, const rule_problem& problem);

/// True when some path matches both patterns.
bool patterns_overlap(std::string_view first, std::string_view second);

/// Splits a path into segments. "/" has none.
std::vector<std::string_view> split_path(std::string_view path);

} // namespace bulrushgw::rules
