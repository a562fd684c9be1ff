#pragma once

/// One run of several nodes with a random series of faults and a quiet end.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fakes/driver.h"
#include "fakes/faults.h"
#include "fakes/history.h"

namespace bulrushgw::fakes {

/// A key is served again within this time of any single loss or the loss of a
/// zone, with the store up or down.
inline constexpr milliseconds loss_bound{2000};
/// Unavailable time of a key at a planned stop or move.
inline constexpr milliseconds planned_bound{100};

enum class run_mode {
    single, ///< one fault at a time; the stated bounds hold
    many,   ///< faults overlap; only safety and the quiet end are checked
    /// One member misses a placement change that the others adopt, then another
    /// member is lost. A certificate's version matters only then.
    stale_member,
};

struct run_result {
    std::uint64_t seed = 0;
    std::vector<violation> violations;
    std::vector<std::string> faults; ///< what was injected, with times
    std::size_t owner_changes = 0;
    std::size_t executions = 0;
};

run_result run_seed(std::uint64_t seed, run_mode mode,
                    const ownership::unsafe_switches& unsafe = {});

/// Runs the seeds [first, first + count) on several threads; the results are in
/// the order of the seeds. Without a mode even seeds use `single`, odd ones `many`.
std::vector<run_result> run_seeds(std::uint64_t first, std::size_t count,
                                  const ownership::unsafe_switches& unsafe = {},
                                  std::optional<run_mode> mode = {});

/// Seed, faults and violations, for a failed check.
std::string describe(const run_result& result);

} // namespace bulrushgw::fakes
