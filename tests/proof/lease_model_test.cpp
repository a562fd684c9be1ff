#include "fakes/explore.h"
#include "fakes/lease_model.h"

#include <cstdio>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::fakes;

namespace {

/// Greater than the depth of the models without replacement, so that they are explored completely.
constexpr std::size_t depth = 60;
constexpr std::size_t max_states = 2'000'000;

template <typename Model>
exploration explored(const char* name, const Model& model)
{
    const exploration result = explore(model, depth, max_states);
    std::printf("\nexploration %s: %zu states, %zu transitions, depth %zu, %s", name, result.states,
                result.transitions, result.depth,
                result.violation.empty() ? "no violation" : result.violation.c_str());
    for (const std::string& step : result.trace) {
        std::printf("\n    %s", step.c_str());
    }
    std::printf("\n");
    return result;
}

lease_rules without(bool lease_rules::*rule)
{
    lease_rules rules;
    rules.*rule = false;
    return rules;
}

} // namespace

TEST_GROUP(lease_model){};

// Guards against an exploration that misses a known fault of the first version of way C. There are
// two owners if the standby takes over while the owner replaces the standby in the store.
TEST(lease_model, standby_that_takes_over_alone_gives_two_owners)
{
    CHECK_FALSE(explored("way C without the store's vote", standby_model{false}).violation.empty());
}

// Guards against two owners in the repaired way C.
TEST(lease_model, standby_with_the_vote_of_the_store_gives_one_owner)
{
    const exploration result = explored("way C with the store's vote", standby_model{true});
    STRCMP_EQUAL("", result.violation.c_str());
    CHECK(result.complete);
}

// Guards against two owners in the shipped protocol with three nodes.
TEST(lease_model, lease_quorums_give_one_owner)
{
    const exploration result = explored("way D", quorum_model{{}, false});
    STRCMP_EQUAL("", result.violation.c_str());
    CHECK(result.complete);
}

// Guards against two owners in the shipped protocol while a witness is replaced.
TEST(lease_model, lease_quorums_give_one_owner_with_replacement)
{
    const exploration result = explored("way D with replacement", quorum_model{{}, true});
    STRCMP_EQUAL("", result.violation.c_str());
    // One step more than the longest trace to a violation in the test `each_rule_is_needed`.
    CHECK(result.depth >= 12);
}

// Guards against the removal of a rule that matters only in a rare order of events.
TEST(lease_model, each_rule_is_needed)
{
    CHECK_FALSE(explored("way D without the certificate's version",
                         quorum_model{without(&lease_rules::certificate_version), false})
                    .violation.empty());
    CHECK_FALSE(explored("way D without closing the previous version",
                         quorum_model{without(&lease_rules::previous_version), false})
                    .violation.empty());
    CHECK_FALSE(explored("way D without permanent seals",
                         quorum_model{without(&lease_rules::seal_permanence), false})
                    .violation.empty());
    CHECK_FALSE(explored("way D with a promise shorter than the lease",
                         quorum_model{without(&lease_rules::promise_covers_lease), false})
                    .violation.empty());
    CHECK_FALSE(explored("way D that counts the new witness before the set change is confirmed",
                         quorum_model{without(&lease_rules::set_change_acked), true})
                    .violation.empty());
    CHECK_FALSE(explored("way D that sends a holder seal to the replaced witness",
                         quorum_model{without(&lease_rules::seal_with_staying_witness), true})
                    .violation.empty());
}
