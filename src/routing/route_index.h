#pragma once

/// Finds the route of a request: by host, then by the longest prefix of the path.

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "routing/manifest.h"

namespace bulrushgw::routing {

/// Immutable after construction; const methods are thread-safe.
class route_index {
public:
    explicit route_index(manifest content);

    /// Returns the route for a Host header and a path, or null if there is none. Ignores the case
    /// and port of the host and the query of the path.
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    [[nodiscard]] const manifest& content() const { return content_; }

private:
    manifest content_;
    /// Routes of each host by prefix.
    std::map<std::string, std::map<std::string, const route*, std::less<>>, std::less<>>
        routes_by_host_;
};

/// Chooses a destination by weight. `point` is uniformly distributed in [0, 1). Precondition: the
/// route has a destination.
const destination& choose_destination(const route& chosen_route, double point);
/// The destinations among which the choice is: those that are usable, or all if none is. Valid as
/// long as the route.
std::vector<const destination*>
eligible_destinations(const route& chosen_route,
                      const std::function<bool(const destination&)>& is_usable);
/// As above, among the destinations that are usable, or among all if none is.
const destination& choose_destination(const route& chosen_route, double point,
                                      const std::function<bool(const destination&)>& is_usable);

} // namespace bulrushgw::routing
