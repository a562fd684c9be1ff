#include "assignment/member.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

namespace {

constexpr incarnation_id self{7};
constexpr incarnation_id leader_node{1};
constexpr std::uint64_t term = 2;

target_status target(target_phase phase)
{
    return {"t", 100, "s", 6, phase};
}

segment keys(std::uint32_t first, std::uint32_t last, std::uint64_t count)
{
    return {"s", first, last, self, "t", fence{fence_base(term).value + count}, "", false};
}

/// A member that gets its directory and leases from one leader.
class leased_member {
public:
    leased_member() : member_({}, {self, "h", "a", "z", 0})
    {
        member_.on_leader(now_, term, leader_node, "leader");
        member_.on_target(now_, target(target_phase::ready));
    }

    /// Answers the next report with a lease and a complete directory.
    report report_and_get_lease(const std::vector<segment>& segments)
    {
        now_ += milliseconds{300};
        auto sent = member_.take_report(now_);
        CHECK(sent.has_value());
        directory_change full_directory;
        full_directory.term = term;
        full_directory.version = ++version_;
        full_directory.leader = leader_node;
        full_directory.segments = segments;
        report_reply reply;
        reply.term = term;
        reply.sequence = sent->body.sequence;
        reply.leader_time_ms = version_;
        reply.leased = true;
        reply.directory_version = version_;
        reply.content = {full_directory};
        member_.on_reply(now_, reply);
        return sent->body;
    }

    /// Takes the grants that are due and reports them as done.
    std::size_t confirm_grants()
    {
        const auto orders = member_.take_grants(now_);
        for (const auto& order : orders) {
            member_.on_grant_result(now_, order.id, order_outcome::done);
        }
        return orders.size();
    }

    void advance(milliseconds time)
    {
        now_ += time;
        member_.on_tick(now_);
    }

    member member_;
    time_point now_{milliseconds{100000}};

private:
    std::uint64_t version_ = 0;
};

} // namespace

TEST_GROUP(member){};

// Guards against granting released keys again under the fence that they had before the release. The
// leader may have assigned them to another target with a higher fence since.
TEST(member, released_keys_are_not_granted_again_under_the_same_fence)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    test.member_.on_target(test.now_, target(target_phase::absent));
    while (!test.member_.holdings(test.now_).empty()) {
        test.advance(milliseconds{50});
        test.report_and_get_lease({keys(0, 99, 2)});
    }
    test.advance(milliseconds{50});
    const auto last_report = test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, last_report.released.size());
    // The target answers again before the leader's next directory arrives.
    test.member_.on_target(test.now_, target(target_phase::ready));
    LONGS_EQUAL(0, test.confirm_grants());
    CHECK(test.member_.may_serve(test.now_, "s", 5) == serve_verdict::not_owner);
    // The keys are also not granted after the leader has split their segment.
    test.report_and_get_lease({keys(0, 49, 2), keys(50, 99, 2)});
    LONGS_EQUAL(0, test.confirm_grants());
    // The keys are granted under a higher fence, because the leader has assigned them anew.
    test.report_and_get_lease({keys(0, 99, 30)});
    LONGS_EQUAL(1, test.confirm_grants());
}

// Guards against two holders of a key: a target that had just started got a grant before its node
// knew of the restart, and the node then assumed that the new process held no keys.
TEST(member, keys_granted_to_a_target_restarted_unnoticed_are_released)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    auto restarted = target(target_phase::ready);
    restarted.id = "t2";
    restarted.start_time_ms = 200;
    test.member_.on_target(test.now_, restarted);
    LONGS_EQUAL(1, test.member_.holdings(test.now_).size());
    CHECK(test.member_.may_serve(test.now_, "s", 5) == serve_verdict::not_owner);
    const auto orders = test.member_.take_releases(test.now_);
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(99, orders[0].last);
    test.member_.on_release_result(test.now_, orders[0].id, order_outcome::done, "");
    CHECK(test.member_.holdings(test.now_).empty());
    // The leader assigns the keys to this node again, under a higher fence.
    auto reassigned = keys(0, 99, 5);
    reassigned.target = "t2";
    test.report_and_get_lease({reassigned});
    LONGS_EQUAL(1, test.confirm_grants());
}

// Guards against renewals that reach another run of the target under the fence of the one before,
// and against a hold that seems to last for ever because of grants that were never sent.
TEST(member, no_grant_is_sent_while_the_target_is_not_confirmed)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    test.member_.set_target_confirmed(false);
    LONGS_EQUAL(0, test.member_.take_grants(test.now_).size());
    test.member_.set_target_confirmed(true);
    LONGS_EQUAL(1, test.confirm_grants());
    const auto served_until = test.member_.hold_of("s", 5)->served_until;
    while (test.now_ < served_until) {
        test.report_and_get_lease({keys(0, 99, 2)});
        for (const auto& order : test.member_.take_grants(test.now_)) {
            test.member_.on_grant_result(test.now_, order.id, order_outcome::not_sent);
        }
    }
    test.member_.on_target(test.now_, target(target_phase::absent));
    test.advance(milliseconds{300});
    CHECK(test.member_.holdings(test.now_).empty());
}

// Guards against keys that a new run of the target with the id of the run before gets under its
// fence: the directory shows no difference until the leader knows of the restart.
TEST(member, a_new_run_with_the_same_id_gets_no_keys_under_the_fence_of_the_one_before)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    auto restarted = target(target_phase::ready);
    restarted.start_time_ms = 200;
    test.member_.on_target(test.now_, restarted);
    LONGS_EQUAL(0, test.confirm_grants());
    CHECK(test.member_.may_serve(test.now_, "s", 5) == serve_verdict::not_owner);
    test.report_and_get_lease({keys(0, 49, 2), keys(50, 99, 2)});
    LONGS_EQUAL(0, test.confirm_grants());
    test.report_and_get_lease({keys(0, 99, 5)});
    LONGS_EQUAL(1, test.confirm_grants());
}

// Guards against keys that a new run of the target gets under the fence of the run before, whose
// hold had ended when the node learned of the restart.
TEST(member, keys_of_a_run_whose_hold_has_ended_are_not_granted_to_the_next_one)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    test.member_.set_target_confirmed(false);
    for (int i = 0; i < 10; ++i) {
        test.report_and_get_lease({keys(0, 99, 2)});
    }
    auto restarted = target(target_phase::ready);
    restarted.start_time_ms = 200;
    test.member_.on_target(test.now_, restarted);
    test.member_.set_target_confirmed(true);
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(0, test.confirm_grants());
    test.report_and_get_lease({keys(0, 99, 5)});
    LONGS_EQUAL(1, test.confirm_grants());
}

// Guards against reassigning a key while its last holder still processes requests for it. The
// member must wait for the answer to a release, even if the hold runs out before the answer.
TEST(member, keys_are_not_reported_released_before_the_release_is_answered)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    auto releasing_keys = keys(0, 99, 3);
    releasing_keys.releasing = true;
    test.report_and_get_lease({releasing_keys});
    const auto orders = test.member_.take_releases(test.now_);
    LONGS_EQUAL(1, orders.size());
    test.advance(milliseconds{2500});
    CHECK(test.report_and_get_lease({releasing_keys}).released.empty());
    test.member_.on_release_result(test.now_, orders[0].id, order_outcome::unknown, "");
    test.advance(milliseconds{50});
    LONGS_EQUAL(1, test.report_and_get_lease({releasing_keys}).released.size());
}

// Guards against keys that nobody holds any more: a member that held a segment in several pieces
// reported each released piece once, and the leader accepted only the whole segment.
TEST(member, released_pieces_are_reported_until_the_leader_has_accepted_them)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 49, 2), keys(50, 99, 3)});
    LONGS_EQUAL(2, test.confirm_grants());
    auto releasing_keys = keys(0, 99, 9);
    releasing_keys.releasing = true;
    test.report_and_get_lease({releasing_keys});
    const auto orders = test.member_.take_releases(test.now_);
    LONGS_EQUAL(2, orders.size());
    test.member_.on_release_result(test.now_, orders[0].id, order_outcome::done, "first");
    for (int i = 0; i < 3; ++i) {
        const auto released = test.report_and_get_lease({releasing_keys}).released;
        LONGS_EQUAL(1, released.size());
        LONGS_EQUAL(49, released[0].last);
    }
    test.member_.on_release_result(test.now_, orders[1].id, order_outcome::done, "second");
    LONGS_EQUAL(2, test.report_and_get_lease({releasing_keys}).released.size());
    LONGS_EQUAL(2, test.report_and_get_lease({releasing_keys}).released.size());
    LONGS_EQUAL(0, test.member_.take_releases(test.now_).size()); // no key is left to release
    // The leader has assigned the first piece to another target.
    auto rest = releasing_keys;
    rest.first = 50;
    test.report_and_get_lease({rest});
    test.report_and_get_lease({rest});
    const auto released = test.report_and_get_lease({rest}).released;
    LONGS_EQUAL(1, released.size());
    LONGS_EQUAL(50, released[0].first);
    STRCMP_EQUAL("second", released[0].handover.c_str());
    test.report_and_get_lease({});
    test.report_and_get_lease({});
    CHECK(test.report_and_get_lease({}).released.empty());
}

// Guards against two holders of a key: a leader that has split and merged a segment may accept the
// release of one piece while its owner grants the whole segment again under the same fence.
TEST(member, segment_with_a_released_piece_is_not_granted_under_the_same_fence)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 49, 2), keys(50, 99, 2)});
    LONGS_EQUAL(2, test.confirm_grants());
    test.member_.on_target(test.now_, target(target_phase::absent));
    while (!test.member_.holdings(test.now_).empty()) {
        test.advance(milliseconds{50});
    }
    test.report_and_get_lease({keys(0, 49, 2), keys(50, 99, 2)});
    test.member_.on_target(test.now_, target(target_phase::ready));
    // The directory now has a part of the released keys and others in one segment.
    test.report_and_get_lease({keys(0, 49, 30), keys(50, 150, 2)});
    const auto orders = test.member_.take_grants(test.now_);
    LONGS_EQUAL(1, orders.size());
    LONGS_EQUAL(49, orders[0].last);
    CHECK(test.member_.may_serve(test.now_, "s", 120) == serve_verdict::not_owner);
}

// Guards against keys in use that a new leader does not know of. A member reported that it held no
// keys and then granted keys from the directory of the previous term.
TEST(member, keys_of_the_previous_term_are_not_granted_after_a_report)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    test.member_.on_leader(test.now_, term + 1, incarnation_id{3}, "next");
    LONGS_EQUAL(0, test.confirm_grants());
    leased_member other;
    other.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, other.confirm_grants());
    other.member_.on_leader(other.now_, term + 1, incarnation_id{3}, "next");
    other.advance(milliseconds{900});
    // Keys granted before are still served, since the reports to the new leader contain them.
    CHECK(other.member_.may_serve(other.now_, "s", 5) == serve_verdict::serve);
}

// Guards against an interruption of service when adjacent segments of one owner are merged under a
// new fence. Until the new grant, the target still holds all of the keys under the old fences.
TEST(member, merged_segments_are_served_until_their_new_grant)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 49, 2), keys(50, 99, 3)});
    LONGS_EQUAL(2, test.confirm_grants());
    test.report_and_get_lease({keys(0, 99, 9)});
    CHECK(test.member_.may_serve(test.now_, "s", 5) == serve_verdict::serve);
    CHECK(test.member_.may_serve(test.now_, "s", 95) == serve_verdict::serve);
    LONGS_EQUAL(1, test.confirm_grants());
}

// Guards against serving keys that were never granted to the target, after a segment was extended
// beyond the keys that were held.
TEST(member, extended_segment_is_not_served_before_its_grant)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 49, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    test.report_and_get_lease({keys(0, 99, 9)});
    CHECK(test.member_.may_serve(test.now_, "s", 95) == serve_verdict::pending);
}

// Guards against a leader that does not see the load of hot keys, because a report with more keys
// than its limit kept the lowest keys.
TEST(member, report_keeps_the_busiest_keys)
{
    leased_member tested;
    auto& member = tested.member_;
    for (std::uint32_t key = 0; key < 2000; ++key) {
        member.count_request("s", key);
    }
    for (int i = 0; i < 50; ++i) {
        member.count_request("s", 1999);
    }
    const auto sent = tested.report_and_get_lease({keys(0, key_count - 1, 1)});
    LONGS_EQUAL(1, sent.loads.size());
    const auto& counts = sent.loads[0].counts;
    CHECK(counts.size() <= 512);
    CHECK(std::any_of(counts.begin(), counts.end(),
                      [](const auto& item) { return item.first == 1999 && item.second == 51; }));
}

// Guards against entries and a leader that learn late of a warm-up, or report it when nothing
// changed.
TEST(member, change_of_the_warm_up_is_reported_at_once)
{
    member tested({}, {self, "h", "a", "z", 0});
    time_point now{milliseconds{1000}};
    tested.on_leader(now, term, leader_node, "leader");
    auto status = target(target_phase::ready);
    tested.on_target(now, status);
    CHECK(tested.take_report(now).has_value());
    tested.on_target(now, status);
    CHECK_FALSE(tested.take_report(now).has_value());
    status.warming_up = true;
    tested.on_target(now, status);
    const auto sent = tested.take_report(now);
    CHECK(sent.has_value());
    CHECK(sent->body.target.warming_up);
}

// Guards against runs that a hold cuts off although a renewal would have covered them, and against
// requests that wait for a renewal which cannot extend the hold.
TEST(member, hold_that_does_not_cover_the_work_is_renewed)
{
    leased_member test;
    test.report_and_get_lease({keys(0, 99, 2)});
    LONGS_EQUAL(1, test.confirm_grants());
    CHECK(test.member_.covers_work(test.now_, "s", 5, milliseconds{1400}));
    CHECK(test.member_.covers_work(test.now_, "s", 5, milliseconds{3000}));
    test.report_and_get_lease({keys(0, 99, 2)});
    CHECK(test.member_.covers_work(test.now_, "s", 5, milliseconds{1000}));
    LONGS_EQUAL(0, test.confirm_grants());
    CHECK(!test.member_.covers_work(test.now_, "s", 5, milliseconds{1400}));
    LONGS_EQUAL(1, test.confirm_grants());
    CHECK(test.member_.covers_work(test.now_, "s", 5, milliseconds{1400}));
}
