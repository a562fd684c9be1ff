#pragma once

/// The serve rule of docs/design.md section 4, without the lease: which member
/// may serve a range at an adopted version, and who is thought to own it.

#include "ownership/candidates.h"
#include "ownership/directory.h"
#include "ownership/engine.h"

namespace bulrushgw::ownership {

struct range_verdict {
    bool owner = false;
    serve_refusal refusal = serve_refusal::not_owner;
    fence token;
    std::size_t position = 0;
};

/// Conditions 3 and 4 for `self`, which adopted `view.record.current`.
range_verdict judge(const placement_view& view, incarnation_id self, const directory& shared,
                    range_id range, const unsafe_switches& unsafe);

/// Condition 3 alone.
bool is_first_live(const placement_view& view, incarnation_id self, const directory& shared,
                   range_id range, const unsafe_switches& unsafe);

/// Condition 4 alone: the version before `view.record.current` is closed.
bool is_previous_closed(const placement_view& view, incarnation_id self, const directory& shared,
                        range_id range);

/// The member that a request for the range should be sent to. While the first
/// member of the newest version waits for the previous one, that is the previous
/// owner if it has not adopted the newest version.
owner_view find_owner(const placement_view& view, const directory& shared, range_id range);

} // namespace bulrushgw::ownership
