#pragma once

/// Counters and latency histograms of a sidecar, in the Prometheus text format.

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "net/peer_transport.h"
#include "sidecar/coordination.h"
#include "sidecar/entry.h"
#include "sidecar/forward_intake.h"

namespace bulrushgw::sidecar {

/// Histogram of the times from the arrival of requests to their answers. Bucket bounds are
/// inclusive upper bounds.
class latency_histogram {
public:
    static constexpr std::array<std::int64_t, 12> bounds_ms{5,   10,  25,   50,   100,  150,
                                                            250, 500, 1000, 2000, 5000, 10000};

    void observe(milliseconds time);
    [[nodiscard]] std::string text(const std::string& name) const;

private:
    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
    double sum_s_ = 0;
};

/// Values at the time of a metrics request. `store_calls`, `lines_dropped`, `errors`,
/// `requests_ignored`, `warm_up_delays` and `warm_up_refusals` are totals since the start.
struct sidecar_gauges {
    std::uint64_t manifest_version = 0;
    std::uint64_t term = 0;
    std::uint64_t directory_version = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t lines_dropped = 0;
    std::uint64_t target_load = 0;
    std::uint64_t errors = 0;           ///< unexpected exceptions from handlers
    std::uint64_t requests_ignored = 0; ///< whose clients had left before they were read
    std::uint64_t evacuated_zones = 0;
    std::uint64_t keys_to_evacuate = 0;          ///< see `coordination::keys_to_evacuate`
    coordination::key_move_counts key_moves{};   ///< see `coordination::key_moves`
    double key_load_in_motion = 0;               ///< see `coordination::key_load_in_motion`
    std::uint64_t target_refusals_evacuated = 0; ///< total since the start
    /// See `routing::evacuations::confirmed_at`; none: the store has not answered yet.
    std::optional<milliseconds> evacuations_age;
    std::uint64_t warm_up_delays = 0;   ///< requests that waited because the target warms up
    std::uint64_t warm_up_refusals = 0; ///< requests refused because the target warms up
    bool target_is_cold = false;        ///< starts at the target are limited
    std::uint64_t lease_ms = 0;         ///< length of the last lease
    std::uint64_t renewal_waits = 0;    ///< requests that waited for a renewal, since the start
    bool holds_lease = false;
    bool leads = false;
    bool store_up = false;
    std::optional<std::uint64_t> store_era; ///< see `store_session::era`
};

struct sidecar_metrics {
    latency_histogram answer_time;

    [[nodiscard]] std::string text(const entry_counters& requests,
                                   const sidecar_gauges& gauges) const;
};

/// The metrics of the requests for the target on this host, and of the memory that they take.
[[nodiscard]] std::string intake_text(const forward_intake& intake);

/// The metrics of the data sent to other nodes: bytes in total, frames and bytes by message type.
[[nodiscard]] std::string traffic_text(const net::peer_counters& counters);

} // namespace bulrushgw::sidecar
