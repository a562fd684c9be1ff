#pragma once

/// The HTTP protocol of the platform store (docs/design.md section 7) as text.
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

/// An answer of the store that does not follow the protocol.
struct protocol_error : error {
    using error::error;
};

struct http_message {
    std::string method;
    std::string path;
    std::string body;
};

/// Message for a request. Written values are wrapped with `writer`.
http_message to_http(const request& request, std::string_view writer);
http_message row_query(std::string_view key);

/// A row as stored, with the token of its writer. Rows that another program
/// wrote have no token.
struct stored_row {
    row content;
    std::string writer;
};

/// Body of a 200 answer to `read_row` or `read_prefix`. Throws `protocol_error`.
stored_row parse_row(const std::string& body);
std::vector<row> parse_rows(const std::string& body);
/// Body of a 200 answer to `transact`. Throws `protocol_error`.
std::vector<row> parse_versions(const std::string& body);

/// Wraps JSON text with a writer token; `unwrap` reverses it.
std::string wrap(std::string_view writer, std::string_view value);
void unwrap(stored_row& row);

/// Percent-encodes everything except unreserved characters of RFC 3986 and '/'.
std::string encode_component(std::string_view text);

} // namespace bulrushgw::store
