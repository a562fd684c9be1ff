#pragma once

/// Valid frames, one for each message type, with a value in every member.

#include <vector>

#include "wire/messages.h"

namespace bulrushgw::wire::test {

std::vector<frame> samples();

} // namespace bulrushgw::wire::test
