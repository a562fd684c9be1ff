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

// Guards against any violation of the promises under random series of faults.
TEST(random_run, seeds_have_no_violation)
{
    check_seeds(2000, {});
}

// Guards against two owners when a member missed a placement change.
TEST(random_run, stale_member_seeds_have_no_violation)
{
    check_seeds(200, run_mode::stale_member);
}

namespace {

const std::vector<violation_kind> safety{violation_kind::two_owners, violation_kind::two_executions,
                                         violation_kind::fence_decreased};

/// Runs the fixed seeds with one safety check of the engine disabled; the
/// number of those with a violation of safety.
std::size_t seeds_that_find(bool ownership::unsafe_switches::*disabled,
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
                return std::find(safety.begin(), safety.end(), each.kind) != safety.end();
            }));
    }
    return found;
}

} // namespace

// Guards against a checker that finds nothing: each disabled check must show.
TEST(random_run, checker_finds_a_missing_lease_check)
{
    CHECK(seeds_that_find(&ownership::unsafe_switches::skip_lease_check) > 0);
}

TEST(random_run, checker_finds_a_missing_certificate_version)
{
    CHECK(seeds_that_find(&ownership::unsafe_switches::skip_certificate_version,
                          run_mode::stale_member) > 0);
}

TEST(random_run, checker_finds_a_missing_close_of_the_previous_version)
{
    CHECK(seeds_that_find(&ownership::unsafe_switches::skip_previous_version) > 0);
}

TEST(random_run, checker_finds_a_missing_seal_permanence)
{
    CHECK(seeds_that_find(&ownership::unsafe_switches::skip_seal_permanence) > 0);
}
