#include "assignment/release_pieces.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::assignment;

TEST_GROUP(release_pieces){};

// Guards against a move whose keys all wait for the longest of many runs.
TEST(release_pieces, keys_with_many_runs_are_cut_into_adjacent_pieces_of_similar_load)
{
    key_load_table keys;
    for (std::uint32_t key = 1000; key < 2000; ++key) {
        keys.add(key, key < 1500 ? 1 : 3);
    }
    const auto pieces = release_pieces(keys, 1000, 1999, 6);
    CHECK(pieces.size() >= 3);
    std::uint32_t next = 1000;
    for (const auto& piece : pieces) {
        LONGS_EQUAL(next, piece.first);
        CHECK(piece.first <= piece.last);
        CHECK(keys.sum(piece.first, piece.last) <= 0.5 * keys.sum(1000, 1999));
        next = piece.last + 1;
    }
    LONGS_EQUAL(2000, next);
}

// Guards against grants and directory entries for pieces that shorten no wait, and against an
// endless cut of a single key.
TEST(release_pieces, keys_with_few_runs_and_single_keys_stay_whole)
{
    key_load_table keys;
    keys.add(500, 1000);
    LONGS_EQUAL(1, release_pieces(keys, 0, 999, 0).size());
    LONGS_EQUAL(1, release_pieces(keys, 0, 999, 1).size());
    LONGS_EQUAL(1, release_pieces(keys, 500, 500, 40).size());
    CHECK(release_pieces(keys, 0, 999, 1e9).size() <= 8);
}
