#pragma once

/// How long the body of a request takes to reach a target: the time until the target's host lets it
/// be sent, and its transfer over the host's link. It addresses uploads that saturate the links of
/// some hosts while those of others have room. Slots and mean answer times do not show this. Pure:
/// no clock, no I/O.

#include <cstddef>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

/// Bodies up to this size are sent with their request. Larger ones wait for the credit of the
/// target's host: 83 hosts that each send one body of 60,000 bytes at the same time occupy a link
/// of 10 Mbit/s for 4 s.
inline constexpr std::size_t direct_body_bytes = std::size_t{8} * 1024;

/// The bodies that this host sends to one target. Not thread-safe.
class body_transfer {
public:
    /// The target's host reported the time until it would let a body of 64 KiB be sent.
    void on_intake_wait(time_point now, milliseconds wait);
    void on_sent(std::size_t bytes) { own_bytes_ += bytes; }
    /// A request of `on_sent` has ended.
    void on_end(std::size_t bytes) { own_bytes_ -= bytes < own_bytes_ ? bytes : own_bytes_; }
    /// A request with a body was answered; it took `extra_ms` longer than one without, besides the
    /// wait that was expected when it was sent. Returns the part that is too long for a transfer.
    double on_answer(std::size_t bytes, double extra_ms);

    /// Expected time until the target's host lets the body be sent, in ms; 0 for small bodies. The
    /// reported wait decays to 0 within 1 s.
    [[nodiscard]] double wait_ms(time_point now, std::size_t bytes) const;
    /// The same by this host's own bodies alone.
    [[nodiscard]] double own_wait_ms(std::size_t bytes) const;
    /// Expected transfer time in ms; 0 for small bodies.
    [[nodiscard]] double transfer_ms(std::size_t bytes) const;

private:
    /// 100 Mbit/s, until answers show more.
    double ms_per_byte_ = 8e-5;
    std::size_t own_bytes_ = 0; ///< in flight
    double reported_wait_ms_ = 0;
    time_point reported_at_{};
};

} // namespace bulrushgw::dispatch
