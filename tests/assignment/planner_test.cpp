#include "assignment/planner.h"

#include <cmath>
#include <numeric>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

namespace {

constexpr std::uint32_t last_key = key_count - 1;

std::vector<owner_candidate> owners(std::vector<double> capacities)
{
    std::vector<owner_candidate> result;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        result.push_back({incarnation_id{i + 1}, "t" + std::to_string(i + 1), capacities[i]});
    }
    return result;
}

std::vector<segment> first_assignment(const key_load_table& keys,
                                      const std::vector<owner_candidate>& candidates)
{
    std::vector<double> loads(candidates.size(), 0);
    return distribute_keys(keys, std::vector<unassigned_keys>{{0, last_key, ""}}, candidates,
                           loads);
}

/// Applies moves until none is found, for at most `max_rounds` rounds. Returns the highest load
/// relative to capacity, divided by the mean.
double peak_after_moves(const key_load_table& keys, std::vector<segment> segments,
                        const std::vector<owner_candidate>& candidates, int max_rounds)
{
    for (int round = 0; round < max_rounds; ++round) {
        const auto moves = find_moves(keys, segments, candidates, {4});
        if (moves.empty()) {
            break;
        }
        for (const auto& move : moves) {
            split_segments(segments, move.first);
            split_segments(segments, move.last + 1);
            for (auto& item : segments) {
                if (item.first == move.first && item.last == move.last) {
                    item.owner = move.to.node;
                }
            }
        }
    }
    double capacity = 0;
    double highest_load = 0;
    for (const auto& candidate : candidates) {
        double load = 0;
        for (const auto& item : segments) {
            load += item.owner == candidate.node ? keys.sum(item.first, item.last) : 0;
        }
        highest_load = std::max(highest_load, load / candidate.capacity);
        capacity += candidate.capacity;
    }
    return highest_load / (keys.total() / capacity);
}

} // namespace

TEST_GROUP(planner){};

// Guards against keys that are assigned to no target or to two targets in the first assignment.
TEST(planner, first_assignment_covers_all_keys_once_by_capacity)
{
    const key_load_table keys;
    const auto candidates = owners({1, 1, 2});
    const auto segments = first_assignment(keys, candidates);
    std::uint32_t next = 0;
    for (const auto& item : segments) {
        LONGS_EQUAL(next, item.first);
        next = item.last + 1;
    }
    LONGS_EQUAL(key_count, next);
    LONGS_EQUAL(3, segments.size());
    DOUBLES_EQUAL(2.0,
                  keys.sum(segments[2].first, segments[2].last) /
                      keys.sum(segments[0].first, segments[0].last),
                  0.01);
}

// Guards against an overload by adjacent keys that are busier than the rest, on targets of
// different speed.
TEST(planner, adjacent_busy_keys_are_divided_by_capacity)
{
    key_load_table keys;
    for (std::uint32_t key = 52000; key < 54000; ++key) {
        keys.add(key, 1.0);
    }
    const auto candidates = owners({0.7, 0.7, 1.6, 0.7, 0.7, 1.6});
    const double peak = peak_after_moves(keys, first_assignment(keys, candidates), candidates, 20);
    CHECK(peak < 1.3);
}

// Guards against a very hot key that shares its target with many other keys or stays on a slow
// target.
TEST(planner, hot_key_is_isolated_on_a_fast_target)
{
    key_load_table keys;
    for (std::uint32_t key = 0; key < key_count; key += 16) {
        keys.add(key, 0.5);
    }
    constexpr std::uint32_t hot = 30001;
    keys.add(hot, 1500);
    const auto candidates = owners({0.7, 1.6, 0.7, 0.7});
    auto segments = first_assignment(keys, candidates);
    for (int round = 0; round < 20; ++round) {
        for (const auto& move : find_moves(keys, segments, candidates, {4})) {
            split_segments(segments, move.first);
            split_segments(segments, move.last + 1);
            for (auto& item : segments) {
                if (item.first == move.first && item.last == move.last) {
                    item.owner = move.to.node;
                }
            }
        }
    }
    double fast_target_load = 0;
    for (const auto& item : segments) {
        const bool contains_hot_key = item.first <= hot && hot <= item.last;
        if (contains_hot_key) {
            LONGS_EQUAL(2, item.owner.value);
        }
        if (item.owner.value == 2) {
            fast_target_load += keys.sum(item.first, item.last);
        }
    }
    CHECK(fast_target_load - keys.load_of(hot) < 0.2 * (keys.total() - keys.load_of(hot)));
}

// Guards against moves caused by random differences. Each move takes keys out of service until the
// requests in progress for them have finished.
TEST(planner, small_differences_cause_no_move)
{
    key_load_table keys;
    for (std::uint32_t key = 0; key < key_count; key += 1024) {
        keys.add(key, key % 2048 == 0 ? 0.9 : 1.1);
    }
    const auto candidates = owners({1, 1, 1, 1});
    CHECK_FALSE(find_move(keys, first_assignment(keys, candidates), candidates).has_value());
}

// Guards against a new target that gets no keys until another target is overloaded.
TEST(planner, new_target_gets_keys_without_an_overload)
{
    key_load_table keys;
    for (std::uint32_t key = 0; key < key_count; ++key) {
        keys.add(key, 0.01);
    }
    const auto before = owners({1, 1, 1, 1, 1, 1, 1, 1});
    const auto segments = first_assignment(keys, before);
    const auto after = owners({1, 1, 1, 1, 1, 1, 1, 1, 1});
    const auto move = find_move(keys, segments, after);
    CHECK(move.has_value());
    LONGS_EQUAL(9, move->to.node.value);
}

// Guards against assigning all keys of a lost target to one other target.
TEST(planner, keys_of_a_lost_target_go_to_all_targets_with_room)
{
    const key_load_table keys;
    const auto candidates = owners({1, 1, 1, 1});
    std::vector<double> loads(4, keys.sum(0, 9999));
    const auto pieces =
        distribute_keys(keys, std::vector<unassigned_keys>{{20000, 29999, ""}}, candidates, loads);
    LONGS_EQUAL(4, pieces.size());
    for (const auto& piece : pieces) {
        CHECK(piece.last - piece.first + 1 < 2600);
    }
}

// Guards against one very hot key that prevents the balancing of all other targets: its target has
// the highest load, which no move can reduce, so the other targets were never considered.
TEST(planner, hot_key_does_not_prevent_moves_between_other_targets)
{
    key_load_table keys;
    for (std::uint32_t key = 0; key < key_count; key += 8) {
        keys.add(key, 0.5);
    }
    for (std::uint32_t key = 20000; key < 20200; ++key) {
        keys.add(key, 10);
    }
    constexpr std::uint32_t hot = 50001;
    keys.add(hot, 4000);
    const key_load_table idle;
    const auto candidates = owners({1, 1, 1, 1, 1, 1, 1, 1, 1, 1});
    std::vector<double> loads(candidates.size(), 0);
    auto segments =
        distribute_keys(idle, std::vector<unassigned_keys>{{0, last_key, ""}}, candidates, loads);
    for (int round = 0; round < 40; ++round) {
        for (const auto& move : find_moves(keys, segments, candidates, {4})) {
            split_segments(segments, move.first);
            split_segments(segments, move.last + 1);
            for (auto& item : segments) {
                if (item.first == move.first && item.last == move.last) {
                    item.owner = move.to.node;
                }
            }
        }
    }
    std::vector<double> load_without_hot_key(candidates.size(), 0);
    for (const auto& item : segments) {
        load_without_hot_key[item.owner.value - 1] += keys.sum(item.first, item.last);
        if (item.first <= hot && hot <= item.last) {
            load_without_hot_key[item.owner.value - 1] -= keys.load_of(hot);
        }
    }
    // Nine targets share all other keys.
    const double equal_share = (keys.total() - keys.load_of(hot)) / 9;
    for (const double load : load_without_hot_key) {
        CHECK(load < 1.3 * equal_share);
    }
}

// Guards against two faults in a large set of targets: splitting the keys of a lost target into a
// piece for each other target, and assigning all of them to a single one.
TEST(planner, keys_of_a_lost_target_go_to_few_targets_of_a_large_set)
{
    const key_load_table keys;
    const auto candidates = owners(std::vector<double>(60, 1.0));
    std::vector<double> loads(60, keys.sum(0, 1023));
    const std::vector<unassigned_keys> lost{{20000, 20400, ""}, {30000, 30622, "token"}};
    const auto pieces = distribute_keys(keys, lost, candidates, loads);
    CHECK(pieces.size() >= 6);
    CHECK(pieces.size() <= 10);
    std::uint32_t covered = 0;
    for (const auto& piece : pieces) {
        covered += piece.last - piece.first + 1;
        STRCMP_EQUAL(piece.first < 30000 ? "" : "token", piece.handover.c_str());
    }
    LONGS_EQUAL(1024, covered);
    for (const double load : loads) {
        CHECK(load < 1.2 * keys.sum(0, 1023));
    }
}

// Guards against a cold target that gets as many keys as a warm one, or none at all.
TEST(planner, cold_target_gets_keys_in_proportion_to_what_it_tolerates)
{
    key_load_table keys;
    // 100 requests per second for ten seconds.
    for (int step = 0; step < 100; ++step) {
        keys.decay(milliseconds{100});
        keys.add(static_cast<std::uint32_t>(step * 600), 10);
    }
    CHECK(std::abs(keys.requests_per_s() - 90) < 10);
    DOUBLES_EQUAL(1, tolerated_share(12, 5), 0);
    DOUBLES_EQUAL(0.25, tolerated_share(12, 48), 0.001);
    CHECK(tolerated_share(0.001, 1000) > 0);
    const auto candidates = owners({1, 1, 1, tolerated_share(12, 48)});
    std::vector<double> loads(4, 0);
    distribute_keys(key_load_table{}, std::vector<unassigned_keys>{{0, last_key, ""}}, candidates,
                    loads);
    CHECK(loads[3] > 0);
    CHECK(loads[3] < 0.35 * loads[0]);
}

// Guards against a target that stays full because its load is only a little above the mean.
TEST(planner, full_target_gives_keys_away_although_it_is_near_the_mean)
{
    key_load_table keys;
    for (std::uint32_t key = 0; key < key_count; key += 64) {
        keys.add(key, key < key_count / 4 ? 3.7 : 3.0);
    }
    const auto candidates = owners({1, 1, 1, 1});
    const key_load_table idle;
    const auto segments = first_assignment(idle, candidates);
    balance_limits limits;
    CHECK_FALSE(find_move(keys, segments, candidates, limits).has_value());
    limits.full_load = 850;
    const auto move = find_move(keys, segments, candidates, limits);
    CHECK(move.has_value());
    LONGS_EQUAL(1, move->from.value);
}

// Guards against a full target that is not detected in the first second of traffic, because the
// decaying number of requests takes several seconds to settle.
TEST(planner, rate_is_known_in_the_first_second)
{
    key_load_table keys;
    keys.decay(milliseconds{500});
    for (int i = 0; i < 2; ++i) {
        keys.add(7, 50);
        keys.decay(milliseconds{500});
    }
    const double rate = keys.rate_of(keys.load_of(7));
    CHECK(rate > 80);
    CHECK(rate < 130);
}

// Guards against a move of a key that its next target cannot serve much better, while which all
// requests for the key wait. The other keys of its target move instead.
TEST(planner, hot_key_does_not_move_to_a_target_that_is_hardly_faster)
{
    key_load_table keys;
    for (std::uint32_t key = 0; key < key_count; key += 16) {
        keys.add(key, 0.5);
    }
    constexpr std::uint32_t hot = 5;
    keys.add(hot, 4000);
    const auto candidates = owners({1, 1.2, 1, 1});
    const key_load_table idle;
    const auto moves = find_moves(keys, first_assignment(idle, candidates), candidates, {4});
    CHECK_FALSE(moves.empty());
    LONGS_EQUAL(1, moves.front().from.value);
    for (const auto& move : moves) {
        CHECK(hot < move.first || move.last < hot);
    }
}
