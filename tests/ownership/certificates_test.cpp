#include "ownership/certificates.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;

namespace {
constexpr incarnation_id holder{1};
constexpr incarnation_id first{2};
constexpr incarnation_id second{3};

seal independent_seal(incarnation_id witness, std::uint32_t set, std::uint64_t adopted)
{
    return {holder, witness, set, placement_version{adopted}, false};
}

seal seal_on_holder_seal(incarnation_id witness, std::uint32_t set, std::uint64_t adopted)
{
    return {holder, witness, set, placement_version{adopted}, true};
}

std::optional<certificate> prove_from(std::initializer_list<seal> seals)
{
    seal_table known_seals;
    for (const seal& item : seals) {
        known_seals.add(item);
    }
    return known_seals.prove(holder);
}
} // namespace

TEST_GROUP(certificates){};

// Guards against an end that is proven by a single witness, or by two seals of the same witness.
TEST(certificates, one_witness_seal_proves_nothing)
{
    CHECK(!prove_from({independent_seal(first, 1, 5)}));
    CHECK(!prove_from({independent_seal(first, 1, 5), independent_seal(first, 1, 4)}));
}

// Guards against a certificate with the lower one of two adopted versions, if only one witness
// recorded the higher one.
TEST(certificates, two_witness_seals_give_the_higher_adopted_version)
{
    const auto proof = prove_from({independent_seal(first, 1, 4), independent_seal(second, 1, 5)});
    CHECK(proof && proof->adopted == placement_version{5});
}

// Guards against a replaced witness whose late seal completes a certificate although the holder has
// a valid lease with its new set.
TEST(certificates, seals_of_different_set_versions_prove_nothing)
{
    CHECK(!prove_from({independent_seal(first, 1, 5), independent_seal(second, 2, 5)}));
}

// Guards against two certificates with different adopted versions. The independent seal of one
// witness would form a certificate of version 4 with the seal of the other witness, but of version
// 5 with the holder seal.
TEST(certificates, an_independent_witness_seal_and_a_holder_seal_prove_nothing)
{
    const seal holder_seal{holder, holder, 1, placement_version{5}, false};
    CHECK(!prove_from({independent_seal(first, 1, 4), holder_seal}));
}

// Guards against two certificates with different adopted versions if one witness sealed
// independently and the other one on receipt of the holder seal. Every proof must give the version
// of the holder seal.
TEST(certificates, a_seal_on_a_holder_seal_gives_the_holders_version)
{
    CHECK(prove_from({seal_on_holder_seal(second, 1, 5)})->adopted == placement_version{5});
    CHECK(prove_from({independent_seal(first, 1, 4), seal_on_holder_seal(second, 1, 5)})->adopted ==
          placement_version{5});
}

// Guards against a faulty peer that makes the table grow without bound.
TEST(certificates, seals_of_one_holder_are_bounded)
{
    seal_table known_seals;
    for (std::uint32_t set = 1; set <= 100; ++set) {
        known_seals.add(independent_seal(first, set, 1));
    }
    UNSIGNED_LONGS_EQUAL(seal_table::seals_per_holder, known_seals.all().size());
    UNSIGNED_LONGS_EQUAL(100, known_seals.all().front().set_version);
}
