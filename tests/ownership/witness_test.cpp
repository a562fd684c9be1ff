#include "ownership/witness.h"

#include "ownership/certificates.h"
#include "ownership/holder_lease.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;
using namespace std::chrono_literals;

namespace {
constexpr incarnation_id holder{1};
constexpr incarnation_id self{2};
constexpr incarnation_id other{3};
constexpr incarnation_id added{4};
constexpr time_point start{100s};

member_row row_with(std::uint32_t set_version, std::vector<incarnation_id> witnesses)
{
    member_row row;
    row.incarnation = holder;
    row.set_version = set_version;
    row.witnesses = std::move(witnesses);
    return row;
}
} // namespace

TEST_GROUP(witness)
{
    lease_times times;
    witness_table table{self, lease_times{}, false};

    /// Runs ticks in [from, end] and returns the new seals.
    std::vector<seal> tick_until(time_point from, time_point end)
    {
        std::vector<seal> made;
        for (time_point now = from; now <= end; now += times.tick) {
            for (const seal& item : table.on_tick(now)) {
                made.push_back(item);
            }
        }
        return made;
    }
    bool acknowledges(time_point now, std::uint64_t adopted = 0)
    {
        const auto answer = table.on_renew(now, holder, {1, 1, placement_version{adopted}});
        return answer && std::holds_alternative<renew_ack>(*answer);
    }
};

// Guards against a seal while the holder's lease may still run.
TEST(witness, no_seal_before_the_promise_ends)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    CHECK(acknowledges(start + 100ms, 7));
    CHECK(tick_until(start, start + 100ms + promise_duration(times) - 1ms).empty());
    const auto made = table.on_tick(start + 100ms + promise_duration(times));
    UNSIGNED_LONGS_EQUAL(1, made.size());
    CHECK(made.front().adopted == placement_version{7});
}

// Guards against a holder that renews its lease after its successors took over, either directly or
// after it sent a newer row.
TEST(witness, a_seal_is_permanent)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    UNSIGNED_LONGS_EQUAL(1, tick_until(start, start + 2s).size());
    CHECK(!acknowledges(start + 3s));
    CHECK(!table.update_witness_set(start + 3s, row_with(2, {self, added})));
    CHECK(!acknowledges(start + 4s));
    UNSIGNED_LONGS_EQUAL(1, table.seal_of(holder)->set_version);
}

// Guards against a witness that seals all holders after a pause of its own process, although their
// renewals are unread in its socket buffers.
TEST(witness, a_paused_witness_restarts_all_promises)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    tick_until(start, start + 1s);
    const time_point woken = start + 10s;
    CHECK(table.on_tick(woken).empty());
    CHECK(tick_until(woken, woken + promise_duration(times) - 1ms).empty());
}

// Guards against a witness that does not restart its promise for a newer witness set. The holder's
// lease may still depend on an acknowledgement of the replaced witness.
TEST(witness, a_new_set_version_restarts_the_promise)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    CHECK(acknowledges(start));
    const time_point changed = start + 1200ms;
    tick_until(start, changed);
    CHECK(table.update_witness_set(changed, row_with(2, {self, added})));
    CHECK(tick_until(changed + times.tick, changed + promise_duration(times) - 1ms).empty());
    const auto made = tick_until(changed + promise_duration(times), changed + 2s);
    UNSIGNED_LONGS_EQUAL(2, made.at(0).set_version);
}

// Guards against a certificate from a replaced witness, which seals late at the old set version,
// and the remaining witness, which has switched to the new set.
TEST(witness, a_replaced_and_a_remaining_witness_form_no_certificate)
{
    witness_table replaced{other, times, false};
    replaced.update_witness_set(start, row_with(1, {self, other}));
    table.update_witness_set(start, row_with(1, {self, other}));
    table.update_witness_set(start + 100ms, row_with(2, {self, added}));
    seal_table known_seals;
    for (const seal& item : replaced.on_tick(start + 2s)) {
        known_seals.add(item);
    }
    for (const seal& item : tick_until(start + 100ms, start + 2s)) {
        known_seals.add(item);
    }
    UNSIGNED_LONGS_EQUAL(2, known_seals.all().size());
    CHECK(!known_seals.prove(holder));
}

// Guards against a holder seal that changes a seal which the witness has already made.
TEST(witness, a_holder_seal_does_not_change_an_earlier_seal)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    acknowledges(start, 4);
    tick_until(start, start + 2s);
    const auto answer = table.on_holder_seal(holder, {1, placement_version{5}});
    CHECK(answer && !answer->with_holder && answer->adopted == placement_version{4});
}

// Guards against a holder seal that takes effect only when the witness's promise expires.
TEST(witness, a_holder_seal_is_answered_by_a_seal_and_ends_renewals)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    acknowledges(start, 4);
    const auto answer = table.on_holder_seal(holder, {1, placement_version{5}});
    CHECK(answer && answer->with_holder && answer->adopted == placement_version{5});
    CHECK(!acknowledges(start + 20ms));
}

// Guards against overlapping leases at the largest allowed clock drift: the witness's clock runs 1%
// fast and the holder's 1% slow, and the renewal arrives without delay.
TEST(witness, the_lease_ends_before_a_seal_at_the_drift_bound)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    holder_lease lease{times};
    lease.start(1, {self, other});
    const auto body = lease.due(start);
    const auto answer = table.on_renew(start, holder, *body);
    lease.on_ack(start, self, std::get<renew_ack>(*answer));
    const auto real = [](time_point clock, double rate) {
        return std::chrono::duration<double>(clock - start).count() / rate;
    };
    const double lease_end = real(lease.end(), 0.99);
    const double seal_time = real(start + promise_duration(times), 1.01);
    CHECK(lease_end < seal_time);
}

// Guards against acknowledging renewals of a holder whose end was proven without a seal of this
// witness.
TEST(witness, no_acknowledgement_after_a_certificate)
{
    table.update_witness_set(start, row_with(1, {self, other}));
    table.on_certificate(holder);
    CHECK(!acknowledges(start + 100ms));
}
