#pragma once

/// The compression dictionary for frames between nodes. With hundreds of hosts a connection carries
/// few requests, so most requests are sent before the compressor has any history. Most bytes of a
/// short request are header names and frame fields, which the dictionary contains.

#include <string>

#include "sidecar/protocol.h"

namespace bulrushgw::sidecar {

/// The value for `net::peer_limits::dictionary`, identical on all nodes of one version.
/// Thread-safe.
std::string make_peer_dictionary(const header_names& names);

} // namespace bulrushgw::sidecar
