#include "ownership/candidates.h"

#include <algorithm>
#include <cmath>

#include "common/hash.h"

namespace bulrushgw::ownership {

namespace {

/// Score of weighted rendezvous hashing. Different builds may round the last bit of the logarithm
/// differently; this changes the order only of members whose scores agree in all other bits.
double score_of(std::uint64_t range_hash, const weighted_member& member)
{
    constexpr unsigned unused_bits = 11;         // the mantissa of a double has 53 of the 64 bits
    constexpr double scale = 9007199254740992.0; // 2^53
    const std::uint64_t hash = hash_pair(range_hash, member.incarnation.value);
    const double uniform = (static_cast<double>(hash >> unused_bits) + 0.5) / scale;
    return -static_cast<double>(member.weight) / std::log(uniform);
}

std::vector<std::uint16_t> ordered(const placement_list& list, const std::string& service,
                                   range_id range)
{
    const std::uint64_t range_hash = hash_pair(hash_bytes(service), range.value);
    std::vector<double> scores;
    std::vector<std::uint16_t> order;
    for (const weighted_member& member : list.members) {
        order.push_back(static_cast<std::uint16_t>(scores.size()));
        scores.push_back(score_of(range_hash, member));
    }
    const auto before = [&](std::uint16_t left, std::uint16_t right) {
        if (scores[left] != scores[right]) {
            return scores[left] > scores[right];
        }
        return list.members[left].incarnation < list.members[right].incarnation;
    };
    std::sort(order.begin(), order.end(), before);
    if (const auto found = list.overrides.find(range); found != list.overrides.end()) {
        const auto is_override = [&](std::uint16_t position) {
            return list.members[position].incarnation == found->second;
        };
        const auto place = std::find_if(order.begin(), order.end(), is_override);
        if (place != order.end()) {
            std::rotate(order.begin(), place, place + 1);
        }
    }
    return order;
}

} // namespace

std::vector<incarnation_id> candidates(const placement_list& list, const std::string& service,
                                       range_id range)
{
    std::vector<incarnation_id> result;
    for (const std::uint16_t position : ordered(list, service, range)) {
        result.push_back(list.members[position].incarnation);
    }
    return result;
}

candidate_table::candidate_table(placement_list list, std::string service)
    : list_{std::move(list)}, service_{std::move(service)}
{
}

std::span<const std::uint16_t> candidate_table::of(range_id range) const
{
    if (range.value >= lists_.size()) {
        lists_.resize(range.value + std::size_t{1});
    }
    std::vector<std::uint16_t>& entry = lists_[range.value];
    if (entry.empty() && !list_.members.empty()) {
        entry = ordered(list_, service_, range);
    }
    return entry;
}

bool candidate_table::contains(incarnation_id id) const
{
    const auto at = std::lower_bound(
        list_.members.begin(), list_.members.end(), id,
        [](const weighted_member& member, incarnation_id key) { return member.incarnation < key; });
    return at != list_.members.end() && at->incarnation == id;
}

placement_view::placement_view(placement record_in)
    : record{std::move(record_in)}, current{record.current, record.service}, previous{
                                                                                 record.previous,
                                                                                 record.service}
{
}

} // namespace bulrushgw::ownership
