#pragma once

/// Requests to the platform store and their replies, independent of the transport.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bulrushgw::store {

/// A row of the table service. Version 0 means that the row does not exist.
struct row {
    std::string key;
    std::uint64_t version = 0;
    std::string value; ///< JSON text
};

/// Requires a row to have exactly this version when the transaction is executed.
struct condition {
    std::string key;
    std::uint64_t version = 0;
};

/// Sets a row's value or deletes the row.
struct write {
    std::string key;
    std::string value;
    bool erase = false;
};

/// A transaction: applies all writes when all conditions hold, and none otherwise.
struct transact {
    std::vector<condition> conditions;
    std::vector<write> writes;
};

struct read_row {
    std::string key;
};

struct read_prefix {
    std::string prefix;
};

struct put_object {
    std::string name;
    std::string bytes;
};

struct get_object {
    std::string name;
};

using request = std::variant<transact, read_row, read_prefix, put_object, get_object>;

enum class status {
    ok,
    conflict,    ///< a condition did not hold; nothing was written
    not_found,   ///< the row or object does not exist
    unavailable, ///< certainly not executed, as there was no connection or the store rejected it
    unknown,     ///< the reply was lost; the request may have taken effect
};

struct reply {
    status result = status::unavailable;
    std::vector<row> rows;    ///< result of `read_row` and `read_prefix`
    std::string bytes;        ///< result of `get_object`
    std::vector<row> written; ///< result of `transact`: keys and new versions; values are empty
};

/// True when the request modifies the store.
bool is_write(const request& request);

} // namespace bulrushgw::store
