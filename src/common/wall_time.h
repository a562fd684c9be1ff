#pragma once

/// Wall-clock time as text, for display only: no decision depends on it.

#include <chrono>
#include <string>

namespace bulrushgw {

/// Formats `time` by RFC 3339, in UTC with milliseconds. Thread-safe.
std::string rfc3339(std::chrono::system_clock::time_point time);

} // namespace bulrushgw
