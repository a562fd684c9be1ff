#include "bench/policy_scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bulrushgw::bench {

using rules::repeat_kind;

deployment ladderdesk()
{
    deployment sizes;
    sizes.name = "ladderdesk";
    sizes.keyed_hosts = 7;
    sizes.balanced_hosts = 3;
    sizes.slots = 6;
    sizes.between_zones = microseconds{1000};
    sizes.kinds = {
        {"standings", true, repeat_kind::idempotent, 1, 0.70, microseconds{25000}},
        {"challenges", true, repeat_kind::once, 5, 0.20, microseconds{60000}},
        {"results", false, repeat_kind::once, 10, 0.10, microseconds{80000}},
    };
    // Morning, noon, afternoon, fixture night in two parts, late evening.
    sizes.phases = {0.25, 0.35, 0.40, 0.65, 0.60, 0.30};
    return sizes;
}

deployment hima_kalapu()
{
    deployment sizes;
    sizes.name = "hima-kalapu";
    sizes.keyed_hosts = 6;
    sizes.balanced_hosts = 3;
    sizes.slots = 12;
    sizes.between_zones = microseconds{1500};
    sizes.kinds = {
        {"moulds", true, repeat_kind::idempotent, 1, 0.55, microseconds{25000}},
        {"bookings", true, repeat_kind::once, 8, 0.30, microseconds{70000}},
        {"batches", false, repeat_kind::once, 10, 0.15, microseconds{80000}},
    };
    // Ordinary days with the festival season in the middle.
    sizes.phases = {0.25, 0.30, 0.60, 0.65, 0.45, 0.25};
    return sizes;
}

std::vector<disturbance> disturbances_of(const deployment& sizes, milliseconds length)
{
    using enum disturbance_kind;
    const auto at = [length](double fraction) {
        return milliseconds{
            static_cast<std::int64_t>(fraction * static_cast<double>(length.count()))};
    };
    std::vector<disturbance> list{
        {at(0.08), leave, 2},
        {at(0.14), come_back, 2},
        {at(0.20), crash, 4},
        {at(0.26), come_back, 4},
        {at(0.34), freeze, 1},
        {at(0.34) + milliseconds{20000}, unfreeze, 1},
        {at(0.42), misreport, 3},
        {at(0.48), report_truth, 3},
        {at(0.54), store_down, 0},
        {at(0.54) + milliseconds{20000}, crash, 5},
        {at(0.54) + milliseconds{60000}, store_up, 0},
        {at(0.62), come_back, 5},
        {at(0.86), leave, sizes.keyed_hosts},
        {at(0.90), come_back, sizes.keyed_hosts},
    };
    for (std::size_t host = 0; host < sizes.hosts(); ++host) {
        if (sizes.zone_of(host) == 2) {
            list.push_back({at(0.70), vanish, host});
            list.push_back({at(0.78), come_back, host});
        }
    }
    std::stable_sort(
        list.begin(), list.end(),
        [](const disturbance& left, const disturbance& right) { return left.at < right.at; });
    return list;
}

zipf_key_generator::zipf_key_generator(std::size_t keys, double exponent, std::uint64_t seed)
    : cumulative_(keys), order_(keys), shuffle_(seed)
{
    double sum = 0;
    for (std::size_t i = 0; i < keys; ++i) {
        sum += 1.0 / std::pow(static_cast<double>(i + 1), exponent);
        cumulative_[i] = sum;
    }
    for (auto& value : cumulative_) {
        value /= sum;
    }
    std::iota(order_.begin(), order_.end(), std::size_t{0});
    next_phase();
}

void zipf_key_generator::next_phase()
{
    // std::shuffle is not used because its results differ between standard libraries. The figures
    // must be the same with each library.
    for (std::size_t i = order_.size() - 1; i > 0; --i) {
        std::swap(order_[i], order_[shuffle_() % (i + 1)]);
    }
}

std::size_t zipf_key_generator::draw(random_engine& random)
{
    const double uniform_sample = static_cast<double>(random() >> 11) / 9007199254740992.0;
    const auto found = std::upper_bound(cumulative_.begin(), cumulative_.end(), uniform_sample);
    const auto rank = static_cast<std::size_t>(found - cumulative_.begin());
    return order_[std::min(rank, order_.size() - 1)];
}

} // namespace bulrushgw::bench
