#pragma once

/// HTTP link to the target on this node's host: announcements, grants with a fence and an expiry on
/// the target's clock, and probes.

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

/// An announcement that violates docs/target-api.md.
struct announcement_error : parse_error {
    using parse_error::parse_error;
};

/// State that a target announces every second.
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

/// Grants the target exactly the ranges that the ownership engine serves, with an expiry that is
/// not later than the end of the node's lease. Not thread-safe.
class target_link {
public:
    struct hooks {
        std::function<incarnation_id()> incarnation;
        std::function<std::optional<time_point>()> lease_end;
        /// Returns false while the target is suspected to be frozen. Grants are then not renewed.
        std::function<bool()> may_renew;
        std::function<void()> on_probe_sent;
        /// Called for each response of the target.
        std::function<void()> on_target_answer;
        /// Called when the target announced itself with a different run id.
        std::function<void()> on_restarted;
    };

    target_link(net::loop& loop, net::http_client& http, unsigned drift_permille, hooks hooks);

    /// Returns true for the first announcement and after a restart of the target.
    bool on_announcement(const announcement& announced);
    void on_serving_changed(const ownership::serving_changed& change);
    /// Revokes all grants, because the incarnation ended.
    void on_incarnation_ended();
    /// Called for any response of the target. Reports that the target is responding. If the target
    /// has restarted, discards the clock reading and the confirmed grants; otherwise updates the
    /// clock reading.
    void on_answer(const net::http_response& response);
    /// Sends the grants if they changed or the probe interval is over. The message is also the
    /// probe.
    void on_tick();
    /// Time on the node's clock from which the target executes no more requests of this
    /// incarnation, because all grants that it may have received have expired. This is the current
    /// time if the process of the target is gone.
    [[nodiscard]] time_point idle_from() const;
    /// Asks the target to finish its requests and to accept no new ones.
    void drain();

    [[nodiscard]] const std::optional<announcement>& target() const { return target_; }
    /// True if the target confirmed this fence, or doesn't check fences.
    [[nodiscard]] bool is_granted(range_id range, fence token) const;
    [[nodiscard]] std::size_t granted() const { return wanted_.size(); }

private:
    void send_grants();
    void on_grant_result(const std::map<range_id, fence>& sent, std::uint64_t generation,
                         const net::http_result& result);
    /// Expiry of the grants in milliseconds on the target's clock; 0 if there is no reading of that
    /// clock or the lease doesn't run.
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
    std::map<range_id, fence> wanted_;    ///< grants that the target should have
    std::map<range_id, fence> confirmed_; ///< grants that the target confirmed
    std::vector<range_id> releases_;      ///< ranges to release with the next probe
    std::vector<range_id> releases_sent_; ///< releases in the current probe
    std::uint64_t generation_ = 0; ///< changes when the target restarts or the incarnation ends
    time_point next_probe_;
    time_point latest_grant_expiry_; ///< latest expiry that was sent, on the node's clock
    bool connect_failed_ =
        false; ///< the last probe could not connect: the target's process is gone
    bool probe_in_flight_ = false;
    bool grants_changed_ = false; ///< since the last probe with valid grants
};

} // namespace bulrushgw::node
