#pragma once

/// Model of a target of `bulrushgw node` (docs/target-api.md) without sockets or clock: grants,
/// fences, slots and a record of its runs (executions of requests). Callers pass the time.

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include <nlohmann/json.hpp>

#include "common/errors.h"
#include "net/http.h"

namespace bulrushgw::standin {

struct target_settings {
    std::string name = "target";
    std::string service;
    std::string address; ///< where the node reaches the target, "IP:port"
    std::uint32_t slots = 6;
    std::uint32_t connections = 100;
    bool checks_fences = true;
    milliseconds delay{0}; ///< execution time of a request
    /// Time after the start in which requests take up to four times as long.
    milliseconds cold_start{0};
};

/// Result of `target_model::start`: a refusal, or the run that the request began.
struct start_result {
    std::optional<net::http_response> refusal; ///< none when the request runs
    std::uint64_t run = 0;                     ///< valid if there is no refusal
    milliseconds duration{0};                  ///< time after which the caller calls `finish`
};

enum class run_outcome { running, done, cancelled, deadline };

struct run_record {
    std::uint64_t run = 0;
    std::string request_id;
    std::string key;
    std::string method;
    std::string path;
    std::optional<std::uint32_t> range;
    std::uint64_t fence = 0; ///< 0 when the request carried none
    std::uint64_t started_ms = 0;
    run_outcome outcome = run_outcome::running;
};

struct target_counters {
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadline_passed = 0; ///< requests whose deadline passed before or during the run
    std::uint64_t stale_fence = 0;
    std::uint64_t no_grant = 0;
    std::uint64_t grant_expired = 0;
    std::uint64_t shed = 0;
    std::uint64_t draining = 0;
    std::uint64_t grant_messages = 0;
    std::uint64_t grants_refused = 0;
    std::uint64_t runs_dropped = 0; ///< runs removed from the record because it was full
};

/// Not thread-safe.
class target_model {
public:
    /// `run_id` identifies this start of the target.
    target_model(target_settings settings, std::uint64_t run_id, time_point now);

    /// `hook` is called for each run before it begins, so that a log of runs is complete even
    /// if the process is killed.
    void set_run_hook(std::function<void(const run_record&)> hook) { on_run_ = std::move(hook); }

    /// `POST /bulrush/v1/grants` and `POST /bulrush/v1/drain`.
    net::http_response on_grants(const std::string& body, time_point now);
    net::http_response on_drain(time_point now);
    /// Refuses a client's request or begins its run.
    start_result start(const net::http_request& request, time_point now);
    /// Ends a run and returns the response to its request.
    net::http_response finish(std::uint64_t run, time_point now);
    /// Ends a run whose client closed the connection.
    void cancel(std::uint64_t run);

    /// Body of `POST /v1/announce`.
    [[nodiscard]] nlohmann::json announcement() const;
    /// Applies a body of `POST /control`. Throws `nlohmann::json::exception` or `parse_error`
    /// if the body is not valid; nothing is changed in this case.
    void control(const nlohmann::json& change, time_point now);
    /// State and counters, with the record of runs if `with_runs`.
    [[nodiscard]] nlohmann::json dump(bool with_runs, time_point now) const;
    /// Adds the headers with the target's clock and run id, which every response carries.
    void add_identity_headers(net::http_response& response, time_point now) const;

    [[nodiscard]] bool frozen() const { return frozen_; }
    [[nodiscard]] bool hanging() const { return hanging_; }
    [[nodiscard]] const target_settings& settings() const { return settings_; }

private:
    struct active_run {
        run_record* record = nullptr; ///< points into `runs_`, whose elements do not move
        bool within_deadline = true;
    };

    [[nodiscard]] std::optional<net::http_response> check_request(const net::http_request& request,
                                                                  time_point now);
    [[nodiscard]] std::optional<net::http_response> check_fence(const net::http_request& request,
                                                                time_point now);
    net::http_response make_refusal(std::uint64_t& counter, int status, const char* reason) const;
    void record(const net::http_request& request, std::uint64_t run, time_point now);
    void restart_empty(time_point now);
    void end_run(std::uint64_t run, run_outcome outcome);

    target_settings settings_;
    std::uint64_t run_id_;
    time_point started_;
    bool draining_ = false;
    bool frozen_ = false;
    bool hanging_ = false;
    nlohmann::json report_override_ = nlohmann::json::object();

    std::string incarnation_;
    std::set<std::string> replaced_incarnations_; ///< incarnations that a later one replaced
    std::map<std::uint32_t, std::uint64_t> grants_;
    std::map<std::uint32_t, std::uint64_t> highest_fences_;
    std::uint64_t expires_at_ms_ = 0;

    std::uint64_t next_run_ = 1;
    std::unordered_map<std::uint64_t, active_run> active_;
    std::deque<run_record> runs_;
    std::unordered_map<std::string, std::uint32_t> starts_by_id_;
    std::set<std::string> double_runs_;
    target_counters counters_;
    std::function<void(const run_record&)> on_run_;
};

/// Milliseconds of a target's monotonic clock.
std::uint64_t clock_ms(time_point now);

} // namespace bulrushgw::standin
