#include "fakes/faults.h"

#include <vector>

namespace bulrushgw::fakes {

namespace {

constexpr std::array<const char*, static_cast<std::size_t>(fault_kind::count)> names{
    "none",
    "process killed",
    "process paused",
    "partition from the store",
    "partition both ways",
    "partition inward",
    "partition outward",
    "partition of a pair",
    "store down",
    "store slow",
    "store answers lost",
    "target frozen",
    "target restarted empty",
    "false health report",
    "false load report",
    "messages delayed",
    "messages doubled",
    "messages reordered",
    "messages lost",
    "zone lost",
    "zone cut off",
    "planned leave",
    "operators race",
};

std::vector<std::size_t> zone_members(const driver& world, std::size_t host)
{
    std::vector<std::size_t> members;
    for (std::size_t i = 0; i < world.host_count(); ++i) {
        if (world.zone_of(i) == world.zone_of(host)) {
            members.push_back(i);
        }
    }
    return members;
}

/// Blocks or unblocks messages to the host (`inward`) and from it (`outward`).
void cut(driver& world, std::size_t host, bool inward, bool outward, bool blocked)
{
    for (std::size_t i = 0; i < world.host_count(); ++i) {
        if (i != host && inward) {
            world.block(i, host, blocked);
        }
        if (i != host && outward) {
            world.block(host, i, blocked);
        }
    }
}

void cut_zone(driver& world, std::size_t host, bool blocked)
{
    for (const std::size_t inside : zone_members(world, host)) {
        world.block_store(inside, blocked);
        for (std::size_t i = 0; i < world.host_count(); ++i) {
            if (world.zone_of(i) != world.zone_of(inside)) {
                world.block(i, inside, blocked);
                world.block(inside, i, blocked);
            }
        }
    }
}

void report_false_loads(driver& world, std::size_t host)
{
    constexpr std::uint32_t ranges = 6;
    constexpr std::uint64_t max_requests_per_second = 5000;
    std::vector<ownership::range_load> loads;
    for (std::uint32_t range = 0; range < ranges; ++range) {
        loads.push_back(
            {range_id{range}, static_cast<double>(world.draw(max_requests_per_second))});
    }
    world.set_load(host, std::move(loads));
}

template <typename Action>
void schedule_end(driver& world, const fault& fault, Action action)
{
    world.schedule(world.now() + fault.span, action);
}

void leave_and_return(driver& world, std::size_t host, milliseconds span)
{
    world.leave(host);
    // At the end of the span, a process that is still leaving is killed. The host then restarts,
    // whether or not its process had left by itself.
    world.schedule(world.now() + span, [&world, host] {
        world.kill(host);
        world.start(host);
    });
}

void inject_process_fault(driver& world, const fault& fault)
{
    const std::size_t host = fault.host;
    switch (fault.kind) {
    case fault_kind::process_killed:
        world.kill(host);
        schedule_end(world, fault, [&world, host] { world.start(host); });
        break;
    case fault_kind::zone_lost:
        for (const std::size_t member : zone_members(world, host)) {
            world.kill(member);
            schedule_end(world, fault, [&world, member] { world.start(member); });
        }
        break;
    case fault_kind::process_paused:
        world.pause(host);
        schedule_end(world, fault, [&world, host] { world.resume(host); });
        break;
    case fault_kind::planned_leave:
        leave_and_return(world, host, fault.span);
        break;
    case fault_kind::operators_race:
        leave_and_return(world, host, fault.span);
        leave_and_return(world, fault.other, fault.span);
        break;
    case fault_kind::target_frozen:
        world.freeze_target(host);
        schedule_end(world, fault, [&world, host] { world.resume_target(host); });
        break;
    case fault_kind::target_restarted:
        world.target_of(host).restart(world.now());
        break;
    case fault_kind::false_health:
        world.end_incarnation(host, "false health report");
        break;
    case fault_kind::false_load:
        report_false_loads(world, host);
        break;
    default:
        break;
    }
}

void inject_store_fault(driver& world, const fault& fault)
{
    switch (fault.kind) {
    case fault_kind::store_down:
        world.set_store(store_mode::down);
        break;
    case fault_kind::store_slow:
        world.set_store(store_mode::slow);
        break;
    case fault_kind::store_answers_lost:
        world.set_store(store_mode::answers_lost);
        break;
    case fault_kind::store_partition:
        world.block_store(fault.host, true);
        schedule_end(world, fault, [&world, host = fault.host] { world.block_store(host, false); });
        return;
    default:
        return;
    }
    schedule_end(world, fault, [&world] { world.set_store(store_mode::up); });
}

void inject_network_fault(driver& world, const fault& fault)
{
    constexpr double duplicate_probability = 0.3;
    constexpr double loss_probability = 0.1;
    const std::size_t host = fault.host;
    const std::size_t other = fault.other;
    const auto cut_for = [&](bool inward, bool outward) {
        cut(world, host, inward, outward, true);
        schedule_end(world, fault,
                     [&world, host, inward, outward] { cut(world, host, inward, outward, false); });
    };
    const auto inject_for_span = [&](const network_faults& faults) {
        world.set_network(faults);
        schedule_end(world, fault, [&world] { world.set_network({}); });
    };
    switch (fault.kind) {
    case fault_kind::cut_both:
        cut_for(true, true);
        break;
    case fault_kind::cut_in:
        cut_for(true, false);
        break;
    case fault_kind::cut_out:
        cut_for(false, true);
        break;
    case fault_kind::cut_pair:
        world.block(host, other, true);
        world.block(other, host, true);
        schedule_end(world, fault, [&world, host, other] {
            world.block(host, other, false);
            world.block(other, host, false);
        });
        break;
    case fault_kind::zone_cut:
        cut_zone(world, host, true);
        schedule_end(world, fault, [&world, host] { cut_zone(world, host, false); });
        break;
    case fault_kind::messages_delayed:
        inject_for_span({0, 0, milliseconds{100}});
        break;
    case fault_kind::messages_doubled:
        inject_for_span({0, duplicate_probability, milliseconds{10}});
        break;
    case fault_kind::messages_reordered:
        inject_for_span({0, 0, milliseconds{30}});
        break;
    case fault_kind::messages_lost:
        inject_for_span({loss_probability, 0, milliseconds{0}});
        break;
    default:
        break;
    }
}

} // namespace

std::string to_string(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const fault& fault)
{
    return to_string(fault.kind) + " host " + std::to_string(fault.host) + " other " +
           std::to_string(fault.other) + " for " + std::to_string(fault.span.count()) + " ms";
}

void inject(driver& world, const fault& fault)
{
    // Each function ignores the kinds that it does not handle.
    inject_process_fault(world, fault);
    inject_store_fault(world, fault);
    inject_network_fault(world, fault);
}

void heal(driver& world)
{
    world.set_store(store_mode::up);
    world.set_network({});
    for (std::size_t i = 0; i < world.host_count(); ++i) {
        cut(world, i, true, true, false);
        world.block_store(i, false);
        if (world.target_of(i).is_frozen()) {
            world.resume_target(i);
        }
        world.resume(i);
        world.start(i);
    }
}

} // namespace bulrushgw::fakes
