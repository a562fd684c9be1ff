#pragma once

/// Simulation runs of several nodes with a random series of faults, followed by a period without
/// faults in which the system must recover.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fakes/driver.h"
#include "fakes/faults.h"
#include "fakes/history.h"

namespace bulrushgw::fakes {

/// A key is served again within this time after a single loss or the loss of an availability zone,
/// whether the store is up or down.
inline constexpr milliseconds loss_bound{2000};
/// Longest unavailable period of a key at a planned stop or move.
inline constexpr milliseconds planned_bound{100};

enum class run_mode {
    single, ///< one fault at a time; the availability bounds above are checked
    many,   ///< faults overlap; only safety and the recovery after the faults are checked
    /// One member misses a placement change that the others adopt, then another member is lost.
    /// Only in this case does safety depend on the adopted version in a certificate.
    stale_member,
};

struct run_result {
    std::uint64_t seed = 0;
    std::vector<violation> violations;
    std::vector<std::string> faults; ///< descriptions of the injected faults, with times
    std::size_t serve_span_count = 0;
    std::size_t executions = 0;
};

run_result run_seed(std::uint64_t seed, run_mode mode,
                    const ownership::unsafe_switches& unsafe = {});

/// Runs the seeds [first, first + count) on several threads. The results are in the order of the
/// seeds. Without a mode, even seeds use `single` and odd seeds use `many`.
std::vector<run_result> run_seeds(std::uint64_t first, std::size_t count,
                                  const ownership::unsafe_switches& unsafe = {},
                                  std::optional<run_mode> mode = {});

/// Formats the seed, the faults and the first violations of a run for a test failure.
std::string describe(const run_result& result);

} // namespace bulrushgw::fakes
