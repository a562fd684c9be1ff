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

    /// Sends a renewal at `now`, whose acknowledgement from `from` arrives at `later`.
    void acknowledge_renewal(incarnation_id from, time_point now, time_point later)
    {
        lease.renew_at_once();
        const renew body = lease.due(now).value();
        lease.on_ack(later, from, {body.set_version, body.sequence, body.adopted});
    }
};

// Guards against a lease that runs from the receipt of the acknowledgement: it would end after the
// witness's promise.
TEST(holder_lease, lease_runs_from_the_sending_of_the_renewal)
{
    acknowledge_renewal(first, start, start + 800ms);
    CHECK(lease.end() == start + times.lease);
    CHECK(!lease.is_running(start + times.lease));
}

// Guards against a duplicate or late acknowledgement that extends the lease as if it acknowledged a
// newer renewal, which the witness may not have received.
TEST(holder_lease, an_old_acknowledgement_counts_for_its_own_renewal_only)
{
    const renew old = lease.due(start).value();
    acknowledge_renewal(first, start + 400ms, start + 410ms);
    lease.on_ack(start + 1s, second, {1, old.sequence, {}});
    CHECK(lease.end() == start + 400ms + times.lease);
    lease.on_ack(start + 1s, second, {1, old.sequence + 50, {}});
    CHECK(lease.end() == start + 400ms + times.lease);
}

// Guards against a lease that depends on a witness that the set in the store may have replaced
// already, or on an added witness that the remaining witness does not know of.
TEST(holder_lease, only_the_remaining_witness_counts_during_a_change)
{
    lease.begin_change(first, third, 2);
    acknowledge_renewal(first, start, start);
    acknowledge_renewal(third, start, start);
    CHECK(!lease.is_running(start));
    acknowledge_renewal(second, start, start);
    CHECK(lease.is_running(start));
    lease.confirm_change();
    acknowledge_renewal(third, start + 200ms, start + 200ms);
    CHECK(lease.end() == start + 200ms + times.lease);
}

// Guards against two certificates with different adopted versions: one from the replaced witness
// and the holder, the other from the new set.
TEST(holder_lease, a_holder_seal_goes_only_to_the_remaining_witness_during_a_change)
{
    UNSIGNED_LONGS_EQUAL(2, lease.holder_seal_recipients().size());
    lease.begin_change(first, third, 2);
    CHECK(lease.holder_seal_recipients() == std::vector<incarnation_id>{second});
    UNSIGNED_LONGS_EQUAL(1, lease.set_version());
}

// Guards against serving at a version that was recorded only by a witness being replaced.
TEST(holder_lease, an_adoption_needs_the_record_of_a_counted_witness)
{
    lease.adopt(placement_version{3});
    lease.begin_change(first, third, 2);
    acknowledge_renewal(first, start, start);
    CHECK(lease.adopted() == placement_version{});
    acknowledge_renewal(second, start, start);
    CHECK(lease.adopted() == placement_version{3});
    lease.adopt(placement_version{2});
    CHECK(lease.offered() == placement_version{3});
}

// Guards against settings that make the protocol unsafe or prevent it from making progress.
TEST(holder_lease, inconsistent_times_are_refused)
{
    times.lease = 300ms;
    CHECK_THROWS(error, validate(times));
    times = {};
    times.drift_permille = 600;
    CHECK_THROWS(error, validate(times));
}
