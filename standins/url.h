#pragma once

/// Paths and queries of the stand-ins' HTTP requests.

#include <optional>
#include <string>
#include <string_view>

namespace bulrushgw::standin {

/// The path of a request target, without its query.
std::string_view path_of(std::string_view target);
/// The decoded value of a query parameter of a request target, or none.
std::optional<std::string> query_value(std::string_view target, std::string_view name);
/// Decodes %XX, where XX are hexadecimal digits. Other uses of '%' stay as they are.
std::string percent_decode(std::string_view text);
/// The path segment at `index`, counted from 0. Empty if the path has fewer segments.
std::string_view path_segment(std::string_view path, std::size_t index);

} // namespace bulrushgw::standin
