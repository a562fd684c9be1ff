#pragma once

/// Chooses a target for a request to a service that is not sharded. It picks the target with the
/// lowest cost. The cost is the expected answer time plus penalties for failures and for traffic
/// between availability zones. The expected time depends mainly on what this node itself observed
/// of the target, because reported loads may mislead. This handles targets of different speed, and
/// slow or failing targets. A target in another zone is used only if it is faster by more than the
/// penalty for that traffic. A target that warms up is expected to be slower, gets nothing until
/// the time at which it told to accept a request, and gets a request now and then although others
/// are faster, see `cold_target_trials`.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "dispatch/cold_target_trials.h"
#include "dispatch/work_scale.h"

namespace bulrushgw::dispatch {

struct pick_candidate {
    incarnation_id node;
    std::uint32_t slots = 1;
    bool same_zone = false;
    bool warming_up = false;
};

struct pick_settings {
    /// A target in another zone must be faster by the time left until the request's latency goal
    /// (the time after which an answer is worth less), divided by this number. An answer within the
    /// goal is worth the same from any zone, and traffic between zones is expensive.
    int cross_zone_aim_divisor = 2;
    /// Lower bound of the time by which a target in another zone must be faster.
    milliseconds min_cross_zone_cost{25};
    /// The failure share of a target counts half as much after each such time without a failure, so
    /// that a target that failed is tried again now and then.
    milliseconds failure_half_life{1000};
};

/// Not thread-safe.
class target_picker {
public:
    explicit target_picker(pick_settings settings = {}) : settings_(settings) {}

    /// Returns the candidate with the lowest cost that is not in `avoid`, or none if all are in
    /// `avoid`. `aim` is the time left until the request's latency goal.
    std::optional<incarnation_id> pick(time_point now, std::span<const pick_candidate> candidates,
                                       const std::vector<incarnation_id>& avoid, milliseconds aim,
                                       std::mt19937_64& random);
    /// The node reported that work on the machine of its target takes `percent` of the usual time.
    void on_work_percent(time_point now, incarnation_id node, std::uint32_t percent);
    /// Notes a request sent to the node. Exactly one call of `on_answer`, `on_refusal`,
    /// `on_warm_up_refusal`, `on_target_refusal`, `on_failure` or `on_end` must follow.
    void on_sent(incarnation_id node) { ++stats_[node].own_in_flight; }
    /// `load` is the number of requests running and queued at the target, as reported by the
    /// target's node with the answer. It is -1 if no load was reported.
    void on_answer(time_point now, incarnation_id node, milliseconds took, int load);
    /// The node refused the request, for example because its target has no room. The request did
    /// not run. `load`: as in `on_answer`.
    void on_refusal(time_point now, incarnation_id node, int load);
    /// The node refused the request because its target warms up. It accepts none before
    /// `retry_after` has passed. `load`: as in `on_answer`.
    void on_warm_up_refusal(time_point now, incarnation_id node, int load,
                            milliseconds retry_after);
    /// The target itself refused the request, although its node expected it to have room. It counts
    /// as a failure, since the target will probably refuse the next request too. `load`: as in
    /// `on_answer`.
    void on_target_refusal(time_point now, incarnation_id node, int load);
    /// The target answered with HTTP status 500 or above, or the outcome of the request is unknown.
    void on_failure(time_point now, incarnation_id node);
    /// The request ended without an observation of the target.
    void on_end(incarnation_id node);
    /// Removes the statistics of nodes that are not in `live`.
    void keep(std::span<const incarnation_id> live);

private:
    struct target_stats {
        std::uint32_t own_in_flight = 0; ///< requests from this node
        double other_requests = 0;       ///< requests from other nodes as of the last load report
        time_point load_reported_at{};   ///< epoch: no report so far
        double mean_answer_ms = 0;       ///< 0: no answer so far
        double failure_share = 0;        ///< exponential average of failed requests
        time_point last_failure{};
        bool warming_up = false;    ///< as of the last pick
        time_point refused_until{}; ///< it warms up and accepts nothing before
        work_scale scale;

        /// Duration of work as a multiple of that on a warm target at the usual speed.
        [[nodiscard]] double slowdown(time_point now) const;
    };

    /// Means over the targets of one service. They are used for a target of which this node has no
    /// data, or no recent load report.
    struct service_averages {
        double mean_answer_ms = 0;
        double other_requests_per_slot = 0;
    };

    [[nodiscard]] service_averages averages_over(std::span<const pick_candidate> candidates) const;
    [[nodiscard]] const target_stats* find(incarnation_id node) const;
    [[nodiscard]] double cost(time_point now, const pick_candidate& candidate, milliseconds aim,
                              const service_averages& service) const;
    [[nodiscard]] double trial_cost(time_point now, const pick_candidate& candidate,
                                    double normal_cost, std::mt19937_64& random);
    void end_request(incarnation_id node);
    void record_load(time_point now, target_stats& stats, int load);

    pick_settings settings_;
    std::map<incarnation_id, target_stats> stats_;
    cold_target_trials trials_;
};

} // namespace bulrushgw::dispatch
