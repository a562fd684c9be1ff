#include "dispatch/slot_policy.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::dispatch {

namespace {

/// Assumed ratio between the worth of a request and that of one of the next rank. A manifest gives
/// ranks, but no worth.
constexpr double worth_ratio_of_ranks = 4;
/// Ranks from this one on have the same assumed worth, which keeps the densities distinguishable.
constexpr std::uint32_t max_rank = 32;
/// Assumed worth of a late answer as a part of the worth of an answer in time. It is below the
/// ratio of two ranks, so that a late request does not delay one of similar length that can still
/// be in time, even if that is less urgent.
constexpr double late_worth = 0.05;
/// Slots are reserved for requests whose density is at least this multiple.
constexpr double reserving_ratio = 4;

double worth_density(const request_traits& request)
{
    const auto rank = std::min(request.rank, max_rank);
    const double worth = std::pow(worth_ratio_of_ranks, -static_cast<double>(rank));
    return worth * (request.late ? late_worth : 1) / request.work_ms;
}

// Keeps as many slots for the denser requests as their arrivals keep busy on average, less those
// that they occupy. At least one slot stays usable for all.
std::uint32_t reserved_slots(const denser_work& denser, std::uint32_t slots)
{
    const auto wanted = static_cast<std::uint32_t>(
        std::lround(std::min(denser.offered, static_cast<double>(slots))));
    const auto missing = wanted > denser.running ? wanted - denser.running : 0;
    return slots > 0 ? std::min(missing, slots - 1) : 0;
}

} // namespace

bool is_worth_much_more(double density, double other)
{
    return density >= reserving_ratio * other;
}

slot_policy default_slot_policy()
{
    return {worth_density, reserved_slots};
}

} // namespace bulrushgw::dispatch
