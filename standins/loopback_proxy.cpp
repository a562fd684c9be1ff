#include "standins/loopback_proxy.h"

#include <deque>
#include <string>
#include <utility>

#include "net/sockets.h"

namespace bulrushgw::standin {

namespace {

/// One of the two sockets of a proxied connection. `writing` holds the bytes of the write in
/// progress. `pending` holds the bytes to be written after it.
struct proxied_socket {
    h2o_socket_t* socket = nullptr;
    std::string writing;
    std::string pending;
    /// Received bytes with the time at which they are due, in the order of arrival.
    std::deque<std::pair<time_point, std::string>> delayed;
};

struct proxied_connection {
    void* owner = nullptr;
    std::uint64_t number = 0;
    proxied_socket client;
    proxied_socket server;
    bool connected = false;
    bool discarding = false; ///< bytes were discarded, so nothing is forwarded any more
};

} // namespace

struct loopback_proxy::state {
    net::loop& loop;
    net::endpoint upstream;
    mode current_mode = mode::pass;
    milliseconds delay{0};
    std::uint64_t next_number = 1;
    std::map<std::uint64_t, std::unique_ptr<proxied_connection>> connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<net::detail::listener> listener;

    state(net::loop& event_loop, net::endpoint destination)
        : loop(event_loop), upstream(std::move(destination))
    {
    }

    void accept(h2o_socket_t* socket)
    {
        auto created = std::make_unique<proxied_connection>();
        created->owner = this;
        created->number = next_number++;
        created->client.socket = socket;
        socket->data = created.get();
        auto address = net::detail::to_socket_address(upstream);
        created->server.socket = h2o_socket_connect(
            loop.evloop(), reinterpret_cast<sockaddr*>(&address.bytes), address.size, on_connected);
        if (created->server.socket == nullptr) {
            h2o_socket_close(socket);
            return;
        }
        created->server.socket->data = created.get();
        connections.emplace(created->number, std::move(created));
    }

    void close(std::uint64_t number)
    {
        const auto found = connections.find(number);
        if (found == connections.end()) {
            return;
        }
        h2o_socket_close(found->second->client.socket);
        h2o_socket_close(found->second->server.socket);
        connections.erase(found);
    }

    void forward(proxied_connection& connection, bool to_server, const std::string& bytes)
    {
        const bool lost =
            current_mode == mode::silent || (current_mode == mode::one_way && !to_server);
        if (lost || connection.discarding) {
            connection.discarding = true;
            return;
        }
        proxied_socket& destination = to_server ? connection.server : connection.client;
        const auto wait = current_mode == mode::delay ? delay : milliseconds{0};
        const auto due =
            std::max(loop.now() + wait,
                     destination.delayed.empty() ? time_point{} : destination.delayed.back().first);
        destination.delayed.emplace_back(due, bytes);
        deliver_due(connection.number, to_server);
    }

    // Sends the delayed bytes that are due, and calls itself again when the next ones are due.
    // Bytes stay in order even if the delay is switched off.
    void deliver_due(std::uint64_t number, bool to_server)
    {
        const auto found = connections.find(number);
        if (found == connections.end()) {
            return;
        }
        proxied_socket& destination = to_server ? found->second->server : found->second->client;
        while (!destination.delayed.empty() && destination.delayed.front().first <= loop.now()) {
            destination.pending += destination.delayed.front().second;
            destination.delayed.pop_front();
        }
        flush(destination);
        if (!destination.delayed.empty()) {
            const auto wait = std::chrono::duration_cast<milliseconds>(
                destination.delayed.front().first - loop.now());
            loop.after(wait + milliseconds{1}, [this, is_alive = alive, number, to_server] {
                if (*is_alive) {
                    deliver_due(number, to_server);
                }
            });
        }
    }

    static void flush(proxied_socket& destination)
    {
        if (!destination.writing.empty() || destination.pending.empty()) {
            return;
        }
        destination.writing.swap(destination.pending);
        h2o_iovec_t part = h2o_iovec_init(destination.writing.data(), destination.writing.size());
        h2o_socket_write(destination.socket, &part, 1, on_written);
    }

    static void on_connected(h2o_socket_t* socket, const char* failure)
    {
        auto& connection = *static_cast<proxied_connection*>(socket->data);
        auto& self = *static_cast<state*>(connection.owner);
        if (failure != nullptr) {
            self.close(connection.number);
            return;
        }
        connection.connected = true;
        h2o_socket_read_start(connection.client.socket, on_readable);
        h2o_socket_read_start(connection.server.socket, on_readable);
    }

    static void on_written(h2o_socket_t* socket, const char* failure)
    {
        auto& connection = *static_cast<proxied_connection*>(socket->data);
        if (failure != nullptr) {
            static_cast<state*>(connection.owner)->close(connection.number);
            return;
        }
        proxied_socket& destination =
            socket == connection.server.socket ? connection.server : connection.client;
        destination.writing.clear();
        flush(destination);
    }

    static void on_readable(h2o_socket_t* socket, const char* failure)
    {
        auto& connection = *static_cast<proxied_connection*>(socket->data);
        auto& self = *static_cast<state*>(connection.owner);
        if (failure != nullptr) {
            self.close(connection.number);
            return;
        }
        const std::string bytes(socket->input->bytes, socket->input->size);
        h2o_buffer_consume(&socket->input, socket->input->size);
        self.forward(connection, socket == connection.client.socket, bytes);
    }
};

loopback_proxy::loopback_proxy(net::loop& loop, const net::endpoint& address, net::endpoint server)
    : state_(std::make_unique<state>(loop, std::move(server)))
{
    state_->listener = std::make_unique<net::detail::listener>(
        loop, address, [this](h2o_socket_t* socket) { state_->accept(socket); });
}

loopback_proxy::~loopback_proxy()
{
    *state_->alive = false;
    reset_all();
}

void loopback_proxy::set_mode(mode next, milliseconds delay)
{
    state_->current_mode = next;
    state_->delay = delay;
}

void loopback_proxy::reset_all()
{
    while (!state_->connections.empty()) {
        state_->close(state_->connections.begin()->first);
    }
}

} // namespace bulrushgw::standin
