#include "routing/route_index.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <utility>

namespace bulrushgw::routing {

namespace {

std::string normalized_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return key;
}

} // namespace

route_index::route_index(manifest content) : content_(std::move(content))
{
    for (const auto& item : content_.routes) {
        routes_by_host_[normalized_host(item.host)].emplace(item.prefix, &item);
    }
}

const route* route_index::find(std::string_view host, std::string_view path) const
{
    const auto routes = routes_by_host_.find(normalized_host(host));
    if (routes == routes_by_host_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find_first_of("?#"));
    // Each prefix ends with a slash, so only substrings that end with a slash are tried.
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
    }
    return nullptr;
}

const service* route_index::find_service(std::string_view name) const
{
    for (const auto& item : content_.services) {
        if (item.name == name) {
            return &item;
        }
    }
    return nullptr;
}

std::vector<const destination*>
eligible_destinations(const route& chosen_route,
                      const std::function<bool(const destination&)>& is_usable)
{
    std::vector<const destination*> result;
    for (const auto& item : chosen_route.destinations) {
        if (is_usable(item)) {
            result.push_back(&item);
        }
    }
    if (result.empty()) {
        for (const auto& item : chosen_route.destinations) {
            result.push_back(&item);
        }
    }
    return result;
}

const destination& choose_destination(const route& chosen_route, double point)
{
    return choose_destination(chosen_route, point, [](const destination&) { return true; });
}

const destination& choose_destination(const route& chosen_route, double point,
                                      const std::function<bool(const destination&)>& is_usable)
{
    const auto usable = eligible_destinations(chosen_route, is_usable);
    const std::uint64_t total = std::accumulate(
        usable.begin(), usable.end(), std::uint64_t{0},
        [](std::uint64_t sum, const destination* item) { return sum + item->weight; });
    double remaining = point * static_cast<double>(total);
    for (const auto* item : usable) {
        remaining -= item->weight;
        if (remaining < 0) {
            return *item;
        }
    }
    return *usable.back();
}

} // namespace bulrushgw::routing
