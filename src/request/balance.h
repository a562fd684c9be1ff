#pragma once

/// Chooses a node for a request to a balanced service.

#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "common/ids.h"

namespace bulrushgw::request {

struct balance_candidate {
    incarnation_id node;
    std::uint32_t in_flight = 0; ///< requests that this entry node has in flight to the node
    bool same_zone = false;      ///< in the availability zone of this entry node
};

using random_engine = std::mt19937_64;

/// Power of two choices: draws two random candidates and returns the one with fewer requests in
/// flight. If both have the same number, returns the one in the same availability zone, or else the
/// first one drawn. None if there is no candidate.
std::optional<incarnation_id> pick_of_two(std::span<const balance_candidate> candidates,
                                          random_engine& random);

} // namespace bulrushgw::request
