#pragma once

/// Messages of the ownership protocol between nodes. Package `wire` encodes them.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

struct renew {
    std::uint32_t set_version = 0;
    std::uint64_t sequence = 0;
    placement_version adopted;
};

struct renew_ack {
    std::uint32_t set_version = 0;
    std::uint64_t sequence = 0;
    placement_version adopted; ///< highest version that the witness recorded
};

/// Answer to a renewal of an incarnation that this witness sealed.
struct renew_refused {
    seal evidence;
};

struct holder_seal {
    std::uint32_t set_version = 0;
    placement_version adopted; ///< highest version ever sent in a renewal
};

/// Asks the witness that stays to move to the set in `row`.
struct set_change {
    member_row row;
};

struct set_change_ack {
    std::uint32_t set_version = 0;
};

/// An item that is forwarded when first seen. Merging does not depend on order.
using gossip_item = std::variant<member_row, placement, seal, certificate, adoption, rules_stamp>;

struct gossip {
    std::vector<gossip_item> items;
};

/// Summary of a node's shared state. The receiver answers with the items of
/// every section whose hash differs, and with its own digest if `reply_wanted`.
struct digest {
    std::uint64_t members = 0;
    std::uint64_t placements = 0;
    std::uint64_t certificates = 0;
    std::uint64_t adoptions = 0;
    rules_stamp rules;
    /// Load of the ranges that the sender owns, 0 when it is not known.
    std::uint32_t requests_per_second = 0;
    bool reply_wanted = false;
};

using message = std::variant<renew, renew_ack, renew_refused, holder_seal, set_change,
                             set_change_ack, gossip, digest>;

} // namespace bulrushgw::ownership
