#include <array>

#include "fakes/matrix.h"

namespace bulrushgw::fakes {

namespace {

using namespace std::chrono_literals;

constexpr std::array steps{
    matrix_step{"announce", step_action::join, step_trigger::at_once, false},
    matrix_step{"join", step_action::join, step_trigger::first_renewal, false},
    matrix_step{"grant", step_action::join, step_trigger::first_grant, false},
    matrix_step{"renew", step_action::none, step_trigger::first_renewal, false},
    matrix_step{"drain", step_action::leave, step_trigger::at_once, false},
    matrix_step{"hand-over: stop", step_action::leave, step_trigger::placement_written, false},
    matrix_step{"hand-over: drain", step_action::leave, step_trigger::draining_published, false},
    matrix_step{"hand-over: release", step_action::leave, step_trigger::release_published, false},
    matrix_step{"hand-over: grant", step_action::leave, step_trigger::successor_granted, false},
    matrix_step{"hand-over: announce", step_action::leave, step_trigger::holder_seal, false},
    matrix_step{"takeover: promise runs out", step_action::kill, step_trigger::promise_expiring,
                true},
    matrix_step{"takeover: first seal", step_action::kill, step_trigger::first_seal, true},
    matrix_step{"takeover: second seal", step_action::kill, step_trigger::second_seal, true},
    matrix_step{"takeover: certificate spread", step_action::kill, step_trigger::certificate, true},
    matrix_step{"takeover: successor serves", step_action::kill, step_trigger::takeover, true},
    matrix_step{"leave", step_action::leave, step_trigger::holder_seal, false},
    matrix_step{"spread rules", step_action::accept_rules, step_trigger::at_once, false},
    matrix_step{"restart", step_action::kill_and_restart, step_trigger::at_once, true},
};

constexpr std::array faults{
    matrix_fault{"none", fault_kind::none, 0ms, false},
    matrix_fault{"process killed", fault_kind::process_killed, 3000ms, true},
    matrix_fault{"paused for less than the lease", fault_kind::process_paused, 600ms, true},
    matrix_fault{"paused for about the lease", fault_kind::process_paused, 1210ms, true},
    matrix_fault{"paused for more than the lease", fault_kind::process_paused, 3000ms, true},
    matrix_fault{"partition from the store", fault_kind::store_partition, 3000ms, false},
    matrix_fault{"partition both ways", fault_kind::cut_both, 3000ms, true},
    matrix_fault{"partition inward", fault_kind::cut_in, 3000ms, true},
    matrix_fault{"partition outward", fault_kind::cut_out, 3000ms, true},
    matrix_fault{"store down", fault_kind::store_down, 4000ms, false},
    matrix_fault{"store slow", fault_kind::store_slow, 4000ms, false},
    matrix_fault{"store answers lost", fault_kind::store_answers_lost, 4000ms, false},
    matrix_fault{"target frozen", fault_kind::target_frozen, 3000ms, true},
    matrix_fault{"target restarted empty", fault_kind::target_restarted, 0ms, false},
    matrix_fault{"target without fences", fault_kind::none, 0ms, false, false, false},
    matrix_fault{"target without fences, process paused", fault_kind::process_paused, 3000ms, true,
                 false, false},
    matrix_fault{"false health report", fault_kind::false_health, 0ms, true},
    matrix_fault{"false load report", fault_kind::false_load, 0ms, false},
    matrix_fault{"messages delayed", fault_kind::messages_delayed, 3000ms, false},
    matrix_fault{"messages doubled", fault_kind::messages_doubled, 3000ms, false},
    matrix_fault{"messages reordered", fault_kind::messages_reordered, 3000ms, false},
    matrix_fault{"clock drift at the bound", fault_kind::none, 0ms, false, true},
    matrix_fault{"availability zone gone", fault_kind::zone_lost, 3000ms, true},
    matrix_fault{"operators racing", fault_kind::operators_race, 7000ms, true},
};

constexpr std::array impossible{
    impossible_cell{"announce", "false health report",
                    "the node has no incarnation that serves before the first announcement"},
    impossible_cell{"announce", "false load report", "a load report follows the announcement"},
};

} // namespace

std::span<const matrix_step> matrix_steps()
{
    return steps;
}

std::span<const matrix_fault> matrix_faults()
{
    return faults;
}

std::span<const impossible_cell> impossible_cells()
{
    return impossible;
}

} // namespace bulrushgw::fakes
