#pragma once

/// Parses the requests of one client connection. Internal to the HTTP server.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "net/http.h"

namespace bulrushgw::net::detail {

struct message_limits {
    std::size_t max_head_bytes = 0; ///< path, header names and header values
    std::size_t max_body_bytes = 0;
};

/// A complete request and what its response depends on.
struct parsed_request {
    http_request request;
    bool keep_alive = false; ///< the client accepts further responses on the connection
    bool is_head = false;    ///< the response has no body
};

/// Turns received bytes into requests, one at a time. `http_parser` parses the grammar; this class
/// adds the limits, and refuses what proxies and targets may read differently, since such input can
/// hide a request in another one (request smuggling): bare line feeds, folded header lines, a
/// length together with chunked encoding, other transfer encodings, repeated lengths and hosts.
/// Incomplete input is kept as parts of the request, so its size is that of the request plus a
/// constant, however small the pieces or chunks are. Pure; not thread-safe.
class http_message_parser {
public:
    enum class state {
        idle, ///< no byte of a request was read
        head,
        body,
        complete, ///< `take` returns the request
        refused,  ///< no further input can be parsed, see `refusal_status`
    };

    http_message_parser();
    http_message_parser(const http_message_parser&) = delete;
    http_message_parser& operator=(const http_message_parser&) = delete;
    http_message_parser(http_message_parser&&) = delete;
    http_message_parser& operator=(http_message_parser&&) = delete;
    ~http_message_parser() = default;

    /// Parses `bytes` up to the end of the head or of the request, and returns the number of bytes
    /// that were consumed. Does nothing in the states `complete` and `refused`.
    std::size_t parse(std::string_view bytes, const message_limits& limits);
    /// Precondition: the state is `complete`. The state becomes `idle`.
    parsed_request take();
    /// Frees the memory of an unfinished request. The state becomes `refused`.
    void abandon();

    [[nodiscard]] state current_state() const { return state_; }
    /// 400, 413, 417 or 431. Meaningful only in the state `refused`.
    [[nodiscard]] int refusal_status() const { return refusal_status_; }
    /// True if the client waits for "100 Continue" before it sends the body.
    [[nodiscard]] bool expects_continue() const { return expects_continue_; }
    /// The memory that the request holds so far.
    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] std::size_t body_bytes() const { return request_.body.size(); }

private:
    /// What the next bytes of the input are.
    enum class part { head, body, chunk_line, chunk_data, chunk_end, trailer };

    void reset();
    void refuse(int status);
    void execute(std::string_view bytes);
    std::size_t parse_lines(std::string_view bytes);
    bool check_line(std::string_view line);
    std::size_t parse_data(std::string_view bytes);
    bool check_framing(std::string_view line);
    bool check_line_end(std::string_view line) const;
    bool check_chunk_line(std::string_view line);
    bool check_headers();
    bool check_body_headers();
    bool count_head_bytes(std::size_t size);
    int on_headers_complete();
    int on_body(std::string_view bytes);
    void grow_body(std::size_t size);
    [[nodiscard]] bool is_above_framing_bound() const;
    [[nodiscard]] bool exceeds_body_limit(std::uint64_t added_bytes) const;

    static http_parser_settings make_callbacks();
    static http_message_parser& self_of(http_parser* parser);

    http_parser parser_{};
    const message_limits* limits_ = nullptr; ///< valid within `parse`
    state state_ = state::idle;
    part part_ = part::head;
    int refusal_status_ = 0;
    http_request request_;
    bool value_started_ = false; ///< a part of the last header's value was parsed
    bool expects_continue_ = false;
    bool in_chunk_extension_ = false;
    char last_byte_ = 0; ///< of the current line, 0 at its start
    std::size_t line_bytes_ = 0;
    std::size_t head_lines_ = 0;
    std::size_t head_bytes_ = 0;    ///< path, names and values, including those of trailers
    std::size_t framing_bytes_ = 0; ///< bytes of lines
    std::uint64_t data_left_ = 0;   ///< bytes of the body or of the chunk that are still to come
    std::uint64_t announced_body_bytes_ = 0; ///< 0 for a chunked body
};

} // namespace bulrushgw::net::detail
