#pragma once

/// Clients and the platform's readiness checks of one machine.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "deployment.h"
#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::review {

/// One kind of request.
struct request_kind {
    std::string host;
    std::string path;
    bool keyed = false;
    milliseconds deadline{600};
};

/// Sends requests to the sidecar of a machine at a fixed rate, while the machine answers the
/// platform's readiness checks. Not thread-safe: runs on one loop.
class clients {
public:
    /// `next_key` gives the key of the next request.
    clients(net::loop& loop, const machine& at, request_kind kind, milliseconds interval,
            std::function<std::uint32_t()> next_key, record& log);
    ~clients();
    clients(const clients&) = delete;
    clients& operator=(const clients&) = delete;
    clients(clients&&) = delete;
    clients& operator=(clients&&) = delete;

    /// After this call no further requests are sent.
    void stop() { stopped_ = true; }
    /// Status of each request by its id; 0: no answer.
    [[nodiscard]] const std::map<std::string, int>& answers() const { return answers_; }
    [[nodiscard]] int answered_with(int status) const;
    [[nodiscard]] bool is_in() const { return misses_ < max_misses; }

private:
    static constexpr int max_misses = 2;

    void check_readiness();
    void send_request();

    net::loop& loop_;
    machine at_;
    request_kind kind_;
    std::function<std::uint32_t()> next_key_;
    record& log_;
    std::map<std::string, int> answers_;
    std::uint64_t next_id_ = 1;
    int misses_ = max_misses;
    bool stopped_ = false;
    net::loop::timer_id readiness_timer_ = 0;
    net::loop::timer_id request_timer_ = 0;
    net::http_client http_;
};

/// Delivers heartbeats of targets to the sidecars, after a time. Not thread-safe: runs on one loop.
class heartbeat_network {
public:
    explicit heartbeat_network(net::loop& loop);

    /// A heartbeat on its way arrives whether its sender lives or not.
    void deliver(const machine& to, const std::string& path, const std::string& body,
                 milliseconds after);

private:
    net::loop& loop_;
    net::http_client http_;
};

} // namespace bulrushgw::review
