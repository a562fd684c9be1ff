#pragma once

/// One valid frame of each message type, with values in every member.

#include <vector>

#include "wire/messages.h"

namespace bulrushgw::wire::test {

std::vector<frame> samples();

} // namespace bulrushgw::wire::test
