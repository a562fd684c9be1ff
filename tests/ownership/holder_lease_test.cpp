#include "ownership/holder_lease.h"

#include "common/errors.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;
using namespace std::chrono_literals;

namespace {
constexpr incarnation_id first{2};
constexpr incarnation_id second{3};
constexpr incarnation_id third{4};
constexpr time_point start{100s};
} // namespace

TEST_GROUP(holder_lease)
{
    lease_times times;
    holder_lease lease{times};
    void setup() override
    {
        lease.start(1, {first, second});
    }

    /// Sends a renewal at `now`; `from` acknowledges it at `later`.
    void renew_by(incarnation_id from, time_point now, time_point later)
    {
        lease.hurry();
        const renew body = lease.due(now).value();
        lease.on_ack(later, from, {body.set_version, body.sequence, body.adopted});
    }
};

// Guards against a lease that counts from the acknowledgement: the witness's
// promise would end first.
TEST(holder_lease, runs_from_the_sending_of_the_renewal)
{
    renew_by(first, start, start + 800ms);
    CHECK(lease.end() == start + times.lease);
    CHECK(!lease.is_running(start + times.lease));
}

// Guards against a duplicate or late acknowledgement that extends the lease by
// a renewal which the witness did not see.
TEST(holder_lease, an_old_acknowledgement_counts_for_its_own_renewal_only)
{
    const renew old = lease.due(start).value();
    renew_by(first, start + 400ms, start + 410ms);
    lease.on_ack(start + 1s, second, {1, old.sequence, {}});
    CHECK(lease.end() == start + 400ms + times.lease);
    lease.on_ack(start + 1s, second, {1, old.sequence + 50, {}});
    CHECK(lease.end() == start + 400ms + times.lease);
}

// Guards against a lease that rests on a witness which the stored set may
// already have replaced, and on one which the staying witness does not know of.
TEST(holder_lease, only_the_staying_witness_counts_during_a_change)
{
    lease.begin_change(first, third, 2);
    renew_by(first, start, start);
    renew_by(third, start, start);
    CHECK(!lease.is_running(start));
    renew_by(second, start, start);
    CHECK(lease.is_running(start));
    lease.confirm_change();
    renew_by(third, start + 200ms, start + 200ms);
    CHECK(lease.end() == start + 200ms + times.lease);
}

// Guards against two certificates of different set versions with different
// adopted versions, by the replaced witness with the holder and by the new set.
TEST(holder_lease, a_holder_seal_goes_only_to_the_staying_witness_during_a_change)
{
    UNSIGNED_LONGS_EQUAL(2, lease.holder_seal_targets().size());
    lease.begin_change(first, third, 2);
    CHECK(lease.holder_seal_targets() == std::vector<incarnation_id>{second});
    UNSIGNED_LONGS_EQUAL(1, lease.set_version());
}

// Guards against serving at a version that no counted witness recorded.
TEST(holder_lease, an_adoption_needs_a_counted_record)
{
    lease.adopt(placement_version{3});
    lease.begin_change(first, third, 2);
    renew_by(first, start, start);
    CHECK(lease.adopted() == placement_version{});
    renew_by(second, start, start);
    CHECK(lease.adopted() == placement_version{3});
    lease.adopt(placement_version{2});
    CHECK(lease.offered() == placement_version{3});
}

// Guards against settings that make the protocol unsafe or unable to live.
TEST(holder_lease, inconsistent_times_are_refused)
{
    times.lease = 300ms;
    CHECK_THROWS(error, validate(times));
    times = {};
    times.drift_permille = 600;
    CHECK_THROWS(error, validate(times));
}
