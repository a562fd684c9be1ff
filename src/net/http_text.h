#pragma once

/// Rules of the HTTP/1.1 grammar that the server and the client share.

#include <string_view>

#include "net/http.h"

namespace bulrushgw::net::detail {

/// True for a method or header name: one or more token characters.
bool is_token(std::string_view text);
/// True for a request target: visible ASCII that starts with '/', or "*".
bool is_request_target(std::string_view text);
/// True when name and value can be written without changing the message.
bool is_valid_header(const header& entry);
/// True for headers that belong to one connection or to the framing of the body.
/// h2o or the client writes its own, so that a relayed message keeps its meaning.
bool is_connection_header(std::string_view name);
/// Standard phrase of a status code, or "Status".
const char* reason_phrase(int status);

} // namespace bulrushgw::net::detail
