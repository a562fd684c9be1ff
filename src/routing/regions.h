#pragma once

/// Decides in which availability zones the requests of a route may run: data of some routes must
/// not leave certain regions.

#include <map>
#include <string>

#include "routing/manifest.h"

namespace bulrushgw::routing {

/// Immutable after construction; const methods are thread-safe.
class zone_regions {
public:
    zone_regions() = default;
    /// `regions` holds the region of each zone.
    explicit zone_regions(std::map<std::string, std::string> regions) : regions_(std::move(regions))
    {
    }

    /// True if the route's requests may be sent to a host in the zone. A zone whose region is not
    /// known is allowed only for routes without a list of regions.
    [[nodiscard]] bool allows(const route& rule, const std::string& zone) const;

private:
    std::map<std::string, std::string> regions_;
};

} // namespace bulrushgw::routing
