#pragma once

/// Steps engines, their targets and the store through virtual time and records
/// what happened. Everything follows from the settings and the seed.

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
    /// Rate errors of the clocks are drawn up to this bound.
    std::int64_t drift_parts_per_million = 10'000;
    /// Every clock at the bound: odd hosts fast, even hosts slow.
    bool drift_at_bound = false;
    /// Requests that a node starts for each of its ranges and seconds.
    double requests_per_second = 4;
    milliseconds longest_work{150};
    /// Off in measurements of the engines' own cost.
    bool observe = true;
};

enum class store_mode { up, down, slow, answers_lost };

struct network_faults {
    double loss = 0;
    double duplicate = 0;
    milliseconds extra_delay{0}; ///< drawn for each message: reorders too
};

struct traffic_counters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< estimate of the encoded size
};

inline constexpr const char* service_name = "ladder-front";

/// Not thread-safe; a test runs one driver in each thread.
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
    /// Closes all open records; no further run is possible.
    history& finish();
    history& record() { return record_; }
    memory_store& store() { return store_; }

    [[nodiscard]] std::size_t host_count() const { return hosts_.size(); }
    [[nodiscard]] std::string zone_of(std::size_t host) const;
    /// Null while the process does not run.
    [[nodiscard]] const ownership::engine* engine_of(std::size_t host) const;
    /// The host on which an incarnation runs now.
    [[nodiscard]] std::optional<std::size_t> host_of(incarnation_id node) const;
    [[nodiscard]] bool is_running(std::size_t host) const;
    [[nodiscard]] bool is_paused(std::size_t host) const;
    target& target_of(std::size_t host);
    /// Hosts that would serve a range at this moment.
    [[nodiscard]] std::vector<std::size_t> servers_of(range_id range) const;
    /// True when each range is served.
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
    /// The rules acceptance gave this version to one node.
    void accept_rules(std::size_t host, std::uint64_t version);

    // Targets.
    void freeze_target(std::size_t host);
    void resume_target(std::size_t host);

    // Ways between processes.
    void block(std::size_t from, std::size_t to, bool blocked);
    void block_store(std::size_t host, bool blocked);
    void set_store(store_mode mode) { store_mode_ = mode; }
    void set_network(const network_faults& faults) { network_ = faults; }
    /// A store call of the process on `host` beside its engine's own calls; the
    /// reply is dropped when the process is killed or its engine replaced.
    using store_hook = std::function<void(const store::reply& reply)>;
    void ask_store(std::size_t host, const store::request& request, const store_hook& done);
    /// Tells the engine of a host the version that the store accepted.
    void announce_rules(std::size_t host, const ownership::rules_stamp& stamp);
    /// Sees every message before it is sent; returning false loses it.
    using message_filter =
        std::function<bool(std::size_t from, std::size_t to, const ownership::message& body)>;
    void set_filter(message_filter filter) { filter_ = std::move(filter); }
    using audit_hook = std::function<void(std::size_t host, const ownership::audit_event& event)>;
    void on_audit(audit_hook hook) { audit_ = std::move(hook); }

    [[nodiscard]] const traffic_counters& traffic() const { return traffic_; }
    std::uint64_t draw(std::uint64_t below);
    bool chance(double probability);

private:
    struct host_state;
    struct event {
        true_time at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    host_state& state(std::size_t host) { return *hosts_[host]; }
    void make_engine(host_state& host);
    /// Runs `action` in the process of `host`, later if it is paused, and not
    /// at all once the engine of that generation was replaced.
    void post(std::size_t host, std::uint64_t generation, true_time at,
              std::function<void()> action);
    void after(host_state& host);
    void carry_out(host_state& host, const ownership::effect& effect);
    void send(host_state& from, const ownership::send& effect);
    void deliver(std::size_t from, std::size_t to, incarnation_id sender,
                 const ownership::send& effect, milliseconds::rep extra_ms);
    void call_store(host_state& host, const store::request& request, const store_hook& done);
    void schedule_tick(host_state& host, true_time at);
    void on_tick(std::size_t host);
    void poll_target(host_state& host);
    void stop_and_end(host_state& host, const std::string& cause);
    void send_grants(host_state& host);
    void start_requests(host_state& host);
    void on_finished(std::size_t host, const target_request& request);
    void observe(host_state& host);
    void observe_versions(host_state& host);
    void stop_observing(host_state& host);
    void record_write(const store::row& row, bool erased);

    driver_settings settings_;
    std::mt19937_64 random_;
    true_time now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    history record_;
    memory_store store_;
    store_mode store_mode_ = store_mode::up;
    network_faults network_;
    message_filter filter_;
    audit_hook audit_;
    traffic_counters traffic_;
    std::uint64_t next_request_ = 0;
    std::vector<std::unique_ptr<host_state>> hosts_;
    std::vector<char> blocked_; ///< [from * hosts + to]
};

/// Estimate of a message's encoded size: fixed costs and 9 bytes for each number.
std::size_t encoded_size(const ownership::message& body);

} // namespace bulrushgw::fakes
