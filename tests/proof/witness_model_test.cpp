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

/// A witness of the engine and the model's record of the same lease, which get the same events.
struct witness_pair {
    ownership::lease_times times;
    ownership::witness_table table{witness, times, false};
    witness_record record;
    std::int32_t promise = static_cast<std::int32_t>(ownership::promise_duration(times).count());

    void check_seal() const
    {
        const ownership::seal* seal = table.seal_of(holder);
        LONGS_EQUAL(record.sealed, seal != nullptr ? 1 : 0);
        if (seal != nullptr) {
            // The engine's set versions count from 1, the model's from 0.
            LONGS_EQUAL(record.seal_set, seal->set_version - 1);
            LONGS_EQUAL(record.seal_adopted, seal->adopted.value);
            LONGS_EQUAL(record.with_holder, seal->with_holder ? 1 : 0);
        }
    }
};

} // namespace

TEST_GROUP(witness_model){};

// Guards against a model that differs from the engine. Both take the same random steps and must
// make the same decisions.
TEST(witness_model, engine_and_model_make_the_same_decisions)
{
    constexpr int runs = 2000;
    constexpr int steps = 40;
    std::mt19937_64 random{7};
    for (int run = 0; run < runs; ++run) {
        witness_pair both;
        std::int32_t now = 1000;
        std::uint64_t sequence = 0;
        std::uint8_t version = 0;
        both.table.update_witness_set(at(now), row_of(1));
        both.record.watch(now, both.promise, 0, 0);
        for (int step = 0; step < steps; ++step) {
            // Each step is shorter than the gap in time after which the witness assumes that it was
            // paused itself.
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

// Guards against certificates that the engine forms and the model does not, or the reverse.
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
