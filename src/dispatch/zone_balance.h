#pragma once

/// Decides for one service which share of this host's unkeyed requests leaves the host's
/// availability zone, and to which zones. It addresses load that one zone cannot serve in time
/// while another zone has room: demand that moves between zones, a zone with too few or slow
/// targets, and targets that were lost. Many hosts decide at the same time on figures that are up
/// to a second old, so the share changes at a limited rate and aims at a load below the capacity of
/// the zone.
///
/// A zone is judged by the delay of its answers plus a charge for requests that were late or
/// refused. Pure: no clock, no I/O.

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/boot_clock.h"

namespace bulrushgw::dispatch {

struct zone_balance_settings {
    /// Cost of a request to another zone, as the delay that it is worth to avoid it.
    milliseconds cost{25};
};

/// A zone with targets of the service, as seen by one request.
struct zone_option {
    std::string_view zone;
    bool own = false;
    bool cold = false; ///< all targets of the zone are warming up
    /// Expected answer time of the zone's best target for this request; none: the request must not
    /// go to any target of the zone.
    std::optional<double> expected_ms;
    /// The same, judged only by what this host itself has in flight. Other than reported loads,
    /// this is never out of date.
    std::optional<double> expected_from_own_ms;
};

struct zone_request {
    milliseconds aim{0};         ///< time left until the latency goal
    std::uint32_t rank = 0;      ///< 0 is the most urgent
    bool refused_at_own = false; ///< a target of the own zone has refused or failed the request
};

enum class zone_cause {
    none,
    no_own_target,   ///< the own zone has no target of the service
    own_zone_late,   ///< answers of the own zone take too long
    own_zone_refuses ///< targets of the own zone refuse requests
};
[[nodiscard]] const char* to_text(zone_cause cause);

/// How `zone_balance` decides on a request.
struct zone_plan {
    std::optional<std::size_t> usual; ///< index of the zone of requests that are not drawn
    bool overflows = false;           ///< `usual` is faster than the own zone by a wide margin
    /// Probability with which a request is drawn to each zone; empty: there is no draw.
    std::vector<double> drawn;
};

/// Not thread-safe.
class zone_balance {
public:
    explicit zone_balance(zone_balance_settings settings = {}) : settings_(settings) {}

    /// Brings the shares up to date. `zones` are all zones that have targets of the service,
    /// whether or not the present request may use them. A zone that is missing gets no share, and
    /// what was known about it is forgotten. Times must not decrease.
    void update(time_point now, std::span<const zone_option> zones, milliseconds aim);
    /// Returns the index of the zone for a request, or none if no option has an expected time.
    /// Precondition: `update` was called with the same zones.
    [[nodiscard]] std::optional<std::size_t> choose(std::span<const zone_option> zones,
                                                    const zone_request& request,
                                                    std::mt19937_64& random) const;

    /// The decision of `choose` before its random draw. Precondition: as for `choose`.
    [[nodiscard]] zone_plan plan(std::span<const zone_option> zones,
                                 const zone_request& request) const;
    /// When the latest answer or refusal of the zone was observed; none: there is none.
    [[nodiscard]] std::optional<time_point> observed_at(std::string_view zone) const;

    /// A target of `zone` answered. `aim`: time that was left until the latency goal when the
    /// request was sent; not positive: the goal was already missed. `load`: running and waiting
    /// requests of the target for each slot; negative if unknown.
    void on_answer(time_point now, std::string_view zone, milliseconds took, milliseconds aim,
                   double load);
    /// A target of `zone` refused or failed a request, or did not answer it in time. `load`: as in
    /// `on_answer`.
    void on_refusal(time_point now, std::string_view zone, double load);

    /// Share of the requests that leaves the zone, 0 to 1.
    [[nodiscard]] double share() const;
    [[nodiscard]] double share_of(std::string_view zone) const;
    /// The other zones with their shares, also those of 0.
    [[nodiscard]] std::vector<std::pair<std::string, double>> shares() const;
    [[nodiscard]] zone_cause cause() const { return cause_; }

private:
    /// Weights of one observation in a `zone_mean`.
    struct sample_weights {
        double slow = 0;
        double recent = 0;
    };

    /// Two exponential means of the same figure. A host with few requests needs many seconds to
    /// change the slow one, and the recent one varies much by chance.
    struct zone_mean {
        double slow = 0;
        double recent = 0;
        double count = 0; ///< observations, up to a bound
        void add(double value, const sample_weights& weights);
        [[nodiscard]] double lower() const;
    };

    struct zone_state {
        std::string name;
        bool own = false;
        double share = 0;        ///< of the requests, unused for the own zone
        zone_mean delay_ms;      ///< time of an answer
        zone_mean bad_share;     ///< of the requests, refused or answered late
        zone_mean refused_share; ///< of the requests
        zone_mean load;          ///< reported, for each slot
        double observations = 0; ///< answers and refusals, up to a bound
        time_point last_observed{};
    };

    [[nodiscard]] zone_state* find(std::string_view zone);
    [[nodiscard]] const zone_state* find(std::string_view zone) const;
    void adopt(std::span<const zone_option> zones);
    static sample_weights observe(time_point now, zone_state& state, double load, bool bad,
                                  bool refused);
    [[nodiscard]] static double trust_in(time_point now, const zone_state& state,
                                         milliseconds half_life);
    [[nodiscard]] double advantage_of(time_point now, const zone_state& other,
                                      const zone_state& own) const;
    void withdraw(time_point now, const zone_state& own, double elapsed_s);
    void extend(time_point now, const zone_state& own, std::span<const zone_option> zones,
                double elapsed_s);
    /// More requests to `zone` than to `than` were refused or late.
    [[nodiscard]] bool is_known_worse(std::string_view zone, std::string_view than) const;
    [[nodiscard]] std::vector<double> draw_shares(std::span<const zone_option> zones,
                                                  const zone_request& request) const;

    zone_balance_settings settings_;
    std::vector<zone_state> zones_; ///< few; found by linear search
    double mean_aim_ms_ = 0;        ///< over recent requests; 0: none yet
    time_point last_update_{};
    zone_cause cause_ = zone_cause::none;
};

} // namespace bulrushgw::dispatch
