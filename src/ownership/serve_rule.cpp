#include "ownership/serve_rule.h"

#include <algorithm>
#include <optional>

namespace bulrushgw::ownership {

namespace {

std::optional<std::size_t> first_live_position(const placement_view& view, incarnation_id self,
                                               const directory& shared, range_id range,
                                               bool any_certificate)
{
    const placement_version version = view.record.current.version;
    std::size_t position = 0;
    for (const std::uint16_t index : view.current.of(range)) {
        const incarnation_id id = view.current.member(index);
        if (id == self) {
            return position;
        }
        const certificate* ended = shared.certificate_of(id);
        if (ended == nullptr || (ended->adopted > version && !any_certificate)) {
            return std::nullopt;
        }
        ++position;
    }
    return std::nullopt;
}

fence make_fence(placement_version version, std::size_t position)
{
    return fence{(version.value << fence_position_bits) | position};
}

} // namespace

bool is_first_live(const placement_view& view, incarnation_id self, const directory& shared,
                   range_id range, const unsafe_switches& unsafe)
{
    return first_live_position(view, self, shared, range, unsafe.skip_certificate_version)
        .has_value();
}

bool is_previous_closed(const placement_view& view, incarnation_id self, const directory& shared,
                        range_id range)
{
    const placement_version previous = view.record.previous.version;
    for (const std::uint16_t index : view.previous.of(range)) {
        const incarnation_id id = view.previous.member(index);
        const certificate* ended = shared.certificate_of(id);
        if (ended != nullptr && ended->adopted <= previous) {
            continue;
        }
        // `id` is this node, or a member that ended after it adopted a newer version. In both
        // cases, `id` has left the previous version. Later candidates may not take over at the
        // previous version, because they would need a certificate of that version for `id`.
        if (ended != nullptr || id == self) {
            return true;
        }
        const adoption* adopted = shared.adoption_of(id);
        return adopted != nullptr && adopted->version > previous &&
               !std::binary_search(adopted->draining.begin(), adopted->draining.end(), range);
    }
    return true;
}

range_verdict evaluate_range(const placement_view& view, incarnation_id self,
                             const directory& shared, range_id range, const unsafe_switches& unsafe)
{
    range_verdict verdict;
    if (view.record.ranges == 0) { // a balanced service has no exclusive owner
        verdict.owner = view.current.contains(self);
        verdict.token = make_fence(view.record.current.version, 0);
        return verdict;
    }
    if (range.value >= view.record.ranges) {
        return verdict;
    }
    const auto position =
        first_live_position(view, self, shared, range, unsafe.skip_certificate_version);
    if (!position) {
        return verdict;
    }
    verdict.position = *position;
    verdict.token = make_fence(view.record.current.version, *position);
    if (!unsafe.skip_previous_version && !is_previous_closed(view, self, shared, range)) {
        verdict.refusal = serve_refusal::previous_owner;
        return verdict;
    }
    verdict.owner = true;
    return verdict;
}

owner_view find_owner(const placement_view& view, const directory& shared, range_id range)
{
    const auto adopted_newest = [&](incarnation_id id) {
        const adoption* adopted = shared.adoption_of(id);
        return adopted != nullptr && adopted->version >= view.record.current.version;
    };
    owner_view result;
    result.version = view.record.current.version;
    if (range.value >= view.record.ranges) {
        result.reason = view.record.ranges == 0 ? "any member of a balanced service may serve"
                                                : "the service has no such range";
        return result;
    }
    for (const std::uint16_t index : view.current.of(range)) {
        const incarnation_id id = view.current.member(index);
        if (shared.certificate_of(id) == nullptr) {
            result.owner = id;
            break;
        }
        ++result.position;
    }
    result.reason = result.position == 0
                        ? "first candidate"
                        : std::to_string(result.position) + " earlier candidates ended";
    for (const std::uint16_t index : view.previous.of(range)) {
        const incarnation_id id = view.previous.member(index);
        if (shared.certificate_of(id) != nullptr) {
            continue;
        }
        if (id != result.owner && !adopted_newest(id)) {
            result.owner = id;
            result.version = view.record.previous.version;
            result.reason = "owner of the previous version, which it has not left yet";
        }
        break;
    }
    if (!result.owner) {
        result.reason = "no live member is known";
    }
    return result;
}

} // namespace bulrushgw::ownership
