#pragma once

/// Main function of the stand-in programs.

#include <functional>
#include <memory>

#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

/// Starts a server with `start`, which returns its address, prints "listening on ADDRESS",
/// and runs the loop until SIGTERM or SIGINT. Ends the process with exit code 0, or with 2
/// after an exception; never returns.
int run_program(const std::function<net::endpoint(net::loop&)>& start);

} // namespace bulrushgw::standin
