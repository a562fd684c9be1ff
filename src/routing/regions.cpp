#include "routing/regions.h"

#include <algorithm>

namespace bulrushgw::routing {

bool zone_regions::allows(const route& rule, const std::string& zone) const
{
    if (rule.no_region_allowed) {
        return false;
    }
    if (rule.regions.empty()) {
        return true;
    }
    const auto region = regions_.find(zone);
    return region != regions_.end() && std::find(rule.regions.begin(), rule.regions.end(),
                                                 region->second) != rule.regions.end();
}

} // namespace bulrushgw::routing
