#pragma once

/// A small model of the deployment platform for tests of `bulrushgw sidecar`: the platform's store,
/// and targets that hold ranges of keys. Both speak the published protocol over HTTP on loopback.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

/// Stores versioned rows, among them the manifest and the orders to evacuate zones. Not
/// thread-safe: runs on one loop.
class platform_store {
public:
    platform_store(net::loop& loop, const net::endpoint& address, const std::string& manifest);

    /// While false, every call is answered with 503 and has no effect.
    void set_available(bool available) { available_ = available; }
    /// While true, transactions are executed, but their connections are closed without an answer.
    void set_answers_lost(bool lost) { answers_lost_ = lost; }
    /// The store goes away, and comes back after `away` with the rows that it had `age` ago, in
    /// the next era. The operator's rows are written again then. No effect while the store is away.
    void restore_older_copy(milliseconds age, milliseconds away);
    /// Replaces the manifest and answers all waiting watchers.
    void set_manifest(const std::string& manifest);
    /// Time at which the evacuation of the zone was ordered; none if it is not under evacuation.
    [[nodiscard]] std::optional<time_point> evacuated_since(const std::string& zone) const;

private:
    struct row {
        std::string value; ///< base64, as sent
        std::uint64_t version = 0;
        bool removed = false;
        time_point created; ///< time of the write since which the row exists
    };
    using row_key = std::pair<std::string, std::string>; ///< table and key
    struct content {
        std::map<row_key, row> rows;
        std::uint64_t version = 1;
    };

    /// A long poll for those rows of a table whose version is above `after`.
    struct watcher {
        net::http_exchange exchange;
        std::string table;
        std::uint64_t after = 0;
    };

    void handle(const net::http_exchange& exchange);
    void watch(const net::http_exchange& exchange);
    void end_watch(std::uint64_t number);
    /// JSON of the rows of a table whose key is in the range from `first` up to `end`, without
    /// those that were removed.
    [[nodiscard]] std::string rows_between(const std::string& table, const std::string& first,
                                           const std::string& end) const;
    /// JSON of those rows of a table whose version is above `after`, also of removed ones.
    [[nodiscard]] std::string rows_after(const std::string& table, std::uint64_t after) const;
    [[nodiscard]] std::uint64_t latest_version(const std::string& table) const;
    void respond(const net::http_exchange& exchange, int status, std::string body = "{}") const;
    /// Keeps the present content for `restore_older_copy`.
    void note_content();
    void replace_content(const content& copy);
    void refuse_watchers();
    void put(const row_key& key, const std::string& value);
    void remove(const row_key& key);
    void answer_watchers();
    std::pair<int, std::string> transact(const std::string& body);

    net::loop& loop_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 1;
    std::uint64_t era_ = 0;
    /// Earlier contents, each with the time until which the store had it.
    std::deque<std::pair<time_point, content>> earlier_contents_;
    bool away_ = false; ///< until it comes back from an older copy
    bool available_ = true;
    bool answers_lost_ = false;
    std::map<std::uint64_t, watcher> watchers_;
    std::uint64_t next_watcher_ = 1;
    net::http_server server_;
};

struct platform_target_settings {
    net::endpoint address;
    net::endpoint control; ///< control address of the sidecar on the same host
    std::string service;
    bool sharded = false;
    std::uint32_t slots = 6;
    milliseconds execution_time{20};
    std::size_t answer_bytes = 0; ///< minimum size of the body of an answer
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
    std::string zone = "z";
    /// Time at which the evacuation of the target's zone was ordered, if it was.
    std::function<std::optional<time_point>()> evacuated_since;
    /// Time after that from which on no request may reach the target.
    milliseconds evacuation_bound{5000};
    milliseconds warm_up{0}; ///< time for which the target reports a warm-up after its start
    std::string id;          ///< empty: derived from the port, so each run has the same
    milliseconds first_heartbeat{300}; ///< delay of the first heartbeat after the start
};

/// Requests and protocol violations seen by all targets of a test.
struct platform_history {
    std::map<std::string, int> runs;        ///< number of runs by request id
    std::uint64_t misdirected_requests = 0; ///< requests for keys that the target did not hold
    std::uint64_t overlapping_grants = 0;   ///< grants of keys that another target still held
    std::uint64_t over_limit_requests = 0;  ///< requests refused because all slots were taken
    /// Requests that reached a target too long after the evacuation of its zone was ordered. Those
    /// that the target refuses as misdirected do not count.
    std::uint64_t late_evacuated_runs = 0;
    /// Grants with a lower fence than another running target got for overlapping keys.
    std::uint64_t lower_fence_grants = 0;
    /// Highest number of requests and health checks that reached a target in one second while it
    /// was warming up.
    std::size_t highest_cold_arrivals = 0;
    /// Grants of keys under a fence that is not above those under which another run of a target,
    /// running or ended, had them.
    std::uint64_t reused_fence_grants = 0;
    struct granted_keys {
        std::uint64_t run = 0;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
    };
    std::vector<granted_keys> grants; ///< without those that a later grant covers
    std::uint64_t target_runs = 0;    ///< started runs of targets
    /// Runs that ended with 500 because they outlasted the hold under which they began.
    std::uint64_t cut_runs = 0;
};

/// A target. It is in the list of running targets as long as it exists. Not thread-safe:
/// runs on one loop.
class platform_target {
public:
    platform_target(net::loop& loop, platform_target_settings settings, platform_history& history,
                    std::vector<platform_target*>& running_targets);
    /// Ends the target at once and abandons the requests that it runs.
    ~platform_target();
    platform_target(const platform_target&) = delete;
    platform_target& operator=(const platform_target&) = delete;
    platform_target(platform_target&&) = delete;
    platform_target& operator=(platform_target&&) = delete;

    /// The target deregisters and continues to serve, as one that is being replaced does. Its last
    /// heartbeat before that arrives only after `delay`.
    void leave(milliseconds delay);

private:
    /// Keys `first` to `last`, both included, held until `until`.
    struct held_range {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::uint64_t fence = 0;
        time_point until;
    };

    void handle(const net::http_exchange& exchange);
    void run(const net::http_exchange& exchange);
    [[nodiscard]] milliseconds warm_up_left() const;
    /// Counts a request or health check that the target does not reject as misdirected.
    void count_arrival();
    void grant(const net::http_exchange& exchange);
    void release(const net::http_exchange& exchange);
    void send_heartbeat();
    [[nodiscard]] std::string next_heartbeat();
    void record_grant(const platform_history::granted_keys& next);
    void send_control(const std::string& path, const std::string& body);
    [[nodiscard]] bool holds(std::uint32_t first, std::uint32_t last) const;
    /// Answers the request of a run that ends now. `completed` is false if the run outlasted the
    /// hold under which it began.
    void finish_run(const net::http_exchange& exchange, const std::string& id, bool completed);
    /// Time until the end of the hold of the key; zero if the target does not hold it.
    [[nodiscard]] milliseconds hold_left(std::uint32_t key) const;
    [[nodiscard]] static bool has_higher_fence(const std::vector<held_range>& seen,
                                               const held_range& next);

    net::loop& loop_;
    platform_target_settings settings_;
    platform_history& history_;
    std::vector<platform_target*>& running_targets_;
    std::string id_;
    std::uint64_t run_;
    std::uint64_t started_ms_;
    time_point started_;
    std::deque<time_point> cold_arrivals_; ///< of the last second
    std::uint64_t sequence_ = 0;
    bool leaving_ = false;
    std::vector<held_range> held_ranges_;
    /// Grants since the target's start, except those whose range a later grant covers.
    std::vector<held_range> granted_;
    /// Releases since the target's start. This target refuses a later grant of overlapping keys if
    /// the grant's fence is lower than the fence of the release. Other targets do not check these
    /// fences.
    std::vector<held_range> released_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::loop::timer_id heartbeat_timer_ = 0;
    std::uint32_t running_ = 0;
    net::http_client client_;
    net::http_server server_;
};

} // namespace bulrushgw::standin
