#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <poll.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/http_response_parser.h"
#include "net/http_text.h"
#include "net/sockets.h"

namespace bulrushgw::net {

namespace {

/// Longest time for which an idle connection is kept. It is below the request timeout of
/// `http_server`, so that the server does not close a connection that is about to be reused.
constexpr milliseconds max_idle_time{5000};
/// Subtracted from the idle time that a server announces in its keep-alive header.
constexpr milliseconds idle_time_margin{500};
/// When the client has this many destinations, it removes those without calls and closes their
/// connections.
constexpr std::size_t destination_cleanup_threshold = 64;
/// Upper bound on the calls that wait for a connection to one address; further calls fail.
constexpr std::size_t max_waiting_calls_per_address = 10000;

/// How long the connection may be kept idle after a response with these headers.
milliseconds max_idle_time_after(const header_list& headers)
{
    const auto announced = detail::keep_alive_timeout(headers);
    return announced ? std::min(max_idle_time, milliseconds{*announced} - idle_time_margin)
                     : max_idle_time;
}

/// True if the kernel knows of a reset or another error of the connection. Its end is then not
/// orderly, although reading reports an end of the input once a write has reported the error.
bool is_broken(h2o_socket_t* socket)
{
    pollfd state{h2o_socket_get_fd(socket), POLLIN, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace

/// Built on h2o's sockets and on `http_response_parser`. h2o's own client is not used: it ends the
/// process on some malformed responses, treats a reset as the end of a response without a
/// length, and reuses connections that received more than the response.
struct http_client::state {
    struct call;
    struct destination;

    struct connection {
        state* client = nullptr;
        destination* dest = nullptr;
        h2o_socket_t* socket = nullptr;
        call* current_call = nullptr; ///< null while idle
        std::string written_head;     ///< h2o keeps a pointer to its bytes until the write ends
        /// h2o keeps a pointer to its bytes until the write ends.
        std::shared_ptr<const std::string> written_body;
        bool write_pending = false;
        bool write_failed = false;
        bool reused = false; ///< an earlier call received its response on this connection
        bool connected = false;
        time_point idle_since{};
        milliseconds idle_timeout{max_idle_time};
    };

    /// The connection pool and the waiting calls of one address.
    struct destination {
        endpoint address;
        std::size_t active_calls = 0;
        std::deque<call_id> waiting_calls;
        std::vector<connection*> idle_connections;
    };

    enum class phase { waiting, connecting, written, finished };

    struct call {
        state* client = nullptr;
        call_id id = 0;
        destination* dest = nullptr;
        connection* conn = nullptr;
        std::string request_head;
        std::shared_ptr<const std::string> request_body;
        bool head_only = false;
        phase current_phase = phase::waiting;
        bool in_before_write = false;
        std::uint64_t timer = 0;
        /// Of the response; set when the request is written.
        std::optional<detail::http_response_parser> parser;
        callback on_result;
        std::function<bool()> before_write;
        std::function<head_verdict(const http_response&, bool)> accept_head;
    };

    net::loop& event_loop;
    std::size_t max_connections;
    std::size_t max_response_bytes;
    connection_reuse reuse;
    std::shared_ptr<server_continuity> continuity;
    std::map<endpoint, std::unique_ptr<destination>> destinations;
    std::unordered_map<call_id, std::unique_ptr<call>> calls;
    std::map<connection*, std::unique_ptr<connection>> connections;
    call_id next_call = 1;
    /// Set to false when the client is destroyed; deferred actions check it.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(net::loop& loop_to_use, std::size_t connections_per_address, std::size_t response_bytes,
          connection_reuse reuse_of_connections, std::shared_ptr<server_continuity> tracker)
        : event_loop(loop_to_use),
          max_connections(std::max<std::size_t>(connections_per_address, 1)),
          max_response_bytes(response_bytes), reuse(reuse_of_connections),
          continuity(std::move(tracker))
    {
    }

    destination& find_or_add_destination(const endpoint& address);
    void remove_unused_destinations();
    void start_call(call& entry);
    void connect(call& entry);
    void write(connection& conn, call& entry);
    connection* take_idle_connection(destination& dest);
    void start_waiting_calls(destination& dest);
    void finish(call& entry, http_result result);
    void fail(call& entry, http_failure failure) { finish(entry, {std::nullopt, failure}); }
    void abort(call& entry, http_failure after_write);
    /// True if the server may close the idle connection, because it was not used for long.
    [[nodiscard]] bool is_expired(const connection& conn) const
    {
        return event_loop.now() - conn.idle_since >= conn.idle_timeout;
    }
    /// `by_server`: the server ended the connection without having announced it.
    void close(connection& conn, bool by_server = false);
    void read(connection& conn, const char* failure);
    void complete(connection& conn, bool reusable);

    static void on_connected(h2o_socket_t* socket, const char* failure);
    static void on_written(h2o_socket_t* socket, const char* failure);
    static void on_readable(h2o_socket_t* socket, const char* failure);
};

http_client::state::destination&
http_client::state::find_or_add_destination(const endpoint& address)
{
    const auto found = destinations.find(address);
    if (found != destinations.end()) {
        return *found->second;
    }
    // Throws `address_error` before an entry is created for an invalid address.
    detail::to_socket_address(address);
    if (destinations.size() >= destination_cleanup_threshold) {
        remove_unused_destinations();
    }
    auto& slot = destinations[address];
    slot = std::make_unique<destination>();
    slot->address = address;
    return *slot;
}

void http_client::state::remove_unused_destinations()
{
    for (auto at = destinations.begin(); at != destinations.end();) {
        destination& dest = *at->second;
        if (dest.active_calls == 0 && dest.waiting_calls.empty()) {
            while (!dest.idle_connections.empty()) {
                close(*dest.idle_connections.back());
            }
            at = destinations.erase(at);
        }
        else {
            ++at;
        }
    }
}

// Returns an idle connection, or null. Closes idle connections that have unread input or were
// closed by the server, and those that the server may be about to close.
http_client::state::connection* http_client::state::take_idle_connection(destination& dest)
{
    while (!dest.idle_connections.empty()) {
        connection* conn = dest.idle_connections.back();
        char byte = 0;
        const auto peeked_bytes =
            recv(h2o_socket_get_fd(conn->socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool has_no_input = peeked_bytes < 0 && (errno == EAGAIN || errno == EINTR);
        if (has_no_input && !is_expired(*conn)) {
            dest.idle_connections.pop_back();
            return conn;
        }
        close(*conn, peeked_bytes <= 0 && !has_no_input && !is_expired(*conn));
    }
    return nullptr;
}

void http_client::state::start_call(call& entry)
{
    ++entry.dest->active_calls;
    entry.current_phase = phase::connecting;
    if (connection* conn = take_idle_connection(*entry.dest)) {
        write(*conn, entry);
    }
    else {
        connect(entry);
    }
}

void http_client::state::connect(call& entry)
{
    auto target = detail::to_socket_address(entry.dest->address);
    h2o_socket_t* socket = h2o_socket_connect(
        event_loop.evloop(), reinterpret_cast<sockaddr*>(&target.bytes), target.size, on_connected);
    if (socket == nullptr) {
        fail(entry, http_failure::connect);
        return;
    }
    auto created = std::make_unique<connection>();
    created->client = this;
    created->dest = entry.dest;
    created->socket = socket;
    created->current_call = &entry;
    entry.conn = created.get();
    socket->data = created.get();
    connections.emplace(created.get(), std::move(created));
}

void http_client::state::on_connected(h2o_socket_t* socket, const char* failure)
{
    auto& conn = *static_cast<connection*>(socket->data);
    auto& self = *conn.client;
    call& entry = *conn.current_call;
    if (failure != nullptr) {
        self.close(conn);
        self.fail(entry, http_failure::connect);
        return;
    }
    conn.connected = true;
    if (self.continuity) {
        self.continuity->on_connected(h2o_socket_get_fd(socket));
    }
    self.write(conn, entry);
}

void http_client::state::write(connection& conn, call& entry)
{
    conn.current_call = &entry;
    entry.conn = &conn;
    if (entry.before_write) {
        entry.in_before_write = true;
        bool allowed = false;
        try {
            allowed = entry.before_write();
        }
        catch (const std::exception&) {
            // An exception must not propagate through h2o's C stack frames.
            allowed = false;
        }
        entry.in_before_write = false;
        if (!allowed) {
            close(conn);
            fail(entry, http_failure::not_sent);
            return;
        }
    }
    entry.current_phase = phase::written;
    detail::response_options options;
    options.head_only = entry.head_only;
    options.max_body_bytes = max_response_bytes;
    if (entry.accept_head) {
        options.accept_head = [&entry, is_new = !conn.reused](const http_response& head) {
            return entry.accept_head(head, is_new);
        };
    }
    entry.parser.emplace(std::move(options));
    conn.written_head = std::move(entry.request_head);
    conn.written_body = std::move(entry.request_body);
    conn.write_pending = true;
    std::array<h2o_iovec_t, 2> buffers{
        h2o_iovec_init(conn.written_head.data(), conn.written_head.size()),
        h2o_iovec_init(conn.written_body->data(), conn.written_body->size())};
    const std::size_t count = conn.written_body->empty() ? 1 : buffers.size();
    h2o_socket_write(conn.socket, buffers.data(), count, on_written);
    h2o_socket_read_start(conn.socket, on_readable);
}

void http_client::state::on_written(h2o_socket_t* socket, const char* failure)
{
    auto& conn = *static_cast<connection*>(socket->data);
    conn.write_pending = false;
    conn.write_failed = failure != nullptr;
    // A body is not kept while the server works on the request, or while the connection is idle.
    conn.written_body.reset();
    // The connection of an active call is kept after a failed write, because the server may have
    // sent a response before it closed the connection.
    if (failure != nullptr && conn.current_call == nullptr) {
        conn.client->close(conn, true);
    }
}

void http_client::state::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto& conn = *static_cast<connection*>(socket->data);
    conn.client->read(conn, failure);
}

void http_client::state::read(connection& conn, const char* failure)
{
    if (conn.current_call == nullptr) {
        close(conn, failure != nullptr && !is_expired(conn));
        return;
    }
    call& entry = *conn.current_call;
    auto& parser = *entry.parser;
    auto& input = conn.socket->input;
    const std::size_t size = input->size;
    const std::size_t parsed_bytes = parser.parse({input->bytes, size});
    h2o_buffer_consume(&input, size);
    // A response without a length is complete when the server closes the connection, but not after
    // a reset, nor after an error that a write has reported.
    if (failure == h2o_socket_error_closed && !conn.write_failed && !is_broken(conn.socket)) {
        parser.on_orderly_end();
    }
    switch (parser.current_state()) {
    case detail::http_response_parser::state::rejected:
        close(conn);
        fail(entry, http_failure::malformed);
        return;
    case detail::http_response_parser::state::complete:
        complete(conn, failure == nullptr && parsed_bytes == size && !conn.write_pending &&
                           reuse == connection_reuse::allowed && parser.may_reuse_connection());
        return;
    case detail::http_response_parser::state::reading:
        if (failure != nullptr) {
            close(conn, true);
            fail(entry, http_failure::closed);
        }
        return;
    }
}

void http_client::state::complete(connection& conn, bool reusable)
{
    call& entry = *conn.current_call;
    conn.current_call = nullptr;
    entry.conn = nullptr;
    auto response = entry.parser->take();
    conn.idle_timeout = max_idle_time_after(response.headers);
    conn.reused = true;
    if (reusable && conn.idle_timeout.count() > 0) {
        conn.idle_since = event_loop.now();
        conn.dest->idle_connections.push_back(&conn);
    }
    else {
        close(conn);
    }
    finish(entry, {std::move(response), http_failure::closed});
}

void http_client::state::close(connection& conn, bool by_server)
{
    if (continuity && conn.connected) {
        continuity->on_closed(h2o_socket_get_fd(conn.socket), by_server);
    }
    if (conn.current_call != nullptr) {
        conn.current_call->conn = nullptr;
    }
    std::erase(conn.dest->idle_connections, &conn);
    h2o_socket_close(conn.socket);
    connections.erase(&conn);
}

void http_client::state::start_waiting_calls(destination& dest)
{
    while (dest.active_calls < max_connections && !dest.waiting_calls.empty()) {
        const auto found = calls.find(dest.waiting_calls.front());
        dest.waiting_calls.pop_front();
        if (found != calls.end()) {
            start_call(*found->second);
        }
    }
}

// The result is delivered at the end of the loop iteration. The callback can then reuse the
// connection for its next call, and may destroy the client.
void http_client::state::finish(call& entry, http_result result)
{
    event_loop.cancel(entry.timer);
    const bool was_active = entry.current_phase != phase::waiting;
    if (!was_active) {
        std::erase(entry.dest->waiting_calls, entry.id);
    }
    entry.current_phase = phase::finished;
    auto node = calls.extract(entry.id);
    auto done = std::make_shared<std::unique_ptr<call>>(std::move(node.mapped()));
    event_loop.defer(
        [this, done, was_active, is_alive = alive, result = std::move(result)]() mutable {
            const auto finished = std::move(*done);
            if (*is_alive && was_active) {
                --finished->dest->active_calls;
                start_waiting_calls(*finished->dest);
            }
            finished->on_result(std::move(result));
        });
}

// Ends a call early. The call fails with `after_write` if its request was written. Otherwise, it
// fails with `connect` or `not_sent`, because no byte was sent.
void http_client::state::abort(call& entry, http_failure after_write)
{
    const phase before = entry.current_phase;
    if (entry.conn != nullptr) {
        close(*entry.conn);
    }
    if (before == phase::written) {
        fail(entry, after_write);
    }
    else {
        fail(entry, before == phase::connecting ? http_failure::connect : http_failure::not_sent);
    }
}

http_client::http_client(loop& loop, std::size_t max_connections_per_address,
                         std::size_t max_response_bytes, connection_reuse reuse,
                         std::shared_ptr<server_continuity> continuity)
    : state_(std::make_unique<state>(loop, max_connections_per_address, max_response_bytes, reuse,
                                     std::move(continuity)))
{
}

http_client::~http_client()
{
    while (!state_->calls.empty()) {
        state_->abort(*state_->calls.begin()->second, http_failure::closed);
    }
    *state_->alive = false;
    while (!state_->connections.empty()) {
        state_->close(*state_->connections.begin()->first);
    }
}

http_client::call_id
http_client::send(const endpoint& address, http_request request, milliseconds timeout,
                  callback on_result, std::function<bool()> before_write,
                  std::function<head_verdict(const http_response&, bool)> accept_head,
                  std::shared_ptr<const std::string> shared_body)
{
    auto& self = *state_;
    auto& dest = self.find_or_add_destination(address);
    auto created = std::make_unique<state::call>();
    auto& entry = *created;
    entry.client = &self;
    entry.id = self.next_call++;
    entry.dest = &dest;
    entry.head_only = request.method == "HEAD";
    entry.on_result = std::move(on_result);
    entry.before_write = std::move(before_write);
    entry.accept_head = std::move(accept_head);
    const auto id = entry.id;
    self.calls.emplace(id, std::move(created));
    if (!detail::is_valid_request(request) ||
        dest.waiting_calls.size() >= max_waiting_calls_per_address) {
        self.fail(entry, http_failure::not_sent);
        return id;
    }
    entry.request_body = shared_body ? std::move(shared_body)
                                     : std::make_shared<const std::string>(std::move(request.body));
    entry.request_head = detail::request_head(address, request, entry.request_body->size());
    entry.timer = self.event_loop.after(timeout, [&self, id] {
        const auto found = self.calls.find(id);
        if (found != self.calls.end()) {
            self.abort(*found->second, http_failure::timeout);
        }
    });
    if (dest.active_calls < self.max_connections) {
        self.start_call(entry);
    }
    else {
        dest.waiting_calls.push_back(id);
    }
    return id;
}

bool http_client::cancel(call_id call)
{
    const auto found = state_->calls.find(call);
    // `cancel` does nothing within `before_write`, which can end the call by returning false.
    if (found == state_->calls.end() || found->second->in_before_write) {
        return false;
    }
    const bool is_unwritten = found->second->current_phase != state::phase::written;
    state_->abort(*found->second, http_failure::closed);
    return is_unwritten;
}

} // namespace bulrushgw::net
