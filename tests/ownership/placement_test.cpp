#include "ownership/candidates.h"
#include "ownership/planner.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;

namespace {
constexpr const char* service = "orders";
constexpr std::uint32_t ranges = 256;
constexpr time_point now{std::chrono::seconds{100}};

placement_list list_of(std::uint64_t version, std::size_t members, std::uint32_t weight = 12)
{
    placement_list list;
    list.version.value = version;
    for (std::uint64_t id = 1; id <= members; ++id) {
        list.members.push_back({incarnation_id{id}, weight});
    }
    return list;
}

std::size_t count_owned(const placement_list& list, std::uint64_t id)
{
    std::size_t count = 0;
    for (std::uint32_t range = 0; range < ranges; ++range) {
        count += candidates(list, service, range_id{range}).front() == incarnation_id{id} ? 1 : 0;
    }
    return count;
}
} // namespace

TEST_GROUP(placement)
{
    directory shared;
    placement_view view{{service, ranges, list_of(4, 6), list_of(3, 6), {}, {}}};
    plan_inputs inputs;

    void setup() override
    {
        inputs.service = service;
        inputs.ranges = ranges;
        inputs.proposer = incarnation_id{1};
        inputs.newest = &view;
        inputs.shared = &shared;
        inputs.now = now;
        shared.merge(view.record);
    }
    void add_row(std::uint64_t id, member_state state = member_state::active)
    {
        member_row row;
        row.incarnation = incarnation_id{id};
        row.service = service;
        row.slots = 12;
        row.set_version = 1;
        row.state = state;
        shared.merge(now, row);
        shared.on_message_from(now, row.incarnation);
    }
    void adopt(std::uint64_t id, std::uint64_t version, std::vector<range_id> draining = {})
    {
        shared.merge(adoption{incarnation_id{id}, service, placement_version{version}, draining});
    }
};

// Guards against nodes that compute different owners, and against a join that moves ranges between
// the members that were there before.
TEST(placement, a_join_moves_ranges_only_to_the_new_member)
{
    const placement_list before = list_of(1, 6);
    const placement_list after = list_of(2, 7);
    for (std::uint32_t range = 0; range < ranges; ++range) {
        const auto old_owner = candidates(before, service, range_id{range}).front();
        const auto new_owner = candidates(after, service, range_id{range}).front();
        CHECK(new_owner == old_owner || new_owner == incarnation_id{7});
    }
}

// Guards against weights without effect. A member with twice the weight of the 5 others owns about
// twice as many ranges: 256 * 2 / 7 = 73.
TEST(placement, ranges_follow_weights)
{
    placement_list list = list_of(1, 6);
    list.members[2].weight *= 2;
    const std::size_t count = count_owned(list, 3);
    CHECK(count > 50 && count < 100);
}

// Guards against a separate proposal, with separate moves of ranges, for each of several members
// that join at the same time.
TEST(placement, joins_share_one_proposal)
{
    add_row(10);
    add_row(11);
    const auto next = plan(inputs);
    CHECK(next.has_value());
    UNSIGNED_LONGS_EQUAL(8, next->current.members.size());
    CHECK(next->current.version == placement_version{5});
    CHECK(next->previous == view.record.current);
}

// Guards against a recovering availability zone that moves many ranges at once.
TEST(placement, a_recovering_zone_joins_in_steps)
{
    for (std::uint64_t id = 10; id < 20; ++id) {
        add_row(id);
    }
    UNSIGNED_LONGS_EQUAL(6 + join_limit(6), plan(inputs)->current.members.size());
    UNSIGNED_LONGS_EQUAL(2, join_limit(6));
    UNSIGNED_LONGS_EQUAL(32, join_limit(128));
    inputs.may_add = false; // during the pause between two steps
    CHECK(!plan(inputs));
}

// Guards against adding a member that is already dead, so that its ranges have no owner.
TEST(placement, silent_or_sealed_joiners_are_not_added)
{
    add_row(10);
    shared.merge(seal{incarnation_id{10}, incarnation_id{2}, 1, {}, false});
    add_row(11);
    inputs.now = now + joiner_message_age + std::chrono::milliseconds{1};
    CHECK(!plan(inputs));
}

// Guards against a new placement for each small change of a weight.
TEST(placement, small_weight_changes_are_not_proposed)
{
    inputs.own_weight = 14;
    CHECK(!plan(inputs));
    inputs.own_weight = 16;
    CHECK(plan(inputs).has_value());
}

// Guards against ended or leaving members that remain in the placement, and against overrides that
// assign ranges to them.
TEST(placement, departing_members_and_their_overrides_are_dropped)
{
    placement_list current = list_of(4, 6);
    current.overrides[range_id{7}] = incarnation_id{2};
    current.overrides[range_id{8}] = incarnation_id{3};
    view = placement_view{{service, ranges, current, list_of(3, 6), {}, {}}};
    shared.merge(certificate{incarnation_id{2}, placement_version{4}, "witnesses"});
    add_row(5, member_state::leaving);
    const auto next = plan(inputs);
    UNSIGNED_LONGS_EQUAL(4, next->current.members.size());
    UNSIGNED_LONGS_EQUAL(1, next->current.overrides.size());
}

// Guards against a proposal that drops a version at which a member may still run requests. A member
// may do so if it has not adopted the current version, or has requests in flight for ranges that it
// lost in that version. Three versions would then be open.
TEST(placement, a_proposal_waits_for_adoption_and_draining)
{
    for (std::uint64_t id = 1; id <= 5; ++id) {
        adopt(id, 4);
    }
    CHECK(!may_propose(view, shared));
    adopt(6, 4, {range_id{9}});
    CHECK(!may_propose(view, shared));
    adopt(6, 4);
    CHECK(may_propose(view, shared));
}

// Guards against an ended member that blocks all proposals.
TEST(placement, an_ended_member_need_not_adopt)
{
    for (std::uint64_t id = 1; id <= 5; ++id) {
        adopt(id, 4);
    }
    shared.merge(certificate{incarnation_id{6}, placement_version{3}, "witnesses"});
    CHECK(may_propose(view, shared));
}

// Guards against a pin without effect, and against a pin that moves its range repeatedly or leaves
// it without an owner.
TEST(placement, pinned_range_moves_to_its_zone_once)
{
    for (std::uint64_t id = 1; id <= 6; ++id) {
        member_row row;
        row.incarnation = incarnation_id{id};
        row.service = service;
        row.zone = id <= 3 ? "zone-a" : "zone-b";
        row.state = member_state::active;
        shared.merge(now, row);
    }
    range_id range;
    while (candidates(view.record.current, service, range).front().value > 3) {
        ++range.value;
    }
    inputs.pinned_zones[range] = "zone-c";
    CHECK(!plan(inputs)); // there is no member in this zone
    inputs.pinned_zones[range] = "zone-b";
    const auto next = plan(inputs);
    CHECK(next.has_value());
    const incarnation_id owner = candidates(next->current, service, range).front();
    CHECK(owner.value > 3);
    const placement_view placed{*next};
    inputs.newest = &placed;
    CHECK(!plan(inputs));
}
