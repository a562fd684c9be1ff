#pragma once

/// Messages of the ownership protocol between nodes. src/wire encodes and decodes them. A seal is a
/// permanent refusal to renew the lease of an incarnation, a certificate proves that the lease
/// ended permanently, and an adoption announces the placement version that a member has adopted.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.h"
#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Sent by a holder to each of its witnesses to extend its lease.
struct renew {
    std::uint32_t set_version = 0;
    std::uint64_t sequence = 0;
    placement_version adopted; ///< version that the holder wants to adopt
};

/// Acknowledges the renewal with the same sequence number.
struct renew_ack {
    std::uint32_t set_version = 0;
    std::uint64_t sequence = 0;
    placement_version adopted; ///< highest version that the witness recorded
};

/// Answer to a renewal of an incarnation that this witness sealed.
struct renew_refused {
    seal evidence;
};

/// Sent by a holder that ends itself, to each of its witnesses. Asks them to seal the holder too.
struct holder_seal {
    std::uint32_t set_version = 0;
    placement_version adopted; ///< highest version ever sent in a renewal
};

/// Sent by a holder that replaces one witness, to the other witness. Asks the receiver to switch to
/// the witness set in `row`.
struct set_change {
    member_row row;
};

struct set_change_ack {
    std::uint32_t set_version = 0;
};

/// A node forwards an item when it first receives it. The result of merging items does not depend
/// on their order.
using gossip_item = std::variant<member_row, placement, seal, certificate, adoption, rules_stamp>;

struct gossip {
    std::vector<gossip_item> items;
};

/// Hashes of a node's replicated state, one for each kind of item. For each kind whose hash
/// differs, the receiver answers with its own items of that kind. The number of items in one answer
/// is bounded. If `reply_wanted` is set, the receiver also answers with its own digest.
struct digest {
    std::uint64_t members = 0;
    std::uint64_t placements = 0;
    std::uint64_t certificates = 0;
    std::uint64_t adoptions = 0;
    rules_stamp rules;
    /// Request rate of the ranges that the sender owns, 0 if it is not known.
    std::uint32_t requests_per_second = 0;
    bool reply_wanted = false;
};

using message = std::variant<renew, renew_ack, renew_refused, holder_seal, set_change,
                             set_change_ack, gossip, digest>;

} // namespace bulrushgw::ownership
