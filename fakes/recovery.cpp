#include "fakes/recovery.h"

#include <set>

namespace bulrushgw::fakes {

namespace {

/// The recovery must be complete within this time. The limit covers three delays: twice the longest
/// backoff of the store client, the 10 s after which a disconnected member ends its incarnation,
/// and `operator_delay`.
constexpr milliseconds settle_limit{60'000};
constexpr milliseconds operator_delay{4000};

/// Acts as an operator. Declares a member of the placement switched off if it has no end
/// certificate and runs on no host.
void assert_lost_members(driver& world)
{
    std::size_t operator_host = world.host_count();
    for (std::size_t i = 0; i < world.host_count(); ++i) {
        const ownership::engine* engine = world.engine_of(i);
        if (engine != nullptr && engine->placement_of(service_name)) {
            operator_host = i;
        }
    }
    if (operator_host == world.host_count()) {
        return;
    }
    const ownership::engine* engine = world.engine_of(operator_host);
    std::set<incarnation_id> ended;
    for (const auto& certificate : engine->certificates()) {
        ended.insert(certificate.holder);
    }
    const auto placement = engine->placement_of(service_name);
    std::set<incarnation_id> lost;
    for (const auto* list : {&placement->current, &placement->previous}) {
        for (const auto& member : list->members) {
            if (!ended.contains(member.incarnation) && !world.host_of(member.incarnation)) {
                lost.insert(member.incarnation);
            }
        }
    }
    for (const incarnation_id member : lost) {
        world.assert_ended(operator_host, member);
    }
}

} // namespace

bool is_settled(const driver& world)
{
    std::set<incarnation_id> running;
    const ownership::engine* first = nullptr;
    for (std::size_t host = 0; host < world.host_count(); ++host) {
        if (world.is_running(host)) {
            first = world.engine_of(host);
            running.insert(first->self());
        }
    }
    const auto placement = first == nullptr ? std::nullopt : first->placement_of(service_name);
    std::set<incarnation_id> placed;
    if (placement) {
        for (const auto& member : placement->current.members) {
            placed.insert(member.incarnation);
        }
    }
    return placed == running && world.all_served();
}

bool wait_until_settled(driver& world)
{
    constexpr milliseconds round{1000};
    constexpr int stable_rounds = 8;
    int stable = 0;
    for (milliseconds waited{0}; waited < settle_limit && stable < stable_rounds; waited += round) {
        world.run_for(round);
        stable = is_settled(world) ? stable + 1 : 0;
        if (waited >= operator_delay) {
            assert_lost_members(world);
        }
    }
    return stable >= stable_rounds;
}

} // namespace bulrushgw::fakes
