#include "routing/work_bounds.h"

#include <algorithm>

namespace bulrushgw::routing {

std::map<std::string, milliseconds> longest_keyed_work(const manifest& content)
{
    std::map<std::string, milliseconds> result;
    for (const auto& each : content.services) {
        if (each.sharded) {
            result[each.name] = milliseconds{0};
        }
    }
    for (const auto& each : content.routes) {
        for (const auto& target : each.destinations) {
            if (const auto found = result.find(target.service); found != result.end()) {
                found->second = std::max(found->second, each.timeout);
            }
        }
    }
    std::erase_if(result, [](const auto& item) { return item.second.count() <= 0; });
    return result;
}

} // namespace bulrushgw::routing
