#include "fakes/lease_model.h"
#include "ownership/certificates.h"
#include "ownership/witness.h"

#include <random>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::fakes;

namespace {

constexpr incarnation_id witness{1};
constexpr incarnation_id holder{2};
constexpr incarnation_id other{3};

time_point at(std::int32_t ms)
{
    return time_point{milliseconds{ms}};
}

ownership::member_row row_of(std::uint32_t set_version)
{
    ownership::member_row row;
    row.incarnation = holder;
    row.set_version = set_version;
    row.witnesses = {witness, other};
    return row;
}

/// One witness of the engine and the model's record of the same lease.
struct twin {
    ownership::lease_times times;
    ownership::witness_table table{witness, times, false};
    witness_record record;
    std::int32_t promise = static_cast<std::int32_t>(ownership::promise_duration(times).count());

    void check_seal() const
    {
        const ownership::seal* made = table.seal_of(holder);
        LONGS_EQUAL(record.sealed, made != nullptr ? 1 : 0);
        if (made != nullptr) {
            // The engine's set versions count from 1, the model's from 0.
            LONGS_EQUAL(record.seal_set, made->set_version - 1);
            LONGS_EQUAL(record.seal_adopted, made->adopted.value);
            LONGS_EQUAL(record.with_holder, made->with_holder ? 1 : 0);
        }
    }
};

} // namespace

TEST_GROUP(witness_model){};

// Guards against an exploration of rules that the engine does not follow: both
// take the same random steps and must answer alike.
TEST(witness_model, engine_and_model_decide_alike)
{
    constexpr int runs = 2000;
    constexpr int steps = 40;
    std::mt19937_64 random{7};
    for (int run = 0; run < runs; ++run) {
        twin both;
        std::int32_t now = 1000;
        std::uint64_t sequence = 0;
        std::uint8_t version = 0;
        both.table.update_witness_set(at(now), row_of(1));
        both.record.watch(now, both.promise, 0, 0);
        for (int step = 0; step < steps; ++step) {
            // Steps stay below the gap that counts as a pause of the witness.
            now += static_cast<std::int32_t>(random() % 400);
            switch (random() % 12) {
            case 0:
                both.table.update_witness_set(at(now), row_of(2));
                both.record.on_set_change(now, both.promise, 1, 0);
                break;
            case 1:
                if (step > steps / 2) {
                    both.table.on_holder_seal(holder, {1, placement_version{version}});
                    both.record.on_holder_seal(version);
                }
                break;
            case 2:
                version = 1;
                break;
            case 3:
            case 4: {
                const auto answer =
                    both.table.on_renew(at(now), holder, {1, ++sequence, {version}});
                const bool acked = answer && std::holds_alternative<ownership::renew_ack>(*answer);
                CHECK_EQUAL(both.record.on_renew(now, both.promise, version), acked);
                break;
            }
            default:
                break;
            }
            both.table.on_tick(at(now));
            both.record.on_time(now);
            both.check_seal();
        }
    }
}

// Guards against certificates that the model does not form, or the reverse.
TEST(witness_model, certificates_follow_the_model)
{
    const auto seal_of = [](incarnation_id by, std::uint32_t set, std::uint64_t adopted,
                            bool with_holder) {
        return ownership::seal{holder, by, set, placement_version{adopted}, with_holder};
    };
    using ownership::certificate_of;
    CHECK_FALSE(certificate_of(seal_of(witness, 1, 0, false), seal_of(other, 2, 0, false)));
    CHECK_FALSE(certificate_of(seal_of(witness, 1, 0, false), seal_of(holder, 1, 1, false)));
    const auto pair = certificate_of(seal_of(witness, 1, 0, false), seal_of(other, 1, 1, false));
    CHECK(pair && pair->adopted == placement_version{1});
    const auto ended = certificate_of(seal_of(witness, 1, 1, true), seal_of(holder, 1, 1, false));
    CHECK(ended && ended->adopted == placement_version{1});
}
