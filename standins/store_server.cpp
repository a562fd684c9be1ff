#include "standins/store_server.h"

#include <utility>

namespace bulrushgw::standin {

namespace {

/// Limit of request bodies, this large because an object holds a whole rules file.
constexpr std::size_t max_object_bytes = std::size_t{16} * 1024 * 1024;

net::http_server_limits limits()
{
    net::http_server_limits result;
    result.max_body_bytes = max_object_bytes;
    return result;
}

} // namespace

store_server::store_server(net::loop& loop, const net::endpoint& address)
    : loop_(loop),
      server_(
          loop, address, [this](net::http_exchange exchange) { handle(std::move(exchange)); },
          limits())
{
}

void store_server::handle(net::http_exchange exchange)
{
    const auto delay = model_.delay_of(exchange.request);
    if (delay.count() == 0) {
        carry_out(exchange);
        return;
    }
    // The request is applied even if its client has given up in the meantime, because clients
    // must handle writes whose answer is lost.
    loop_.after(delay, [this, exchange = std::move(exchange)] { carry_out(exchange); });
}

void store_server::carry_out(const net::http_exchange& exchange)
{
    auto outcome = model_.handle(exchange.request);
    switch (outcome.action) {
    case store_action::answer:
        exchange.respond(std::move(outcome.response));
        break;
    case store_action::drop:
        exchange.drop();
        break;
    case store_action::leave_unanswered:
        unanswered_.push_back(exchange);
        break;
    }
}

} // namespace bulrushgw::standin
