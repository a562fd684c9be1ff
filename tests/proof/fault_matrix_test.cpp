#include "fakes/matrix.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::fakes;

TEST_GROUP(fault_matrix){};

// Guards against a fault that causes a violation at one step of the protocol.
TEST(fault_matrix, no_cell_has_a_violation)
{
    std::size_t failed = 0;
    std::size_t cells = 0;
    for (const cell_result& result : run_matrix(1)) {
        ++cells;
        if (!result.passed()) {
            ++failed;
            std::printf("\n%s (seed %llu)", format_line(result).c_str(),
                        static_cast<unsigned long long>(result.seed));
            for (const violation& found : result.violations) {
                std::printf("\n    %s: %s", to_string(found.kind).c_str(), found.text.c_str());
            }
        }
    }
    std::printf("\nfault matrix: %zu cells, %zu failed\n", cells, failed);
    LONGS_EQUAL(0, failed);
    CHECK(cells >= matrix_steps().size() * matrix_faults().size());
}
