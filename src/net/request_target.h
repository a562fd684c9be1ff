#pragma once

/// Path and query of an HTTP request target.

#include <string>
#include <utility>
#include <vector>

namespace bulrushgw::net {

/// Decoded path and query of an HTTP request target. Malformed escapes are kept as they are.
struct request_target {
    std::string path;
    std::vector<std::pair<std::string, std::string>> query;
};

request_target parse_request_target(const std::string& target);

} // namespace bulrushgw::net
