#pragma once

/// Parses the responses to one call. Internal to the HTTP client.

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <http_parser.h>

#include "net/http.h"

namespace bulrushgw::net::detail {

struct response_options {
    bool head_only = false; ///< the call is a HEAD request, whose response has no body
    std::size_t max_body_bytes = 0;
    /// See `http_client::send`. May be empty, and may throw.
    std::function<head_verdict(const http_response&)> accept_head;
};

/// Turns the bytes of a server into the response to one call. Skips interim responses, and those
/// that `response_options::accept_head` skips. `http_parser` parses the grammar; this class adds
/// the limits, and rejects what another reader may take for a different response: a status line of
/// another form than "HTTP/1.1 200", a status outside 100 to 599, a switch to another protocol,
/// names or values of fields with invalid bytes, and folded lines. Trailers are read and left out.
/// Pure; not thread-safe.
class http_response_parser {
public:
    enum class state {
        reading,
        complete, ///< `take` returns the response
        rejected, ///< invalid, above a limit, or refused by `accept_head`
    };

    explicit http_response_parser(response_options options);
    http_response_parser(const http_response_parser&) = delete;
    http_response_parser& operator=(const http_response_parser&) = delete;
    http_response_parser(http_response_parser&&) = delete;
    http_response_parser& operator=(http_response_parser&&) = delete;
    ~http_response_parser() = default;

    /// Parses `bytes` up to the end of the response, and returns the number of bytes that were
    /// consumed. Does nothing unless the state is `reading`.
    std::size_t parse(std::string_view bytes);
    /// The server has closed the connection in order, which completes a response without a length.
    void on_orderly_end();
    /// Precondition: the state is `complete`. Call once.
    http_response take() { return std::move(response_); }

    [[nodiscard]] state current_state() const { return state_; }
    /// True if the server accepts another request after the response. Precondition: the state is
    /// `complete`.
    [[nodiscard]] bool may_reuse_connection() const;

private:
    [[nodiscard]] std::string_view next_piece(std::string_view bytes) const;
    [[nodiscard]] bool check_status_line(std::string_view bytes);
    [[nodiscard]] bool check_line_start(std::string_view piece);
    [[nodiscard]] bool is_above_byte_limit() const;
    [[nodiscard]] bool count_head_bytes(std::size_t size);
    int on_header_name(std::string_view text);
    int on_header_value(std::string_view text);
    int on_headers_complete();
    int on_body(std::string_view text);
    void on_message_complete();

    static http_parser_settings make_callbacks();
    static http_response_parser& self_of(http_parser* parser);

    response_options options_;
    http_parser parser_{};
    state state_ = state::reading;
    http_response response_;
    std::string status_line_;      ///< begin of the status line of the current message
    bool value_started_ = false;   ///< part of the last field's value was parsed
    bool head_complete_ = false;   ///< fields that follow are trailers
    bool at_line_start_ = false;   ///< a line of the head has ended
    bool skipping_ = false;        ///< the current response belongs to an earlier request
    bool is_last_ = false;         ///< the verdict was `accept_last`
    unsigned skipped_ = 0;         ///< responses to earlier requests
    std::size_t head_bytes_ = 0;   ///< names and values, including those of skipped responses
    std::size_t body_bytes_ = 0;   ///< of all bodies, including those of skipped responses
    std::size_t parsed_bytes_ = 0; ///< since the request was written
};

} // namespace bulrushgw::net::detail
