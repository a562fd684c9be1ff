#pragma once

/// Serves a `target_model` over HTTP and announces it to its node.

#include <deque>
#include <fstream>
#include <memory>
#include <optional>
#include <string>

#include "net/http.h"
#include "net/loop.h"
#include "standins/target_model.h"

namespace bulrushgw::standin {

/// Not thread-safe. If the server is destroyed while requests run, the loop must not run again.
class target_server {
public:
    /// Announces the target to `node` every `announce_interval`, or never if there is no node. An
    /// empty `settings.address` becomes the bound address. Throws `net::listen_error`.
    target_server(net::loop& loop, const net::endpoint& address, std::optional<net::endpoint> node,
                  target_settings settings, std::uint64_t run_id, milliseconds announce_interval);
    ~target_server();
    target_server(const target_server&) = delete;
    target_server& operator=(const target_server&) = delete;
    target_server(target_server&&) = delete;
    target_server& operator=(target_server&&) = delete;

    /// Appends each run to the file as a JSON line, before the run begins. Throws
    /// `error` when the file cannot be opened.
    void log_runs(const std::string& file);
    [[nodiscard]] const net::endpoint& address() const { return server_.address(); }
    [[nodiscard]] const target_model& model() const { return *model_; }

private:
    void handle(const net::http_exchange& exchange);
    void process(const net::http_exchange& exchange);
    void on_control(const net::http_exchange& exchange);
    void run(const net::http_exchange& exchange);
    void complete(const net::http_exchange& exchange, std::uint64_t run);
    void respond(const net::http_exchange& exchange, net::http_response response);
    void announce();

    net::loop& loop_;
    std::optional<net::endpoint> node_;
    std::unique_ptr<target_model> model_;
    std::deque<net::http_exchange> unread_; ///< requests that a frozen target has not read yet
    net::http_client client_;
    net::http_server server_;
    std::ofstream run_log_;
    net::loop::timer_id announce_timer_ = 0;
    bool announcement_in_progress_ = false;
};

} // namespace bulrushgw::standin
