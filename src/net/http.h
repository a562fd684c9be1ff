#pragma once

/// HTTP server and client over http_parser and the loop's sockets. All calls and callbacks run on
/// the loop.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "net/loop.h"
#include "net/memory_budget.h"
#include "net/server_continuity.h"

namespace bulrushgw::net {

struct address_error : error {
    using error::error;
};

struct listen_error : error {
    using error::error;
};

/// An IPv4 or IPv6 address and a port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
};

/// Parses "127.0.0.1:8080" or "[::1]:8080". Throws `address_error`.
endpoint parse_endpoint(const std::string& text);
std::string to_string(const endpoint& address);

struct header {
    std::string name; ///< case-insensitive
    std::string value;
};

using header_list = std::vector<header>;

/// The value of the first header named `name`, or none.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

struct http_request {
    std::string method;
    std::string path; ///< the request target with its query, as received
    header_list headers;
    std::string body;
};

struct http_response {
    int status = 200;
    header_list headers;
    std::string body;
};

/// True for the status of a final response that HTTP has, 200 to 599. Thread-safe.
bool is_final_status(int status);

/// A request and the functions that end it. `respond` sends the response and may be called on the
/// loop after the handler has returned. A second call is ignored, and so is a call after the client
/// disconnected. Response headers that belong to the connection or break the HTTP grammar are left
/// out. The handler may set `on_cancel`, which is called if the client disconnects before the
/// response. A client that closes only its sending side counts as disconnected; its connection is
/// closed without a response, because the request may run. `on_cancel` is not called once the
/// server is destroyed. `drop` closes the connection without a response.
struct http_exchange {
    http_request request;
    std::function<void(http_response)> respond;
    std::shared_ptr<std::function<void()>> on_cancel;
    std::function<void()> drop;
};

struct http_server_limits {
    std::size_t max_body_bytes = std::size_t{1024} * 1024; ///< larger bodies get status 413
    /// Limit on the total size of the path and all header names and values. A larger request gets
    /// status 431.
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_connections = 1000; ///< further connections are closed
    /// Time for a client to send a request or to read a response before it is disconnected.
    milliseconds request_timeout{10000};
    /// Time for a client to send the head of a request after its first byte; then it gets status
    /// 408. 0: the idle timeout. While memory is low or few connections are left, it also applies
    /// to a body that makes no progress; otherwise the idle timeout applies to such a body.
    milliseconds header_timeout{0};
    /// Closes the connection of a request without calling the handler if the client has
    /// disconnected, or closed its sending side, by the time at which the request is read.
    bool ignore_abandoned_requests = false;
    /// Returns the headers to add to the error responses that the server sends without calling
    /// the handler: 400, 408, 413, 417, 431, and 503 while memory is low or after `finish`. May be
    /// empty.
    std::function<header_list(int status)> refusal_headers;
    /// Counts what clients make the process hold: connections, heads, bodies, requests until their
    /// response, and responses until they are written. Null: unlimited.
    std::shared_ptr<memory_budget> budget;
    /// True if the handler may be called for a request before those ahead of it on the connection
    /// are answered. Empty: never.
    std::function<bool(const http_request&)> may_run_ahead;
    /// Requests that are read on a connection behind the first one without a response.
    std::size_t max_pipelined = 16;
    /// Bytes that a connection may hold behind the first request without a response.
    std::size_t max_pipelined_bytes = std::size_t{256} * 1024;
};

/// Refusals and closed connections by cause, since the start of the server.
struct http_server_counters {
    std::uint64_t malformed = 0;           ///< status 400 or 417
    std::uint64_t heads_too_large = 0;     ///< status 431
    std::uint64_t bodies_too_large = 0;    ///< status 413
    std::uint64_t heads_too_slow = 0;      ///< status 408
    std::uint64_t bodies_too_slow = 0;     ///< status 408
    std::uint64_t memory_refused = 0;      ///< status 503 because memory was low
    std::uint64_t memory_closed = 0;       ///< connections closed because memory was low
    std::uint64_t stop_refused = 0;        ///< status 503 because of `http_server::finish`
    std::uint64_t slow_readers = 0;        ///< connections whose clients did not read in time
    std::uint64_t connections_refused = 0; ///< new connections above the limit
};

/// Serves HTTP/1.1 on one address. Not thread-safe.
class http_server {
public:
    using handler = std::function<void(http_exchange)>;

    /// Throws `listen_error` when the address cannot be bound.
    http_server(loop& loop, const endpoint& address, handler on_request,
                http_server_limits limits = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Stops accepting connections and reading from them. Each connection is closed once all
    /// requests that were read from it have their response, see `undelivered`. A request whose body
    /// is incomplete is refused with status 503.
    void finish();
    /// Number of connections on which a request was read and its response is not delivered: the
    /// request waits or runs, its response is being written, the client has not acknowledged all
    /// bytes, or the connection cannot be closed yet without a reset. Asks the kernel for each open
    /// connection.
    [[nodiscard]] std::size_t undelivered() const;
    /// Sets the time for a client to send a request, which is `request_timeout` by default. A
    /// connection that is idle for longer is closed. The time for a client to read a response
    /// remains `request_timeout`.
    void set_idle_timeout(milliseconds time);
    /// Sets `max_header_bytes`, `max_body_bytes` and `header_timeout` for requests whose head or
    /// body begins later.
    void set_request_limits(std::size_t max_header_bytes, std::size_t max_body_bytes,
                            milliseconds header_timeout);
    /// Number of requests for which the handler was not called, because of
    /// `ignore_abandoned_requests`.
    [[nodiscard]] std::uint64_t abandoned_requests() const;
    [[nodiscard]] const http_server_counters& counters() const;
    /// True while bodies are refused because memory is low.
    [[nodiscard]] bool is_memory_low() const;
    /// Number of open client connections.
    [[nodiscard]] std::size_t connections() const;
    /// The bound address, with the assigned port if port 0 was requested.
    [[nodiscard]] const endpoint& address() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

enum class http_failure {
    connect,   ///< no connection was established, so no byte of the request was sent
    not_sent,  ///< no byte was written, for a reason other than `connect`
    timeout,   ///< no complete response in time after the write; the request may have run
    closed,    ///< the connection ended after the write, before the response was complete
    malformed, ///< the response is invalid HTTP, too large, or refused by `accept_head`
};

struct http_result {
    std::optional<http_response> response;
    http_failure failure = http_failure::connect; ///< meaningful only without a response
};

/// True if the call ended before the first byte of the request was written. Thread-safe.
inline bool is_unwritten(const http_result& result)
{
    return !result.response &&
           (result.failure == http_failure::connect || result.failure == http_failure::not_sent);
}

/// What to do with a response, decided from its status line and headers.
enum class head_verdict {
    accept,
    accept_last, ///< a response to this call; close the connection after it
    skip,        ///< belongs to an earlier request; discard it and read the next response
    refuse,      ///< not a response to this call; fail the call
};

/// HTTP/1.1 client with a connection pool for each address. A call does not use an idle connection
/// that the server has closed. If the server closes the connection during the write, the call ends
/// as `closed`, because the server may have received a part of the request. Not thread-safe.
class http_client {
public:
    using callback = std::function<void(http_result)>;
    using call_id = std::uint64_t;
    /// A server may send a second copy of a response before the response to the next call on the
    /// connection. With `never`, each call has a connection of its own, on which no such copy can
    /// arrive.
    enum class connection_reuse { allowed, never };

    /// `continuity`, if set, is told of all connections. The calls must be to one address then.
    http_client(loop& loop, std::size_t max_connections_per_address, std::size_t max_response_bytes,
                connection_reuse reuse = connection_reuse::allowed,
                std::shared_ptr<server_continuity> continuity = nullptr);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Sends `request` and calls `on_result` exactly once on the loop, after this function has
    /// returned, even if the client is destroyed first. Throws `address_error` when `address.ip` is
    /// not an IP address.
    ///
    /// A call that is cancelled ends as `closed`, or as `connect` or `not_sent` when no byte was
    /// written. A call that times out before the write also ends as `connect` or `not_sent`.
    ///
    /// `before_write`, if set, is called immediately before the first byte is written. This may
    /// happen within `send`. If `before_write` returns false or throws, the call ends as
    /// `not_sent`. `before_write` must not destroy the client.
    ///
    /// `accept_head`, if set, is called with the status and headers of each final response.
    /// `is_new_connection` is true if no earlier call received its response on the connection.
    /// `accept_head` must not call this client. If it skips a response, the client discards that
    /// response and reads the next one. A call skips at most two responses, and a connection on
    /// which it skipped one is closed when the call ends, as is one with the verdict `accept_last`.
    /// The call ends as `malformed` and its
    /// connection is closed if `accept_head` refuses or throws, skips a third response, or skips a
    /// response that ends only when the connection is closed.
    ///
    /// `shared_body`, if set, is the body in place of `request.body`. It must not change before the
    /// call has ended.
    call_id
    send(const endpoint& address, http_request request, milliseconds timeout, callback on_result,
         std::function<bool()> before_write = {},
         std::function<head_verdict(const http_response&, bool is_new_connection)> accept_head = {},
         std::shared_ptr<const std::string> shared_body = {});
    /// Ends the call and closes its connection, which cancels the request at the server. Does
    /// nothing if the call has ended, or within its `before_write`. Returns true if this ended the
    /// call before any byte of the request was written.
    bool cancel(call_id call);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::net
