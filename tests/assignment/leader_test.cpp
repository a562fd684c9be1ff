#include "assignment/leader.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

namespace {

constexpr incarnation_id self{1};
constexpr incarnation_id owner{7};
constexpr std::uint64_t term = 2;
constexpr std::uint32_t last_key = key_count - 1;

} // namespace

// A leader in its first term, to which the owner of all keys reports that it is stopping, so that
// the keys are to be released once another target can own them.
TEST_GROUP(leader)
{
    time_point now{milliseconds{100000}};
    leader tested{{}, {self, "h1", "a1"}, start()};
    std::uint64_t sequence = 0;
    std::uint64_t reported_version = 0; ///< of the directory, in each report

    static term_start start()
    {
        term_start result;
        result.term = term;
        result.recorded = {{self, "h1", "a1"}, {owner, "h7", "a7"}};
        result.claimed = result.claim_sent = time_point{milliseconds{100000}};
        return result;
    }

    void setup() override
    {
        tested.set_sharded({"s"});
        tested.set_balancing(false);
        report_of(owner, "h7");
        advance(milliseconds{700});
        report_of(owner, "h7");
        advance(milliseconds{700});
        LONGS_EQUAL(1, tested.view().segments.size());
        CHECK(tested.view().segments[0].owner == owner);
    }

    report_reply report_of(incarnation_id node, const std::string& host, bool leaving = false,
                           std::vector<released_keys> released = {},
                           milliseconds age = std::chrono::hours{1})
    {
        report body;
        body.term = term;
        body.sequence = ++sequence;
        body.echo = 1;
        body.host = host;
        body.address = "a" + host;
        body.target = {"t-" + host, 100, "s", 6, target_phase::ready};
        body.leaving = leaving;
        body.released = std::move(released);
        body.process_age = age;
        body.directory_version = reported_version;
        return tested.on_report(now, node, body);
    }

    void advance(milliseconds time)
    {
        now += time;
        if (tested.take_record(now)) {
            tested.on_record_result(now, true);
        }
        tested.on_tick(now);
    }

    /// The release of the keys under the fence that the leader gave the release of all keys.
    released_keys release_of(std::uint32_t first, std::uint32_t last, std::uint64_t range_fence,
                             release_evidence evidence) const
    {
        return {"s", first, last, fence{range_fence}, "token", evidence};
    }

    std::vector<segment> segments_of(incarnation_id node) const
    {
        std::vector<segment> result;
        for (const auto& item : tested.view().segments) {
            if (item.owner == node) {
                result.push_back(item);
            }
        }
        return result;
    }

    /// Makes the owner leave and the leader begin the release of its keys. Returns their fence.
    std::uint64_t begin_release()
    {
        for (int i = 0; i < 3; ++i) {
            // A first leader assigns nothing for a while after a target has joined.
            advance(milliseconds{700});
            report_of(owner, "h7", i == 2);
            report_of(self, "h1");
        }
        advance(milliseconds{50});
        CHECK(segments_of(owner).at(0).releasing);
        return segments_of(owner)[0].range_fence.value;
    }
};

// Guards against keys that wait for ever: the owner holds a segment in several pieces and releases
// them one by one.
TEST(leader, release_of_a_piece_splits_the_segment)
{
    const auto fence = begin_release();
    report_of(owner, "h7", true, {release_of(1000, 1999, fence, release_evidence::confirmed)});
    advance(milliseconds{50});
    const auto moved = segments_of(self);
    LONGS_EQUAL(1, moved.size());
    LONGS_EQUAL(1000, moved[0].first);
    LONGS_EQUAL(1999, moved[0].last);
    STRCMP_EQUAL("token", moved[0].handover.c_str());
    const auto rest = segments_of(owner);
    LONGS_EQUAL(2, rest.size());
    for (const auto& item : rest) {
        CHECK(item.releasing);
        LONGS_EQUAL(fence, item.range_fence.value);
    }
    report_of(owner, "h7", true,
              {release_of(0, 999, fence, release_evidence::confirmed),
               release_of(2000, last_key, fence, release_evidence::confirmed)});
    advance(milliseconds{50});
    CHECK(segments_of(owner).empty());
}

// Guards against a second holder: a piece that is released without the evidence for a whole
// segment, under another fence, or by a node that is not the owner.
TEST(leader, release_of_a_piece_needs_the_evidence_of_a_whole_release)
{
    const auto fence = begin_release();
    // Holds of an earlier process of the host may still run.
    report_of(owner, "h7", true, {release_of(0, 99, fence, release_evidence::hold_ended)},
              milliseconds{0});
    report_of(owner, "h7", true, {release_of(0, 99, fence - 1, release_evidence::confirmed)});
    report_of(self, "h1", false, {release_of(0, 99, fence, release_evidence::confirmed)});
    advance(milliseconds{50});
    LONGS_EQUAL(1, segments_of(owner).size());
    CHECK(segments_of(self).empty());
    advance(milliseconds{500});
    report_of(owner, "h7", true, {release_of(0, 99, fence, release_evidence::confirmed)});
    advance(milliseconds{50});
    LONGS_EQUAL(1, segments_of(self).size());
}

// Guards against a member that has lost one directory change and gets no others while the directory
// changes all the time: it cannot apply any of them, and has no lease until then.
TEST(leader, lost_change_is_sent_again_while_the_directory_changes)
{
    reported_version = tested.view().version;
    report_of(owner, "h7");
    bool is_sent_again = false;
    for (int i = 0; i < 20; ++i) {
        report_of(incarnation_id{9}, "h9", i % 2 == 0);
        advance(milliseconds{50});
        tested.take_changes(now);
        if (i % 5 == 4) {
            is_sent_again = is_sent_again || !report_of(owner, "h7").content.empty();
        }
    }
    CHECK(tested.view().version > reported_version + 5);
    CHECK(is_sent_again);
}

// Guards against moves by the number of keys alone: the next leader of a transferred term knows no
// loads at first.
TEST(leader, leader_after_a_transfer_learns_the_loads_before_keys_move)
{
    const incarnation_id joined{9};
    report_of(joined, "h9");
    advance(milliseconds{50});
    leadership_transfer transfer;
    transfer.term = term;
    transfer.content = tested.change_since(0);
    transfer.recorded.members = {{self, "h1", "a1"}, {owner, "h7", "a7"}, {joined, "h9", "a9"}};
    for (const auto& record : tested.view().nodes) {
        transfer.members.push_back({record, true, true, false, false});
    }
    leader next({}, {self, "h1", "a1"}, transfer, now, now);
    next.set_sharded({"s"});
    const auto moving = [&] {
        return std::count_if(next.view().segments.begin(), next.view().segments.end(),
                             [](const segment& item) { return item.releasing; });
    };
    next.on_tick(now + milliseconds{450});
    LONGS_EQUAL(0, moving());
    next.on_tick(now + milliseconds{550});
    CHECK(moving() > 0);
}
