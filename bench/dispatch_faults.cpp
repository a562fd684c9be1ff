#include "bench/dispatch_faults.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::bench {

namespace {

/// Part of a link that bodies use.
constexpr double body_share = 0.8;
/// Length of the queue of bodies on the link itself. The others wait at their senders.
constexpr milliseconds link_queue{50};

const fault_window* find_fault(const load_scenario& scenario, target_fault kind,
                               const std::string& service, std::size_t index,
                               boot_clock::duration since_start)
{
    const auto found =
        std::find_if(scenario.faults.begin(), scenario.faults.end(), [&](const auto& fault) {
            return fault.kind == kind && fault.service == service && fault.target == index &&
                   since_start >= fault.from && since_start < fault.to;
        });
    return found == scenario.faults.end() ? nullptr : &*found;
}

} // namespace

double fault_strength(const load_scenario& scenario, target_fault kind, const std::string& service,
                      std::size_t index, boot_clock::duration since_start)
{
    const auto* fault = find_fault(scenario, kind, service, index, since_start);
    return fault == nullptr ? 0 : fault->strength;
}

boot_clock::duration silence_left(const load_scenario& scenario, const std::string& service,
                                  std::size_t index, boot_clock::duration since_start)
{
    const auto* fault = find_fault(scenario, target_fault::silence, service, index, since_start);
    return fault == nullptr ? boot_clock::duration{} : fault->to - since_start;
}

std::size_t random_body_bytes(const load_kind& kind, std::mt19937_64& random)
{
    if (kind.body_bytes == 0) {
        return 0;
    }
    constexpr double spread = 0.7; // standard deviation of the logarithm
    constexpr double longest = 6;
    std::normal_distribution<double> logarithm(-spread * spread / 2, spread);
    const double factor = std::min(longest, std::exp(logarithm(random)));
    return static_cast<std::size_t>(factor * static_cast<double>(kind.body_bytes));
}

boot_clock::duration body_link::arrival(time_point now, std::size_t bytes) const
{
    if (mbps_ <= 0) {
        return {};
    }
    const std::chrono::duration<double, std::micro> transfer{8 * static_cast<double>(bytes) /
                                                             (mbps_ * body_share)};
    return wait(now) + std::chrono::duration_cast<boot_clock::duration>(transfer);
}

boot_clock::duration body_link::wait(time_point now) const
{
    return std::max(boot_clock::duration{}, free_at_ - now);
}

boot_clock::duration body_link::small_message_delay(time_point now) const
{
    return std::min<boot_clock::duration>(wait(now), link_queue) / 2;
}

} // namespace bulrushgw::bench
