#include "bench/dispatch_silences.h"

#include <algorithm>

namespace bulrushgw::bench {

namespace {

/// Length of the period after a silence whose requests are counted.
constexpr milliseconds after_silence{3000};

} // namespace

void silence_counts::on_sent(boot_clock::duration since_start, const std::string& service,
                             std::size_t index)
{
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        const auto& fault = scenario_.faults[i];
        if (fault.kind != target_fault::silence || fault.service != service ||
            since_start < fault.from || since_start >= fault.to + after_silence) {
            continue;
        }
        const auto found =
            std::find_if(scenario_.services.begin(), scenario_.services.end(),
                         [&](const load_service& item) { return item.name == service; });
        counts_[i].targets = static_cast<double>(found->speeds.size());
        auto& counts = since_start < fault.to ? counts_[i].during : counts_[i].after;
        counts.to_target += index == fault.target ? 1 : 0;
        counts.to_service += 1;
    }
}

silence_figures silence_counts::figures() const
{
    silence_figures result;
    for (const auto& item : counts_) {
        const auto share = [&](const period& counts) {
            return counts.to_service > 0 ? counts.to_target * item.targets / counts.to_service : 0;
        };
        if (item.targets > 0) {
            result.share_during += share(item.during);
            result.share_after += share(item.after);
            ++result.windows;
        }
    }
    return result;
}

} // namespace bulrushgw::bench
