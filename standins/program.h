#pragma once

/// What the stand-in programs share.

#include <functional>
#include <memory>

#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

/// Makes the server, prints "listening on ADDRESS", and runs until SIGTERM or
/// SIGINT. Returns the exit code: 0, or 2 for settings that cannot be used.
int run_program(const std::function<net::endpoint(net::loop&)>& start);

} // namespace bulrushgw::standin
