#include "assignment/move_budget.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::assignment;

TEST_GROUP(move_budget){};

// Guards against overlapping rounds of moves in a small deployment, in which each move changes the
// loads of many of the targets.
TEST(move_budget, few_targets_move_keys_in_rounds)
{
    LONGS_EQUAL(4, remaining_budget(6, {0, 0}, 100).moves);
    CHECK(remaining_budget(6, {0, 0}, 100).load > 100);
    LONGS_EQUAL(0, remaining_budget(6, {1, 0.5}, 100).moves);
}

// Guards against a bound on the number of moves, which left targets full for seconds when many
// targets joined a large deployment, and against too much load in motion.
TEST(move_budget, many_targets_have_a_share_of_the_load_in_motion)
{
    CHECK(remaining_budget(67, {12, 2}, 100).moves >= 18);
    CHECK(remaining_budget(67, {12, 2}, 100).load > 0);
    CHECK(remaining_budget(67, {12, 20}, 100).load <= 0);
    LONGS_EQUAL(0, remaining_budget(67, {500, 2}, 100).moves);
}
