#pragma once

/// Choice of a node for a request to a balanced service.

#include <cstdint>
#include <optional>
#include <random>
#include <span>

#include "common/ids.h"

namespace bulrushgw::request {

struct balance_candidate {
    incarnation_id node;
    std::uint32_t in_flight = 0; ///< this entry node's own count
    bool same_zone = false;
};

using random_engine = std::mt19937_64;

/// The better of two random choices: fewer requests in flight, then the same
/// availability zone, then the first one drawn. None when there is no candidate.
std::optional<incarnation_id> pick_of_two(std::span<const balance_candidate> candidates,
                                          random_engine& random);

} // namespace bulrushgw::request
