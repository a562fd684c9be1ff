#pragma once

/// The faults that the proof runs inject. Each ends by itself after its span.

#include <array>
#include <cstddef>
#include <string>

#include "fakes/driver.h"

namespace bulrushgw::fakes {

enum class fault_kind {
    none,
    process_killed, ///< starts again as a new incarnation
    process_paused,
    store_partition, ///< one host cannot reach the store
    cut_both,        ///< no process reaches the host or is reached by it
    cut_in,          ///< the host receives nothing
    cut_out,         ///< the host's messages are lost
    cut_pair,        ///< two hosts do not reach each other
    store_down,
    store_slow,
    store_answers_lost,
    target_frozen,
    target_restarted,
    false_health, ///< the report that the target is broken is wrong
    false_load,   ///< load reports that do not follow the requests
    messages_delayed,
    messages_doubled,
    messages_reordered,
    messages_lost,
    zone_lost,      ///< every process of a zone is killed
    zone_cut,       ///< a zone does not reach the other zones nor the store
    planned_leave,  ///< the host rejoins afterwards
    operators_race, ///< two operators drain two hosts at the same time
    count,
};

std::string to_string(fault_kind kind);

struct fault {
    fault_kind kind = fault_kind::none;
    std::size_t host = 0;
    std::size_t other = 0; ///< second host of a pair
    milliseconds span{0};
};

std::string to_string(const fault& fault);

/// Begins the fault now and schedules its end.
void inject(driver& world, const fault& fault);

/// Ends every fault that still lasts and starts the processes that do not run.
void heal(driver& world);

} // namespace bulrushgw::fakes
