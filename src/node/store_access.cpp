#include "node/store_access.h"

#include <utility>

namespace bulrushgw::node {

namespace {
constexpr std::size_t max_connections = 8;
// A read of the whole node directory at 18,000 nodes is about 6 MB.
constexpr std::size_t max_response_bytes = 16 * 1024 * 1024;
} // namespace

store_access::store_access(net::loop& loop, net::endpoint address, store::client_settings settings,
                           std::uint64_t seed)
    : loop_(loop), address_(std::move(address)), http_(loop, max_connections, max_response_bytes),
      client_(settings, seed, loop.now())
{
}

void store_access::call(store::request store_request, store::priority request_priority,
                        completion on_reply)
{
    const auto submit_result =
        client_.submit(loop_.now(), std::move(store_request), request_priority, on_reply);
    if (submit_result == store::submission::queue_full) {
        loop_.after(milliseconds{0}, [reply_to = std::move(on_reply)] {
            reply_to(store::reply{store::status::unavailable, {}, {}, {}});
        });
        return;
    }
    send_due();
}

void store_access::set_nodes(std::size_t nodes)
{
    client_.set_nodes(loop_.now(), nodes);
}

void store_access::on_tick()
{
    client_.on_tick(loop_.now());
    send_due();
}

void store_access::send_due()
{
    for (auto& due : client_.take_messages()) {
        net::http_request request;
        request.method = due.message.method;
        request.path = due.message.path;
        request.body = std::move(due.message.body);
        http_.send(address_, request, due.timeout,
                   [this, id = due.id](const net::http_result& result) { on_result(id, result); });
    }
}

void store_access::on_result(std::uint64_t id, const net::http_result& result)
{
    const time_point now = loop_.now();
    if (result.response) {
        client_.on_answer(now, id, result.response->status, result.response->body);
    }
    else if (result.failure == net::http_failure::connect ||
             result.failure == net::http_failure::not_sent) {
        client_.on_not_sent(now, id);
    }
    else {
        client_.on_lost(now, id);
    }
    send_due();
}

} // namespace bulrushgw::node
