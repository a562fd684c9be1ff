#include "rules/text.h"

#include <random>

#include "common/hash.h"
#include "rules/delta.h"
#include "rules/versions.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::rules;

namespace {

std::string random_text(std::mt19937_64& random)
{
    std::string text;
    for (auto lines = random() % 12; lines > 0; --lines) {
        text += std::string(1, static_cast<char>('a' + random() % 4)) + "\n";
    }
    if (random() % 3 == 0 && !text.empty()) {
        text.pop_back();
    }
    return text;
}

/// Length of the longest common subsequence, by dynamic programming.
std::size_t common_lines(const std::vector<std::string_view>& a,
                         const std::vector<std::string_view>& b)
{
    std::vector<std::vector<std::size_t>> best(a.size() + 1,
                                               std::vector<std::size_t>(b.size() + 1));
    for (std::size_t i = 1; i <= a.size(); ++i) {
        for (std::size_t j = 1; j <= b.size(); ++j) {
            best[i][j] = a[i - 1] == b[j - 1] ? best[i - 1][j - 1] + 1
                                              : std::max(best[i - 1][j], best[i][j - 1]);
        }
    }
    return best[a.size()][b.size()];
}

constexpr time_point origin{std::chrono::hours{1}};

std::string service_text(int deadline)
{
    return "service a balanced deadline=" + std::to_string(deadline) + "ms # X\n";
}

} // namespace

TEST_GROUP(rules_text){};

// Guards against a diff with wrong lines, line numbers or requesters.
TEST(rules_text, diff_reports_lines_and_requesters)
{
    const auto changes =
        diff_lines("a # A: x\nb # B\nc # C\n", "a # A: x\nd # Dilani: new\nc # C\ne\n");
    STRCMP_EQUAL("-2 b # B\n+2 d # Dilani: new\n+4 e\n", format_diff(changes).c_str());
    STRCMP_EQUAL("Dilani", changes[1].asked_by.c_str());
    STRCMP_EQUAL("", changes[2].asked_by.c_str());
    CHECK(diff_lines("a\nb\n", "a\nb\n").empty());
}

// Guards against a diff that is wrong or not minimal, and against a delta that does not reproduce
// the new text.
TEST(rules_text, random_texts_have_minimal_diffs_and_exact_deltas)
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 3000; ++round) {
        const auto before = random_text(random);
        const auto after = random_text(random);
        const auto old_lines = split_lines(before);
        const auto new_lines = split_lines(after);
        UNSIGNED_LONGS_EQUAL(old_lines.size() + new_lines.size() -
                                 2 * common_lines(old_lines, new_lines),
                             diff_lines(before, after).size());
        const auto change = decode_delta(encode_delta(make_delta(before, after)));
        STRCMP_EQUAL(after.c_str(), apply_delta(before, change).c_str());
    }
}

// Guards against a delta that is applied to a different text, or that was damaged.
TEST(rules_text, delta_of_different_text_or_damaged_is_refused)
{
    const auto change = make_delta("a\nb\n", "a\nc\n");
    CHECK_THROWS(delta_error, apply_delta("a\nd\n", change));
    auto damaged = change;
    damaged.hunks[0].added[0] = "x\n";
    CHECK_THROWS(delta_error, apply_delta("a\nb\n", damaged));
    damaged = change;
    damaged.hunks[0].kept = 5;
    CHECK_THROWS(delta_error, apply_delta("a\nb\n", damaged));
    const auto bytes = encode_delta(change);
    for (std::size_t size = 65; size < bytes.size(); ++size) {
        CHECK_THROWS(delta_error, decode_delta(bytes.substr(0, size)));
    }
    CHECK_THROWS(delta_error, decode_delta(std::string(64, '0') + "1,0,99999999999:"));
}

// Guards against a return to a lower version, and against text damaged in transit.
TEST(rules_text, version_never_decreases)
{
    version_tracker tracker(origin);
    const auto digest = [](int deadline) { return content_digest(service_text(deadline)); };
    CHECK(tracker.apply(2, digest(2), service_text(2)) == apply_result::applied);
    CHECK(tracker.apply(1, digest(1), service_text(1)) == apply_result::lower_version);
    CHECK(tracker.apply(2, digest(2), service_text(2)) == apply_result::already_applied);
    CHECK(tracker.apply(2, digest(3), service_text(3)) == apply_result::conflicting);
    CHECK(tracker.apply(3, digest(3), service_text(4)) == apply_result::wrong_digest);
    CHECK(tracker.apply(3, content_digest("x"), "x") == apply_result::unreadable);
    UNSIGNED_LONGS_EQUAL(2, tracker.current()->version);
    LONGS_EQUAL(2, tracker.current()->rules.services[0].deadline.count());
}

// Guards against a node that misses a version, or that keeps fetching a text it already has.
TEST(rules_text, announced_version_is_fetched_until_it_is_applied)
{
    version_tracker tracker(origin);
    const auto digest = content_digest(service_text(5));
    CHECK(tracker.on_announced(5, digest));
    CHECK(tracker.is_behind());
    CHECK(tracker.on_announced(5, digest));
    CHECK_FALSE(tracker.on_announced(4, digest));
    CHECK_FALSE(tracker.on_announced(5, "other"));
    tracker.apply(5, digest, service_text(5));
    CHECK_FALSE(tracker.is_behind());
    CHECK_FALSE(tracker.on_announced(5, digest));
}

// Guards against a node without contact to the store that reports its rules as current.
TEST(rules_text, rules_without_store_contact_are_possibly_stale)
{
    version_tracker tracker(origin);
    CHECK_FALSE(tracker.possibly_stale(origin + milliseconds{29999}));
    CHECK(tracker.possibly_stale(origin + milliseconds{30000}));
    tracker.mark_fresh(origin + milliseconds{30000});
    CHECK_FALSE(tracker.possibly_stale(origin + milliseconds{59999}));
}
