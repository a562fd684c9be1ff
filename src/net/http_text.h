#pragma once

/// Rules of the HTTP/1.1 grammar that the server and the client share.

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/http.h"

namespace bulrushgw::net::detail {

/// True for a method or header name: one or more token characters.
bool is_token(std::string_view text);
/// True for a request target: visible ASCII that starts with '/', or "*".
bool is_request_target(std::string_view text);
/// True when name and value follow the HTTP grammar, so that writing them cannot add or split
/// headers.
bool is_valid_header(const header& entry);
/// True when the method, the target and all headers follow the HTTP grammar.
bool is_valid_request(const http_request& request);
/// The request without its body. Headers that belong to the connection are left out; the address is
/// the host unless the request names one.
std::string request_head(const endpoint& address, const http_request& request,
                         std::size_t body_bytes);
/// The `timeout` parameter of the keep-alive header; none if there is none that can be read.
std::optional<std::chrono::seconds> keep_alive_timeout(const header_list& headers);
/// True for headers that belong to one connection or to the framing of the body. They are not
/// relayed: the server and the client write their own.
bool is_connection_header(std::string_view name);
/// Standard reason phrase of a status code, or "Status" for an unknown code.
const char* reason_phrase(int status);
/// The status line and the headers of a response, with its length unless the status has no body.
/// Headers that belong to the connection or break the grammar are left out. An invalid status
/// becomes 500.
std::string response_head(const http_response& response, bool closes);
/// False for a status whose response has no body.
bool has_response_body(int status);

} // namespace bulrushgw::net::detail
