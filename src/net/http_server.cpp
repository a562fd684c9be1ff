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

constexpr milliseconds max_sweep_interval{1000};
constexpr milliseconds min_sweep_interval{10};
constexpr int default_port = 65535; ///< h2o's mark for a host without a port

std::string to_text(h2o_iovec_t bytes)
{
    return {bytes.base, bytes.len};
}

h2o_iovec_t copy_into(h2o_mem_pool_t& pool, std::string_view text)
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
    const auto name = copy_into(request.pool, entry.name);
    h2o_strtolower(name.base, name.len);
    const auto value = copy_into(request.pool, entry.value);
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
    const bool bodiless = request.res.status == 204 || request.res.status == 304;
    if (!bodiless) {
        request.res.content_length = response.body.size();
    }
    h2o_send_inline(&request, response.body.data(), bodiless ? 0 : response.body.size());
}

http_response refusal(int status, const char* reason)
{
    return {status, {{"content-type", "text/plain"}}, std::string(reason) + "\n"};
}

} // namespace

/// Outlives the server object until h2o closed all connections, because h2o
/// connections refer to the context.
struct http_server::state {
    struct connection;

    /// One request that waits for its answer.
    struct pending {
        h2o_req_t* request = nullptr; ///< null once answered or once h2o discarded it
        connection* client = nullptr; ///< valid while `request` is not null
        std::shared_ptr<std::function<void()>> on_cancel =
            std::make_shared<std::function<void()>>();
    };

    /// One client connection; the socket's close hook destroys it.
    struct connection {
        state* server = nullptr;
        h2o_socket_t* socket = nullptr;
        std::shared_ptr<pending> active;
        std::optional<time_point> writing_since; ///< as seen by `close_slow_readers`
    };

    /// Lies in the memory pool of a request, so that h2o reports its end.
    struct request_guard {
        state* server;
        std::shared_ptr<pending> call;
    };

    /// Sees the responses that h2o makes before a handler runs.
    struct refusal_filter {
        h2o_filter_t super;
        state* server;
    };

    struct request_handler {
        h2o_handler_t super;
        state* server;
    };

    net::loop& owner;
    handler on_request;
    http_server_limits limits;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept{};
    std::unique_ptr<detail::listener> listener;
    endpoint address;
    std::set<connection*> connections;
    loop::timer_id sweep = 0;
    std::shared_ptr<state> self_while_closing;
    /// False once the server object is gone: its handlers must not be called.
    std::shared_ptr<bool> open_for_hooks = std::make_shared<bool>(true);

    state(net::loop& on_loop, handler to_call, http_server_limits with)
        : owner(on_loop), on_request(std::move(to_call)), limits(std::move(with))
    {
    }

    void start(const endpoint& on_address);
    void open(h2o_socket_t* socket);
    void close(std::shared_ptr<state> self);
    void finish_close_when_idle();
    void close_slow_readers();
    void handle(h2o_req_t* request);
    void refuse(h2o_req_t& request, int status, const char* reason) const;
    void dispatch(const std::shared_ptr<pending>& call);
    void cancel(const std::shared_ptr<pending>& call) const;
    void abandon(std::shared_ptr<pending> call) const;

    static void answer(pending& call, const http_response& response);
    static void drop(pending& call);
    static void watch(connection& client);
    static void stop_watch(connection& client);
    static void on_readable(h2o_socket_t* socket, const char* failure);
    static void on_closed(void* data);
    static void on_discarded(void* data);
    static int on_h2o_request(h2o_handler_t* self, h2o_req_t* request);
    static void on_h2o_response(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** slot);
};

void http_server::state::start(const endpoint& on_address)
{
    // Bound first: it is the only step that can fail, and it needs no clean-up.
    listener = std::make_unique<detail::listener>(owner, on_address,
                                                  [this](h2o_socket_t* socket) { open(socket); });
    address = listener->address();
    h2o_config_init(&config);
    config.http1.upgrade_to_http2 = 0;
    config.http1.req_timeout = static_cast<std::uint64_t>(limits.request_timeout.count());
    config.max_request_entity_size = limits.max_body_bytes;
    // h2o_context_init aborts when no host is registered.
    auto* host =
        h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), default_port);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* entry =
        reinterpret_cast<request_handler*>(h2o_create_handler(path, sizeof(request_handler)));
    entry->super.on_req = on_h2o_request;
    entry->server = this;
    auto* filter = reinterpret_cast<refusal_filter*>(
        h2o_create_filter(&host->fallback_path, sizeof(refusal_filter)));
    filter->super.on_setup_ostream = on_h2o_response;
    filter->server = this;
    h2o_context_init(&context, owner.evloop(), &config);
    accept.ctx = &context;
    accept.hosts = config.hosts;
    const auto interval =
        std::clamp(limits.request_timeout / 4, min_sweep_interval, max_sweep_interval);
    sweep = owner.every(interval, [this] { close_slow_readers(); });
}

// h2o waits without a limit for a client that does not read its answer.
void http_server::state::close_slow_readers()
{
    const auto now = owner.now();
    for (auto* client : connections) {
        if (client->active != nullptr || h2o_socket_is_writing(client->socket) == 0) {
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
    self_while_closing = std::move(self);
    *open_for_hooks = false;
    listener.reset();
    on_request = nullptr;
    const auto open_now = connections;
    for (auto* client : open_now) {
        // h2o learns of the end of its connections only through the socket.
        shutdown(h2o_socket_get_fd(client->socket), SHUT_RD);
        if (client->active != nullptr) {
            abandon(client->active);
        }
    }
    finish_close_when_idle();
}

void http_server::state::finish_close_when_idle()
{
    if (self_while_closing == nullptr || !connections.empty()) {
        return;
    }
    // h2o still uses the connection that closes now, so the rest waits a turn.
    owner.cancel(sweep);
    owner.defer([self = std::move(self_while_closing)] {
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
        refuse(*request, 503, "stopping");
        return;
    }
    if (header_bytes(*request) > limits.max_header_bytes) {
        refuse(*request, 431, "headers above the limit");
        return;
    }
    auto call = std::make_shared<pending>();
    call->request = request;
    call->client = client;
    client->active = call;
    void* memory = h2o_mem_alloc_shared(&request->pool, sizeof(request_guard), on_discarded);
    new (memory) request_guard{this, call};
    dispatch(call);
    if (call->request != nullptr) {
        watch(*client);
    }
}

void http_server::state::refuse(h2o_req_t& request, int status, const char* reason) const
{
    auto response = refusal(status, reason);
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
    const auto& limits = reinterpret_cast<refusal_filter*>(self)->server->limits;
    if (limits.refusal_headers) {
        for (const auto& entry : limits.refusal_headers(request->res.status)) {
            add_header(*request, entry);
        }
    }
    h2o_setup_next_ostream(request, slot);
}

void http_server::state::dispatch(const std::shared_ptr<pending>& call)
{
    http_exchange exchange;
    exchange.request = copy_request(*call->request);
    exchange.on_cancel = call->on_cancel;
    exchange.respond = [call](const http_response& response) { answer(*call, response); };
    exchange.drop = [call] { drop(*call); };
    try {
        on_request(std::move(exchange));
    }
    catch (const std::exception&) {
        // An exception must not cross h2o's C frames.
        answer(*call, refusal(500, "internal error"));
    }
}

void http_server::state::on_discarded(void* data)
{
    auto* guard = static_cast<request_guard*>(data);
    if (std::exchange(guard->call->request, nullptr) != nullptr) {
        guard->server->cancel(guard->call);
    }
    guard->~request_guard();
}

void http_server::state::cancel(const std::shared_ptr<pending>& call) const
{
    owner.defer([hook = call->on_cancel, is_open = open_for_hooks] {
        if (*is_open && *hook) {
            (*hook)();
        }
    });
}

// By value: `answer` clears the connection's reference to the call.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void http_server::state::abandon(std::shared_ptr<pending> call) const
{
    if (call->request == nullptr) {
        return;
    }
    call->request->http1_is_persistent = 0;
    answer(*call, refusal(503, "connection ended"));
    cancel(call);
}

void http_server::state::answer(pending& call, const http_response& response)
{
    h2o_req_t* request = std::exchange(call.request, nullptr);
    if (request == nullptr) {
        return;
    }
    stop_watch(*call.client);
    call.client->active.reset();
    call.client->writing_since.reset();
    if (call.client->server->listener == nullptr) {
        request->http1_is_persistent = 0;
    }
    write_response(*request, response);
}

// h2o closes the connection when the write of the answer fails.
void http_server::state::drop(pending& call)
{
    if (call.request == nullptr) {
        return;
    }
    shutdown(h2o_socket_get_fd(call.client->socket), SHUT_RDWR);
    call.request->http1_is_persistent = 0;
    answer(call, refusal(503, "dropped"));
}

// h2o does not read while it waits for an answer, so it would not see that the
// client closes. Reading is left to h2o: the request refers to the input buffer,
// which a read may move.
void http_server::state::watch(connection& client)
{
    h2o_socket_dont_read(client.socket, 1);
    h2o_socket_read_start(client.socket, on_readable);
}

void http_server::state::stop_watch(connection& client)
{
    h2o_socket_read_stop(client.socket);
    h2o_socket_dont_read(client.socket, 0);
}

void http_server::state::on_readable(h2o_socket_t* socket, const char* failure)
{
    auto* client = static_cast<connection*>(socket->on_close.data);
    char byte = 0;
    const auto got = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR) && failure == nullptr) {
        return;
    }
    stop_watch(*client);
    // Bytes of a next request: they stay unread, and the watch ends, because the
    // socket would be reported as readable in every turn.
    if (got > 0 && failure == nullptr) {
        return;
    }
    if (client->active != nullptr) {
        client->server->abandon(client->active);
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

std::size_t http_server::connections() const
{
    return state_->connections.size();
}

const endpoint& http_server::address() const
{
    return state_->address;
}

} // namespace bulrushgw::net
