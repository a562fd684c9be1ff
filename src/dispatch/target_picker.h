#pragma once

/// Chooses a target for a request to a service that is not sharded. It picks the target with the
/// lowest cost within an availability zone, which a `zone_balance` of the service chooses. The cost
/// is the expected answer time plus a penalty for failures. The expected time depends mainly on
/// what this node itself observed of the target, because reported loads may mislead. This handles
/// targets of different speed, and slow or failing targets. A target that warms up is expected to
/// be slower, gets nothing until the time at which it told to accept a request, and gets a request
/// now and then although others are faster, see `cold_target_trials`. A target that does not answer
/// is expected to take at least as long as its unanswered requests show, see `unanswered_requests`,
/// and gets a probe now and then, see `probe_schedule`. The body of a request adds the time until
/// it has arrived, see `body_transfer`.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "dispatch/body_transfer.h"
#include "dispatch/cold_target_trials.h"
#include "dispatch/probe_schedule.h"
#include "dispatch/unanswered_requests.h"
#include "dispatch/work_scale.h"
#include "dispatch/zone_balance.h"

namespace bulrushgw::dispatch {

enum class pick_cause : std::uint8_t {
    lowest_cost,      ///< in the zone that gets most of the requests
    trial,            ///< it warms up and is due to get a request
    probe,            ///< it is avoided because it does not answer, and is due to get a request
    own_zone_overflow ///< another zone is faster by a wide margin
};

struct pick_candidate {
    incarnation_id node;
    std::uint32_t slots = 1;
    bool same_zone = false;
    bool warming_up = false;
    /// Availability zone, which differs between zones; must stay valid during the call.
    std::string_view zone = {};
};

/// The expected answer time of a candidate by part.
struct pick_cost {
    double mean_answer_ms = 0; ///< of this node's requests; of the service if it had none
    bool has_answers = false;  ///< this node got an answer from the target that counts in the mean
    double slowdown = 1;       ///< because of a warm-up or a slow machine; a factor
    double unanswered_ms = 0;  ///< least answer time by requests without an answer; 0: none shown
    double load = 0;           ///< running and waiting requests at the target
    double queueing = 1;       ///< because of the load; a factor
    double failure_ms = 0;     ///< because of failures
    double intake_wait_ms = 0; ///< until the target's host lets the body be sent
    double transfer_ms = 0;    ///< of the body
    double refusing_ms = 0;    ///< because the target warms up and accepts nothing now
    /// Expected time of an answer at an idle target that answers.
    [[nodiscard]] double usual_ms() const { return mean_answer_ms * slowdown; }
    /// True if requests without an answer show much more than the usual time.
    [[nodiscard]] bool is_avoided() const;
    /// All parts but `refusing_ms`.
    [[nodiscard]] double answer_ms() const
    {
        const double mean = std::max(mean_answer_ms, unanswered_ms / slowdown);
        return mean * slowdown * queueing + (failure_ms + (intake_wait_ms + transfer_ms));
    }
};

/// How `target_picker::pick` would decide on a request, without the random parts.
struct pick_explanation {
    struct candidate {
        pick_cost cost;
        double total_ms = 0;
        std::uint32_t own_in_flight = 0;           ///< requests from this node
        std::optional<milliseconds> answer_age;    ///< none: no answer so far
        std::optional<milliseconds> load_age;      ///< none: no load was reported
        std::optional<milliseconds> failure_age;   ///< none: no failure so far
        std::optional<milliseconds> refusing_time; ///< it accepts nothing for this time
        bool trial_due = false; ///< gets the next request, see `cold_target_trials`
        bool probe_due = false; ///< gets the next request, see `probe_schedule`
    };
    struct zone {
        std::string name;
        bool own = false;
        std::size_t best = 0;            ///< index of the candidate with the lowest cost
        double share = 0;                ///< probability that the request goes there
        std::optional<milliseconds> age; ///< of the figures of the zone; none: there are none
    };
    std::vector<candidate> candidates; ///< in the order given
    std::vector<zone> zones;
    std::size_t chosen = 0; ///< index of the candidate that most requests would get
    pick_cause cause = pick_cause::lowest_cost;
};

/// What the choice between availability zones depends on besides the latency goal.
struct pick_traits {
    std::string_view service; ///< zones are balanced for each service
    std::uint32_t rank = 0;   ///< 0 is the most urgent
    std::size_t body_bytes = 0;
};

/// A request in flight, as named by the node to which it was sent and the time of sending. Without
/// that time, which is the epoch, it counts in flight and is not observed while it has no answer.
struct sent_request {
    sent_request(incarnation_id to, time_point at = {}, std::size_t body = 0)
        : node(to), sent(at), body_bytes(body)
    {
    }
    incarnation_id node;
    time_point sent;
    std::size_t body_bytes;
};

struct pick_settings {
    zone_balance_settings zones;
    /// The failure share of a target counts half as much after each such time without a failure, so
    /// that a target that failed is tried again now and then.
    milliseconds failure_half_life{1000};
    unanswered_settings unanswered{};
    bool counts_bodies = true; ///< transfer times of bodies; a switch for experiments
};

/// A target starts or stops being avoided because it does not answer, with the evidence.
struct avoidance_change {
    incarnation_id node;
    std::string service;
    std::string zone;
    bool avoided = false;
    std::size_t waiting = 0; ///< requests of this host without an answer
    int missed = 0;          ///< requests that ended without an answer
    double shown_ms = 0;     ///< answer time that these show at least; 0: they show nothing
    double usual_ms = 0;     ///< usual answer time
};

/// Requests without an answer, by whether their target is avoided.
struct unanswered_counts {
    std::size_t at_used = 0; ///< in flight
    std::size_t at_avoided = 0;
    std::uint64_t missed_at_used = 0; ///< ended at their deadline without an answer, in total
    std::uint64_t missed_at_avoided = 0;
    std::size_t avoided_targets = 0;
};

/// Implemented in four files: picks and observations (target_picker.cpp), the costs
/// (target_picker_cost.cpp), explanations (target_picker_explain.cpp), and reports of avoided
/// targets (target_picker_reports.cpp). Not thread-safe.
class target_picker {
public:
    explicit target_picker(pick_settings settings = {}) : settings_(settings) {}

    /// Returns the candidate with the lowest cost that is not in `avoid`, or none if all are in
    /// `avoid`. Candidates outside the zone that `zone_balance` chooses are not considered. `aim`
    /// is the time left until the request's latency goal. Times must not decrease.
    std::optional<incarnation_id> pick(time_point now, std::span<const pick_candidate> candidates,
                                       const std::vector<incarnation_id>& avoid, milliseconds aim,
                                       std::mt19937_64& random, const pick_traits& traits = {});
    /// Tells which candidate a new request would get and why. Random parts are left out: the factor
    /// on costs, the draw of a zone by its share, and the intervals of trials and
    /// probes that are not drawn yet. Changes no state and costs as much as a pick. None without
    /// candidates.
    [[nodiscard]] std::optional<pick_explanation>
    explain(time_point now, std::span<const pick_candidate> candidates, milliseconds aim,
            const pick_traits& traits = {}) const;
    /// The node reported that work on the machine of its target takes `percent` of the usual time.
    void on_work_percent(time_point now, incarnation_id node, std::uint32_t percent);
    /// The node reported that it would let a body of 64 KiB be sent after `wait`.
    void on_intake_wait(time_point now, incarnation_id node, milliseconds wait);
    /// Notes a request. Exactly one call of `on_answer`, `on_refusal`, `on_warm_up_refusal`,
    /// `on_target_refusal`, `on_failure`, `on_cancelled` or `on_end` with the same time of sending
    /// and size of the body must follow. The times of sending must not decrease.
    void on_sent(const sent_request& request);
    /// `load` is the number of requests running and queued at the target, as reported by the
    /// target's node with the answer. It is -1 if no load was reported. `aim` is the time that
    /// was left until the latency goal when the request was sent; 0: none was left.
    void on_answer(time_point now, const sent_request& request, milliseconds took, int load,
                   milliseconds aim = milliseconds{0});
    /// The node refused the request, for example because its target has no room. The request did
    /// not run. `load`: as in `on_answer`.
    void on_refusal(time_point now, const sent_request& request, int load);
    /// The node refused the request because its target warms up. It accepts none before
    /// `retry_after` has passed. `load`: as in `on_answer`.
    void on_warm_up_refusal(time_point now, const sent_request& request, int load,
                            milliseconds retry_after);
    /// The target itself refused the request, although its node expected it to have room. It counts
    /// as a failure, since the target will probably refuse the next request too. `load`: as in
    /// `on_answer`.
    void on_target_refusal(time_point now, const sent_request& request, int load);
    /// The target answered with HTTP status 500 or above, or the outcome of the request is unknown.
    void on_failure(time_point now, const sent_request& request);
    /// The request got no answer until its deadline. The answer would have taken at least this
    /// long. It counts as a failure if the request had at least the usual answer time, and for the
    /// node's zone. `on_cancelled` must follow for the same request.
    void on_overdue(time_point now, const sent_request& request);
    /// The request was cancelled without an answer, which would have taken at least this long.
    void on_cancelled(time_point now, const sent_request& request);
    /// The request ended without an observation of the target.
    void on_end(const sent_request& request);
    /// Removes the statistics of nodes that are not in `live`.
    void keep(std::span<const incarnation_id> live);
    /// Returns the changes since the last call, which are noticed when requests are picked for.
    /// Beyond `max_changes` they are dropped.
    std::vector<avoidance_change> take_avoidance_changes();
    [[nodiscard]] unanswered_counts unanswered() const;

    static constexpr std::size_t max_changes = 100;

    /// The balance between zones of each service that was picked for.
    [[nodiscard]] const std::map<std::string, zone_balance, std::less<>>& balances() const
    {
        return balances_;
    }

private:
    struct target_stats {
        std::uint32_t own_in_flight = 0; ///< requests from this node
        double other_requests = 0;       ///< requests from other nodes as of the last load report
        time_point load_reported_at{};   ///< epoch: no report so far
        double mean_answer_ms = 0;       ///< 0: no answer so far
        time_point answered_at{};        ///< epoch: no answer so far
        double failure_share = 0;        ///< exponential average of failed requests
        time_point last_failure{};
        /// Failure share before requests were missed. Once a request sent later is answered, the
        /// missed ones count no more.
        double failure_share_before = 0;
        std::string service; ///< as of the last pick
        std::string zone;    ///< as of the last pick
        std::uint32_t slots = 1;
        bool warming_up = false;    ///< as of the last pick
        bool overdue = false;       ///< `on_overdue` was called, and `on_cancelled` follows
        time_point refused_until{}; ///< it warms up and accepts nothing before
        work_scale scale;
        unanswered_requests unanswered;
        probe_schedule probes;
        body_transfer bodies;

        /// Duration of work as a multiple of that on a warm target at the usual speed.
        [[nodiscard]] double slowdown(time_point now, bool is_cold) const;
    };

    /// Means over the targets of one service. They are used for a target of which this node has no
    /// data, or no recent load report.
    struct service_averages {
        double mean_answer_ms = 0;
        double shortest_answer_ms = 0; ///< mean answer time of the fastest target
        double other_requests_per_slot = 0;
    };

    /// The zones of the candidates, and the best candidate of each.
    struct zone_choice {
        std::vector<zone_option> zones;
        std::vector<const pick_candidate*> best;
        zone_request request;
    };

    [[nodiscard]] service_averages averages_over(std::span<const pick_candidate> candidates) const;
    /// The statistics of the node, or null.
    template <typename Map>
    [[nodiscard]] static auto* find_in(Map& stats, incarnation_id node)
    {
        const auto found = stats.find(node);
        return found == stats.end() ? nullptr : &found->second;
    }
    [[nodiscard]] pick_cost cost(time_point now, const pick_candidate& candidate,
                                 const target_stats* stats, const service_averages& service,
                                 std::size_t body_bytes) const;
    /// Adds a candidate with its cost to the choice between zones.
    void add_option(time_point now, zone_choice& choice, const pick_candidate& candidate,
                    const target_stats* stats, double value, const service_averages& service,
                    std::size_t body_bytes) const;
    [[nodiscard]] pick_explanation::candidate explain_candidate(time_point now,
                                                                const pick_candidate& candidate,
                                                                const service_averages& service,
                                                                const zone_balance& balance,
                                                                std::size_t body_bytes) const;
    /// Expected time until the body has arrived, in ms.
    [[nodiscard]] double body_ms(time_point now, const target_stats& stats,
                                 std::size_t bytes) const;
    /// Updates the means of the target after an answer that took `ms` at the usual speed.
    void record_answer_time(target_stats& stats, double ms, double extra_ms,
                            std::size_t body_bytes);
    /// Records that the target was picked.
    incarnation_id note_pick(time_point now, const pick_candidate& target,
                             const pick_traits& traits, std::mt19937_64& random);
    /// True if the target is avoided because it does not answer and should get the request.
    [[nodiscard]] bool is_probe_due(time_point now, const pick_candidate& candidate,
                                    target_stats& stats, const pick_cost& parts,
                                    const zone_balance& balance, std::mt19937_64& random);
    /// True if probes of the target are in a zone that gets requests.
    [[nodiscard]] static bool may_probe(const pick_candidate& candidate,
                                        const zone_balance& balance);
    /// Lower bound of the target's answer time by its unanswered requests, in ms.
    [[nodiscard]] double shown_ms(time_point now, const target_stats& stats, double usual_ms) const;
    /// Counts the time that a request waited without an answer.
    void observe_missed(time_point now, target_stats& stats, time_point sent);
    void note_change(incarnation_id node, const target_stats& stats, double shown_ms,
                     double usual_ms);
    static void add_failure(time_point now, target_stats& stats);
    [[nodiscard]] double cost_of_own_requests(time_point now, const pick_candidate& candidate,
                                              const target_stats* stats,
                                              const service_averages& service,
                                              std::size_t body_bytes) const;
    [[nodiscard]] double failure_cost(time_point now, const target_stats& stats) const;
    zone_balance& balance_of(std::string_view service);
    /// The balance that counts answers of the target; null if it was never picked.
    zone_balance* balance_of(const target_stats& stats);
    target_stats& end_request(const sent_request& request);
    static void remove_in_flight(target_stats& stats, const sent_request& request);
    void record_load(time_point now, target_stats& stats, int load);

    pick_settings settings_;
    std::map<incarnation_id, target_stats> stats_;
    cold_target_trials trials_;
    std::map<std::string, zone_balance, std::less<>> balances_; ///< by service
    std::vector<avoidance_change> changes_;
    std::uint64_t missed_at_used_ = 0; ///< since the start
    std::uint64_t missed_at_avoided_ = 0;
};

} // namespace bulrushgw::dispatch
