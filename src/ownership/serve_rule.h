#pragma once

/// Checks the conditions of docs/design.md section 4 under which a member may serve a range, except
/// the conditions about the lease. Also chooses the member to which requests for a range are sent.
/// A certificate proves that the lease of an incarnation ended permanently.

#include "ownership/candidates.h"
#include "ownership/directory.h"
#include "ownership/engine.h"

namespace bulrushgw::ownership {

struct range_verdict {
    bool owner = false;
    serve_refusal refusal = serve_refusal::not_owner;
    fence token;
    std::size_t position = 0; ///< of `self` in the candidate list
};

/// Checks whether `self`, which has adopted `view.record.current`, may serve the range, apart from
/// the conditions about the lease. For a keyed service, `self` must be the first live candidate of
/// the range (condition 3 of docs/design.md section 4), and the previous version must be closed for
/// the range (condition 4). For a balanced service, `self` must be a member of the current version.
range_verdict evaluate_range(const placement_view& view, incarnation_id self,
                             const directory& shared, range_id range,
                             const unsafe_switches& unsafe);

/// Condition 3: each candidate before `self` has a certificate whose adopted version is at most the
/// current one.
bool is_first_live(const placement_view& view, incarnation_id self, const directory& shared,
                   range_id range, const unsafe_switches& unsafe);

/// Condition 4: the previous version is closed for the range, i.e. no other member serves the range
/// at the previous version or may start to.
bool is_previous_closed(const placement_view& view, incarnation_id self, const directory& shared,
                        range_id range);

/// The member to which a request for the range should be sent: the owner in the previous version
/// until it adopts the newest version, then the owner in the newest version.
owner_view find_owner(const placement_view& view, const directory& shared, range_id range);

} // namespace bulrushgw::ownership
