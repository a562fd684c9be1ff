#include "routing/evacuations.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::routing;

namespace {

time_point at(std::int64_t ms)
{
    return time_point(milliseconds{ms});
}

evacuation_rows rows_of(std::uint64_t version, std::vector<evacuation_change> changes)
{
    return {{version}, std::move(changes), true};
}

// Rows of an answer in a later era, whose versions all are of that era.
evacuation_rows rows_of_era(std::uint64_t era, std::uint64_t version,
                            std::vector<evacuation_change> changes)
{
    for (auto& change : changes) {
        change.version = version_in_era(era, change.version.number());
    }
    return {version_in_era(era, version), std::move(changes), true};
}

} // namespace

TEST_GROUP(evacuations)
{
    evacuations known;
};

// Guards against an order that stays in force because it was revoked while the store could not be
// reached, and against one that is lost with the same read.
TEST(evacuations, full_read_replaces_older_knowledge)
{
    known.on_read(at(0), rows_of(10, {{"a", 5, true}, {"b", 6, true}}));
    const auto changes = known.on_read(at(100), rows_of(20, {{"b", 6, true}, {"c", 15, true}}));
    CHECK(changes == evacuations::changes({{"a", 20, false}, {"c", 15, true}}));
    CHECK_FALSE(known.is_evacuated("a"));
    CHECK(known.is_evacuated("b"));
    // A peer that does not know of the changes yet.
    CHECK(known.on_peer(at(200), {10, {{"a", 5, milliseconds{1}}}}).empty());
    CHECK_FALSE(known.is_evacuated("a"));
}

// Guards against old news that arrives late and hides newer news.
TEST(evacuations, newer_version_wins)
{
    known.on_read(at(0), rows_of(10, {}));
    CHECK(known.on_peer(at(1), {30, {{"a", 30, milliseconds{0}}}}).size() == 1);
    CHECK(known.on_feed(at(2), at(2), rows_of(20, {{"a", 20, false}})).empty());
    CHECK(known.on_read(at(2), rows_of(25, {})).empty());
    CHECK(known.is_evacuated("a"));
    CHECK(known.on_feed(at(3), at(3), rows_of(40, {{"a", 40, false}})).size() == 1);
    CHECK(known.empty());
    CHECK(known.on_peer(at(4), {30, {{"a", 30, milliseconds{0}}}}).empty());
    CHECK(known.empty());
}

// Guards against a row that is hidden by a removed row of the same answer, of which only an upper
// bound of the version is known.
TEST(evacuations, rows_of_one_answer_do_not_hide_each_other)
{
    known.on_read(at(0), rows_of(10, {{"a", 5, true}}));
    known.on_feed(at(1), at(1), rows_of(20, {{"a", 20, false}, {"b", 15, true}}));
    CHECK_FALSE(known.is_evacuated("a"));
    CHECK(known.is_evacuated("b"));
    CHECK(known.version() == version_in_era(0, 20));
}

// Guards against a host that grants an order that may be old the time of a new one, and against an
// order that is written twice and begins anew.
TEST(evacuations, order_time_is_the_earliest_possible)
{
    known.on_read(at(1000), rows_of(10, {{"a", 5, true}}));
    CHECK(*known.ordered_at("a") < at(-1000000)); // in force before this process started
    known.on_feed(at(2000), at(2000), rows_of(20, {{"b", 20, true}}));
    CHECK(*known.ordered_at("b") == at(2000));
    known.on_feed(at(3000), at(3000), rows_of(30, {{"b", 30, true}}));
    CHECK(*known.ordered_at("b") == at(2000));
    known.on_read(at(9000), rows_of(40, {{"b", 30, true}, {"c", 35, true}}));
    CHECK(*known.ordered_at("b") == at(2000));
    CHECK(*known.ordered_at("c") == at(3000)); // the store had confirmed the state then
    known.on_peer(at(9000), {50, {{"b", 30, milliseconds{1}}, {"d", 50, milliseconds{400}}}});
    CHECK(*known.ordered_at("d") == at(8600));
    CHECK_FALSE(known.ordered_at("a").has_value());
    CHECK(known.snapshot(at(9100)) ==
          evacuation_snapshot({50, {{"b", 30, milliseconds{7100}}, {"d", 50, milliseconds{500}}}}));
}

// Guards against an order that counts from the arrival of a peer's older knowledge, which did not
// rule it out.
TEST(evacuations, knowledge_of_a_peer_does_not_date_later_orders)
{
    known.on_read(at(1000), rows_of(10, {}));
    known.on_peer(at(5000), {20, {}});
    known.on_read(at(6000), rows_of(30, {{"a", 25, true}}));
    CHECK(*known.ordered_at("a") == at(1000));
}

// Guards against orders that end because an answer of the store did not contain them.
TEST(evacuations, incomplete_read_ends_no_order)
{
    known.on_read(at(0), rows_of(10, {{"a", 5, true}}));
    known.on_read(at(1), {20, {{"b", 15, true}}, false});
    CHECK(known.is_evacuated("a"));
    CHECK(known.is_evacuated("b"));
}

// Guards against an order that is dropped because the store came back from an older copy and gave a
// lower version to it, and against one that a peer's report of the earlier era then ends.
TEST(evacuations, order_under_a_lower_version_of_a_later_era_is_in_force)
{
    known.on_read(at(0), rows_of(40, {}));
    known.on_feed(at(1), at(1), rows_of_era(1, 30, {{"a", 30, true}}));
    CHECK(known.is_evacuated("a"));
    CHECK(known.on_peer(at(2), {{40}, {}}).empty());
    CHECK(known.on_read(at(2), rows_of(41, {})).empty());
    CHECK(known.is_evacuated("a"));
    CHECK(known.on_feed(at(3), at(3), rows_of_era(1, 31, {{"a", 31, false}})).size() == 1);
    CHECK(known.empty());
}

// Guards against an order that ends because the older copy does not contain it. The operator writes
// it again within some seconds, and its time does not begin anew.
TEST(evacuations, order_that_the_store_has_lost_stays_until_it_is_written_again)
{
    known.on_read(at(0), rows_of(40, {{"a", 35, true}, {"b", 36, true}}));
    const auto ordered = *known.ordered_at("a");
    CHECK(known.on_read(at(1000), rows_of_era(1, 30, {})).empty());
    CHECK(known.on_peer(at(2000), {version_in_era(1, 31), {}}).empty());
    CHECK(known.is_evacuated("a"));
    CHECK(known.on_feed(at(3000), at(3000), rows_of_era(1, 32, {{"a", 32, true}})).empty());
    CHECK(*known.ordered_at("a") == ordered);
    // The order for the other zone had been revoked: nobody writes it again.
    const auto late = at(1000) + evacuations::rewrite_time;
    CHECK(known.on_feed(late, late, rows_of_era(1, 33, {})).size() == 1);
    CHECK(known.is_evacuated("a"));
    CHECK_FALSE(known.is_evacuated("b"));
}

// Guards against a host that keeps an order because it reads the store again after the time within
// which lost orders are written again.
TEST(evacuations, lost_order_ends_with_a_read_after_the_rewrite_time)
{
    known.on_read(at(0), rows_of(40, {{"a", 35, true}}));
    known.on_read(at(1000), rows_of_era(1, 30, {}));
    CHECK(known.is_evacuated("a"));
    known.on_read(at(1000) + evacuations::rewrite_time, rows_of_era(1, 30, {}));
    CHECK(known.empty());
}
