#pragma once

/// The state of the targets of a load scenario at a time since its start, and the transfer of
/// bodies to them.

#include <cstddef>
#include <random>
#include <string>

#include "bench/dispatch_scenario.h"

namespace bulrushgw::bench {

/// The strength of the fault of target `index` of the service, or 0 if it has none.
[[nodiscard]] double fault_strength(const load_scenario& scenario, target_fault kind,
                                    const std::string& service, std::size_t index,
                                    boot_clock::duration since_start);
/// Time until the link of the target's host transfers again; 0: it does.
[[nodiscard]] boot_clock::duration silence_left(const load_scenario& scenario,
                                                const std::string& service, std::size_t index,
                                                boot_clock::duration since_start);

/// The size of the body of a request: log-normal around the mean of the kind, up to six times it.
/// Kinds without a body draw no random number.
[[nodiscard]] std::size_t random_body_bytes(const load_kind& kind, std::mt19937_64& random);

/// The link of a target's host for the bodies of requests, which arrive one after the other. They
/// use at most four fifths of the link, so that small messages are delayed little.
class body_link {
public:
    /// `mbps`: speed of the link; 0: unlimited.
    explicit body_link(double mbps = 0) : mbps_(mbps) {}
    /// Time until a body that is announced now has arrived.
    [[nodiscard]] boot_clock::duration arrival(time_point now, std::size_t bytes) const;
    /// Transfers a body that is announced now.
    void add(time_point now, std::size_t bytes) { free_at_ = now + arrival(now, bytes); }
    /// Time until a body that is announced now is sent.
    [[nodiscard]] boot_clock::duration wait(time_point now) const;
    /// Delay of a message without a body.
    [[nodiscard]] boot_clock::duration small_message_delay(time_point now) const;

private:
    double mbps_;
    time_point free_at_{};
};

} // namespace bulrushgw::bench
