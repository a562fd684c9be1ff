#pragma once

/// Bounds on the time for which requests run at targets.

#include <map>
#include <string>

#include "routing/manifest.h"

namespace bulrushgw::routing {

/// Longest timeout of the routes that lead to each sharded service. Services without such a timeout
/// are missing.
[[nodiscard]] std::map<std::string, milliseconds> longest_keyed_work(const manifest& content);

} // namespace bulrushgw::routing
