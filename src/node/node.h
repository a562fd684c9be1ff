#pragma once

/// The node: one process beside a target.

#include "node/settings.h"

namespace bulrushgw::node {

/// Runs a node until it is told to stop. Returns the exit code of the process.
int run_node(const settings& values);

} // namespace bulrushgw::node
