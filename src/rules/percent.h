#pragma once

/// Percent-encoding of keys in paths and rules.

#include <optional>
#include <string>
#include <string_view>

namespace bulrushgw::rules {

/// Decodes %XX escapes. None for a malformed escape, a NUL byte or an empty result.
std::optional<std::string> percent_decode(std::string_view text);

/// Encodes every byte except letters, digits and "-._~".
std::string percent_encode(std::string_view text);

} // namespace bulrushgw::rules
