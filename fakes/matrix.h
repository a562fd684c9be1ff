#pragma once

/// The fault matrix: injects each fault at each step of the protocol. The steps, the faults and the
/// cells that cannot occur are listed in matrix_tables.cpp.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fakes/driver.h"
#include "fakes/faults.h"
#include "fakes/history.h"

namespace bulrushgw::fakes {

/// What the actor, the host under test, does at the start of a cell.
enum class step_action { none, join, leave, kill, kill_and_restart, accept_rules };

/// The event at which the fault is injected.
enum class step_trigger {
    at_once,
    first_renewal,      ///< the actor sends a renewal
    first_grant,        ///< the actor gets its first grant
    placement_written,  ///< the store accepts a new placement
    draining_published, ///< the actor publishes an adoption with ranges still draining
    release_published,  ///< the actor publishes an adoption with no range draining
    successor_granted,  ///< another host gets a grant
    holder_seal,        ///< the actor sends a holder seal
    promise_expiring,   ///< the witnesses' promises are about to expire
    first_seal,
    second_seal,
    certificate, ///< a node other than the actor learns of the end certificate
    takeover,    ///< a successor starts to serve
};

struct matrix_step {
    const char* name;
    step_action action;
    step_trigger trigger;
    /// True if the step itself loses a member. A fault with `is_loss` then makes a double loss.
    bool includes_loss;
};

struct matrix_fault {
    const char* name;
    fault_kind kind;
    milliseconds span;
    /// True if the fault may stop an owner. At a step with `includes_loss`, the availability bounds
    /// do not hold for such a fault.
    bool is_loss;
    bool drift_at_bound = false;
    bool checks_fences = true;
};

struct impossible_cell {
    const char* step;
    const char* fault; ///< "*" for every fault
    const char* reason;
};

std::span<const matrix_step> matrix_steps();
std::span<const matrix_fault> matrix_faults();
std::span<const impossible_cell> impossible_cells();

struct cell_result {
    std::string step;
    std::string fault;
    std::uint64_t seed = 0;
    std::string impossible;      ///< why the cell cannot occur; empty if it can
    bool reached = false;        ///< the trigger of the step occurred
    milliseconds unavailable{0}; ///< longest unavailable period of any range
    std::vector<violation> violations;
    [[nodiscard]] bool passed() const { return !impossible.empty() || violations.empty(); }
};

/// Runs one cell. If `second` is not null, also injects that fault at the same time on another
/// host.
cell_result run_cell(const matrix_step& step, const matrix_fault& first, const matrix_fault* second,
                     std::uint64_t seed);

/// Runs all cells, including pairs of faults, on several threads. The seeds start at `seed`, and
/// each attempt to run a cell uses a different one.
std::vector<cell_result> run_matrix(std::uint64_t seed);

/// Formats a cell as "step, fault, result, unavailable time in ms".
std::string format_line(const cell_result& result);

} // namespace bulrushgw::fakes
