#pragma once

/// What most frames between nodes contain. With hundreds of hosts a connection carries
/// few requests, so that most are sent before compression has learned anything; most of
/// the bytes of a short request are then header names and the frame around them.

#include <string>

#include "sidecar/protocol.h"

namespace bulrushgw::sidecar {

/// A dictionary for `net::peer_limits`: the same for all nodes of one version. Thread-safe.
std::string make_peer_dictionary(const header_names& names);

} // namespace bulrushgw::sidecar
