#pragma once

/// JSON encoding of the store rows `members/<incarnation>` and `placements/<service>`.

#include <string>

#include "common/errors.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// A row of the store has an invalid format.
struct row_error : parse_error {
    row_error(const std::string& key, const std::string& problem)
        : parse_error("row " + key + ": " + problem)
    {
    }
};

inline constexpr const char* member_prefix = "members/";
inline constexpr const char* placement_prefix = "placements/";

std::string member_key(incarnation_id id);
std::string placement_key(const std::string& service);

/// `writer` identifies the write. If the reply to the write is lost, the node reads the row back
/// and compares its writer with this one.
std::string encode_member(const member_row& row, const std::string& writer);
std::string encode_placement(const placement& record, const std::string& writer);

/// Both throw `row_error` if the text is not a valid row or does not belong to `key`.
member_row parse_member(const std::string& key, const std::string& text);
placement parse_placement(const std::string& key, const std::string& text);
/// The `writer` of a row, or an empty string if it has none or is not valid JSON.
std::string writer_of(const std::string& text);

} // namespace bulrushgw::ownership
