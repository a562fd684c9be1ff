#pragma once

/// One sidecar process: creates its components and connects them.

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "net/http.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "net/peer_transport.h"
#include "sidecar/client_limits.h"
#include "sidecar/coordination.h"
#include "sidecar/entry.h"
#include "sidecar/forward_intake.h"
#include "sidecar/gate.h"
#include "sidecar/journal.h"
#include "sidecar/peer_check.h"
#include "sidecar/planned_stop.h"
#include "sidecar/protocol.h"
#include "sidecar/settings.h"
#include "sidecar/sidecar_metrics.h"
#include "sidecar/store_session.h"
#include "sidecar/target_identity.h"
#include "sidecar/target_watch.h"
#include "sidecar/warm_up_state.h"

namespace bulrushgw::sidecar {

/// Not thread-safe: runs on one loop.
class process {
public:
    /// Reads the settings `file` and binds all addresses. Throws `settings_error`
    /// and `net::listen_error`. `protocol` must outlive this object.
    process(std::string file, const platform_protocol& protocol);

    /// Runs until a planned stop is complete, the leader knows a later incarnation of this host, or
    /// handlers fail too often. Returns the exit code.
    int run();

private:
    store_session make_store();
    gate make_gate();
    forward_intake make_intake();
    coordination make_coordination();
    entry make_entry();
    peer_check make_peer_check();
    void listen();

    void on_frame(const wire::frame& frame);
    void on_forward(const wire::frame& frame, const wire::forward& request);
    /// Returns false if the message was certainly not sent.
    bool send(const std::string& address, incarnation_id to, const wire::body& content);
    void on_explain(const net::http_exchange& exchange);
    void on_control(const net::http_exchange& exchange);
    void on_ready(const net::http_exchange& exchange);
    void on_manifest(const std::string& text);
    void on_peer_manifest(const std::string& address, std::uint64_t version);
    void grant(const assignment::grant_order& order);
    void release(const assignment::release_order& order);
    void on_release_result(const assignment::release_order& order, const net::http_result& result);
    void check_target();
    void on_target_health(const net::http_result& result, bool is_readiness_check);
    void set_start_bound();
    void observe_warmth(const heartbeat& beat);
    void update_warmth();
    void on_target_changed();
    void notify_target();
    void on_identified(std::uint64_t session, const std::string& target_id);
    /// Tells the coordination whether grants reach the known run of the target.
    void update_identity();
    [[nodiscard]] bool is_target_confirmed() const;
    /// True if a health check has to tell which run of the target gets the grants.
    [[nodiscard]] bool is_identity_check_due(const routing::service& service) const;
    void on_evacuations(const routing::evacuations::changes& changes);
    /// The evacuation of this host's zone ended. The target gets requests again and may be cold.
    void on_own_evacuation_ended();
    void log_evacuation();
    void set_evacuation_gauges(sidecar_gauges& gauges) const;
    void on_tick();
    void on_signal();
    void on_hangup();
    void on_error(const std::exception& failure);
    void reset_connection(const std::string& address, const std::string& cause);
    void deliver_answers();
    void finish_when_idle();
    /// True if no request is pending, running or without its whole answer, and the target holds no
    /// keys.
    [[nodiscard]] bool is_idle() const;
    void log_state();
    void log_traffic();
    void log(std::string_view event, const journal::fields& details);

    std::string file_;
    settings settings_;
    const platform_protocol& protocol_;
    net::loop loop_;
    std::mt19937_64 random_;
    incarnation_id self_;
    journal journal_;
    sidecar_metrics metrics_;
    target_watch watch_;
    target_identity identity_;
    warm_up_state warm_up_;
    store_session store_;
    std::shared_ptr<net::memory_budget> budget_;
    gate gate_;
    forward_intake intake_;
    coordination coordination_;
    entry entry_;
    peer_check peer_check_;
    std::unique_ptr<net::peer_transport> transport_;
    std::unique_ptr<net::http_server> request_server_;
    std::unique_ptr<net::http_server> ready_server_;
    std::unique_ptr<net::http_server> control_server_;
    std::unique_ptr<net::http_server> metrics_server_;
    std::shared_ptr<const routing::route_index> routes_;
    std::string manifest_text_;
    std::uint64_t notified_changes_ = 0; ///< `target_watch::changes` at the last notification
    bool notified_accepts_ = false;      ///< `target_watch::accepts` at the last notification
    bool notified_warming_up_ = false;   ///< `warm_up_state::is_warming_up` at that time
    planned_stop stop_;
    bool exiting_ = false; ///< only answers are still delivered, see `deliver_answers`
    time_point last_request_{};
    time_point next_pull_{}; ///< earliest time for the next `wire::rules_pull`
    bool first_check_sent_ = false;
    bool check_under_way_ = false;
    std::uint64_t identified_session_ = 0; ///< of the last answer that told the target's id
    std::string identified_target_;        ///< that id
    bool target_confirmed_ = false;        ///< as the coordination knows it
    time_point next_check_{}; ///< earliest time for the next health check of the target
    refusal_report refusals_;
    entry_counters logged_counters_;       ///< as of the last "state" log line
    std::uint64_t logged_over_budget_ = 0; ///< `peer_counters::frames_over_budget` at that time
    std::uint64_t errors_ = 0;             ///< exceptions from handlers, in total
    std::uint64_t recent_errors_ = 0;      ///< since `error_window_start_`
    bool logged_evacuated_ = false;        ///< `gate::is_evacuated` as last logged
    bool counts_as_cold_ = false;          ///< `warm_up_state::is_cold` as told to the gate
    time_point error_window_start_{};
};

/// Runs a sidecar with the settings of `file`, see `process::run`. Returns the exit code. Throws
/// `settings_error` and `net::listen_error`.
int run_sidecar(const std::string& file, const platform_protocol& protocol);

} // namespace bulrushgw::sidecar
