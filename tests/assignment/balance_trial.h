#pragma once

/// Drives the leader in virtual time with the load of a sharded service: targets of different
/// speed, keys of different load, and runs of which some take much longer than the rest. Measures
/// what the placement of the keys costs the requests. The network, the members and the targets are
/// reduced to their delays; `simulated_cluster` covers their faults.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "assignment/leader.h"

namespace bulrushgw::assignment::test {

struct trial_settings {
    std::size_t targets = 49;
    std::size_t joining = 18; ///< targets that `balance_trial::join` adds
    std::uint32_t slots = 18;
    double utilisation = 0.8; ///< of the first targets
    double skew = 0.6;        ///< standard deviation of the logarithm of the loads of key blocks
    milliseconds shortest_run{280};
    milliseconds longest_usual_run{360};
    double share_of_long_runs = 0.03;
    double long_run_factor = 7;
    milliseconds longest_run{3800};
    double slowest = 0.5; ///< speed of a target relative to the usual one
    double fastest = 1.6;
};

/// What requests met in one period.
struct trial_figures {
    double time_s = 0;
    std::uint64_t requests = 0;
    /// Requests that found the slots and the queue of their target full while a tenth of all slots
    /// was free.
    std::uint64_t found_full = 0;
    std::uint64_t refused_moving = 0; ///< their key had no owner for the longest wait
    std::uint64_t waited = 0;         ///< requests for a key that was moving
    double total_wait_ms = 0;
    double longest_wait_ms = 0;
    std::uint64_t keys_moved = 0;
    double total_move_ms = 0; ///< time for which the moved keys had no owner, for all keys together
    double longest_move_ms = 0;      ///< the same for one key
    std::uint64_t keys_returned = 0; ///< moved back to the target that they left last
    std::uint64_t moves = 0;         ///< segments that changed their owner

    trial_figures& operator+=(const trial_figures& other);
    [[nodiscard]] double full_share() const;
    [[nodiscard]] double mean_wait_ms() const;
    /// Time for which a moved key had no owner.
    [[nodiscard]] double mean_move_ms() const;
    /// Moves of keys per key and second.
    [[nodiscard]] double moved_per_s() const;
    [[nodiscard]] std::string text() const;
};

class balance_trial {
public:
    balance_trial(std::uint64_t seed, trial_settings settings = {});

    void run(milliseconds time);
    /// Requests arrive from now on. Precondition: the keys were assigned, see `run`.
    void start_traffic() { has_traffic_ = true; }
    /// The joining targets become ready.
    void join();
    /// `share` of all requests are for one key from now on; 0: none.
    void set_hot_key(std::uint32_t key, double share);
    /// Returns the figures since the last call.
    trial_figures take_figures();
    /// Time from `join` until each new target owned keys with half of its share of the load by
    /// capacity, or the time since then for the others.
    [[nodiscard]] std::vector<milliseconds> times_to_half_share() const;
    [[nodiscard]] std::uint32_t owner_of(std::uint32_t key) const { return owner_[key]; }
    [[nodiscard]] const leader& leading() const { return leader_; }

    static constexpr std::uint32_t no_owner = UINT32_MAX;

private:
    struct request_run {
        std::uint32_t key = 0;
        std::int64_t started_ms = 0;
        std::int64_t end_ms = 0;
    };
    struct target {
        double speed = 1;
        bool ready = false;
        std::vector<request_run> runs;
        std::deque<std::uint32_t> queue; ///< keys of requests that wait for a slot
        double mean_work_ms = 0;
        double ended_runs = 0;
        std::uint64_t sequence = 0;
        std::uint64_t echo = 0;
        std::map<std::uint32_t, std::uint32_t> counts;
        std::vector<released_keys> released;
        std::int64_t half_share_ms = -1;
    };
    struct waiting_request {
        std::uint32_t key = 0;
        std::int64_t since_ms = 0;
    };

    [[nodiscard]] time_point now() const { return time_point(milliseconds(now_ms_)); }
    void step();
    void finish_runs(target& at);
    void send_report(std::size_t index);
    void publish_directory();
    void apply_directory(const std::vector<segment>& segments);
    void begin_release(const segment& item);
    void serve_waiting();
    void arrive(std::uint32_t key);
    void start_run(target& at, std::uint32_t key);
    void note_shares();
    std::uint32_t draw_key();
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

    trial_settings settings_;
    std::mt19937_64 random_;
    std::int64_t now_ms_ = 1000;
    leader leader_; ///< begins its term at `now_ms_`
    std::vector<target> targets_;
    std::vector<double> weight_sums_; ///< of the keys up to each one
    std::vector<std::uint32_t> owner_;
    std::vector<std::uint32_t> last_owner_;     ///< before the move in progress
    std::vector<std::int64_t> moving_since_ms_; ///< of keys without an owner
    std::vector<std::uint32_t> previous_owner_; ///< that the key left last
    std::map<std::uint32_t, fence> releasing_;  ///< releases in progress, by first key
    std::multimap<std::int64_t, std::function<void()>> events_;
    std::vector<waiting_request> waiting_;
    std::uint64_t published_version_ = 0;
    std::int64_t joined_ms_ = -1;
    double requests_per_ms_ = 0;
    bool has_traffic_ = false;
    std::uint32_t hot_key_ = 0;
    double hot_share_ = 0;
    trial_figures figures_;
};

} // namespace bulrushgw::assignment::test
