#pragma once

/// Simulates one policy on one deployment in virtual time. Admission, forwarding, the retry budget
/// and the choice among balanced hosts use the production classes; hosts, targets and the network
/// are models.

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

#include "bench/policy_ownership.h"
#include "bench/policy_scenario.h"
#include "request/admission.h"
#include "request/forward_tracker.h"
#include "request/retry.h"

namespace bulrushgw::bench {

struct simulation_settings {
    std::chrono::minutes length{30};
    std::uint64_t seed = 1;
    double load_factor = 1.0;
};

struct simulation_figures {
    ownership_figures ownership;
    double hours = 0;
    std::size_t keys = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost_with_entry = 0; ///< without a result, because the entry node was lost
    std::uint64_t ran_twice = 0;       ///< `once` requests that ran more than once; must be 0
    std::uint64_t false_not_run = 0;   ///< requests reported as "not run" but executed; must be 0
    double worth = 0;
    double worth_correct_once = 0;
    std::uint64_t sent = 0; ///< forwards including retries
    std::uint64_t retried = 0;
    std::uint64_t not_owner = 0;
    /// Highest load of a member divided by the mean, over the minutes without a membership change.
    /// NaN if there is no such minute.
    double imbalance_mean = 0;
    double imbalance_worst = 0;
    std::map<request::reason, std::uint64_t> reasons; ///< of requests without an answer
    std::vector<float> latency_ms;                    ///< of answered requests, sorted
    [[nodiscard]] double quantile(double fraction) const;
};

class simulation {
public:
    simulation(const policy& selected_policy, const deployment& sizes,
               const simulation_settings& settings);
    ~simulation();
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;
    simulation(simulation&&) = delete;
    simulation& operator=(simulation&&) = delete;

    simulation_figures run();

private:
    struct client_request {
        std::size_t kind = 0;
        std::uint32_t range = 0;
        time_point sent;
        std::uint32_t runs = 0;
        bool ended = false;
    };
    struct job {
        std::size_t request = 0;
        std::size_t entry = 0;
        std::uint64_t entry_generation = 0;
        std::uint64_t number = 0; ///< of the forward, assigned by the entry node
        time_point deadline;
    };
    struct host;
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void schedule_after(boot_clock::duration delay, std::function<void()> action);
    /// A uniformly distributed number in [0, 1) with 53 random bits.
    [[nodiscard]] double uniform();
    [[nodiscard]] boot_clock::duration random_duration(boot_clock::duration maximum);
    [[nodiscard]] boot_clock::duration network_delay(std::size_t from, std::size_t to) const;
    /// Encodes the host and its generation; the senders of forwards and cancels decode both.
    [[nodiscard]] incarnation_id incarnation_of(std::size_t host) const;
    [[nodiscard]] bool is_current(std::size_t host, std::uint64_t generation) const;

    // Workload and disturbances.
    void schedule_arrival();
    void arrive();
    void submit_forward(std::size_t request, std::size_t entry, std::uint64_t generation);
    void apply_disturbance(const disturbance& change);
    void crash(std::size_t host, bool silent);
    void come_back(std::size_t host);
    void start_host(std::size_t host);
    void add_counters(const host& node);
    void on_loss_detected(std::size_t host, std::uint64_t generation);
    void end_silent_incarnation(std::size_t host);
    void join(std::size_t host, std::uint64_t generation);
    void set_store_up(bool up);
    void publish_assignment();
    void start_moves();

    // Entry node.
    [[nodiscard]] std::optional<request::forward_choice>
    choose(std::size_t entry, const request::forward_request& forward,
           const std::vector<incarnation_id>& avoid);
    [[nodiscard]] bool try_spend_retry(time_point now, std::size_t entry,
                                       const std::string& service);
    void process_entry_effects(std::size_t entry, request::reason replied = request::reason::none);
    void send(std::size_t entry, const request::send_forward& frame);
    void end(std::size_t request, request::reason why);

    // Owner node and target.
    void deliver(std::size_t owner, std::uint64_t generation, const job& work);
    void reply(std::size_t owner, const job& work, request::reply_kind kind, request::reason why);
    void refuse_connection(std::size_t owner, const job& work);
    void process_owner_effects(std::size_t owner);
    void start(std::size_t owner, request::ticket id);
    void complete(std::size_t owner, std::uint64_t generation, request::ticket id);
    void abort(std::size_t owner, std::uint64_t generation, request::ticket id,
               request::reason why);
    void cancel(std::size_t owner, std::uint64_t generation, std::uint64_t number,
                std::size_t entry);

    // Figures and periodic work.
    void tick();
    void each_second();
    void report_loads();
    void record_imbalance();
    simulation_figures collect();

    policy policy_;
    const deployment& sizes_;
    simulation_settings settings_;
    recovery_times times_;
    time_point now_;
    time_point end_;
    random_engine random_;   ///< for all choices other than the workload
    random_engine workload_; ///< for the workload, which is the same for each policy
    zipf_key_generator key_generator_;
    std::vector<std::uint32_t> key_ranges_;
    std::vector<client_request> requests_;
    std::vector<std::unique_ptr<host>> hosts_;
    ownership_model owners_;
    std::vector<std::size_t> known_assignment_; ///< owner of each range as known by the entry nodes
    std::uint64_t known_version_ = 1;
    /// Hosts that entry nodes consider up. Read for balanced hosts only.
    std::vector<bool> known_up_;
    bool store_up_ = true;
    std::vector<double> range_counts_; ///< requests of each range in this second
    std::vector<double> range_rates_;  ///< requests per second, smoothed over about 10 s
    bool members_changed_ = false;
    std::size_t phase_ = 0;
    std::uint64_t ticks_ = 0;
    std::uint64_t next_order_ = 0;
    std::priority_queue<event> events_;
    std::vector<double> imbalances_;
    simulation_figures figures_;
};

} // namespace bulrushgw::bench
