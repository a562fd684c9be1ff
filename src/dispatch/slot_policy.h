#pragma once

/// Order of the requests in the queue of a target, and slots that long requests leave free for
/// others. It answers a target that gets more work than it can do, of kinds that differ in urgency
/// and in length: a short call, without which a run elsewhere fails, is worth more for the time of
/// a slot than a long report.

#include <cstdint>
#include <functional>

namespace bulrushgw::dispatch {

/// What the order of a request depends on.
struct request_traits {
    std::uint32_t rank = 0; ///< 0 is the most urgent
    double work_ms = 1;     ///< expected work time in milliseconds, positive
    bool late = false;      ///< it will miss its latency goal
};

/// Slots wanted by requests that are worth much more for their time than a given one, see
/// `is_worth_much_more`.
struct denser_work {
    double offered = 0;        ///< slots that their arrivals keep busy
    std::uint32_t running = 0; ///< slots that they occupy now
};

/// Decisions that vary. The functions must be pure.
struct slot_policy {
    /// Estimated worth of a request for each millisecond of a slot. Requests of higher worth run
    /// first (the c-mu rule of queueing theory).
    std::function<double(const request_traits&)> worth_density;
    /// Number of free slots that a request must leave free.
    std::function<std::uint32_t(const denser_work&, std::uint32_t slots)> reserved_slots;
};

/// True if requests with `density` may have slots reserved against requests with `other`.
[[nodiscard]] bool is_worth_much_more(double density, double other);

/// The policy of the product.
[[nodiscard]] slot_policy default_slot_policy();

} // namespace bulrushgw::dispatch
