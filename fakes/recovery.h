#pragma once

/// Recovery after the last fault: what an operator does, and when the recovery is complete.

#include "fakes/driver.h"

namespace bulrushgw::fakes {

/// Returns true if the recovery is complete: every range is served, and the members of the
/// placement are exactly the running incarnations.
bool is_settled(const driver& world);

/// Runs without faults until the system has been settled for 8 s without a break. A simulated
/// operator declares lost members ended, because the system waits for this declaration after a
/// double loss. Returns false if the whole takes longer than 60 s.
bool wait_until_settled(driver& world);

} // namespace bulrushgw::fakes
