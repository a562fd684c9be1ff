#pragma once

/// The quiet time after faults: what an operator does, and when all is well.

#include "fakes/driver.h"

namespace bulrushgw::fakes {

/// True when every range is served and the placement names exactly the
/// incarnations that run, so that no recovery is left to do.
bool is_settled(const driver& world);

/// Runs in quiet until the system stays settled for a while. An operator
/// declares lost members ended, for which the design waits after a double loss.
/// False when the limit of 60 s was reached before.
bool wait_until_settled(driver& world);

} // namespace bulrushgw::fakes
