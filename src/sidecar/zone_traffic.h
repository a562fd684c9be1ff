#pragma once

/// Reports the traffic to each availability zone: metrics, and a log line when the share of a
/// service's unkeyed requests that leaves the zone changes markedly.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "dispatch/target_picker.h"
#include "sidecar/journal.h"

namespace bulrushgw::sidecar {

/// Not thread-safe.
class zone_traffic {
public:
    using log_hook = std::function<void(std::string_view event, const journal::fields&)>;

    /// A request without a key was sent to a target in `zone`.
    void on_sent(const std::string& zone) { ++sent_[zone]; }
    /// Calls `log` for each service whose share changed markedly since its last line. Writes at
    /// most one line for each service in `min_interval`.
    void report(time_point now, const dispatch::target_picker& picker, const log_hook& log);
    /// The metrics, in the Prometheus text format.
    [[nodiscard]] std::string metrics_text(const dispatch::target_picker& picker) const;

    static constexpr milliseconds min_interval{2000};

private:
    struct reported_share {
        double share = 0;
        dispatch::zone_cause cause = dispatch::zone_cause::none;
        time_point at{};
    };

    std::map<std::string, std::uint64_t> sent_;      ///< by zone
    std::map<std::string, reported_share> reported_; ///< by service
};

} // namespace bulrushgw::sidecar
