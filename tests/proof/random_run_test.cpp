#include "fakes/random_run.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

TEST_GROUP(random_run){};

// Guards against any violation of the promises under random series of faults.
TEST(random_run, seeds_have_no_violation)
{
    constexpr std::uint64_t first = 1;
    constexpr std::size_t seeds = 2000;
    std::size_t failed = 0;
    std::size_t executions = 0;
    for (const run_result& result : run_seeds(first, seeds)) {
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
