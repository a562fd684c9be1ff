#pragma once

/// The text of the leader's record as it lies in the store.

#include <string>

#include "assignment/types.h"
#include "common/errors.h"

namespace bulrushgw::sidecar {

std::string to_text(const assignment::leader_record& record);
/// Throws `parse_error`.
assignment::leader_record parse_leader_record(const std::string& text);

} // namespace bulrushgw::sidecar
