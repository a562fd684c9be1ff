#pragma once

/// The text of the leader's record as it lies in the store: JSON, compressed. A row holds
/// at most 64 KiB, and the record names the members of several terms: with 301 hosts, four
/// lists of members take more than that as plain JSON.

#include <string>

#include "assignment/types.h"
#include "common/errors.h"

namespace bulrushgw::sidecar {

std::string to_text(const assignment::leader_record& record);
/// Throws `parse_error`. Reads plain JSON too, as earlier versions wrote it.
assignment::leader_record parse_leader_record(const std::string& text);

} // namespace bulrushgw::sidecar
