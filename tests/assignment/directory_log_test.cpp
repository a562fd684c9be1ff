#include "assignment/directory_log.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::assignment;

namespace {

node_record node(std::uint64_t id, const std::string& target)
{
    return {incarnation_id{id}, "h", "a", "z", {target, 1, "s", 6, target_phase::ready}, 100};
}

segment keys(std::uint32_t first, std::uint32_t last, std::uint64_t owner)
{
    return {"s", first, last, incarnation_id{owner}, "t", fence{owner}, "", false};
}

directory initial_directory()
{
    directory content;
    content.term = 7;
    content.leader = incarnation_id{1};
    content.nodes = {node(1, "t1"), node(2, "t2")};
    content.segments = {keys(0, 9, 1), keys(10, 19, 2)};
    return content;
}

void check_equal(const directory& a, const directory& b)
{
    CHECK(a.term == b.term && a.version == b.version && a.leader == b.leader);
    CHECK(a.nodes == b.nodes);
    CHECK(a.segments == b.segments);
}

/// Changes, adds and removes some nodes and segments.
void change_randomly(directory& content, std::mt19937_64& random)
{
    std::map<incarnation_id, node_record> nodes;
    for (const auto& item : content.nodes) {
        if (random() % 8 != 0) {
            nodes[item.node] = item;
        }
    }
    const std::uint64_t id = 1 + random() % 12;
    nodes[incarnation_id{id}] = node(id, "t" + std::to_string(random() % 5));
    content.nodes.clear();
    for (const auto& [key, item] : nodes) {
        content.nodes.push_back(item);
    }
    content.segments.clear();
    for (std::uint32_t first = 0; first < 100;) {
        const auto last = first + static_cast<std::uint32_t>(random() % 30);
        content.segments.push_back(keys(first, last, 1 + random() % 12));
        first = last + 1;
    }
}

} // namespace

TEST_GROUP(directory_log){};

// Guards against a member that never gets the complete directory.
TEST(directory_log, member_without_a_directory_gets_all_of_it)
{
    directory_log log;
    auto content = initial_directory();
    CHECK(log.record(content));
    LONGS_EQUAL(1, content.version);
    directory copy;
    CHECK(apply(copy, log.since(0)));
    check_equal(content, copy);
}

// Guards against a push to all members although nothing has changed.
TEST(directory_log, same_content_keeps_its_version)
{
    directory_log log;
    auto content = initial_directory();
    log.record(content);
    CHECK_FALSE(log.record(content));
    const auto nothing = log.since(content.version);
    CHECK(nothing.nodes.empty() && nothing.segments.empty() && nothing.gone_segments.empty());
}

// Guards against sending the complete directory for each change. That exceeded what the leader of
// 88 hosts could send.
TEST(directory_log, change_contains_only_differences)
{
    directory_log log;
    auto content = initial_directory();
    log.record(content);
    content.nodes.pop_back();
    content.segments[1].owner = incarnation_id{1};
    content.segments.push_back(keys(20, 29, 1));
    log.record(content);
    const auto change = log.since(1);
    LONGS_EQUAL(1, change.base);
    LONGS_EQUAL(0, change.nodes.size());
    LONGS_EQUAL(1, change.gone_nodes.size());
    LONGS_EQUAL(2, change.segments.size());
    LONGS_EQUAL(0, change.gone_segments.size());
}

// Guards against a member that applies a change although it lacks earlier versions, and then serves
// by a directory that was never in force.
TEST(directory_log, change_after_missing_versions_is_refused)
{
    directory_log log;
    auto content = initial_directory();
    log.record(content);
    directory copy;
    apply(copy, log.since(0));
    const directory before = copy;
    content.segments[0].owner = incarnation_id{2};
    log.record(content);
    content.segments[1].owner = incarnation_id{1};
    log.record(content);
    CHECK_FALSE(apply(copy, log.since(2)));
    check_equal(before, copy);
    CHECK(apply(copy, log.since(1)));
    check_equal(content, copy);
}

// Guards against a change of an earlier term that alters the directory of a later term.
TEST(directory_log, partial_change_of_another_term_is_refused)
{
    directory_log log;
    auto content = initial_directory();
    log.record(content);
    directory copy;
    apply(copy, log.since(0));
    copy.term = 8;
    content.segments[0].owner = incarnation_id{2};
    log.record(content);
    CHECK_FALSE(apply(copy, log.since(1)));
}

// Guards against members whose directories differ from the leader's after changes that were lost,
// duplicated or reordered.
TEST(directory_log, copy_converges_after_lost_and_reordered_changes)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        directory_log log;
        auto content = initial_directory();
        log.record(content);
        directory copy;
        std::vector<directory_change> in_transit;
        for (int step = 0; step < 200; ++step) {
            change_randomly(content, random);
            log.record(content);
            in_transit.push_back(log.since(random() % 3 == 0 ? 0 : copy.version));
            std::shuffle(in_transit.begin(), in_transit.end(), random);
            if (random() % 4 != 0) {
                apply(copy, in_transit.back());
            }
            if (random() % 2 == 0) {
                in_transit.pop_back();
            }
        }
        apply(copy, log.since(copy.version));
        check_equal(content, copy);
    }
}

// Guards against memory use that grows with each removal. Also guards against a member that keeps
// removed entries because its version is older than the kept removals.
TEST(directory_log, member_behind_the_kept_removals_gets_the_full_directory)
{
    directory_log log;
    auto content = initial_directory();
    log.record(content);
    directory copy;
    apply(copy, log.since(0));
    for (std::uint32_t round = 1; round <= 3000; ++round) {
        content.segments = {keys(0, round, 1), keys(round + 1, 65535, 2)};
        log.record(content);
    }
    LONGS_EQUAL(0, log.since(1).base);
    CHECK(apply(copy, log.since(copy.version)));
    check_equal(content, copy);
}
