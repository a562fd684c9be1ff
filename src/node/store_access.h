#pragma once

/// Connects the store client to the HTTP client of the event loop.

#include <cstdint>
#include <functional>

#include "net/http.h"
#include "net/loop.h"
#include "store/client.h"

namespace bulrushgw::node {

/// Not thread-safe: runs on the node's event loop.
class store_access {
public:
    using completion = std::function<void(const store::reply&)>;

    store_access(net::loop& loop, net::endpoint address, store::client_settings settings,
                 std::uint64_t seed);

    /// Calls `on_reply` exactly once. If the queue is full, calls it with the result `unavailable`
    /// in a later iteration of the event loop.
    void call(store::request store_request, store::priority request_priority, completion on_reply);
    void set_nodes(std::size_t nodes);
    void on_tick();

    [[nodiscard]] const store::client& client() const { return client_; }

private:
    void send_due();
    void on_result(std::uint64_t id, const net::http_result& result);

    net::loop& loop_;
    net::endpoint address_;
    net::http_client http_;
    store::client client_;
};

} // namespace bulrushgw::node
