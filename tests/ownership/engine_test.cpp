#include "tests/ownership/cluster.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;
using namespace std::chrono_literals;

TEST_GROUP(engine)
{
    test_cluster cluster;
    void teardown() override
    {
        UNSIGNED_LONGS_EQUAL(0, cluster.double_owner_count);
        UNSIGNED_LONGS_EQUAL(0, cluster.fence_regressions);
    }
};

// Guards against nodes that start at the same time and never get witnesses or a placement.
TEST(engine, hosts_that_start_together_share_all_ranges)
{
    cluster.start(6);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
    const auto record = cluster.nodes[0]->core->placement_of(test_cluster::service);
    CHECK(record.has_value());
    UNSIGNED_LONGS_EQUAL(6, record->current.members.size());
}

// Guards against a takeover that needs the store or lasts longer than 2 s.
TEST(engine, ranges_of_a_killed_node_are_served_within_two_seconds_without_the_store)
{
    cluster.start(6);
    cluster.store.up = false;
    cluster.nodes[1]->running = false;
    cluster.run(20ms);
    CHECK(cluster.count_unserved() > 0);
    CHECK(cluster.run_until_served(5s) < 2s);
}

// Guards against a planned stop that leaves ranges unserved until a lease ends.
TEST(engine, a_planned_leave_hands_over_within_100_ms)
{
    cluster.start(6);
    cluster.nodes[2]->core->leave(cluster.now);
    milliseconds longest{0};
    for (int i = 0; i < 200 && !cluster.nodes[2]->left; ++i) {
        cluster.run(20ms);
        longest = std::max(longest, cluster.run_until_served(2s));
    }
    CHECK(cluster.nodes[2]->left);
    CHECK(longest < 100ms);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
}

// Guards against a paused holder that serves again after its end was proven, or that continues to
// use the ended incarnation.
TEST(engine, a_holder_that_resumes_after_its_end_refuses_and_ends)
{
    cluster.start(6);
    test_node& paused = *cluster.nodes[1];
    paused.paused = true;
    cluster.run(5s);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
    for (std::uint32_t i = 0; i < cluster.ranges; ++i) {
        const auto decision =
            paused.core->may_serve(cluster.now, test_cluster::service, range_id{i});
        CHECK(!decision.allowed && decision.refusal == serve_refusal::lease_over);
    }
    cluster.resume(paused);
    cluster.run(3s);
    CHECK(!paused.ended.empty());
}

// Guards against an incarnation that ends because of a pause shorter than its lease.
TEST(engine, a_short_pause_changes_nothing)
{
    cluster.start(6);
    cluster.nodes[1]->paused = true;
    cluster.run(800ms);
    cluster.resume(*cluster.nodes[1]);
    cluster.run(3s);
    CHECK(cluster.nodes[1]->ended.empty());
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
}

// Guards against a join that is lost, or done twice, if the store's replies to the writes are lost.
TEST(engine, lost_store_answers_are_resolved_by_reading_back)
{
    cluster.start(5);
    cluster.store.writes_with_lost_reply = 2;
    test_node& joiner = cluster.add("nbo-c");
    cluster.run(20s);
    UNSIGNED_LONGS_EQUAL(0, cluster.store.writes_with_lost_reply);
    const auto record = joiner.core->placement_of(test_cluster::service);
    UNSIGNED_LONGS_EQUAL(6, record->current.members.size());
    CHECK(!joiner.grants.empty());
}

// Guards against an invalid row in the store that prevents the reading of the valid ones.
TEST(engine, invalid_rows_are_skipped_and_reported_once)
{
    cluster.store.rows["members/zz"] = {"members/zz", 1, "{"};
    cluster.store.rows["placements/other"] = {"placements/other", 1, "[1]"};
    cluster.start(4);
    cluster.run(20s);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
    const auto& audits = cluster.nodes[0]->audits;
    UNSIGNED_LONGS_EQUAL(2, std::count_if(audits.begin(), audits.end(), [](const auto& event) {
                             return event.kind == audit_kind::refusal;
                         }));
}

// Guards against fences that decrease in a sequence of takeovers, leaves and joins. `test_cluster`
// compares each granted fence with the highest one before it.
TEST(engine, fences_rise_over_a_chain_of_takeovers_and_moves)
{
    cluster.start(6);
    for (std::size_t round = 0; round < 3; ++round) {
        cluster.nodes[round]->running = false;
        cluster.run(3s);
        cluster.add("nbo-a");
        cluster.run(5s);
        cluster.nodes[round + 3]->core->leave(cluster.now);
        cluster.run(2s);
        cluster.add("nbo-b");
        cluster.run(5s);
        UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
    }
}

// Guards against a node that cannot start while the store is down, and against a node that joins a
// placement before that placement is recorded in the store.
TEST(engine, a_node_without_the_store_learns_from_peers_and_does_not_join)
{
    cluster.start(4);
    cluster.store.up = false;
    test_node& late = cluster.add("nbo-b", 6, true, {cluster.nodes[0]->address});
    cluster.run(5s);
    CHECK(late.core->owner_of(test_cluster::service, range_id{1}).owner != incarnation_id{});
    CHECK(late.core->has_recent_contact(cluster.now));
    CHECK(late.grants.empty());
    UNSIGNED_LONGS_EQUAL(4, late.core->placement_of(test_cluster::service)->current.members.size());
    cluster.store.up = true;
    cluster.run(20s);
    CHECK(!late.grants.empty());
}

// Guards against nodes that serve without witnesses if there are too few hosts.
TEST(engine, two_hosts_refuse_with_too_few_witnesses)
{
    cluster.add("nbo-a");
    cluster.add("nbo-b");
    cluster.run(5s);
    const auto decision =
        cluster.nodes[0]->core->may_serve(cluster.now, test_cluster::service, range_id{0});
    CHECK(decision.refusal == serve_refusal::too_few_witnesses);
    cluster.add("nbo-c");
    cluster.run(10s);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
}

// Guards against a lost witness that is not replaced, so that the ranges of the holder have no
// owner if the holder is lost some seconds later.
TEST(engine, a_lost_witness_is_replaced_before_the_holder_is_lost)
{
    cluster.start(6);
    cluster.nodes[0]->running = false;
    cluster.run(6s);
    cluster.nodes[1]->running = false;
    cluster.run(20ms);
    CHECK(cluster.run_until_served(5s) < 2s);
}

// Guards against ranges that stay without an owner after the loss of a holder and both of its
// witnesses: no certificate can be formed, so an operator asserts the end, which is recorded in the
// store.
TEST(engine, an_operator_can_assert_ends_when_two_voters_are_lost)
{
    cluster.start(7);
    cluster.store.up = false;
    for (std::size_t i = 0; i < 4; ++i) {
        cluster.nodes[i]->running = false;
    }
    cluster.run(10s);
    CHECK(cluster.count_unserved() > 0);
    cluster.store.up = true;
    cluster.run(12s);
    for (std::size_t i = 0; i < 4; ++i) {
        cluster.nodes[6]->core->assert_ended(cluster.now, cluster.nodes[i]->core->self(), "amina");
    }
    cluster.run(10s);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
}

// Guards against an asserted end that takes effect before the store has recorded it: after a
// restart of the nodes, the ended member could return and serve beside its successor. The operator
// is asked to repeat an assertion that was not recorded, and the repetition must succeed.
TEST(engine, an_asserted_end_waits_for_the_store)
{
    constexpr std::size_t lost_nodes = 4;
    cluster.start(7);
    cluster.store.up = false;
    for (std::size_t i = 0; i < lost_nodes; ++i) {
        cluster.nodes[i]->running = false;
    }
    cluster.run(10s);
    const auto assert_ends = [&] {
        for (std::size_t i = 0; i < lost_nodes; ++i) {
            cluster.nodes[6]->core->assert_ended(cluster.now, cluster.nodes[i]->core->self(),
                                                 "amina");
        }
    };
    const auto unserved = cluster.count_unserved();
    CHECK(unserved > 0);
    const auto known_ends = cluster.nodes[6]->core->certificates().size();
    assert_ends();
    cluster.run(20s);
    UNSIGNED_LONGS_EQUAL(known_ends, cluster.nodes[6]->core->certificates().size());
    UNSIGNED_LONGS_EQUAL(unserved, cluster.count_unserved());
    cluster.store.up = true;
    cluster.run(1s);
    assert_ends();
    cluster.run(10s);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
}

// Guards against a range that the new owner serves while the old owner still runs a request for it.
TEST(engine, a_moved_range_waits_for_the_requests_in_flight)
{
    cluster.start(5);
    test_node& old_owner = *cluster.nodes[0];
    const range_id range = old_owner.grants.begin()->first;
    old_owner.core->on_in_flight(cluster.now, test_cluster::service, range, 1);
    old_owner.core->leave(cluster.now);
    cluster.run(2s);
    CHECK(!old_owner.left);
    CHECK(cluster.owners(range).empty());
    old_owner.core->on_in_flight(cluster.now, test_cluster::service, range, 0);
    cluster.apply_effects(old_owner);
    cluster.run(100ms);
    UNSIGNED_LONGS_EQUAL(1, cluster.owners(range).size());
    cluster.run(3s);
    CHECK(old_owner.left);
}

// Guards against a leave that never completes while the store is down.
TEST(engine, a_leave_without_the_store_ends_the_incarnation)
{
    cluster.start(6);
    cluster.store.up = false;
    cluster.nodes[2]->core->leave(cluster.now);
    cluster.run(15s);
    CHECK(cluster.nodes[2]->left);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
}

// Guards against a frozen target that runs a buffered request under a grant that is still valid,
// while a successor already serves.
TEST(engine, an_end_waits_for_the_lease_unless_the_target_is_known_to_be_idle)
{
    cluster.start(6);
    test_node& ending = *cluster.nodes[3];
    const time_point lease_end = *ending.core->lease_end(cluster.now);
    ending.core->end(cluster.now, "target silent");
    cluster.apply_effects(ending);
    cluster.run(lease_end - cluster.now - 20ms);
    CHECK(cluster.count_unserved() > 0);
    CHECK(cluster.run_until_served(2s) < 200ms);
}

// Guards against a successor that waits for the witnesses' promises to expire although the holder
// ended its incarnation itself.
TEST(engine, an_end_by_the_holder_is_taken_over_at_once)
{
    cluster.start(6);
    cluster.nodes[3]->core->end(cluster.now, "target died", cluster.now);
    cluster.apply_effects(*cluster.nodes[3]);
    CHECK(cluster.count_unserved() > 0);
    CHECK(cluster.run_until_served(2s) < 200ms);
    cluster.run(3s);
    STRCMP_EQUAL("target died", cluster.nodes[3]->ended.c_str());
}

// Guards against a recovering availability zone whose members all join in one step, and against
// idle nodes that write to the store.
TEST(engine, a_recovering_zone_joins_in_steps_and_an_idle_cluster_does_not_write)
{
    cluster.start(9);
    for (std::size_t i = 0; i < 9; i += 3) {
        cluster.nodes[i]->running = false;
    }
    cluster.run(10s);
    for (int i = 0; i < 5; ++i) {
        cluster.add("nbo-a");
    }
    std::size_t largest = 0;
    for (int i = 0; i < 600; ++i) {
        cluster.run(50ms);
        const auto record = cluster.nodes[1]->core->placement_of(test_cluster::service);
        const std::size_t now = record->current.members.size();
        const std::size_t before = record->previous.members.size();
        largest = std::max(largest, now > before ? now - before : 0);
    }
    UNSIGNED_LONGS_EQUAL(2, largest);
    UNSIGNED_LONGS_EQUAL(
        11, cluster.nodes[1]->core->placement_of(test_cluster::service)->current.members.size());
    cluster.run(60s);
    const std::size_t writes = cluster.store.writes;
    const std::size_t reads = cluster.store.reads;
    cluster.run(60s);
    UNSIGNED_LONGS_EQUAL(writes, cluster.store.writes);
    CHECK(cluster.store.reads - reads < 60 * 11);
}

// Guards against a witness replacement that is undone or repeated by a delayed write, which the
// store executes after the node read back that nothing was written.
TEST(engine, a_write_that_takes_effect_after_the_read_back_is_harmless)
{
    cluster.start(6);
    cluster.store.delayed_writes = 2;
    cluster.nodes[0]->running = false;
    cluster.run(15s);
    UNSIGNED_LONGS_EQUAL(0, cluster.store.delayed_writes);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
    for (std::size_t i = 1; i < 6; ++i) {
        CHECK(cluster.nodes[i]->ended.empty());
        for (const member_row& row : cluster.nodes[i]->core->members()) {
            const bool names_lost =
                std::find(row.witnesses.begin(), row.witnesses.end(),
                          cluster.nodes[0]->core->self()) != row.witnesses.end();
            CHECK(!names_lost || row.state == member_state::ended);
        }
    }
}

// Guards against an overloaded member that moves no ranges, against moves back and forth, and
// against moves beyond the budget of the service.
TEST(engine, an_overloaded_member_moves_ranges_within_the_budget)
{
    cluster.start(5);
    const auto version = [&] {
        return cluster.nodes[0]->core->placement_of(test_cluster::service)->current.version.value;
    };
    const std::uint64_t before = version();
    test_node& overloaded_node =
        *std::max_element(cluster.nodes.begin(), cluster.nodes.end(),
                          [](const auto& left, const auto& right) {
                              return left->grants.size() < right->grants.size();
                          })
             ->get();
    std::set<range_id> overloaded_ranges;
    for (const auto& [range, token] : overloaded_node.grants) {
        overloaded_ranges.insert(range);
    }
    for (int second = 0; second < 120; ++second) {
        for (const auto& node : cluster.nodes) {
            std::vector<range_load> loads;
            for (const auto& [range, token] : node->grants) {
                loads.push_back({range, overloaded_ranges.contains(range) ? 40.0 : 10.0});
            }
            node->core->on_load(cluster.clock(*node), test_cluster::service, loads);
        }
        cluster.run(1s);
    }
    CHECK(overloaded_node.grants.size() < overloaded_ranges.size());
    CHECK(version() > before);
    // Each of the 5 members may make 60 / 5 moves per hour, half of them at once.
    CHECK(version() - before <= 5 * 6);
    const std::uint64_t settled = version();
    cluster.run(60s);
    CHECK(version() - settled <= 1);
}

// Guards against a proposal for each announcement of a target that keeps changing its slots.
TEST(engine, a_weight_changes_only_after_it_is_stable)
{
    cluster.start(4);
    const auto weight = [&] {
        const auto record = cluster.nodes[0]->core->placement_of(test_cluster::service);
        for (const weighted_member& member : record->current.members) {
            if (member.incarnation == cluster.nodes[1]->core->self()) {
                return member.weight;
            }
        }
        return 0U;
    };
    for (std::uint32_t i = 0; i < 20; ++i) {
        cluster.nodes[1]->core->on_target(cluster.now,
                                          {test_cluster::service, i % 2 == 0 ? 12U : 6U, true});
        cluster.run(1s);
    }
    UNSIGNED_LONGS_EQUAL(6, weight());
    cluster.nodes[1]->core->on_target(cluster.now, {test_cluster::service, 9, true});
    cluster.run(15s);
    UNSIGNED_LONGS_EQUAL(9, weight());
}

// Guards against gossip messages that grow with the number of members.
TEST(engine, gossip_is_sent_in_bounded_batches)
{
    engine core{engine_settings{}, 1, cluster.now};
    for (std::uint64_t id = 1; id <= 2000; ++id) {
        member_row row;
        row.incarnation = {id};
        row.host = "host-" + std::to_string(id);
        core.on_message(cluster.now, {1}, gossip{{row}});
    }
    core.take_effects();
    core.on_message(cluster.now, {1}, digest{});
    std::size_t items = 0;
    for (const effect& each : core.take_effects()) {
        if (const auto* out = std::get_if<send>(&each)) {
            if (const auto* batch = std::get_if<gossip>(&out->body)) {
                CHECK(batch->items.size() <= 64);
                items += batch->items.size();
            }
        }
    }
    CHECK(items > 0 && items <= 512);
}

// Guards against members of a balanced service that refuse requests because they own no range.
TEST(engine, every_member_of_a_balanced_service_serves)
{
    cluster.ranges = 0;
    cluster.start(4);
    for (const auto& node : cluster.nodes) {
        CHECK(node->core->may_serve(cluster.now, test_cluster::service, range_id{0}).allowed);
    }
    UNSIGNED_LONGS_EQUAL(4, cluster.nodes[0]->core->live_members(test_cluster::service).size());
    CHECK(cluster.nodes[0]->core->owner_of(test_cluster::service, range_id{0}).owner ==
          incarnation_id{});
    cluster.nodes[1]->core->leave(cluster.now);
    CHECK(cluster.nodes[1]
              ->core->may_serve(cluster.now, test_cluster::service, range_id{0})
              .refusal == serve_refusal::leaving);
    cluster.run(5s);
    CHECK(cluster.nodes[1]->left);
}

// Guards against an invalid range from a caller that makes the node allocate memory without bound.
TEST(engine, a_range_beyond_the_service_has_no_owner)
{
    cluster.start(4);
    const auto view = cluster.nodes[0]->core->owner_of(test_cluster::service, range_id{0xffffffff});
    CHECK(view.owner == incarnation_id{});
    CHECK(!cluster.nodes[0]
               ->core->may_serve(cluster.now, test_cluster::service, range_id{0xffffffff})
               .allowed);
}

// Guards against a node without a connection to the store that does not serve as a witness or does
// not know the owners, or that joins a placement although it cannot propose one.
TEST(engine, a_node_without_a_store_witnesses_and_routes)
{
    test_node& first = cluster.add("nbo-a");
    cluster.add("nbo-b");
    test_node& storeless = cluster.add("nbo-c", 6, false, {first.address});
    cluster.run(15s);
    UNSIGNED_LONGS_EQUAL(0, cluster.count_unserved());
    CHECK(storeless.grants.empty());
    CHECK(storeless.core->owner_of(test_cluster::service, range_id{2}).owner != incarnation_id{});
    const auto& witnesses = first.core->find_member(first.core->self())->witnesses;
    CHECK(std::find(witnesses.begin(), witnesses.end(), storeless.core->self()) != witnesses.end());
}
