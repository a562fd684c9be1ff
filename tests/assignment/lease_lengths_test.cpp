#include "assignment/lease_lengths.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

namespace {

constexpr time_point start{milliseconds{50000}};

} // namespace

TEST_GROUP(lease_lengths)
{
    timing times;
};

// Guards against a slower takeover of keys whose work is short, and against leases above the bound.
TEST(lease_lengths, only_long_work_gets_long_leases_within_the_bounds)
{
    for (const long work : {-5, 0, 1, 600, 1200}) {
        LONGS_EQUAL(1600, lease_length(times, milliseconds{work}).count());
    }
    CHECK(lease_length(times, milliseconds{1500}) > milliseconds{1800});
    CHECK(lease_length(times, milliseconds{1500}) < milliseconds{2000});
    LONGS_EQUAL(4504, lease_length(times, milliseconds{4000}).count());
    LONGS_EQUAL(5000, lease_length(times, milliseconds::max()).count());
    times.lease = times.longest_lease = milliseconds{900};
    LONGS_EQUAL(900, lease_length(times, milliseconds{4000}).count());
}

// Guards against holds that outlast the lease when the grant is carried out late, and against
// leases whose fresh holds do not cover the work.
TEST(lease_lengths, holds_end_within_the_lease_and_cover_the_work)
{
    for (const bool from_arrival : {false, true}) {
        times.holds_count_from_arrival = from_arrival;
        for (milliseconds left{200}; left <= times.longest_lease; left += milliseconds{7}) {
            const auto hold = longest_hold(times, left);
            CHECK(latest_hold_end(times, hold) <= left + milliseconds{2});
            CHECK(from_arrival || hold < times.late_order_delay || hold * 2 < left);
        }
        for (const long work : {1300, 1500, 1700, 2000}) {
            const auto lease = lease_length(times, milliseconds{work});
            const auto hold = relied_hold(times, longest_hold(times, lease));
            CHECK(hold >= milliseconds{work} + times.renewal_period);
        }
    }
}

// Guards against leases for which the next leader does not allow: longer ones than the store has
// confirmed, and those that run on after the timeouts were shortened.
TEST(lease_lengths, record_names_the_longest_lease_until_it_is_over)
{
    lease_lengths lengths(times);
    lengths.set_longest_work({{"long", milliseconds{4000}}, {"short", milliseconds{300}}});
    LONGS_EQUAL(1600, lengths.length_for("long", milliseconds{0}).count());
    LONGS_EQUAL(3000, lengths.length_for("long", milliseconds{3000}).count());
    LONGS_EQUAL(4504, lengths.length_for("long", milliseconds{9000}).count());
    LONGS_EQUAL(1600, lengths.length_for("short", milliseconds{9000}).count());
    LONGS_EQUAL(1600, lengths.length_for("other", milliseconds{9000}).count());
    lengths.note_lease(milliseconds{5000}, start + milliseconds{5100});
    lengths.note_lease(milliseconds{5000}, start);
    lengths.set_longest_work({});
    LONGS_EQUAL(5000, lengths.longest(start + milliseconds{5099}).count());
    LONGS_EQUAL(1600, lengths.longest(start + milliseconds{5100}).count());
}
