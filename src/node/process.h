#pragma once

/// The components of a node process and the connections between them.

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "net/peer_transport.h"
#include "node/audit_trail.h"
#include "node/client_entry.h"
#include "node/event_log.h"
#include "node/metrics.h"
#include "node/operator_api.h"
#include "node/ownership_host.h"
#include "node/rules_service.h"
#include "node/settings.h"
#include "node/state_watch.h"
#include "node/store_access.h"
#include "node/target_gateway.h"

namespace bulrushgw::node {

/// Not thread-safe: runs on a single event loop.
class process {
public:
    /// Listens on all addresses of the settings. Throws `net::listen_error`.
    explicit process(const settings& values);

    /// Runs until a planned stop completes, a second stop signal arrives, or an internal failure
    /// occurs. Returns the exit code of the process.
    int run();

private:
    target_gateway make_gateway();
    ownership_host make_ownership();
    rules_service make_rules();
    client_entry make_entry();
    operator_hooks make_operator_hooks();

    void on_frame(const wire::frame& frame);
    void on_forward(const wire::frame& frame, const wire::forward& request);
    void on_rules_pull(const wire::frame& frame, const wire::rules_pull& pull);
    void on_disconnect(const std::string& address, std::optional<time_point> unsent_since);
    bool send_to(incarnation_id peer, const wire::body& content);
    bool send_to_any_peer(const wire::body& content);
    void on_announce(const net::http_exchange& exchange);
    void on_rules_applied();
    void on_incarnation_ended(incarnation_id ended, const std::string& cause);
    void on_audit(const ownership::audit_event& event);
    void write_event(event_kind kind, const ownership::audit_event& event);
    void on_ownership_input();
    void on_tick();
    void on_one_second_timer();
    void on_signal();
    void begin_leave(const std::string& cause);
    void on_left();
    void finish_when_idle();

    [[nodiscard]] node_status status() const;
    [[nodiscard]] std::vector<host_info> hosts() const;
    [[nodiscard]] std::vector<target_info_row> targets() const;
    [[nodiscard]] answer<key_owner> owner_of(const std::string& service,
                                             const std::string& key) const;
    [[nodiscard]] answer<rules_document> rules_in_force() const;
    void history(std::size_t most, completion<std::vector<rules::version_record>> done);
    void rules_at(std::uint64_t version, completion<rules_document> done);
    void submit(rules::submission input, std::function<void(rules::submission_result)> done);
    void assert_ended(const assert_ended_request& request, completion<done_message> done);
    void await_end(incarnation_id id, time_point give_up, completion<done_message> done);
    void drain(const drain_request& request, const completion<done_message>& done);
    void update_metrics();

    settings settings_;
    net::loop loop_;
    std::mt19937_64 random_;
    metrics metrics_;
    event_log log_;
    time_point started_;
    store_access store_;
    std::unique_ptr<net::peer_transport> transport_;
    target_gateway gateway_;
    ownership_host ownership_;
    rules_service rules_;
    client_entry entry_;
    audit_trail audit_;
    state_watch watch_;
    operator_hooks operator_hooks_;
    std::unique_ptr<net::http_server> client_server_;
    std::unique_ptr<net::http_server> operator_server_;
    std::unique_ptr<net::http_server> announce_server_;
    std::map<std::string, std::set<std::uint32_t>> served_; ///< range numbers by service
    time_point next_tick_;                                  ///< planned time of the next tick
    std::uint64_t owner_view_hash_ = 0;                     ///< see `on_ownership_input`
    std::optional<std::string> stop_cause_;                 ///< set when a planned stop began
    bool left_ = false;                  ///< the hand-over completed or was given up
    bool all_requests_finished_ = false; ///< all requests finished before the exit
    int exit_code_ = 0;
};

} // namespace bulrushgw::node
