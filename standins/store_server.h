#pragma once

/// Serves a `store_model` over HTTP.

#include <vector>

#include "net/http.h"
#include "net/loop.h"
#include "standins/store_model.h"

namespace bulrushgw::standin {

/// Not thread-safe. If the server is destroyed while delayed requests wait, the loop must not
/// run again.
class store_server {
public:
    /// Throws `net::listen_error` when the address cannot be bound.
    store_server(net::loop& loop, const net::endpoint& address);

    [[nodiscard]] const net::endpoint& address() const { return server_.address(); }

private:
    void handle(net::http_exchange exchange);
    void carry_out(const net::http_exchange& exchange);

    net::loop& loop_;
    store_model model_;
    std::vector<net::http_exchange> unanswered_; ///< kept so that their connections stay open
    net::http_server server_;
};

} // namespace bulrushgw::standin
