#pragma once

/// The HTTP connection to the one target beside this node: announcements,
/// fenced grants with an expiry on the target's clock, and probes.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "common/ids.h"
#include "net/http.h"
#include "net/loop.h"
#include "ownership/engine.h"
#include "request/admission.h"

namespace bulrushgw::node {

/// An announcement that does not follow docs/target-api.md.
struct announcement_error : parse_error {
    using parse_error::parse_error;
};

/// What a target says of itself, every second.
struct announcement {
    std::string service;
    net::endpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    bool checks_fences = false;
    std::string run_id;
    request::load_report load;
};

/// Throws `announcement_error`.
announcement parse_announcement(const std::string& body);

inline constexpr std::string_view target_clock_header = "Bulrush-Target-Clock-Ms";
inline constexpr std::string_view target_run_header = "Bulrush-Target-Run";

/// Keeps the target's grants equal to the ranges that the engine serves, and its
/// grant expiry below the node's lease end. Not thread-safe.
class target_link {
public:
    struct hooks {
        std::function<incarnation_id()> incarnation;
        std::function<std::optional<time_point>()> lease_end;
        /// False while the target is suspected to be frozen: grants are not renewed.
        std::function<bool()> may_renew;
        std::function<void()> on_probe_sent;
        std::function<void()> on_target_answer;
        std::function<void()> on_restarted;
    };

    target_link(net::loop& loop, net::http_client& http, unsigned drift_permille, hooks hooks);

    /// True when this is another run of the target than before, or the first.
    bool on_announcement(const announcement& news);
    void on_serving_changed(const ownership::serving_changed& change);
    /// The incarnation ended: nothing is granted any more.
    void on_incarnation_ended();
    /// Any answer of the target: updates its clock, run and sign of life.
    void on_answer(const net::http_response& response);
    /// Sends a probe with the grants that are due.
    void on_tick();
    /// Node time up to which the target may run something of this incarnation under
    /// a grant that it may have received; now when its process is gone.
    [[nodiscard]] time_point idle_from() const;
    /// Asks the target to finish its work and accept no more.
    void drain();

    [[nodiscard]] const std::optional<announcement>& target() const { return target_; }
    /// True when the target confirmed this fence, or does not check fences.
    [[nodiscard]] bool is_granted(range_id range, fence token) const;
    [[nodiscard]] std::size_t granted() const { return wanted_.size(); }

private:
    void send_grants();
    void on_grant_result(const std::map<range_id, fence>& sent, std::uint64_t generation,
                         const net::http_result& result);
    [[nodiscard]] std::int64_t expiry_ms() const;
    [[nodiscard]] std::string grant_body(bool grants_valid) const;

    struct clock_reading {
        std::int64_t target_ms = 0;
        time_point received;
    };

    net::loop& loop_;
    net::http_client& http_;
    unsigned drift_permille_;
    hooks hooks_;
    std::optional<announcement> target_;
    std::optional<clock_reading> clock_;
    std::map<range_id, fence> wanted_;
    std::map<range_id, fence> confirmed_;
    std::vector<range_id> releases_;
    std::vector<range_id> releases_sent_; ///< in the probe on its way
    std::uint64_t generation_ = 0;        ///< changes with each run of the target and incarnation
    time_point next_probe_;
    time_point grants_end_;     ///< node time of the latest expiry that was sent
    bool process_gone_ = false; ///< the last probe found nobody listening
    bool probing_ = false;
    bool changed_ = false;
};

} // namespace bulrushgw::node
