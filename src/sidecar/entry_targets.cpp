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

bool entry::is_usable(const routing::route& route, const routing::destination& item) const
{
    return route.regions.empty() ||
           unservable_reason(route, item.service) != reason::no_target_in_region;
}

const routing::destination& entry::choose_destination(const routing::route& route)
{
    std::uniform_real_distribution<double> random_share(0, 1);
    // The weights hold during an evacuation: what a destination cannot serve is refused, because
    // the others may have no room for it.
    return routing::choose_destination(
        route, random_share(random_),
        [&](const routing::destination& item) { return is_usable(route, item); });
}

std::vector<dispatch::pick_candidate> entry::candidates_for(const routing::route& route,
                                                            const std::string& service) const
{
    std::vector<dispatch::pick_candidate> result;
    for (const auto& node : hooks_.member().view().nodes) {
        if (node.target.service == service &&
            node.target.phase == assignment::target_phase::ready &&
            !exclusion_of(route, node.zone)) {
            result.push_back({node.node, node.target.slots, node.zone == settings_.zone,
                              node.target.warming_up, node.zone});
        }
    }
    return result;
}

entry::step entry::unservable_step(reason why)
{
    return {explained_action::refuse,
            why,
            why == reason::zone_evacuated ? "all zones with targets are under evacuation"
                                          : "no target in the allowed regions",
            unservable_retry_after,
            {}};
}

entry::step entry::step_without_target(const routing::route& route,
                                       const std::string& service) const
{
    if (const auto why = unservable_reason(route, service)) {
        return unservable_step(*why);
    }
    return {explained_action::wait,
            reason::no_owner,
            "the service has no target",
            default_retry_after,
            {}};
}

// The owner's target gets no requests any more. The key moves if another target can own it.
entry::step entry::step_out_of_evacuated_zone(const routing::route& route,
                                              const std::string& service) const
{
    if (const auto why = unservable_reason(route, service)) {
        return unservable_step(*why);
    }
    return {explained_action::wait,
            reason::zone_evacuated,
            "the key leaves an evacuated zone",
            default_retry_after,
            {}};
}

// Only the owner of the key can run the request. The node that refused the request may have lost
// the key or its target.
entry::step entry::step_after_owner_refused(const routing::route& route, const std::string& service,
                                            reason why, milliseconds retry_after) const
{
    if (why == reason::overloaded || why == reason::target_refused || why == reason::warming_up) {
        return {explained_action::refuse, why, "the owner has no room", retry_after, {}};
    }
    if (why == reason::shut_down) {
        // The owner could not hand over its keys, so no target serves the keys until the owner's
        // lease ends.
        return {explained_action::refuse, why, "the owner stops", default_retry_after, {}};
    }
    if (why == reason::zone_evacuated) {
        return step_out_of_evacuated_zone(route, service);
    }
    return {explained_action::wait,
            reason::no_owner,
            "the owner does not serve the key",
            default_retry_after,
            {}};
}

entry::step entry::step_for_key(const routing::route& route, const std::string& service,
                                std::uint32_t key) const
{
    const auto owner = hooks_.member().owner_of(service, key);
    const bool is_known = owner.node && !owner.address.empty();
    if (is_known && !owner.moving) {
        if (!settings_.regions.allows(route, owner.zone)) {
            return {explained_action::refuse,
                    reason::no_target_in_region,
                    "the owner of the key is not in the allowed regions",
                    unservable_retry_after,
                    {}};
        }
        if (is_closed(owner.zone)) {
            return step_out_of_evacuated_zone(route, service);
        }
        return {explained_action::send, reason::none, "the owner of the key", {}, owner};
    }
    if (is_restricted(route)) {
        if (const auto why = unservable_reason(route, service)) {
            return unservable_step(*why);
        }
    }
    return {explained_action::wait,
            reason::no_owner,
            is_known ? "the key is moving" : "the key has no owner",
            default_retry_after,
            {}};
}

} // namespace bulrushgw::sidecar
