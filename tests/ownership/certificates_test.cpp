#include "ownership/certificates.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;

namespace {
constexpr incarnation_id holder{1};
constexpr incarnation_id first{2};
constexpr incarnation_id second{3};

seal own_seal(incarnation_id witness, std::uint32_t set, std::uint64_t adopted)
{
    return {holder, witness, set, placement_version{adopted}, false};
}

seal joint_seal(incarnation_id witness, std::uint32_t set, std::uint64_t adopted)
{
    return {holder, witness, set, placement_version{adopted}, true};
}

std::optional<certificate> proof_of(std::initializer_list<seal> seals)
{
    seal_table known_seals;
    for (const seal& item : seals) {
        known_seals.add(item);
    }
    return known_seals.prove(holder);
}
} // namespace

TEST_GROUP(certificates){};

// Guards against an end that one witness alone decides, also by a repeated seal.
TEST(certificates, one_witness_seal_proves_nothing)
{
    CHECK(!proof_of({own_seal(first, 1, 5)}));
    CHECK(!proof_of({own_seal(first, 1, 5), own_seal(first, 1, 4)}));
}

// Guards against a lost record: the version that either witness saw counts.
TEST(certificates, two_witness_seals_carry_the_larger_adopted_version)
{
    const auto proof = proof_of({own_seal(first, 1, 4), own_seal(second, 1, 5)});
    CHECK(proof && proof->adopted == placement_version{5});
}

// Guards against a replaced witness whose late seal completes a certificate
// while the holder lives with its new set.
TEST(certificates, seals_of_different_set_versions_prove_nothing)
{
    CHECK(!proof_of({own_seal(first, 1, 5), own_seal(second, 2, 5)}));
}

// Guards against two certificates with different adopted versions: the earlier
// own seal of one witness could be completed by the other witness at 4, and by
// the holder at 5.
TEST(certificates, an_own_witness_seal_and_a_holder_seal_prove_nothing)
{
    const seal holder_seal{holder, holder, 1, placement_version{5}, false};
    CHECK(!proof_of({own_seal(first, 1, 4), holder_seal}));
}

// Guards against the same conflict when one witness sealed alone and the other
// together with the holder: every pair must give the holder's version.
TEST(certificates, every_pair_with_a_joint_seal_carries_the_holders_version)
{
    CHECK(proof_of({joint_seal(second, 1, 5)})->adopted == placement_version{5});
    CHECK(proof_of({own_seal(first, 1, 4), joint_seal(second, 1, 5)})->adopted ==
          placement_version{5});
}

// Guards against a table that a faulty peer can fill without bound.
TEST(certificates, seals_of_one_holder_are_bounded)
{
    seal_table known_seals;
    for (std::uint32_t set = 1; set <= 100; ++set) {
        known_seals.add(own_seal(first, set, 1));
    }
    UNSIGNED_LONGS_EQUAL(seal_table::seals_per_holder, known_seals.all().size());
    UNSIGNED_LONGS_EQUAL(100, known_seals.all().front().set_version);
}
