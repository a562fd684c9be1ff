#include "tests/sidecar/simulated_cluster.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using bulrushgw::sidecar::test::cluster_settings;
using bulrushgw::sidecar::test::simulated_cluster;

namespace {

constexpr std::size_t zone_count = 3;
constexpr double all_keys = 0.9999;
/// Time of the first start, or after a fault, until all keys are held and evened out.
constexpr milliseconds settle_time{9000};
constexpr milliseconds grace{2500};

cluster_settings settings_of(std::size_t hosts)
{
    cluster_settings result;
    result.hosts = hosts;
    result.zones = zone_count;
    return result;
}

void check_invariants(const simulated_cluster& cluster, const std::string& what)
{
    if (!cluster.violations().empty()) {
        FAIL((what + ": " + cluster.violations().front()).c_str());
    }
}

/// Index of a host in zone `zone` that leads, or that does not lead.
std::size_t host_in(const simulated_cluster& cluster, std::size_t zone, bool leads)
{
    std::size_t host = zone;
    while ((cluster.leader() == host) != leads) {
        host += zone_count;
        CHECK(host < cluster.hosts());
    }
    return host;
}

std::string zone_of(std::size_t host)
{
    return "zone-" + std::to_string(host % zone_count);
}

/// Milliseconds until no target of an evacuated zone holds keys, at most `limit`.
long time_to_leave(simulated_cluster& cluster, milliseconds limit, double& least_held)
{
    for (long ms = 0; ms < limit.count(); ++ms) {
        if (cluster.evacuated_holders() == 0 && cluster.held_share() >= all_keys) {
            return ms;
        }
        cluster.run(milliseconds{1});
        least_held = std::min(least_held, cluster.held_share());
    }
    return limit.count();
}

} // namespace

TEST_GROUP(evacuation){};

// Guards against keys that are still in the zone when its targets stop serving them, against keys
// that all move at once, and against a zone that gets no keys after the order is revoked.
TEST(evacuation, keys_of_few_and_of_thirty_targets_leave_the_zone_within_the_grace)
{
    for (const std::size_t hosts : {6, 90}) {
        simulated_cluster cluster(11, settings_of(hosts));
        cluster.run(settle_time);
        cluster.set_evacuated("zone-1", true);
        double least_held = 1;
        const long ms = time_to_leave(cluster, grace, least_held);
        CHECK(ms < grace.count() * 3 / 4);
        CHECK(least_held > 0.8);
        cluster.set_evacuated("zone-1", false);
        cluster.run(settle_time);
        CHECK(cluster.is_serving(1));
        check_invariants(cluster, std::to_string(hosts) + " hosts");
    }
}

// Guards against a host that goes on with requests because its connection to the store is broken
// and it does not notice: it must learn of the order from the leader, and the leader from others.
TEST(evacuation, news_pass_between_hosts_that_the_store_does_not_reach)
{
    for (const bool leads : {false, true}) {
        simulated_cluster cluster(12, settings_of(9));
        cluster.run(settle_time);
        const auto deaf = leads ? *cluster.leader() : host_in(cluster, 1, false);
        cluster.set_watch_silent(deaf, true);
        cluster.set_evacuated(zone_of(deaf), true);
        cluster.run(grace + milliseconds{600});
        CHECK_FALSE(cluster.admits_requests(deaf));
        LONGS_EQUAL(0, cluster.evacuated_holders());
        cluster.set_evacuated(zone_of(deaf), false);
        cluster.run(milliseconds{600});
        CHECK(cluster.admits_requests(deaf));
        check_invariants(cluster, leads ? "leader" : "member");
    }
}

// Guards against a process that was paused and counts the grace from the end of the pause: seed 230
// of random faults admitted requests 5.0 s after the order.
TEST(evacuation, pause_of_a_process_does_not_extend_the_grace)
{
    simulated_cluster cluster(16, settings_of(9));
    cluster.run(settle_time);
    for (const bool leads : {false, true}) {
        const auto host = leads ? *cluster.leader() : host_in(cluster, 1, false);
        cluster.freeze_node(host, milliseconds{3500});
        cluster.run(milliseconds{200});
        cluster.set_evacuated(zone_of(host), true);
        cluster.run(milliseconds{3400});
        CHECK_FALSE(cluster.admits_requests(host));
        cluster.set_evacuated(zone_of(host), false);
        cluster.run(settle_time);
    }
    check_invariants(cluster, "pause");
}

// Guards against an order that is lost with the leader that knew of it, or with the store, and
// against a revocation during an outage that nobody notices.
TEST(evacuation, orders_outlive_the_leader_and_the_store)
{
    simulated_cluster cluster(13, settings_of(9));
    cluster.run(settle_time);
    const auto leader = *cluster.leader();
    const std::string zone = zone_of(leader + 1);
    cluster.set_evacuated(zone, true);
    cluster.run(milliseconds{100});
    cluster.kill_node(leader);
    cluster.run(settle_time);
    LONGS_EQUAL(0, cluster.evacuated_holders());
    cluster.start_node(leader);
    cluster.set_store_up(false);
    cluster.set_evacuated(zone, false);
    cluster.run(milliseconds{3000});
    CHECK_FALSE(cluster.admits_requests((leader + 1) % cluster.hosts()));
    cluster.set_store_up(true);
    cluster.run(settle_time);
    CHECK(cluster.admits_requests((leader + 1) % cluster.hosts()));
    CHECK(cluster.held_share() >= all_keys);
    check_invariants(cluster, "lost leader");
}

// Guards against keys without an owner when no zone is left to own them.
TEST(evacuation, keys_stay_with_their_targets_if_all_zones_are_evacuated)
{
    simulated_cluster cluster(14, settings_of(6));
    cluster.run(settle_time);
    for (const char* zone : {"zone-0", "zone-1", "zone-2"}) {
        cluster.set_evacuated(zone, true);
    }
    cluster.run(settle_time);
    CHECK(cluster.held_share() >= all_keys);
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        CHECK_FALSE(cluster.admits_requests(i));
    }
    check_invariants(cluster, "all zones");
}

// Guards against keys that stay unserved, or have two holders, when another zone is lost while one
// is evacuated, and against a process that starts in the evacuated zone and serves there.
TEST(evacuation, loss_of_another_zone_leaves_all_keys_with_the_third)
{
    simulated_cluster cluster(15, settings_of(9));
    cluster.run(settle_time);
    cluster.set_evacuated("zone-1", true);
    cluster.run(milliseconds{300});
    for (std::size_t i = 2; i < cluster.hosts(); i += zone_count) {
        cluster.kill_node(i);
        cluster.kill_target(i);
    }
    cluster.kill_node(1);
    cluster.start_node(1);
    cluster.run(milliseconds{600});
    CHECK_FALSE(cluster.admits_requests(1));
    cluster.run(settle_time * 2);
    CHECK(cluster.held_share() >= all_keys);
    LONGS_EQUAL(0, cluster.evacuated_holders());
    check_invariants(cluster, "lost zone");
}

// Guards against two holders of a key, and late runs in evacuated zones, when orders come and go
// beside other faults.
TEST(evacuation, random_orders_beside_faults_violate_no_invariant)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        simulated_cluster cluster(seed, settings_of(6));
        auto& random = cluster.random();
        cluster.run(milliseconds{5000});
        for (int event = 0; event < 20; ++event) {
            const std::size_t host = random() % cluster.hosts();
            switch (random() % 9) {
            case 0:
                cluster.kill_node(host);
                break;
            case 1:
                cluster.isolate(host, random() % 2 == 0);
                break;
            case 2:
                cluster.set_store_up(random() % 2 == 0);
                break;
            case 3:
                cluster.set_watch_silent(host, random() % 2 == 0);
                break;
            case 4:
                cluster.heal(host);
                if (!cluster.is_node_alive(host)) {
                    cluster.start_node(host);
                }
                break;
            case 5:
                cluster.freeze_node(host, milliseconds{100 + random() % 4000});
                break;
            default:
                cluster.set_evacuated(zone_of(host), random() % 2 == 0);
                break;
            }
            cluster.run(milliseconds{random() % 2000});
        }
        cluster.set_store_up(true);
        for (std::size_t i = 0; i < cluster.hosts(); ++i) {
            cluster.heal(i);
            cluster.set_watch_silent(i, false);
            cluster.set_evacuated(zone_of(i), false);
            if (!cluster.is_node_alive(i)) {
                cluster.start_node(i);
            }
        }
        cluster.run(settle_time);
        check_invariants(cluster, "seed " + std::to_string(seed));
        CHECK(cluster.held_share() >= all_keys);
    }
}
