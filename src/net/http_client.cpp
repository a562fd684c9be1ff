#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <map>
#include <poll.h>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/h2o_library.h"
#include "net/http.h"
#include "net/http_text.h"
#include "net/sockets.h"

namespace bulrushgw::net {

namespace {

/// Below the request timeout of the server, so that the server does not close a
/// connection that is about to be reused.
constexpr std::uint64_t idle_connection_ms = 5000;
/// h2o restarts this timeout on every read; each call has its own hard timeout.
constexpr std::uint64_t h2o_io_timeout_ms = 3'600'000;
/// Addresses without calls are forgotten when there are this many.
constexpr std::size_t max_idle_destinations = 64;
/// Interval between two looks at the size of answers whose headers are incomplete,
/// which h2o collects without a limit.
constexpr milliseconds size_check_interval{20};
/// Bytes that the head of an answer may take beside its body.
constexpr std::size_t max_head_bytes = std::size_t{64} * 1024;
/// Calls that wait for a connection to one address; further calls are refused.
constexpr std::size_t max_waiting_per_address = 10000;

bool is_writable(const http_request& request)
{
    return detail::is_token(request.method) && detail::is_request_target(request.path) &&
           std::all_of(request.headers.begin(), request.headers.end(), detail::is_valid_header);
}

std::string to_bytes(const endpoint& address, const http_request& request)
{
    std::string head = request.method + " " + request.path + " HTTP/1.1\r\n";
    if (!find_header(request.headers, "host")) {
        head += "host: " + to_string(address) + "\r\n";
    }
    for (const auto& entry : request.headers) {
        if (!detail::is_connection_header(entry.name)) {
            head += entry.name + ": " + entry.value + "\r\n";
        }
    }
    head += "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n";
    return head + request.body;
}

bool is_end(const char* failure)
{
    return failure == h2o_http1client_error_is_eos;
}

} // namespace

/// Built on h2o_http1client: its socket pool keeps connections and tests them before
/// reuse, it can be cancelled, and it calls `on_connect` directly before the write.
/// It does not bound the number of connections, the time of a call or the size of
/// an answer; this class does.
struct http_client::state {
    /// Connections and waiting calls of one address.
    struct destination {
        endpoint address;
        h2o_socketpool_t pool{};
        std::size_t active = 0;
        std::deque<call_id> waiting;
    };

    enum class phase { waiting, connecting, written, finished };

    struct call {
        state* owner = nullptr;
        call_id id = 0;
        destination* to = nullptr;
        std::string bytes;
        h2o_iovec_t buffer{}; ///< h2o reads it while it writes the request
        bool head_only = false;
        phase now = phase::waiting;
        bool in_before_write = false;
        h2o_http1client_t* client = nullptr; ///< null when h2o holds no connection
        std::uint64_t timer = 0;
        http_response response;
        bool ends_with_connection = false; ///< the answer has no length
        callback on_result;
        std::function<bool()> before_write;
        std::function<bool(const http_response&)> accept_head;
    };

    net::loop& owner;
    std::size_t max_connections;
    std::size_t max_response_bytes;
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::map<endpoint, std::unique_ptr<destination>> destinations;
    std::unordered_map<call_id, std::unique_ptr<call>> calls;
    call_id next_call = 1;
    loop::timer_id size_check = 0; ///< runs while there are calls
    /// Tells deferred results whether the client still exists.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    state(net::loop& on_loop, std::size_t connections, std::size_t response_bytes)
        : owner(on_loop), max_connections(std::max<std::size_t>(connections, 1)),
          max_response_bytes(response_bytes)
    {
        h2o_timeout_init(owner.evloop(), &io_timeout, h2o_io_timeout_ms);
        context.loop = owner.evloop();
        context.io_timeout = &io_timeout;
    }

    destination& find_destination(const endpoint& address);
    void forget_idle_destinations();
    void connect(call& entry);
    void start_waiting(destination& to);
    void finish(call& entry, http_result result);
    void fail(call& entry, http_failure failure) { finish(entry, {std::nullopt, failure}); }
    void abort(call& entry, http_failure after_write);
    bool append_body(call& entry);
    static bool was_reset(h2o_http1client_t* client);
    static bool accepts_head(const call& entry);
    void start_size_check();
    void check_sizes();

    static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* failure,
                                              h2o_iovec_t** buffers, size_t* count, int* is_head);
    static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* failure,
                                           int minor_version, int status, h2o_iovec_t message,
                                           h2o_header_t* headers, size_t header_count, int);
    static int on_body(h2o_http1client_t* client, const char* failure);
};

http_client::state::destination& http_client::state::find_destination(const endpoint& address)
{
    const auto found = destinations.find(address);
    if (found != destinations.end()) {
        return *found->second;
    }
    if (destinations.size() >= max_idle_destinations) {
        forget_idle_destinations();
    }
    auto& slot = destinations[address];
    auto target = detail::to_socket_address(address);
    slot = std::make_unique<destination>();
    slot->address = address;
    h2o_socketpool_init_by_address(&slot->pool, reinterpret_cast<sockaddr*>(&target.bytes),
                                   target.size, 0, max_connections);
    h2o_socketpool_set_timeout(&slot->pool, owner.evloop(), idle_connection_ms);
    return *slot;
}

void http_client::state::forget_idle_destinations()
{
    for (auto at = destinations.begin(); at != destinations.end();) {
        destination& to = *at->second;
        if (to.active == 0 && to.waiting.empty()) {
            h2o_socketpool_dispose(&to.pool);
            at = destinations.erase(at);
        }
        else {
            ++at;
        }
    }
}

void http_client::state::connect(call& entry)
{
    ++entry.to->active;
    entry.now = phase::connecting;
    // h2o may call `on_connect`, which may finish the call, before this returns.
    h2o_http1client_connect_with_pool(&entry.client, &entry, &context, &entry.to->pool, on_connect);
}

void http_client::state::start_waiting(destination& to)
{
    while (to.active < max_connections && !to.waiting.empty()) {
        const auto found = calls.find(to.waiting.front());
        to.waiting.pop_front();
        if (found != calls.end()) {
            connect(*found->second);
        }
    }
}

// The result is delivered at the end of the turn: h2o puts the connection back
// into the pool after its callback returns, and the caller's next call reuses it.
void http_client::state::finish(call& entry, http_result result)
{
    owner.cancel(entry.timer);
    const bool was_active = entry.now != phase::waiting;
    if (!was_active) {
        std::erase(entry.to->waiting, entry.id);
    }
    entry.now = phase::finished;
    entry.client = nullptr;
    auto node = calls.extract(entry.id);
    auto done = std::make_shared<std::unique_ptr<call>>(std::move(node.mapped()));
    owner.defer([this, done, was_active, is_alive = alive, result = std::move(result)]() mutable {
        const auto finished = std::move(*done);
        if (*is_alive && was_active) {
            --finished->to->active;
            start_waiting(*finished->to);
        }
        finished->on_result(std::move(result));
    });
}

// Ends a call early. Only a call whose bytes h2o has not seen is certainly not sent.
void http_client::state::abort(call& entry, http_failure after_write)
{
    if (entry.client != nullptr) {
        h2o_http1client_cancel(std::exchange(entry.client, nullptr));
    }
    if (entry.now == phase::written) {
        fail(entry, after_write);
    }
    else {
        fail(entry,
             entry.now == phase::connecting ? http_failure::connect : http_failure::not_sent);
    }
}

h2o_http1client_head_cb http_client::state::on_connect(h2o_http1client_t* client,
                                                       const char* failure, h2o_iovec_t** buffers,
                                                       size_t* count, int* is_head)
{
    auto& entry = *static_cast<call*>(client->data);
    if (failure != nullptr) {
        entry.owner->fail(entry, http_failure::connect);
        return nullptr;
    }
    if (entry.before_write) {
        entry.in_before_write = true;
        bool allowed = false;
        try {
            allowed = entry.before_write();
        }
        catch (const std::exception&) {
            // An exception must not cross h2o's C frames.
            allowed = false;
        }
        entry.in_before_write = false;
        if (!allowed) {
            entry.owner->fail(entry, http_failure::not_sent);
            return nullptr;
        }
    }
    entry.now = phase::written;
    entry.owner->start_size_check();
    entry.buffer = h2o_iovec_init(entry.bytes.data(), entry.bytes.size());
    *buffers = &entry.buffer;
    *count = 1;
    *is_head = entry.head_only ? 1 : 0;
    return on_head;
}

h2o_http1client_body_cb http_client::state::on_head(h2o_http1client_t* client, const char* failure,
                                                    int, int status, h2o_iovec_t,
                                                    h2o_header_t* headers, size_t header_count, int)
{
    auto& entry = *static_cast<call*>(client->data);
    if (failure != nullptr && !is_end(failure)) {
        // h2o tells a broken connection from a broken answer only in its text.
        const bool broken = std::strstr(failure, "I/O") != nullptr;
        entry.owner->fail(entry, broken ? http_failure::closed : http_failure::malformed);
        return nullptr;
    }
    entry.response.status = status;
    std::size_t bytes = 0;
    for (size_t i = 0; i < header_count; ++i) {
        const auto& from = headers[i];
        bytes += from.name->len + from.value.len;
        entry.response.headers.push_back(
            {{from.name->base, from.name->len}, {from.value.base, from.value.len}});
    }
    entry.ends_with_connection = !find_header(entry.response.headers, "content-length") &&
                                 !find_header(entry.response.headers, "transfer-encoding");
    if (bytes > max_head_bytes) {
        entry.owner->fail(entry, http_failure::malformed);
        return nullptr;
    }
    if (entry.accept_head && !accepts_head(entry)) {
        entry.owner->fail(entry, http_failure::malformed);
        return nullptr;
    }
    if (is_end(failure)) {
        entry.owner->finish(entry, {std::move(entry.response), http_failure::closed});
        return nullptr;
    }
    return on_body;
}

bool http_client::state::accepts_head(const call& entry)
{
    try {
        return entry.accept_head(entry.response);
    }
    catch (const std::exception&) {
        // An exception must not cross h2o's C frames.
        return false;
    }
}

void http_client::state::start_size_check()
{
    if (size_check == 0) {
        size_check = owner.every(size_check_interval, [this] { check_sizes(); });
    }
}

void http_client::state::check_sizes()
{
    std::vector<call*> oversized;
    for (auto& [id, entry] : calls) {
        if (entry->now == phase::written &&
            entry->client->sock->input->size > max_response_bytes + max_head_bytes) {
            oversized.push_back(entry.get());
        }
    }
    for (auto* entry : oversized) {
        h2o_http1client_cancel(std::exchange(entry->client, nullptr));
        fail(*entry, http_failure::malformed);
    }
    if (calls.empty()) {
        owner.cancel(std::exchange(size_check, 0));
    }
}

bool http_client::state::append_body(call& entry)
{
    auto* socket = entry.client->sock;
    auto& body = entry.response.body;
    if (body.size() + socket->input->size > max_response_bytes) {
        return false;
    }
    body.append(socket->input->bytes, socket->input->size);
    h2o_buffer_consume(&socket->input, socket->input->size);
    return true;
}

// h2o takes any end of a connection for the end of an answer without a length. A
// connection that was reset is closed in both directions, one that ended is not.
bool http_client::state::was_reset(h2o_http1client_t* client)
{
    pollfd state{h2o_socket_get_fd(client->sock), POLLIN, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

int http_client::state::on_body(h2o_http1client_t* client, const char* failure)
{
    auto& entry = *static_cast<call*>(client->data);
    if (failure != nullptr && is_end(failure) && entry.ends_with_connection && was_reset(client)) {
        entry.owner->fail(entry, http_failure::closed);
        return -1;
    }
    if (failure != nullptr && !is_end(failure)) {
        entry.owner->fail(entry, http_failure::closed);
        return -1;
    }
    if (!entry.owner->append_body(entry)) {
        entry.owner->fail(entry, http_failure::malformed);
        return -1;
    }
    if (is_end(failure)) {
        entry.owner->finish(entry, {std::move(entry.response), http_failure::closed});
    }
    return 0;
}

http_client::http_client(loop& loop, std::size_t max_connections_per_address,
                         std::size_t max_response_bytes)
    : state_(std::make_unique<state>(loop, max_connections_per_address, max_response_bytes))
{
}

http_client::~http_client()
{
    while (!state_->calls.empty()) {
        state_->abort(*state_->calls.begin()->second, http_failure::closed);
    }
    *state_->alive = false;
    state_->owner.cancel(state_->size_check);
    for (auto& [address, to] : state_->destinations) {
        h2o_socketpool_dispose(&to->pool);
    }
    h2o_timeout_dispose(state_->owner.evloop(), &state_->io_timeout);
}

http_client::call_id http_client::send(const endpoint& address, const http_request& request,
                                       milliseconds timeout, callback on_result,
                                       std::function<bool()> before_write,
                                       std::function<bool(const http_response&)> accept_head)
{
    auto& self = *state_;
    auto& to = self.find_destination(address);
    auto created = std::make_unique<state::call>();
    auto& entry = *created;
    entry.owner = &self;
    entry.id = self.next_call++;
    entry.to = &to;
    entry.head_only = request.method == "HEAD";
    entry.on_result = std::move(on_result);
    entry.before_write = std::move(before_write);
    entry.accept_head = std::move(accept_head);
    const auto id = entry.id;
    self.calls.emplace(id, std::move(created));
    if (!is_writable(request) || to.waiting.size() >= max_waiting_per_address) {
        self.fail(entry, http_failure::not_sent);
        return id;
    }
    entry.bytes = to_bytes(address, request);
    entry.timer = self.owner.after(timeout, [&self, id] {
        const auto found = self.calls.find(id);
        if (found != self.calls.end()) {
            self.abort(*found->second, http_failure::timeout);
        }
    });
    if (to.active < self.max_connections) {
        self.connect(entry);
    }
    else {
        to.waiting.push_back(id);
    }
    return id;
}

void http_client::cancel(call_id call)
{
    const auto found = state_->calls.find(call);
    // Within `before_write` the caller ends the call by its result instead.
    if (found != state_->calls.end() && !found->second->in_before_write) {
        state_->abort(*found->second, http_failure::closed);
    }
}

} // namespace bulrushgw::net
