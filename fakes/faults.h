#pragma once

/// The faults that simulation runs inject. A fault with a duration ends after `fault::span`.

#include <array>
#include <cstddef>
#include <string>

#include "fakes/driver.h"

namespace bulrushgw::fakes {

enum class fault_kind {
    none,
    process_killed, ///< restarts as a new incarnation
    process_paused,
    store_partition, ///< one host cannot reach the store
    cut_both,        ///< all messages from and to the host are lost
    cut_in,          ///< all messages to the host are lost
    cut_out,         ///< all messages from the host are lost
    cut_pair,        ///< all messages between two hosts are lost
    store_down,
    store_slow,
    store_answers_lost,
    target_frozen,
    target_restarted,
    false_health, ///< a healthy target is reported as broken
    false_load,   ///< load reports unrelated to the requests
    messages_delayed,
    messages_doubled,
    messages_reordered,
    messages_lost,
    zone_lost,      ///< every process of an availability zone is killed
    zone_cut,       ///< an availability zone reaches neither the other zones nor the store
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

/// Starts the fault now and schedules its end.
void inject(driver& world, const fault& fault);

/// Ends all current faults and starts all processes that are not running.
void heal(driver& world);

} // namespace bulrushgw::fakes
