#include "ownership/serve_rule.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;

namespace {
constexpr range_id range{3};
constexpr const char* service = "catalogue";

placement_list list_of(std::uint64_t version, std::initializer_list<std::uint64_t> members,
                       std::uint64_t override_to = 0)
{
    placement_list list;
    list.version.value = version;
    for (const std::uint64_t id : members) {
        list.members.push_back({incarnation_id{id}, 1});
    }
    if (override_to != 0) {
        list.overrides[range] = incarnation_id{override_to};
    }
    return list;
}

placement_view view_of(placement_list current, placement_list previous)
{
    return placement_view{{service, 16, std::move(current), std::move(previous), {}, {}}};
}
} // namespace

TEST_GROUP(serve_rule)
{
    directory shared;
    unsafe_switches switches;

    void end(std::uint64_t id, std::uint64_t adopted)
    {
        shared.merge(certificate{incarnation_id{id}, placement_version{adopted}, "witnesses"});
    }
    void adopt(std::uint64_t id, std::uint64_t version, std::vector<range_id> draining = {})
    {
        shared.merge(adoption{incarnation_id{id}, service, placement_version{version}, draining});
    }
    range_verdict verdict(const placement_view& view, std::uint64_t self)
    {
        return evaluate_range(view, incarnation_id{self}, shared, range, switches);
    }
};

// Guards against two owners at the same version.
TEST(serve_rule, only_the_first_live_member_serves)
{
    const auto view = view_of(list_of(1, {1, 2, 3}, 2), list_of(0, {}));
    CHECK(verdict(view, 2).owner);
    CHECK(!verdict(view, 1).owner && !verdict(view, 3).owner);
    end(2, 1);
    CHECK(verdict(view, 1).owner != verdict(view, 3).owner);
    CHECK(!verdict(view, 4).owner); // not a member
}

// Guards against a takeover at an older version: the ended member adopted version 2, so a member at
// version 2 may already serve the range.
TEST(serve_rule, a_certificate_of_a_newer_version_allows_no_takeover)
{
    const auto old_view = view_of(list_of(1, {1, 2}, 1), list_of(0, {}));
    end(1, 2);
    CHECK(verdict(old_view, 2).refusal == serve_refusal::not_owner);
    const auto new_view = view_of(list_of(2, {1, 2}, 1), list_of(1, {1, 2}, 1));
    CHECK(verdict(new_view, 2).owner);
}

// Guards against serving a moved range before its previous owner stopped serving it.
TEST(serve_rule, the_previous_owner_must_adopt_and_drain)
{
    const auto view = view_of(list_of(2, {1, 2}, 2), list_of(1, {1, 2}, 1));
    CHECK(verdict(view, 2).refusal == serve_refusal::previous_owner);
    adopt(1, 2, {range});
    CHECK(verdict(view, 2).refusal == serve_refusal::previous_owner);
    adopt(1, 2);
    CHECK(verdict(view, 2).owner);
}

// Guards against ignoring the member that took over the range at the previous version, after the
// first owner ended.
TEST(serve_rule, the_successor_at_the_previous_version_must_adopt_too)
{
    const auto view = view_of(list_of(2, {2, 3}, 3), list_of(1, {1, 2}, 1));
    end(1, 1);
    CHECK(verdict(view, 3).refusal == serve_refusal::previous_owner);
    adopt(2, 2);
    CHECK(verdict(view, 3).owner);
}

// Guards against waiting for a previous owner that ended after it adopted the current version.
TEST(serve_rule, an_end_at_the_new_version_closes_the_previous_one)
{
    const auto view = view_of(list_of(2, {1, 2}, 2), list_of(1, {1, 2}, 1));
    end(1, 2);
    CHECK(verdict(view, 2).owner);
}

// Guards against a fence that decreases at a takeover or a move.
TEST(serve_rule, fences_increase_with_every_change_of_owner)
{
    const auto first = view_of(list_of(1, {1, 2}, 1), list_of(0, {}));
    const fence original = verdict(first, 1).token;
    end(1, 1);
    const fence taken_over = verdict(first, 2).token;
    const auto second = view_of(list_of(2, {2, 3}, 3), list_of(1, {1, 2}, 1));
    adopt(2, 2);
    const fence moved = verdict(second, 3).token;
    CHECK(original < taken_over);
    CHECK(taken_over < moved);
}

// Guards against requests that are sent to the new owner while it still waits and the previous
// owner serves the range.
TEST(serve_rule, requests_go_to_the_previous_owner_until_it_adopts)
{
    const auto view = view_of(list_of(2, {1, 2}, 2), list_of(1, {1, 2}, 1));
    CHECK(find_owner(view, shared, range).owner == incarnation_id{1});
    adopt(1, 2);
    CHECK(find_owner(view, shared, range).owner == incarnation_id{2});
    end(1, 2);
    end(2, 2);
    CHECK(!find_owner(view, shared, range).owner);
}
