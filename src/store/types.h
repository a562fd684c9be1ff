#pragma once

/// Requests to the platform store and their answers, without transport.

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

/// Requires that a row has exactly this version when the transaction runs.
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

/// Applies all writes when all conditions hold, and nothing otherwise.
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
    unavailable, ///< certainly not run: no connection, or refused
    unknown,     ///< the answer was lost; the request may have taken effect
};

struct reply {
    status result = status::unavailable;
    std::vector<row> rows;    ///< read_row, read_prefix
    std::string bytes;        ///< get_object
    std::vector<row> written; ///< transact: keys with their new versions, values empty
};

/// True when the request changes the store.
bool is_write(const request& request);

} // namespace bulrushgw::store
