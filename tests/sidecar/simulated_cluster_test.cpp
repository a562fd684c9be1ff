#include "tests/sidecar/random_faults.h"
#include "tests/sidecar/simulated_cluster.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar::test;

namespace {

constexpr double all_keys = 0.9999;

void check_invariants(const simulated_cluster& cluster, const std::string& what)
{
    if (!cluster.violations().empty()) {
        FAIL((what + ": " + cluster.violations().front()).c_str());
    }
}

void check_settled(simulated_cluster& cluster, const std::string& what)
{
    if (const auto problem = find_problem_after_settling(cluster); !problem.empty()) {
        FAIL((what + ": " + problem).c_str());
    }
}

void check_no_problem(std::uint64_t seed, const std::string& problem)
{
    if (!problem.empty()) {
        FAIL(("seed " + std::to_string(seed) + ": " + problem).c_str());
    }
}

/// Milliseconds until all keys are held, at most `limit`.
long time_to_hold(simulated_cluster& cluster, milliseconds limit)
{
    for (long ms = 0; ms < limit.count(); ++ms) {
        if (cluster.held_share() >= all_keys) {
            return ms;
        }
        cluster.run(milliseconds{1});
    }
    return limit.count();
}

/// Index of the host that leads, or of a host that does not lead.
std::size_t pick_host(const simulated_cluster& cluster, bool leads)
{
    const auto leader = cluster.leader();
    CHECK(leader.has_value());
    return leads ? *leader : (*leader + 1) % cluster.hosts();
}

} // namespace

TEST_GROUP(simulated_cluster){};

// Guards against a deployment that never starts to serve.
TEST(simulated_cluster, all_keys_are_held_after_the_first_start)
{
    simulated_cluster cluster(1);
    CHECK(time_to_hold(cluster, milliseconds{8000}) < 4000);
    check_invariants(cluster, "start");
}

// Guards against a first start at which every host writes to the store: the store executes the
// writes to one partition one after the other.
TEST(simulated_cluster, few_of_many_hosts_claim_at_the_first_start)
{
    cluster_settings settings;
    settings.hosts = 60;
    simulated_cluster cluster(11, settings);
    cluster.run(milliseconds{1000});
    CHECK(cluster.leader().has_value());
    CHECK(cluster.store_writers() <= 6);
}

// Guards against a term that is claimed again after the store has lost its record: the leader stops
// and another one claims the next term, the store comes back from a copy from before the stop, and
// the first leader's process, which starts again, claims that term as well. Two targets got the
// same keys under fences that others had.
TEST(simulated_cluster, restarted_leader_claims_no_term_that_the_store_has_lost)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        cluster_settings settings;
        settings.hosts = 3;
        settings.first_store_era = 1;
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{6000});
        const auto first = pick_host(cluster, true);
        cluster.begin_stop(first);
        cluster.run(milliseconds{2800});
        cluster.kill_node(first);
        cluster.restore_older_copy(milliseconds{3300}, milliseconds{500});
        cluster.run(milliseconds{600});
        cluster.start_node(first);
        cluster.run(milliseconds{100});
        CHECK(cluster.held_share() >= all_keys);
        check_settled(cluster, "seed " + std::to_string(seed));
    }
}

// Guards against keys that wait for leases or terms after a return of the store: without any other
// fault, the targets keep them.
TEST(simulated_cluster, keys_stay_held_when_the_store_comes_back_from_an_older_copy)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        cluster_settings settings;
        settings.first_store_era = seed % 2;
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{12000});
        cluster.restore_older_copy(milliseconds{seed * 800}, milliseconds{seed * 100});
        for (int i = 0; i < 80; ++i) {
            cluster.run(milliseconds{100});
            CHECK(cluster.held_share() >= all_keys);
        }
        check_settled(cluster, "seed " + std::to_string(seed));
    }
}

// Guards against keys with two holders, fences that are given out again and keys that nobody serves
// after returns of the store from older copies beside other faults.
TEST(simulated_cluster, returns_of_the_store_violate_no_invariant)
{
    for (std::uint64_t seed = 7001; seed <= 7040; ++seed) {
        check_no_problem(seed, run_store_return_faults(seed, {}));
    }
}

// Guards against a takeover that takes longer than the promised 2 s.
TEST(simulated_cluster, keys_of_a_lost_host_are_held_again_within_two_seconds)
{
    simulated_cluster cluster(2);
    cluster.run(milliseconds{5000});
    const auto lost = pick_host(cluster, false);
    cluster.kill_node(lost);
    cluster.kill_target(lost);
    CHECK(time_to_hold(cluster, milliseconds{8000}) < 2000);
    check_invariants(cluster, "loss of a host");
}

// Guards against a takeover that needs the store or waits for the next reports of the other
// members. With the wait for reports, a takeover took up to 2.1 s.
TEST(simulated_cluster, keys_of_a_lost_host_are_held_again_while_the_store_is_down)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        simulated_cluster cluster(seed);
        cluster.run(milliseconds{5000});
        cluster.set_store_up(false);
        cluster.run(milliseconds{3000});
        const auto lost = pick_host(cluster, false);
        cluster.kill_node(lost);
        cluster.kill_target(lost);
        CHECK(time_to_hold(cluster, milliseconds{8000}) < 2000);
        check_invariants(cluster, "loss without the store");
    }
}

// Guards against leases that expire during the election of the next leader.
TEST(simulated_cluster, keys_of_others_stay_held_when_the_leader_is_lost)
{
    simulated_cluster cluster(4);
    cluster.run(milliseconds{5000});
    const auto lost = pick_host(cluster, true);
    const double min_held_share = cluster.held_share() * 0.8;
    cluster.kill_node(lost);
    for (int i = 0; i < 50; ++i) {
        cluster.run(milliseconds{100});
        CHECK(cluster.held_share() >= min_held_share);
    }
    check_invariants(cluster, "loss of the leader");
}

// Guards against keys without a holder after a planned stop of the leader's host: the election
// began only after the old leader had exited, and leases expired before it ended.
TEST(simulated_cluster, planned_stop_of_the_leader_interrupts_no_keys)
{
    constexpr milliseconds time_of_stop{2500};
    for (std::uint64_t seed = 30; seed < 40; ++seed) {
        simulated_cluster cluster(seed);
        cluster.run(milliseconds{5000});
        const auto stopped = pick_host(cluster, true);
        cluster.begin_stop(stopped);
        cluster.run(time_of_stop);
        CHECK(cluster.leader() != std::optional{stopped});
        CHECK(cluster.held_share() >= all_keys);
        cluster.kill_node(stopped);
        cluster.kill_target(stopped);
        for (int i = 0; i < 60; ++i) {
            cluster.run(milliseconds{100});
            CHECK(cluster.held_share() >= all_keys);
        }
        check_invariants(cluster, "planned stop, seed " + std::to_string(seed));
    }
}

// Guards against keys that wait until the store answers because the leader stopped meanwhile:
// nobody can claim the next term without the store.
TEST(simulated_cluster, planned_stop_of_the_leader_without_the_store_interrupts_no_keys)
{
    for (std::uint64_t seed = 30; seed < 50; ++seed) {
        simulated_cluster cluster(seed);
        cluster.run(milliseconds{5000});
        cluster.set_store_up(false);
        cluster.run(milliseconds{2000});
        const auto stopped = pick_host(cluster, true);
        cluster.begin_stop(stopped);
        cluster.run(milliseconds{400});
        CHECK(cluster.leader().has_value());
        CHECK(cluster.leader() != std::optional{stopped});
        cluster.run(milliseconds{2100});
        CHECK(cluster.held_share() >= all_keys);
        cluster.kill_node(stopped);
        cluster.kill_target(stopped);
        for (int i = 0; i < 60; ++i) {
            cluster.run(milliseconds{100});
            CHECK(cluster.held_share() >= all_keys);
        }
        cluster.set_store_up(true);
        check_settled(cluster, "planned stop without the store, seed " + std::to_string(seed));
    }
}

// Guards against targets that get no keys after a restart of their nodes during an outage of the
// store, so that a rolling restart takes one target after the other out. The first node that stops
// is the leader.
TEST(simulated_cluster, rolling_restart_without_the_store_keeps_all_keys_held)
{
    constexpr std::size_t restarts = 3;
    cluster_settings settings;
    settings.hosts = 9;
    for (std::uint64_t seed = 60; seed < 72; ++seed) {
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{6000});
        cluster.set_store_up(false);
        cluster.run(milliseconds{2000});
        const auto first = pick_host(cluster, true);
        for (std::size_t i = 0; i < restarts; ++i) {
            const auto host = (first + i) % cluster.hosts();
            cluster.begin_stop(host);
            cluster.run(milliseconds{2500});
            CHECK(cluster.held_share() >= all_keys);
            cluster.kill_node(host);
            cluster.run(milliseconds{700});
            cluster.start_node(host);
            cluster.run(milliseconds{800});
            CHECK(cluster.holds_lease(host));
        }
        cluster.run(milliseconds{3000});
        CHECK(cluster.held_share() >= all_keys);
        for (std::size_t i = 0; i < restarts; ++i) {
            CHECK(cluster.is_serving((first + i) % cluster.hosts()));
        }
        cluster.set_store_up(true);
        check_settled(cluster, "rolling restart without the store, seed " + std::to_string(seed));
    }
}

// Guards against a host that gets no lease when it returns during an outage of the store, because a
// record without it was sent to the store meanwhile.
TEST(simulated_cluster, host_that_was_down_for_seconds_returns_without_the_store)
{
    for (std::uint64_t seed = 80; seed < 90; ++seed) {
        simulated_cluster cluster(seed);
        cluster.run(milliseconds{5000});
        cluster.set_store_up(false);
        cluster.run(milliseconds{2000});
        const auto host = pick_host(cluster, false);
        cluster.kill_node(host);
        cluster.run(milliseconds{4000});
        cluster.start_node(host);
        cluster.run(milliseconds{800});
        CHECK(cluster.holds_lease(host));
        cluster.run(milliseconds{2000});
        CHECK(cluster.held_share() >= all_keys);
        cluster.set_store_up(true);
        check_settled(cluster, "return without the store, seed " + std::to_string(seed));
    }
}

// Guards against leases that expire because the election takes too long: the first host to claim
// began to watch the record only after the whole `timing::leader_silence`.
TEST(simulated_cluster, no_lease_of_others_expires_when_leaders_are_lost)
{
    cluster_settings many;
    many.hosts = 20;
    for (std::uint64_t seed = 50; seed < 60; ++seed) {
        simulated_cluster cluster(seed, many);
        cluster.run(milliseconds{6000});
        const auto lost = pick_host(cluster, true);
        cluster.kill_node(lost);
        cluster.kill_target(lost);
        for (int i = 0; i < 60; ++i) {
            cluster.run(milliseconds{100});
            CHECK(cluster.held_share() >= 0.9);
        }
        check_settled(cluster, "loss of a leader, seed " + std::to_string(seed));
    }
}

// Guards against a leader that waits forever for leases of earlier terms: the wait was counted
// from the latest report of each host instead of its first report.
TEST(simulated_cluster, keys_are_assigned_after_two_leaders_were_lost_in_a_row)
{
    simulated_cluster cluster(5);
    cluster.run(milliseconds{5000});
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        cluster.kill_node(i);
        cluster.kill_target(i);
    }
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        cluster.start_target(i);
        cluster.start_node(i);
    }
    for (int i = 0; i < 1000 && !cluster.leader(); ++i) {
        cluster.run(milliseconds{1});
    }
    const auto lost = pick_host(cluster, true);
    cluster.kill_node(lost);
    cluster.kill_target(lost);
    CHECK(time_to_hold(cluster, milliseconds{20000}) < 7000);
    check_invariants(cluster, "two leaders lost");
}

// Guards against keys that stay without a holder after a restart for longer than the holds from the
// previous processes last.
TEST(simulated_cluster, keys_are_held_again_after_all_processes_were_killed)
{
    simulated_cluster cluster(6);
    cluster.run(milliseconds{5000});
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        cluster.kill_node(i);
    }
    cluster.run(milliseconds{600});
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        cluster.start_node(i);
    }
    cluster.run(milliseconds{100});
    CHECK(time_to_hold(cluster, milliseconds{9000}) < 1000);
    check_invariants(cluster, "all processes killed");
}

// Guards against keys that get a second holder because a new process reported them as released: it
// had granted none of them, while its target held them under a grant of the previous process.
TEST(simulated_cluster, restarted_node_gives_no_keys_away_that_its_target_holds)
{
    cluster_settings settings;
    settings.longest_discovery = milliseconds{800};
    for (std::uint64_t seed = 100; seed < 120; ++seed) {
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{6000});
        for (int i = 0; i < 4; ++i) {
            const auto host = pick_host(cluster, i % 2 == 1);
            cluster.kill_node(host);
            cluster.run(milliseconds{250});
            cluster.start_node(host);
            cluster.run(milliseconds{4000});
        }
        check_settled(cluster, "restart of a node, seed " + std::to_string(seed));
    }
}

// Guards against the same loss when the second process is killed before it knows its target and
// has a lease: its leader freed the keys that this process had taken over from the first one.
TEST(simulated_cluster, two_restarts_in_a_row_give_no_keys_away_that_the_target_holds)
{
    cluster_settings settings;
    settings.longest_discovery = milliseconds{800};
    for (std::uint64_t seed = 120; seed < 150; ++seed) {
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{6000});
        const auto host = pick_host(cluster, false);
        for (int i = 0; i < 3; ++i) {
            cluster.kill_node(host);
            cluster.run(milliseconds{100});
            cluster.start_node(host);
            cluster.run(milliseconds{3 + cluster.random()() % 200});
        }
        check_settled(cluster, "restarts in a row, seed " + std::to_string(seed));
    }
}

// Guards against the same loss when the leader that knows of the restart is lost as well: the next
// leader took the holdings of the new process, which had granted nothing yet, for complete.
TEST(simulated_cluster, loss_of_the_leader_after_a_restart_gives_no_keys_away)
{
    cluster_settings settings;
    settings.longest_discovery = milliseconds{800};
    for (std::uint64_t seed = 150; seed < 190; ++seed) {
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{6000});
        const auto host = pick_host(cluster, false);
        const auto leader = pick_host(cluster, true);
        cluster.kill_node(host);
        cluster.run(milliseconds{30 + cluster.random()() % 100});
        cluster.start_node(host);
        cluster.run(milliseconds{20 + cluster.random()() % 300});
        cluster.kill_node(leader);
        cluster.run(milliseconds{100});
        cluster.start_node(leader);
        check_settled(cluster, "restart and loss of the leader, seed " + std::to_string(seed));
    }
}

// Guards against keys that nobody serves any more: a new process inherited them from the previous
// one and never reported them as released, because its target was gone for good.
TEST(simulated_cluster, keys_of_a_lost_target_are_held_again_after_a_restart_of_its_node)
{
    cluster_settings settings;
    settings.longest_discovery = milliseconds{800};
    for (std::uint64_t seed = 190; seed < 200; ++seed) {
        simulated_cluster cluster(seed, settings);
        cluster.run(milliseconds{6000});
        const auto host = pick_host(cluster, seed % 2 == 0);
        cluster.kill_node(host);
        cluster.kill_target(host);
        cluster.run(milliseconds{100});
        cluster.start_node(host);
        check_settled(cluster, "target lost for good, seed " + std::to_string(seed));
    }
}

// Guards against a leader that never writes its record again after another writer made it
// unreadable for a while, and so loses its authority.
TEST(simulated_cluster, unreadable_record_does_not_stop_the_leader)
{
    simulated_cluster cluster(7);
    cluster.run(milliseconds{5000});
    const auto leader = pick_host(cluster, true);
    const auto record = cluster.replace_record("no record");
    cluster.run(milliseconds{3000});
    CHECK(cluster.held_share() >= all_keys);
    cluster.replace_record(record);
    for (int i = 0; i < 300; ++i) {
        cluster.run(milliseconds{100});
        CHECK(cluster.held_share() >= all_keys);
    }
    CHECK(cluster.leader() == std::optional{leader});
    check_invariants(cluster, "unreadable record");
}

// Guards against two holders of a key, and against a deployment that does not recover, under random
// faults.
TEST(simulated_cluster, random_faults_violate_no_invariant)
{
    constexpr std::uint64_t last_seed = 60;
    // 315: a first leader that was the only member in its record kept its authority without the
    // store, while the third leader knew only that the term of the second leader had ended.
    // 195: a restarted target got a grant before its node knew of the restart. The node then
    // assumed that the new run held no keys, and a new leader assigned them to another target.
    std::vector<std::uint64_t> seeds{315, 195};
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
        seeds.push_back(seed);
    }
    for (const std::uint64_t seed : seeds) {
        check_no_problem(seed, run_random_faults(seed, {}));
    }
}

// Guards against two holders of a key when nodes restart beside other faults and get to know their
// targets late.
TEST(simulated_cluster, random_faults_with_late_discovery_violate_no_invariant)
{
    constexpr std::uint64_t last_seed = 2040;
    cluster_settings settings;
    settings.longest_discovery = milliseconds{1500};
    for (std::uint64_t seed = 2001; seed <= last_seed; ++seed) {
        check_no_problem(seed, run_restart_faults(seed, settings));
    }
}

// Guards against two leaders of one term, or two holders of a key, when leaders stop as planned
// beside other faults: messages that are lost or arrive twice, the store down for some hosts, late
// writes, frozen nodes. A leader that stops while the store is silent transfers its term.
TEST(simulated_cluster, random_faults_beside_transfers_violate_no_invariant)
{
    constexpr std::uint64_t last_seed = 1040;
    for (std::uint64_t seed = 1001; seed <= last_seed; ++seed) {
        check_no_problem(seed, run_transfer_faults(seed, {}));
    }
}

// Guards against the same when nodes get to know their targets late. 2131: a node that had been
// frozen reported no holdings to a new leader, and then granted its keys again under a lease of the
// leader before.
TEST(simulated_cluster, random_faults_beside_transfers_with_late_discovery_violate_no_invariant)
{
    cluster_settings settings;
    settings.longest_discovery = milliseconds{1500};
    for (const std::uint64_t seed : {2131, 3001, 3002, 3003, 3004, 3005, 3006, 3007, 3008}) {
        check_no_problem(seed, run_transfer_faults(seed, settings));
    }
}
