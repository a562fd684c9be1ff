#include "fakes/random_run.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

TEST_GROUP(random_run){};

namespace {

void check_seeds(std::size_t seeds, std::optional<run_mode> mode)
{
    constexpr std::uint64_t first = 1;
    std::size_t failed = 0;
    std::size_t executions = 0;
    for (const run_result& result : run_seeds(first, seeds, {}, mode)) {
        executions += result.executions;
        if (!result.violations.empty()) {
            ++failed;
            std::printf("\n%s", describe(result).c_str());
        }
    }
    std::printf("\nrandom runs: %zu seeds, %zu failed, %zu requests executed\n", seeds, failed,
                executions);
    LONGS_EQUAL(0, failed);
    CHECK(executions > seeds);
}

} // namespace

// Guards against any violation under random series of faults.
TEST(random_run, seeds_have_no_violation)
{
    check_seeds(2000, {});
}

// Guards against two owners after a member missed a placement change.
TEST(random_run, stale_member_seeds_have_no_violation)
{
    check_seeds(200, run_mode::stale_member);
}

namespace {

const std::vector<violation_kind> safety_violations{
    violation_kind::two_owners, violation_kind::two_executions, violation_kind::fence_decreased};

/// Runs a fixed set of seeds with one safety check of the engine disabled. Returns the number of
/// seeds with a safety violation.
std::size_t count_seeds_with_violation(bool ownership::unsafe_switches::*disabled,
                                       std::optional<run_mode> mode = {})
{
    constexpr std::uint64_t first = 1;
    constexpr std::size_t seeds = 100;
    ownership::unsafe_switches unsafe;
    unsafe.*disabled = true;
    std::size_t found = 0;
    for (const run_result& result : run_seeds(first, seeds, unsafe, mode)) {
        found += static_cast<std::size_t>(
            std::any_of(result.violations.begin(), result.violations.end(), [&](const auto& each) {
                return std::find(safety_violations.begin(), safety_violations.end(), each.kind) !=
                       safety_violations.end();
            }));
    }
    return found;
}

} // namespace

// Guards against a history checker that finds nothing: disabling a safety check must cause
// violations.
TEST(random_run, checker_finds_a_missing_lease_check)
{
    CHECK(count_seeds_with_violation(&ownership::unsafe_switches::skip_lease_check) > 0);
}

TEST(random_run, checker_finds_a_missing_certificate_version)
{
    CHECK(count_seeds_with_violation(&ownership::unsafe_switches::skip_certificate_version,
                                     run_mode::stale_member) > 0);
}

TEST(random_run, checker_finds_a_previous_version_that_is_not_closed)
{
    CHECK(count_seeds_with_violation(&ownership::unsafe_switches::skip_previous_version) > 0);
}

TEST(random_run, checker_finds_seals_that_are_not_permanent)
{
    CHECK(count_seeds_with_violation(&ownership::unsafe_switches::skip_seal_permanence) > 0);
}
