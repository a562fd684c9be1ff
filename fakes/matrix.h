#pragma once

/// The fault matrix: each fault at each step of the protocol. Steps, faults and
/// the cells that cannot occur are tables in matrix_tables.cpp.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fakes/driver.h"
#include "fakes/faults.h"
#include "fakes/history.h"

namespace bulrushgw::fakes {

/// What happens when a cell begins.
enum class step_action { none, join, leave, kill, kill_and_restart, accept_rules };

/// The moment at which the fault is injected.
enum class step_trigger {
    at_once,
    first_renewal,      ///< the actor sends a renewal
    first_grant,        ///< the actor gets its first grant
    placement_written,  ///< the store takes a new placement
    draining_published, ///< the actor publishes an adoption that still drains
    release_published,  ///< the actor publishes an adoption that drains nothing
    successor_granted,  ///< another host gets a grant
    holder_seal,        ///< the actor sends a holder seal
    promise_over,       ///< the witnesses' promises are about to run out
    first_seal,
    second_seal,
    certificate, ///< a node other than its maker learns of the certificate
    takeover,    ///< a successor serves
};

struct matrix_step {
    const char* name;
    step_action action;
    step_trigger trigger;
    bool loss_under_way; ///< a further loss is a second one
};

struct matrix_fault {
    const char* name;
    fault_kind kind;
    milliseconds span;
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
    std::string impossible; ///< why the cell cannot occur, otherwise empty
    bool reached = false;   ///< the step's trigger was seen
    milliseconds unavailable{0};
    std::vector<violation> violations;
    [[nodiscard]] bool passed() const { return !impossible.empty() || violations.empty(); }
};

/// Runs one cell; `second` adds a fault at the same moment to another host.
cell_result run_cell(const matrix_step& step, const matrix_fault& first, const matrix_fault* second,
                     std::uint64_t seed);

/// All cells, and the pairs of faults, run on several threads. The seeds of the
/// cells count from `seed`.
std::vector<cell_result> run_matrix(std::uint64_t seed);

/// "step, fault, result, unavailable ms" of one cell.
std::string line_of(const cell_result& result);

} // namespace bulrushgw::fakes
