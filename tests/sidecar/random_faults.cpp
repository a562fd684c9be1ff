#include "tests/sidecar/random_faults.h"

#include <cstdint>
#include <string>

namespace bulrushgw::sidecar::test {

namespace {

/// Time within which all keys are held once no more faults are injected. It covers the loss of two
/// leaders in a row, the end of the last leader's authority, and one lease.
constexpr milliseconds settle_time{9000};
/// Upper bound on the time for which the store is away before it returns from an older copy.
constexpr milliseconds max_time_away{5000};
constexpr double all_keys = 0.9999;

void inject_random_fault(simulated_cluster& cluster)
{
    auto& random = cluster.random();
    const auto pick = [&](std::uint64_t below) { return random() % below; };
    const std::size_t host = pick(cluster.hosts());
    switch (pick(12)) {
    case 0:
        cluster.kill_node(host);
        break;
    case 1:
        cluster.kill_target(host);
        break;
    case 2:
        cluster.start_target(host, pick(2) == 0);
        break;
    case 3:
        cluster.isolate(host, pick(2) == 0);
        break;
    case 4:
        cluster.freeze_node(host, milliseconds{100 + pick(4000)});
        break;
    case 5:
        cluster.set_store_up(pick(2) == 0);
        break;
    case 6:
        cluster.set_lost_writes(pick(2) == 0 ? 0.0 : 0.4);
        break;
    case 7:
        cluster.set_late_orders(pick(2) == 0 ? 0.0 : 0.3);
        break;
    case 8:
        if (const auto leader = cluster.leader()) {
            cluster.kill_node(*leader);
        }
        break;
    case 9:
        for (std::size_t i = 0; i < cluster.hosts(); ++i) {
            if (pick(2) == 0) {
                cluster.kill_node(i);
            }
        }
        break;
    default:
        for (std::size_t i = 0; i < cluster.hosts(); ++i) {
            cluster.heal(i);
            if (!cluster.is_node_alive(i)) {
                cluster.start_node(i);
            }
        }
        break;
    }
}

void clear_faults(simulated_cluster& cluster)
{
    cluster.set_store_up(true);
    cluster.set_lost_writes(0);
    cluster.set_late_orders(0);
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        cluster.heal(i);
        cluster.start_target(i);
        if (!cluster.is_node_alive(i)) {
            cluster.start_node(i);
        }
    }
}

// Without long leases no random number is drawn, so that the faults of a seed stay.
void change_timeout_at_random(simulated_cluster& cluster)
{
    if (cluster.settings().has_long_leases && cluster.random()() % 4 == 0) {
        cluster.change_timeout(milliseconds{cluster.random()() % 5000});
    }
}

std::string find_problem_after_faults(simulated_cluster& cluster)
{
    if (!cluster.violations().empty()) {
        return cluster.violations().front();
    }
    clear_faults(cluster);
    return find_problem_after_settling(cluster);
}

void restart_nodes(simulated_cluster& cluster, bool all)
{
    const auto leader = cluster.leader();
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        if (all || leader == i) {
            cluster.kill_node(i);
        }
    }
    cluster.run(milliseconds{cluster.random()() % 1500});
    for (std::size_t i = 0; i < cluster.hosts(); ++i) {
        if (!cluster.is_node_alive(i)) {
            cluster.start_node(i);
        }
    }
}

void freeze_leader(simulated_cluster& cluster)
{
    if (const auto leader = cluster.leader()) {
        cluster.freeze_node(*leader, milliseconds{500 + cluster.random()() % 4000});
    }
}

void stop_leader(simulated_cluster& cluster)
{
    if (const auto leader = cluster.leader()) {
        cluster.begin_stop(*leader);
        cluster.run(milliseconds{cluster.random()() % 2500});
        cluster.kill_node(*leader);
        cluster.run(milliseconds{cluster.random()() % 1000});
        cluster.start_node(*leader);
    }
}

// Restarts, stops or loses nodes around a return of the store.
void disturb_nodes(simulated_cluster& cluster)
{
    switch (cluster.random()() % 6) {
    case 0:
        restart_nodes(cluster, false);
        break;
    case 1:
        restart_nodes(cluster, true);
        break;
    case 2:
        freeze_leader(cluster);
        break;
    case 3:
        stop_leader(cluster);
        break;
    case 4:
        inject_random_fault(cluster);
        break;
    default:
        break;
    }
}

void return_store(simulated_cluster& cluster)
{
    auto& random = cluster.random();
    const auto max_age = static_cast<std::uint64_t>(simulated_cluster::max_copy_age.count());
    const auto max_away = static_cast<std::uint64_t>(max_time_away.count());
    cluster.restore_older_copy(milliseconds{random() % max_age}, milliseconds{random() % max_away});
}

} // namespace

std::string find_problem_after_settling(simulated_cluster& cluster)
{
    const auto& settings = cluster.settings();
    cluster.run(settle_time);
    if (settings.has_long_leases) {
        cluster.run(settings.times.longest_lease - settings.times.lease);
    }
    if (!cluster.violations().empty()) {
        return cluster.violations().front();
    }
    if (cluster.held_share() < all_keys) {
        return "only " + std::to_string(cluster.held_share()) + " of the keys are held";
    }
    return {};
}

std::string run_random_faults(std::uint64_t seed, const cluster_settings& settings)
{
    constexpr int faults = 25;
    simulated_cluster cluster(seed, settings);
    cluster.run(milliseconds{3000});
    for (int i = 0; i < faults; ++i) {
        inject_random_fault(cluster);
        change_timeout_at_random(cluster);
        cluster.run(milliseconds{50 + cluster.random()() % 1500});
    }
    return find_problem_after_faults(cluster);
}

std::string run_restart_faults(std::uint64_t seed, const cluster_settings& settings)
{
    constexpr int faults = 25;
    simulated_cluster cluster(seed, settings);
    cluster.run(milliseconds{4000});
    for (int i = 0; i < faults; ++i) {
        if (i % 2 == 0) {
            const std::size_t host = cluster.random()() % cluster.hosts();
            cluster.kill_node(host);
            cluster.run(milliseconds{20 + cluster.random()() % 300});
            cluster.start_node(host);
        }
        else {
            inject_random_fault(cluster);
        }
        change_timeout_at_random(cluster);
        cluster.run(milliseconds{50 + cluster.random()() % 1000});
    }
    return find_problem_after_faults(cluster);
}

std::string run_transfer_faults(std::uint64_t seed, const cluster_settings& settings)
{
    constexpr int faults = 20;
    simulated_cluster cluster(seed, settings);
    cluster.run(milliseconds{4000});
    for (int i = 0; i < faults; ++i) {
        auto& random = cluster.random();
        cluster.set_message_faults(random() % 3 == 0 ? 0.2 : 0.0);
        cluster.set_store_up(random() % 3 == 0);
        const auto leader = cluster.leader();
        if (leader && random() % 2 == 0) {
            cluster.run(milliseconds{random() % 1500});
            cluster.begin_stop(*leader);
            cluster.run(milliseconds{random() % 300});
            if (random() % 2 == 0) {
                cluster.freeze_node(random() % cluster.hosts(),
                                    milliseconds{500 + random() % 4000});
            }
            cluster.run(milliseconds{random() % 2000});
            cluster.kill_node(*leader);
            cluster.start_node(*leader);
        }
        else {
            inject_random_fault(cluster);
        }
        change_timeout_at_random(cluster);
        cluster.run(milliseconds{50 + cluster.random()() % 1200});
    }
    cluster.set_message_faults(0);
    return find_problem_after_faults(cluster);
}

std::string run_store_return_faults(std::uint64_t seed, const cluster_settings& settings)
{
    constexpr int rounds = 6;
    cluster_settings with_eras = settings;
    with_eras.first_store_era = seed % 2;
    simulated_cluster cluster(seed, with_eras);
    auto& random = cluster.random();
    cluster.run(milliseconds{500 + random() % 6000});
    for (int i = 0; i < rounds; ++i) {
        cluster.set_lost_writes(random() % 3 == 0 ? 0.4 : 0.0);
        cluster.set_message_faults(random() % 3 == 0 ? 0.1 : 0.0);
        if (random() % 2 == 0) {
            disturb_nodes(cluster);
            cluster.run(milliseconds{random() % 2000});
        }
        return_store(cluster);
        cluster.run(milliseconds{random() % 2000});
        if (random() % 2 == 0) {
            disturb_nodes(cluster);
        }
        cluster.run(milliseconds{random() % 5000});
        if (random() % 4 == 0) {
            return_store(cluster);
            cluster.run(milliseconds{random() % 3000});
        }
    }
    cluster.set_message_faults(0);
    cluster.run(max_time_away);
    return find_problem_after_faults(cluster);
}

} // namespace bulrushgw::sidecar::test
