#pragma once

/// Choice of a target for a request to a service without keys: the least expected
/// time by what this node has seen of each target itself, since reported loads may
/// mislead. It answers targets of different speed, slow and failing ones, and the
/// price of bytes between availability zones: another zone is used when it is
/// faster by more than the crossing is worth.

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::dispatch {

struct pick_candidate {
    incarnation_id node;
    std::uint32_t slots = 1;
    bool same_zone = false;
};

struct pick_settings {
    /// Part of a request's aim that another zone must save: an answer within the aim
    /// is worth the same from anywhere, and bytes between zones are dear.
    int cross_zone_aim_divisor = 2;
    milliseconds min_cross_zone_cost{25};
    /// Answers slower than this part of the fastest target's are not believed to
    /// be the last word: such a target gets a request now and then.
    milliseconds failure_retry_delay{1000};
};

/// Not thread-safe.
class target_picker {
public:
    explicit target_picker(pick_settings settings = {}) : settings_(settings) {}

    /// The best candidate that is not in `avoid`; none when all are.
    /// `aim` is the time left in which an answer is worth most.
    std::optional<incarnation_id> pick(time_point now, std::span<const pick_candidate> candidates,
                                       const std::vector<incarnation_id>& avoid, milliseconds aim,
                                       std::mt19937_64& random) const;
    /// A request went to the node; exactly one of the next three calls ends it.
    void on_sent(incarnation_id node) { ++stats_[node].own_in_flight; }
    /// `load`: requests at the target, running and queued, as its node said with
    /// the answer; -1: not told.
    void on_answer(time_point now, incarnation_id node, milliseconds took, int load);
    /// The node refused the request, which did not run, for lack of room. `load`: as in
    /// `on_answer`.
    void on_refusal(time_point now, incarnation_id node, int load);
    /// The target refused, failed or did not answer.
    void on_failure(time_point now, incarnation_id node);
    /// The request ended without telling anything about the target.
    void on_end(incarnation_id node);
    /// Forgets nodes that are not among `live`.
    void keep(std::span<const incarnation_id> live);

private:
    struct target_stats {
        std::uint32_t own_in_flight = 0; ///< of this node
        double other_requests = 0;       ///< of other nodes, as last told
        time_point load_reported_at{};   ///< when; the epoch: never
        double mean_answer_ms = 0;       ///< 0: no answer so far
        double failure_share = 0;        ///< decaying share of failed requests
        time_point last_failure{};
    };

    /// What the targets of one service have in common: expected of a target of which
    /// nothing, or nothing new, is known.
    struct service_state {
        double mean_answer_ms = 0;
        double other_requests_per_slot = 0;
    };

    [[nodiscard]] service_state state_of(std::span<const pick_candidate> candidates) const;
    [[nodiscard]] const target_stats* find(incarnation_id node) const;
    [[nodiscard]] double cost(time_point now, const pick_candidate& candidate, milliseconds aim,
                              const service_state& service) const;
    void end_request(incarnation_id node);
    void record_load(time_point now, target_stats& stats, int load);

    pick_settings settings_;
    std::map<incarnation_id, target_stats> stats_;
};

} // namespace bulrushgw::dispatch
