#include <algorithm>
#include <cerrno>
#include <new>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <utility>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/http_text.h"
#include "net/sockets.h"

namespace bulrushgw::net {

namespace {

/// Bounds of the interval between checks for clients that do not read their responses.
constexpr milliseconds max_sweep_interval{1000};
constexpr milliseconds min_sweep_interval{10};
constexpr int unspecified_port = 65535; ///< h2o's value for a host without a port

std::string to_text(h2o_iovec_t bytes)
{
    return {bytes.base, bytes.len};
}

h2o_iovec_t copy_to_pool(h2o_mem_pool_t& pool, std::string_view text)
{
    return h2o_strdup(&pool, text.data(), text.size());
}

std::size_t header_bytes(const h2o_req_t& request)
{
    std::size_t total = request.input.path.len;
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        total += request.headers.entries[i].name->len + request.headers.entries[i].value.len;
    }
    return total;
}

http_request copy_request(const h2o_req_t& from)
{
    http_request result;
    result.method = to_text(from.input.method);
    result.path = to_text(from.input.path);
    result.headers.reserve(from.headers.size + 1);
    if (from.input.authority.len != 0) {
        result.headers.push_back({"host", to_text(from.input.authority)});
    }
    for (std::size_t i = 0; i < from.headers.size; ++i) {
        const auto& entry = from.headers.entries[i];
        result.headers.push_back({to_text(*entry.name), to_text(entry.value)});
    }
    if (from.entity.base != nullptr) {
        result.body = to_text(from.entity);
    }
    return result;
}

void add_header(h2o_req_t& request, const header& entry)
{
    const auto name = copy_to_pool(request.pool, entry.name);
    h2o_strtolower(name.base, name.len);
    const auto value = copy_to_pool(request.pool, entry.value);
    h2o_add_header_by_str(&request.pool, &request.res.headers, name.base, name.len, 1, nullptr,
                          value.base, value.len);
}

void write_response(h2o_req_t& request, const http_response& response)
{
    const bool valid = response.status >= 200 && response.status <= 999;
    request.res.status = valid ? response.status : 500;
    request.res.reason = detail::reason_phrase(request.res.status);
    for (const auto& entry : response.headers) {
        if (detail::is_valid_header(entry) && !detail::is_connection_header(entry.name)) {
            add_header(request, entry);
        }
    }
    const bool has_no_body = request.res.status == 204 || request.res.status == 304;
    if (!has_no_body) {
        request.res.content_length = response.body.size();
    }
    h2o_send_inline(&request, response.body.data(), has_no_body ? 0 : response.body.size());
}

/// The unread input of a client.
enum class client_input {
    none,
    available,
    ended, ///< the client disconnected or closed its sending side
};

http_response error_response(int status, const char* reason)
{
    return {status, {{"content-type", "text/plain"}}, std::string(reason) + "\n"};
}

} // namespace

/// Outlives the server object until h2o has closed all connections, because they use the h2o
/// context in this state.
struct http_server::state {
    struct connection;

    /// A request that waits for its response.
    struct pending_request {
        h2o_req_t* request = nullptr; ///< null after the response, or once h2o discarded it
        connection* client = nullptr; ///< valid while `request` is not null
        std::shared_ptr<std::function<void()>> on_cancel =
            std::make_shared<std::function<void()>>();
    };

    /// One client connection; the socket's close hook destroys it.
    struct connection {
        state* server = nullptr;
        h2o_socket_t* socket = nullptr;
        std::shared_ptr<pending_request> active_request;
        std::optional<time_point> writing_since; ///< first time `close_slow_readers` saw the write
    };

    /// Allocated in the memory pool of a request: h2o calls `on_discarded` when it frees the pool.
    struct request_guard {
        state* server;
        std::shared_ptr<pending_request> pending;
    };

    /// Adds `refusal_headers` to the error responses that h2o generates before a handler runs.
    struct error_response_filter {
        h2o_filter_t super;
        state* server;
    };

    struct request_handler {
        h2o_handler_t super;
        state* server;
    };

    net::loop& event_loop;
    handler on_request;
    http_server_limits limits;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept{};
    std::unique_ptr<detail::listener> listener;
    endpoint address;
    std::set<connection*> connections;
    loop::timer_id sweep_timer = 0;
    std::uint64_t abandoned_requests = 0;
    std::shared_ptr<state> self_until_closed;
    /// Set to false when the server object is destroyed: `on_cancel` is not called after that.
    std::shared_ptr<bool> callbacks_enabled = std::make_shared<bool>(true);

    state(net::loop& loop_to_use, handler request_callback, http_server_limits server_limits)
        : event_loop(loop_to_use), on_request(std::move(request_callback)),
          limits(std::move(server_limits))
    {
    }

    void start(const endpoint& on_address);
    void open(h2o_socket_t* socket);
    void close(std::shared_ptr<state> self);
    void finish_close_when_idle();
    void close_slow_readers();
    void handle(h2o_req_t* request);
    void send_error(h2o_req_t& request, int status, const char* reason) const;
    void dispatch(const std::shared_ptr<pending_request>& pending);
    void cancel(const std::shared_ptr<pending_request>& pending) const;
    void abort_request(std::shared_ptr<pending_request> pending) const;

    static void send_response(pending_request& pending, const http_response& response);
    static void drop(pending_request& pending);
    static client_input peek(const connection& client);
    static void watch_for_disconnect(connection& client);
    static void stop_watching(connection& client);
    static void on_readable(h2o_socket_t* socket, const char* failure);
    static void on_closed(void* data);
    static void on_discarded(void* data);
    static int on_h2o_request(h2o_handler_t* self, h2o_req_t* request);
    static void on_h2o_response(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** slot);
};

void http_server::state::start(const endpoint& on_address)
{
    // The listener is created first because this is the only step that can fail. If it fails, there
    // is nothing to undo.
    listener = std::make_unique<detail::listener>(event_loop, on_address,
                                                  [this](h2o_socket_t* socket) { open(socket); });
    address = listener->address();
    h2o_config_init(&config);
    config.http1.upgrade_to_http2 = 0;
    config.http1.req_timeout = static_cast<std::uint64_t>(limits.request_timeout.count());
    config.max_request_entity_size = limits.max_body_bytes;
    // h2o_context_init aborts the process when no host is registered.
    auto* host =
        h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), unspecified_port);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* entry =
        reinterpret_cast<request_handler*>(h2o_create_handler(path, sizeof(request_handler)));
    entry->super.on_req = on_h2o_request;
    entry->server = this;
    auto* filter = reinterpret_cast<error_response_filter*>(
        h2o_create_filter(&host->fallback_path, sizeof(error_response_filter)));
    filter->super.on_setup_ostream = on_h2o_response;
    filter->server = this;
    h2o_context_init(&context, event_loop.evloop(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
    const auto interval =
        std::clamp(limits.request_timeout / 4, min_sweep_interval, max_sweep_interval);
    sweep_timer = event_loop.every(interval, [this] { close_slow_readers(); });
}

// Closes connections whose client does not read its response; h2o has no timeout for writes.
void http_server::state::close_slow_readers()
{
    const auto now = event_loop.now();
    for (auto* client : connections) {
        if (client->active_request != nullptr || h2o_socket_is_writing(client->socket) == 0) {
            client->writing_since.reset();
        }
        else if (!client->writing_since) {
            client->writing_since = now;
        }
        else if (now - *client->writing_since > limits.request_timeout) {
            // The pending write fails, and h2o closes the connection.
            shutdown(h2o_socket_get_fd(client->socket), SHUT_RDWR);
        }
    }
}

void http_server::state::open(h2o_socket_t* socket)
{
    if (connections.size() >= limits.max_connections) {
        h2o_socket_close(socket);
        return;
    }
    auto* client = new connection{this, socket, nullptr, std::nullopt};
    connections.insert(client);
    socket->on_close.cb = on_closed;
    socket->on_close.data = client;
    h2o_accept(&accept, socket);
}

void http_server::state::on_closed(void* data)
{
    const std::unique_ptr<connection> client{static_cast<connection*>(data)};
    client->server->connections.erase(client.get());
    client->server->finish_close_when_idle();
}

void http_server::state::close(std::shared_ptr<state> self)
{
    self_until_closed = std::move(self);
    *callbacks_enabled = false;
    listener.reset();
    on_request = nullptr;
    const auto open_now = connections;
    for (auto* client : open_now) {
        // h2o closes a connection only when its socket reports the end of the input.
        shutdown(h2o_socket_get_fd(client->socket), SHUT_RD);
        if (client->active_request != nullptr) {
            abort_request(client->active_request);
        }
    }
    finish_close_when_idle();
}

void http_server::state::finish_close_when_idle()
{
    if (self_until_closed == nullptr || !connections.empty()) {
        return;
    }
    // h2o still uses the connection that is being closed, so the context is disposed of at the end
    // of the loop iteration.
    event_loop.cancel(sweep_timer);
    event_loop.defer([self = std::move(self_until_closed)] {
        h2o_context_dispose(&self->context);
        h2o_config_dispose(&self->config);
    });
}

int http_server::state::on_h2o_request(h2o_handler_t* self, h2o_req_t* request)
{
    reinterpret_cast<request_handler*>(self)->server->handle(request);
    return 0;
}

void http_server::state::handle(h2o_req_t* request)
{
    h2o_socket_t* socket = request->conn->callbacks->get_socket(request->conn);
    auto* client = static_cast<connection*>(socket->on_close.data);
    if (on_request == nullptr) {
        request->http1_is_persistent = 0;
        send_error(*request, 503, "stopping");
        return;
    }
    if (header_bytes(*request) > limits.max_header_bytes) {
        send_error(*request, 431, "headers above the limit");
        return;
    }
    auto pending = std::make_shared<pending_request>();
    pending->request = request;
    pending->client = client;
    client->active_request = pending;
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(request_guard), on_discarded);
    new (memory) request_guard{this, pending};
    if (limits.ignore_abandoned_requests && peek(*client) == client_input::ended) {
        ++abandoned_requests;
        drop(*pending);
        return;
    }
    dispatch(pending);
    if (pending->request != nullptr) {
        watch_for_disconnect(*client);
    }
}

void http_server::state::send_error(h2o_req_t& request, int status, const char* reason) const
{
    auto response = error_response(status, reason);
    if (limits.refusal_headers) {
        for (auto& entry : limits.refusal_headers(status)) {
            response.headers.push_back(std::move(entry));
        }
    }
    write_response(request, response);
}

void http_server::state::on_h2o_response(h2o_filter_t* self, h2o_req_t* request,
                                         h2o_ostream_t** slot)
{
    const auto& limits = reinterpret_cast<error_response_filter*>(self)->server->limits;
    if (limits.refusal_headers) {
        for (const auto& entry : limits.refusal_headers(request->res.status)) {
            add_header(*request, entry);
        }
    }
    h2o_setup_next_ostream(request, slot);
}

void http_server::state::dispatch(const std::shared_ptr<pending_request>& pending)
{
    http_exchange exchange;
    exchange.request = copy_request(*pending->request);
    exchange.on_cancel = pending->on_cancel;
    exchange.respond = [pending](const http_response& response) {
        send_response(*pending, response);
    };
    exchange.drop = [pending] { drop(*pending); };
    try {
        on_request(std::move(exchange));
    }
    catch (const std::exception&) {
        // An exception must not propagate through h2o's C stack frames.
        send_response(*pending, error_response(500, "internal error"));
    }
}

void http_server::state::on_discarded(void* data)
{
    auto* guard = static_cast<request_guard*>(data);
    if (std::exchange(guard->pending->request, nullptr) != nullptr) {
        guard->server->cancel(guard->pending);
    }
    guard->~request_guard();
}

void http_server::state::cancel(const std::shared_ptr<pending_request>& pending) const
{
    event_loop.defer([hook = pending->on_cancel, are_enabled = callbacks_enabled] {
        if (*are_enabled && *hook) {
            (*hook)();
        }
    });
}

// Ends a request whose client disconnected or whose server is being destroyed. `on_cancel` is
// called unless the server is being destroyed. `pending` is passed by value because `drop` resets
// the connection's reference to it.
//
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void http_server::state::abort_request(std::shared_ptr<pending_request> pending) const
{
    if (pending->request == nullptr) {
        return;
    }
    drop(*pending);
    cancel(pending);
}

void http_server::state::send_response(pending_request& pending, const http_response& response)
{
    h2o_req_t* request = std::exchange(pending.request, nullptr);
    if (request == nullptr) {
        return;
    }
    stop_watching(*pending.client);
    pending.client->active_request.reset();
    pending.client->writing_since.reset();
    if (pending.client->server->listener == nullptr) {
        request->http1_is_persistent = 0;
    }
    write_response(*request, response);
}

// Ends a request without a response. h2o frees a request only after a response, so one is written
// to the socket after it was shut down: the write fails, and h2o closes the connection.
void http_server::state::drop(pending_request& pending)
{
    if (pending.request == nullptr) {
        return;
    }
    shutdown(h2o_socket_get_fd(pending.client->socket), SHUT_RDWR);
    pending.request->http1_is_persistent = 0;
    send_response(pending, error_response(503, "dropped"));
}

client_input http_server::state::peek(const connection& client)
{
    char byte = 0;
    const auto bytes = recv(h2o_socket_get_fd(client.socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (bytes > 0) {
        return client_input::available;
    }
    const bool is_open = bytes < 0 && (errno == EAGAIN || errno == EINTR);
    return is_open ? client_input::none : client_input::ended;
}

// h2o does not read from the socket while a request waits for its response, so it would not
// notice that the client disconnects. The socket is watched for readability without reading from
// it: the request has pointers into the input buffer, which a read may move.
void http_server::state::watch_for_disconnect(connection& client)
{
    h2o_socket_dont_read(client.socket, 1);
    h2o_socket_read_start(client.socket, on_readable);
}

void http_server::state::stop_watching(connection& client)
{
    h2o_socket_read_stop(client.socket);
    h2o_socket_dont_read(client.socket, 0);
}

void http_server::state::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto* client = static_cast<connection*>(socket->on_close.data);
    const auto input = failure == nullptr ? peek(*client) : client_input::ended;
    if (input == client_input::none) {
        return;
    }
    stop_watching(*client);
    // The bytes of a pipelined request stay unread. Watching ends here, because these bytes would
    // make the socket readable in every loop iteration.
    if (input == client_input::available) {
        return;
    }
    if (client->active_request != nullptr) {
        client->server->abort_request(client->active_request);
    }
}

http_server::http_server(loop& loop, const endpoint& address, handler on_request,
                         http_server_limits limits)
    : state_(std::make_shared<state>(loop, std::move(on_request), std::move(limits)))
{
    state_->start(address);
}

http_server::~http_server()
{
    auto* closing = state_.get();
    closing->close(std::move(state_));
}

void http_server::stop_accepting()
{
    state_->listener.reset();
}

void http_server::set_idle_timeout(milliseconds time)
{
    state_->context.http1.req_timeout.timeout = static_cast<std::uint64_t>(time.count());
}

std::uint64_t http_server::abandoned_requests() const
{
    return state_->abandoned_requests;
}

std::size_t http_server::connections() const
{
    return state_->connections.size();
}

const endpoint& http_server::address() const
{
    return state_->address;
}

} // namespace bulrushgw::net
