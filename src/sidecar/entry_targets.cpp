#include "sidecar/entry.h"

#include <algorithm>

namespace bulrushgw::sidecar {

using request::reason;

namespace {

/// Retry-after time for requests that no target may run until an evacuation ends or the manifest
/// changes. It is longer than that of other refusals, which may pass within milliseconds.
constexpr milliseconds unservable_retry_after{1000};

} // namespace

bool entry::is_restricted(const routing::route& route) const
{
    return !route.regions.empty() || route.no_region_allowed || !hooks_.evacuations().empty();
}

bool entry::is_closed(const std::string& zone) const
{
    const auto ordered = hooks_.evacuations().ordered_at(zone);
    return ordered && loop_.now() - *ordered >= settings_.evacuation_grace;
}

std::optional<reason> entry::exclusion_of(const routing::route& route,
                                          const std::string& zone) const
{
    if (!settings_.regions.allows(route, zone)) {
        return reason::no_target_in_region;
    }
    if (hooks_.evacuations().is_evacuated(zone)) {
        return reason::zone_evacuated;
    }
    return std::nullopt;
}

std::optional<reason> entry::unservable_reason(const routing::route& route,
                                               const std::string& service) const
{
    std::optional<reason> result;
    for (const auto& node : hooks_.member().view().nodes) {
        if (node.target.service != service ||
            node.target.phase != assignment::target_phase::ready) {
            continue;
        }
        const auto excluded = exclusion_of(route, node.zone);
        if (!excluded) {
            return std::nullopt;
        }
        // An evacuation ends sooner than a restriction to regions.
        result = result == reason::zone_evacuated ? result : excluded;
    }
    if (!result && (!route.regions.empty() || route.no_region_allowed)) {
        result = reason::no_target_in_region;
    }
    return result;
}

const routing::destination& entry::choose_destination(const routing::route& route)
{
    std::uniform_real_distribution<double> random_share(0, 1);
    const double point = random_share(random_);
    if (route.regions.empty()) {
        return routing::choose_destination(route, point);
    }
    // The weights hold during an evacuation: what a destination cannot serve is refused, because
    // the others may have no room for it.
    return routing::choose_destination(route, point, [&](const routing::destination& item) {
        return unservable_reason(route, item.service) != reason::no_target_in_region;
    });
}

void entry::refuse_unservable(pending_request& request, reason why)
{
    refuse(request, why, unservable_retry_after,
           why == reason::zone_evacuated ? "all zones with targets are under evacuation"
                                         : "no target in the allowed regions");
}

// Returns true if the request was answered or made to wait, because its owner must not run it.
bool entry::avoids_owner(pending_request& request, const std::string& zone)
{
    if (!settings_.regions.allows(request.route, zone)) {
        refuse(request, reason::no_target_in_region, unservable_retry_after,
               "the owner of the key is not in the allowed regions");
        return true;
    }
    if (is_closed(zone)) {
        await_evacuation(request);
        return true;
    }
    return false;
}

// The owner's target gets no requests any more. The key moves if another target can own it.
void entry::await_evacuation(pending_request& request)
{
    if (const auto why = unservable_reason(request.route, request.service)) {
        refuse_unservable(request, *why);
        return;
    }
    wait_for_owner(request, "the key leaves an evacuated zone", reason::zone_evacuated);
}

} // namespace bulrushgw::sidecar
