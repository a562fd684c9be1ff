#include <algorithm>
#include <functional>
#include <vector>

#include "ownership/directory.h"
#include "ownership/witness_choice.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;
using namespace std::chrono_literals;

namespace {
constexpr time_point now{100s};
constexpr const char* service = "catalogue";

member_row row_of(std::uint64_t id, const char* zone = "lk-a", std::uint32_t set_version = 1)
{
    member_row row;
    row.incarnation = {id};
    row.host = "host-" + std::to_string(id);
    row.zone = zone;
    row.service = service;
    row.set_version = set_version;
    return row;
}

placement record_of(std::uint64_t version, std::vector<weighted_member> members)
{
    placement record;
    record.service = service;
    record.ranges = 8;
    record.current.version.value = version;
    record.current.members = members;
    record.previous = record.current;
    record.previous.version.value = version - 1;
    return record;
}

adoption adoption_of(std::uint64_t id, std::uint64_t version, std::vector<range_id> draining)
{
    return {incarnation_id{id}, service, placement_version{version}, std::move(draining)};
}
} // namespace

TEST_GROUP(directory)
{
    directory shared;
    /// Merges the items whose positions are in `order`, in that order.
    void merge_in_order(directory & into, const std::vector<std::size_t>& order)
    {
        const std::vector<std::function<void()>> items{
            [&] { into.merge(now, row_of(1)); },
            [&] { into.merge(now, row_of(1, "lk-a", 3)); },
            [&] {
                into.merge(record_of(4, {{{1}, 1}, {{2}, 1}}));
            },
            [&] {
                into.merge(record_of(5, {{{1}, 1}, {{2}, 1}}));
            },
            [&] {
                into.merge(adoption_of(1, 5, {range_id{1}, range_id{2}}));
            },
            [&] { into.merge(adoption_of(1, 5, {range_id{2}})); },
            [&] {
                into.merge(certificate{{2}, placement_version{5}, "witnesses"});
            },
            [&] {
                into.merge(seal{{2}, {3}, 1, {}, false});
            },
        };
        for (const auto at : order) {
            items.at(at)();
        }
    }
};

// Guards against nodes whose state differs because they received the same items in a different
// order.
TEST(directory, merging_does_not_depend_on_the_order)
{
    std::vector<std::size_t> order{0, 1, 2, 3, 4, 5, 6, 7};
    merge_in_order(shared, order);
    CHECK(shared.adoption_of({1})->draining == std::vector<range_id>{range_id{2}});
    UNSIGNED_LONGS_EQUAL(3, shared.find({1})->set_version);
    UNSIGNED_LONGS_EQUAL(5, shared.placement_of(service)->current.list().version.value);
    STRCMP_EQUAL("witnesses", shared.certificate_of({2})->cause.c_str());
    const digest expected = shared.summary();
    std::size_t differing_orders = 0;
    while (std::next_permutation(order.begin(), order.end())) {
        directory other;
        merge_in_order(other, order);
        const digest actual = other.summary();
        const bool is_equal = actual.members == expected.members &&
                              actual.placements == expected.placements &&
                              actual.certificates == expected.certificates &&
                              actual.adoptions == expected.adoptions &&
                              *other.adoption_of({1}) == *shared.adoption_of({1}) &&
                              other.find({1})->set_version == 3;
        differing_orders += is_equal ? 0 : 1;
    }
    UNSIGNED_LONGS_EQUAL(0, differing_orders);
}

// Guards against a row with a higher set version that replaces the row of an ended member.
TEST(directory, an_ended_row_supersedes_every_other)
{
    member_row ended = row_of(1);
    ended.state = member_state::ended;
    shared.merge(now, ended);
    CHECK(!shared.merge(now, row_of(1, "lk-a", 9)));
    CHECK(shared.find({1})->state == member_state::ended);
}

// Guards against state that grows with every past incarnation. Also guards against a late copy of
// an ended incarnation's row that makes the incarnation a live member again.
TEST(directory, ended_members_in_no_open_version_are_dropped)
{
    shared.merge(record_of(5, {{{1}, 1}}));
    shared.merge(now, row_of(1));
    shared.merge(adoption_of(1, 5, {}));
    for (std::uint64_t id = 2; id < 2000; ++id) {
        shared.merge(now, row_of(id));
        shared.merge(certificate{{id}, {}, "witnesses"});
    }
    shared.prune(now, {1});
    CHECK(shared.certificates().size() <= directory::closed_certificate_limit);
    CHECK(!shared.merge(now, row_of(1999)) || shared.certificate_of({1999}) == nullptr);
    shared.prune(now + 20min, {1});
    UNSIGNED_LONGS_EQUAL(0, shared.certificates().size());
    UNSIGNED_LONGS_EQUAL(1, shared.members().size());
    UNSIGNED_LONGS_EQUAL(1, shared.adoptions().size());
}

// Guards against nodes that exchange items without end because they drop them at different times.
TEST(directory, digests_exclude_items_that_may_be_dropped)
{
    shared.merge(record_of(5, {{{1}, 1}}));
    shared.merge(now, row_of(1));
    const digest before = shared.summary();
    shared.merge(now, row_of(7));
    shared.merge(certificate{{7}, {}, "holder"});
    const digest after = shared.summary();
    CHECK(before.members == after.members && before.certificates == after.certificates);
}

// Guards against witnesses in the holder's zone or both in the same zone, and against members that
// are witnesses of each other, if other members are available.
TEST(directory, witnesses_are_spread_over_zones)
{
    const member_row holder = row_of(1, "lk-a");
    member_row mutual = row_of(2, "lk-b");
    mutual.witnesses = {holder.incarnation};
    const std::vector<member_row> rows{mutual, row_of(3, "lk-b"), row_of(4, "lk-c"),
                                       row_of(5, "lk-a"), row_of(6, "lk-c")};
    std::vector<const member_row*> live;
    for (const member_row& row : rows) {
        live.push_back(&row);
    }
    const member_row* first = choose_witness(holder, nullptr, live);
    const member_row* second = choose_witness(holder, first, live);
    CHECK(first->zone != holder.zone && second->zone != holder.zone);
    CHECK(first->zone != second->zone);
    CHECK(first->incarnation != mutual.incarnation && second->incarnation != mutual.incarnation);
    live = {&rows[3]};
    CHECK(choose_witness(holder, nullptr, live) == &rows[3]);
    CHECK(choose_witness(holder, &rows[3], live) == nullptr);
}
