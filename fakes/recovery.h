#pragma once

/// Recovery after the last fault: what an operator does, and when the recovery is complete.

#include "fakes/driver.h"

namespace bulrushgw::fakes {

/// True when every range is served and the members of the placement are exactly the running
/// incarnations, so that the recovery is complete.
bool is_settled(const driver& world);

/// Runs without faults until the system stays settled for 8 s. An operator declares lost members
/// ended, because after a double loss the design waits for that. Returns false if the system does
/// not settle within 60 s.
bool wait_until_settled(driver& world);

} // namespace bulrushgw::fakes
