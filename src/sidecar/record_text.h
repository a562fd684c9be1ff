#pragma once

/// Encoding of the leader's record in the store: compressed JSON. A row holds at most 64 KiB, and
/// the record lists the members of several terms: with 301 hosts, four lists of members exceed
/// 64 KiB as plain JSON.

#include <string>

#include "assignment/types.h"
#include "common/errors.h"

namespace bulrushgw::sidecar {

std::string to_text(const assignment::leader_record& record);
/// Also reads plain JSON, which earlier versions wrote. Throws `parse_error`.
assignment::leader_record parse_leader_record(const std::string& text);

} // namespace bulrushgw::sidecar
