#include "ownership/load_moves.h"
#include "ownership/store_schedule.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;
using namespace std::chrono_literals;

TEST_GROUP(budgets)
{
    random_source random{1};
    time_point start{100s};

    /// Number of calls that the schedule allows in `time`, with a try every 10 ms.
    std::size_t count_allowed_calls(store_schedule & schedule, bool is_write,
                                    std::chrono::seconds time)
    {
        std::size_t count = 0;
        for (time_point now = start; now < start + time; now += 10ms) {
            count += schedule.try_spend(now, is_write) ? 1 : 0;
        }
        return count;
    }
};

// Guards against nodes that together exceed 300 writes or 1,500 reads per second.
TEST(budgets, store_calls_stay_within_the_share_of_a_node)
{
    store_schedule schedule;
    schedule.set_node_count(18000);
    CHECK(count_allowed_calls(schedule, true, 120s) <= 120 * 300 / 18000 + 2);
    store_schedule reads;
    reads.set_node_count(150);
    CHECK(count_allowed_calls(reads, false, 10s) <= 10 * 10 + 6);
}

// Guards against nodes that call a failing store without backoff, or that wait for longer than 10 s
// after the store recovered.
TEST(budgets, backoff_grows_to_ten_seconds_with_jitter)
{
    store_schedule schedule;
    schedule.set_node_count(1000);
    std::chrono::nanoseconds longest{0};
    std::chrono::nanoseconds shortest{1h};
    for (int i = 0; i < 200; ++i) {
        schedule.on_result(start, true, store::status::unknown, random);
        const auto wait = schedule.blocked_until(true) - start;
        CHECK(i > 0 || wait <= 100ms);
        longest = std::max(longest, wait);
        shortest = std::min(shortest, wait);
    }
    CHECK(longest > 8s && longest <= 10s);
    CHECK(shortest < 1s);
    CHECK(!schedule.try_spend(start, true));
    CHECK(schedule.try_spend(start, false)); // the backoff of writes does not apply to reads
    schedule.on_result(start, true, store::status::conflict, random);
    CHECK(schedule.try_spend(start, true));
}

// Guards against a lost witness that is replaced only 8 s after the store recovered. If the holder
// is lost too within this time, its ranges stay without an owner.
TEST(budgets, backoff_with_few_nodes_is_at_most_one_second)
{
    store_schedule schedule;
    schedule.set_node_count(10);
    for (int i = 0; i < 200; ++i) {
        schedule.on_result(start, true, store::status::unavailable, random);
        CHECK(schedule.blocked_until(true) - start <= 1s);
    }
}

// Guards against more load moves per hour than the service allows.
TEST(budgets, load_moves_stay_within_the_hourly_budget)
{
    move_budget budget;
    std::size_t moves = 0;
    for (time_point now = start; now < start + 1h; now += 1s) {
        moves += budget.try_spend(now, 1, 10) ? 1 : 0;
    }
    CHECK(moves >= 9 && moves <= 10);
    CHECK(!budget.allows(start + 2h, 6, 10));
}

// Guards against a move that only overloads the receiver instead of the sender, and against moves
// for small differences in load.
TEST(budgets, a_move_must_reduce_the_imbalance)
{
    const incarnation_id self{1};
    const std::vector<range_load> own{{range_id{0}, 90}, {range_id{1}, 30}, {range_id{2}, 20}};
    const auto move = choose_move(self, {{self, 140, 1}, {{2}, 40, 1}, {{3}, 60, 1}}, own);
    CHECK(move == (range_move{range_id{1}, incarnation_id{2}}));
    CHECK(!choose_move(self, {{self, 140, 1}, {{2}, 120, 1}, {{3}, 110, 1}}, own));
    CHECK(!choose_move(self, {{self, 90, 1}, {{2}, 10, 1}}, {{range_id{0}, 90}}));
    CHECK(!choose_move(self, {{self, 140, 1}}, own));
}
