#pragma once

/// Encoding and decoding of the platform store's HTTP messages (docs/design.md section 7).
/// All functions are thread-safe.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/errors.h"
#include "store/types.h"

namespace bulrushgw::store {

/// A response of the store that violates the protocol.
struct protocol_error : error {
    using error::error;
};

struct http_message {
    std::string method;
    std::string path;
    std::string body;
};

/// Encodes a request. Each value that the request writes is wrapped with the writer token `writer`.
http_message to_http(const request& request, std::string_view writer);
/// Message that reads one row.
http_message row_query(std::string_view key);

/// A row and the token of its last writer, which is empty for rows written by other programs.
struct stored_row {
    row content;
    std::string writer;
};

/// Decode the body of a 200 response to `read_row` and to `read_prefix`. Throw `protocol_error`.
stored_row parse_row(const std::string& body);
std::vector<row> parse_rows(const std::string& body);
/// Decodes the body of a 200 response to `transact`: the written rows with their new versions and
/// empty values. Throws `protocol_error`.
std::vector<row> parse_versions(const std::string& body);

/// Wraps JSON text in an object that also holds the writer token.
std::string wrap(std::string_view writer, std::string_view value);
/// Reverses `wrap`: splits the stored value into the value and the writer token. A value that is
/// not wrapped stays unchanged.
void unwrap(stored_row& row);

/// Percent-encodes everything except unreserved characters of RFC 3986 and '/'.
std::string encode_component(std::string_view text);

} // namespace bulrushgw::store
