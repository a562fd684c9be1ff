#pragma once

/// Discrete-event simulation of engines, their targets, the network and the store in virtual time.
/// Records a history of each run. A run is determined by its settings and its seed.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fakes/clock.h"
#include "fakes/history.h"
#include "fakes/memory_store.h"
#include "fakes/target.h"
#include "ownership/engine.h"

namespace bulrushgw::fakes {

struct driver_settings {
    std::uint64_t seed = 1;
    std::size_t hosts = 6;
    std::size_t zones = 3;
    std::uint32_t ranges = 6;
    ownership::lease_times times;
    ownership::unsafe_switches unsafe;
    bool checks_fences = true;
    /// Rate errors of the clocks are drawn between minus and plus this bound.
    std::int64_t drift_parts_per_million = 10'000;
    /// Gives every clock the largest rate error. The clocks of hosts with an odd index are fast,
    /// the others are slow.
    bool drift_at_bound = false;
    /// Mean number of requests per second that a node starts for each range it serves.
    double requests_per_second = 4;
    milliseconds longest_work{150}; ///< upper bound of a request's execution time
    /// Generates requests and records serve spans and versions. Disabled to measure the cost of the
    /// engines alone.
    bool observe = true;
};

enum class store_mode { up, down, slow, answers_lost };

struct network_faults {
    double loss = 0;      ///< probability for each message
    double duplicate = 0; ///< probability for each message
    /// Upper bound of the delay drawn for each message. Different delays may reorder messages.
    milliseconds extra_delay{0};
};

struct traffic_counters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< estimate of the encoded size
};

inline constexpr const char* service_name = "ladder-front";

/// Not thread-safe; parallel runs use one driver per thread.
class driver {
public:
    explicit driver(const driver_settings& settings);
    ~driver();
    driver(const driver&) = delete;
    driver& operator=(const driver&) = delete;

    [[nodiscard]] true_time now() const { return now_; }
    void run_for(milliseconds span);
    /// Runs `action` once at `at`.
    void schedule(true_time at, std::function<void()> action);
    /// Cancels the running requests, closes the open serve spans and returns the history. The
    /// driver must not run afterwards.
    history& finish();
    history& record() { return record_; }
    memory_store& store() { return store_; }

    [[nodiscard]] std::size_t host_count() const { return hosts_.size(); }
    [[nodiscard]] std::string zone_of(std::size_t host) const;
    /// Null while the process is not running.
    [[nodiscard]] const ownership::engine* engine_of(std::size_t host) const;
    /// The host whose current engine has the incarnation id `node`, if any.
    [[nodiscard]] std::optional<std::size_t> host_of(incarnation_id node) const;
    [[nodiscard]] bool is_running(std::size_t host) const;
    [[nodiscard]] bool is_paused(std::size_t host) const;
    target& target_of(std::size_t host);
    /// Hosts whose running, unpaused engine may serve the range now.
    [[nodiscard]] std::vector<std::size_t> servers_of(range_id range) const;
    /// True when every range is served by some host.
    [[nodiscard]] bool all_served() const;

    // Processes.
    void start(std::size_t host);
    void kill(std::size_t host);
    void pause(std::size_t host);
    void resume(std::size_t host);
    void leave(std::size_t host);
    void end_incarnation(std::size_t host, const std::string& cause);
    void set_load(std::size_t host, std::vector<ownership::range_load> loads);
    /// An operator declares at `host` that `node` is switched off.
    void assert_ended(std::size_t host, incarnation_id node);
    /// Simulates the acceptance of a rules version: records it and gives it to the engine of
    /// `host`.
    void accept_rules(std::size_t host, std::uint64_t version);

    // Targets.
    void freeze_target(std::size_t host);
    void resume_target(std::size_t host);

    // Network and store.
    void block(std::size_t from, std::size_t to, bool blocked);
    void block_store(std::size_t host, bool blocked);
    void set_store(store_mode mode) { store_mode_ = mode; }
    void set_network(const network_faults& faults) { network_ = faults; }
    using store_hook = std::function<void(const store::reply& reply)>;
    /// Sends a store request from the process on `host`, independent of its engine's store calls.
    /// The reply is dropped when the process is killed or its engine is replaced.
    void ask_store(std::size_t host, const store::request& request, const store_hook& done);
    /// Gives the engine of `host` the rules version that the store accepted.
    void announce_rules(std::size_t host, const ownership::rules_stamp& stamp);
    /// Called with every message before it is sent; returning false drops the message.
    using message_filter =
        std::function<bool(std::size_t from, std::size_t to, const ownership::message& body)>;
    void set_filter(message_filter filter) { message_filter_ = std::move(filter); }
    using audit_hook = std::function<void(std::size_t host, const ownership::audit_event& event)>;
    void on_audit(audit_hook hook) { audit_hook_ = std::move(hook); }

    [[nodiscard]] const traffic_counters& traffic() const { return traffic_; }
    /// A pseudo-random number in [0, below); 0 if `below` is 0.
    std::uint64_t draw(std::uint64_t below);
    /// True with the given probability.
    bool draw_bool(double probability);

private:
    struct host_state;
    struct event {
        true_time at;
        std::uint64_t order = 0; ///< order of scheduling, used if `at` is equal
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    host_state& state(std::size_t host) { return *hosts_[host]; }
    void make_engine(host_state& host);
    /// Runs `action` in the process of `host` at the time `at`. If the process is paused then, the
    /// action runs when it resumes. The action is dropped if the host no longer has the engine of
    /// that generation.
    void post(std::size_t host, std::uint64_t generation, true_time at,
              std::function<void()> action);
    /// Applies the effects of the engine, and the effects that these cause, in a limited number of
    /// rounds. Then calls `observe`.
    void process_effects(host_state& host);
    void carry_out(host_state& host, const ownership::effect& effect);
    void send(host_state& from, const ownership::send& effect);
    void deliver(std::size_t from, std::size_t to, incarnation_id sender,
                 const ownership::send& effect, milliseconds::rep extra_ms);
    void call_store(host_state& host, const store::request& request, const store_hook& done);
    void schedule_tick(host_state& host, true_time at);
    void on_tick(std::size_t host);
    void poll_target(host_state& host);
    void stop_serving_and_end(host_state& host, const std::string& cause);
    void send_grants(host_state& host);
    void start_requests(host_state& host);
    void on_finished(std::size_t host, const target_request& request);
    void observe(host_state& host);
    void observe_versions(host_state& host);
    void close_serve_spans(host_state& host);
    void record_write(const store::row& row, bool erased);

    driver_settings settings_;
    std::mt19937_64 random_;
    true_time now_{};
    std::uint64_t last_order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> event_queue_;
    history record_;
    memory_store store_;
    store_mode store_mode_ = store_mode::up;
    network_faults network_;
    message_filter message_filter_;
    audit_hook audit_hook_;
    traffic_counters traffic_;
    std::uint64_t next_request_ = 0;
    std::vector<std::unique_ptr<host_state>> hosts_;
    std::vector<char> blocked_; ///< [from * hosts + to]
};

/// Estimates a message's encoded size in bytes. It assumes fixed sizes for each frame and row, and
/// 9 bytes for each number.
std::size_t encoded_size(const ownership::message& body);

} // namespace bulrushgw::fakes
