#pragma once

/// Handling of client requests on the entry node: routes each request, forwards it to a node that
/// may serve it, and responds to the client exactly once.

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "net/http.h"
#include "net/loop.h"
#include "node/metrics.h"
#include "node/target_gateway.h"
#include "ownership/engine.h"
#include "request/balance.h"
#include "request/forward_tracker.h"
#include "request/retry.h"
#include "request/route_table.h"
#include "wire/messages.h"

namespace bulrushgw::node {

/// Not thread-safe: all calls and hooks run on the node's event loop.
class client_entry {
public:
    struct hooks {
        /// Null before the first rules are in force.
        std::function<const request::route_table*()> routes;
        std::function<const ownership::engine&()> engine;
        /// Returns false if the frame was not sent.
        std::function<bool(incarnation_id peer, const wire::body&)> send;
        /// Run or cancel a request on this node, if the entry node chose itself to serve the
        /// request.
        std::function<void(forward_key, wire::forward, target_gateway::completion)> run_here;
        std::function<void(forward_key)> cancel_here;
    };

    client_entry(net::loop& loop, metrics& values, std::string zone, std::uint64_t seed,
                 hooks hooks);

    void on_request(net::http_exchange exchange);
    void on_reply(incarnation_id peer, const wire::forward_reply& reply);
    /// Called when the outgoing connection to a peer broke; see `net::peer_transport`.
    void on_disconnect(incarnation_id peer, std::optional<time_point> unsent_since);
    /// Called when the owners of ranges, as this node knows them, may have changed.
    void on_owner_view_changed();
    void on_tick();
    /// Called when new rules are in force. Applies their retry limits.
    void on_rules();

    [[nodiscard]] std::size_t pending() const { return clients_.size(); }
    [[nodiscard]] const request::forward_counters& counters() const { return tracker_.counters(); }

private:
    struct waiting_client {
        net::http_exchange exchange;
        request::routed_request routed;
        time_point arrived;
        time_point sent; ///< time of the last forward
        time_point deadline;
    };

    /// Chooses the node that a request is forwarded to. `avoid` lists nodes on which the request
    /// has already failed.
    std::optional<request::forward_choice> choose(const request::forward_request& request,
                                                  const std::vector<incarnation_id>& avoid);
    std::optional<incarnation_id> choose_balanced(const std::string& service,
                                                  const std::vector<incarnation_id>& avoid);
    bool spend_retry(time_point now, const std::string& service);
    /// Carries out the effects of the tracker. `reply` is the reply that the tracker has just
    /// processed, null if none.
    void run_effects(const wire::forward_reply* reply);
    void run(const request::send_forward& effect);
    void run(const request::send_cancel& effect);
    void run(const request::end_forward& effect);
    void accept(request::forward_id id, const wire::forward_reply& reply);
    void refuse(const net::http_exchange& exchange, const std::string& service, request::reason why,
                const std::string& detail);
    void respond(request::forward_id id, net::http_response response, request::reason why);
    [[nodiscard]] wire::forward message_for(const waiting_client& client,
                                            const request::send_forward& effect) const;

    net::loop& loop_;
    metrics& metrics_;
    std::string zone_;
    hooks hooks_;
    request::random_engine random_;
    request::forward_tracker tracker_;
    std::map<std::string, request::retry_budget> retry_budgets_;
    std::map<request::forward_id, waiting_client> clients_;
};

/// Returns false for headers that must not be forwarded, because they are specific to one
/// connection or belong to the protocol of bulrushgw. Names are case-insensitive.
bool is_forwarded_header(std::string_view name);

} // namespace bulrushgw::node
