#pragma once

/// The node process, which runs on the same host as its target.

#include "node/settings.h"

namespace bulrushgw::node {

/// Runs a node until a planned stop completes, or until an internal failure. Returns the exit code
/// of the process.
int run_node(const settings& values);

} // namespace bulrushgw::node
