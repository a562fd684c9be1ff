#pragma once

/// Counts the requests that the model sends to targets that do not answer, or have just recovered.

#include <cstddef>
#include <string>
#include <vector>

#include "bench/dispatch_scenario.h"

namespace bulrushgw::bench {

/// Requests sent to targets that do not answer or have just recovered, as multiples of an equal
/// share of all targets of the service.
struct silence_figures {
    double share_during = 0; ///< while the targets do not answer
    double share_after = 0;  ///< in the first 3 s after that
    int windows = 0;         ///< of which the shares are sums
};

/// The scenario must outlive this object.
class silence_counts {
public:
    explicit silence_counts(const load_scenario& scenario)
        : scenario_(scenario), counts_(scenario.faults.size())
    {
    }
    /// A request was sent to target `index` of the service, at this time since the start.
    void on_sent(boot_clock::duration since_start, const std::string& service, std::size_t index);
    [[nodiscard]] silence_figures figures() const;

private:
    struct period {
        double to_target = 0;
        double to_service = 0;
    };
    struct silence {
        period during;
        period after;
        double targets = 0; ///< of the service; 0: no requests so far
    };

    const load_scenario& scenario_;
    std::vector<silence> counts_; ///< by index of the fault
};

} // namespace bulrushgw::bench
