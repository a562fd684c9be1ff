#pragma once

/// Main function of the stand-in programs.

#include <functional>
#include <memory>

#include "net/http.h"
#include "net/loop.h"

namespace bulrushgw::standin {

/// Calls `start`, which starts a server and returns the server's address. Then prints
/// "listening on ADDRESS" and runs the loop until SIGTERM or SIGINT. Never returns: the process
/// exits with code 0, or with code 2 after an exception.
int run_program(const std::function<net::endpoint(net::loop&)>& start);

} // namespace bulrushgw::standin
