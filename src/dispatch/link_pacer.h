#pragma once

/// Rate of request bodies on the link of a host.

#include <algorithm>
#include <cstdint>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Limits the bytes of bodies that a host lets onto its link, in one direction: at most four fifths
/// of the link over each second, and at most `window_bytes` at once, so that leases, calls and
/// replies wait behind a short queue. It answers bodies that arrive, or are sent, faster than the
/// link carries them. Deterministic; not thread-safe.
class link_pacer {
public:
    /// Time in which the link carries the bytes that may be let onto it at once.
    static constexpr milliseconds window{50};

    /// `link_mbps`: speed of the link in Mbit/s, positive.
    explicit link_pacer(double link_mbps);

    /// Number of bytes that the link carries within `window`, at least 8 KiB.
    [[nodiscard]] std::uint64_t window_bytes() const { return window_bytes_; }
    /// Takes `bytes` if they may go onto the link at `now`. At most `window_bytes` at a time.
    bool try_take(time_point now, std::uint64_t bytes);
    /// Time until `try_take` with `bytes` succeeds, rounded up; 0: at once.
    [[nodiscard]] milliseconds wait(time_point now, std::uint64_t bytes) const;
    /// Time that bodies of `bytes` in total take, at most an hour.
    [[nodiscard]] milliseconds time_for(std::uint64_t bytes) const;

private:
    [[nodiscard]] double available(time_point now) const;

    double bytes_per_s_; ///< of bodies, without the initial `window_bytes_`
    std::uint64_t window_bytes_;
    double available_; ///< bytes, as of `updated_at_`
    time_point updated_at_{};
};

} // namespace bulrushgw::dispatch
