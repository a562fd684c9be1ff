#include "rules/acceptance.h"

#include <functional>
#include <map>
#include <vector>

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::rules;

namespace {

/// A store in memory that loses answers as a script says.
struct small_store {
    std::map<std::string, store::row> rows;
    std::map<std::string, std::string> objects;
    std::vector<store::status> script; ///< for coming requests; ok: answers

    store::reply run(const store::request& request)
    {
        const auto fate = script.empty() ? store::status::ok : script.front();
        if (!script.empty()) {
            script.erase(script.begin());
        }
        if (fate == store::status::unavailable) {
            return {fate, {}, {}, {}};
        }
        auto reply = std::visit([this](const auto& call) { return answer(call); }, request);
        if (fate == store::status::unknown) {
            return {fate, {}, {}, {}};
        }
        return reply;
    }
    store::reply answer(const store::transact& call)
    {
        for (const auto& condition : call.conditions) {
            if (rows[condition.key].version != condition.version) {
                return {store::status::conflict, {}, {}, {}};
            }
        }
        for (const auto& write : call.writes) {
            rows[write.key] = {write.key, rows[write.key].version + 1, write.value};
        }
        return {store::status::ok, {}, {}, {}};
    }
    store::reply answer(const store::read_row& call)
    {
        const auto& found = rows[call.key];
        if (found.version == 0) {
            return {store::status::not_found, {}, {}, {}};
        }
        return {store::status::ok, {found}, {}, {}};
    }
    store::reply answer(const store::read_prefix&) { return {}; }
    store::reply answer(const store::put_object& call)
    {
        objects[call.name] = call.bytes;
        return {store::status::ok, {}, {}, {}};
    }
    store::reply answer(const store::get_object& call)
    {
        const auto found = objects.find(call.name);
        if (found == objects.end()) {
            return {store::status::not_found, {}, {}, {}};
        }
        return {store::status::ok, {}, found->second, {}};
    }
};

submission make(const std::string& id, std::uint64_t base, int deadline)
{
    return {id, base, "Amina Otieno", "2026-12-04 05:20",
            "service a balanced deadline=" + std::to_string(deadline) + "ms # X\n"};
}

/// Runs to the end; `before` is called before request number `at`.
submission_result submit(small_store& store, submission input, int at = -1,
                         const std::function<void()>& before = {})
{
    submission_process process(std::move(input));
    auto step = process.start();
    for (int requests = 0; requests < 100; ++requests) {
        if (auto* result = std::get_if<submission_result>(&step)) {
            return *result;
        }
        if (requests == at) {
            before();
        }
        step = process.on_reply(store.run(std::get<store::request>(step)));
    }
    FAIL("the submission does not end");
    return {};
}

constexpr int commit_request = 3; ///< after earlier result, head and object

} // namespace

TEST_GROUP(acceptance)
{
    small_store store;
    using enum store::status;
};

// Guards against a version that is accepted without its text or history.
TEST(acceptance, accepted_rules_are_complete_in_the_store)
{
    CHECK(submit(store, make("s1", 0, 1)).status == submission_status::accepted);
    const auto second = submit(store, make("s2", 1, 2));
    UNSIGNED_LONGS_EQUAL(2, second.record->version);
    const auto head = parse_record(store.rows["rules/head"].value);
    CHECK(head == *second.record);
    CHECK(parse_record(store.rows["rules/history/2"].value) == head);
    CHECK(content_digest(store.objects[head.object]) == head.digest);
}

// Guards against a repeated submission that is accepted twice or refused.
TEST(acceptance, repeat_returns_the_first_result)
{
    submit(store, make("s1", 0, 1));
    submit(store, make("s2", 1, 2));
    const auto repeat = submit(store, make("s1", 0, 1));
    CHECK(repeat.status == submission_status::repeated);
    UNSIGNED_LONGS_EQUAL(1, repeat.record->version);
    CHECK(submit(store, make("s1", 2, 3)).status == submission_status::id_reused);
}

// Guards against one submission id that is accepted twice, when two processes
// with it run at once and the later one names the version of the first as base.
TEST(acceptance, concurrent_use_of_one_id_is_accepted_once)
{
    constexpr int head_request = 1; // after the earlier result was looked for
    const auto second =
        submit(store, make("s1", 1, 1), head_request, [this] { submit(store, make("s1", 0, 1)); });
    UNSIGNED_LONGS_EQUAL(1, second.record->version);
    UNSIGNED_LONGS_EQUAL(1, parse_record(store.rows["rules/head"].value).version);
}

// Guards against a lost answer that is taken for a lost race or accepted twice.
TEST(acceptance, lost_answer_of_the_commit_is_read_back)
{
    store.script = {ok, ok, ok, unknown, unavailable, ok};
    CHECK(submit(store, make("s1", 0, 1)).status == submission_status::accepted);
    UNSIGNED_LONGS_EQUAL(1, parse_record(store.rows["rules/head"].value).version);
    // The commit was lost on the way: the first answer is unknown, nothing ran.
    const auto undo = [this] { store.rows.clear(); };
    small_store saved = store;
    store.rows.clear();
    store.script = {ok, ok, ok, unknown, ok};
    CHECK(submit(store, make("s1", 0, 1), commit_request + 1, undo).status ==
          submission_status::accepted);
    CHECK(parse_record(store.rows["rules/head"].value) ==
          parse_record(saved.rows["rules/head"].value));
}

// Guards against "nothing was changed" while the rules were accepted.
TEST(acceptance, undetermined_only_after_the_commit_was_sent)
{
    store.script = {unavailable, unavailable, unavailable, unavailable};
    CHECK(submit(store, make("s1", 0, 1)).status == submission_status::unavailable);
    store.script = {ok, ok, ok, unavailable, unavailable, unavailable, unavailable};
    CHECK(submit(store, make("s1", 0, 1)).status == submission_status::unavailable);
    CHECK(store.rows["rules/head"].version == 0);
    store.script = {ok, ok, ok, unknown, unavailable, unavailable, unavailable, unavailable};
    CHECK(submit(store, make("s1", 0, 1)).status == submission_status::undetermined);
    CHECK(submit(store, make("s1", 0, 1)).status == submission_status::repeated);
}

// Guards against a loser who is not told whom to talk to, or about which lines.
TEST(acceptance, loser_learns_who_won_when_and_what_differs)
{
    submit(store, make("s1", 0, 1));
    auto winner = make("s2", 1, 2);
    winner.who = "Brian Kiptoo";
    for (const int at : {0, commit_request}) { // before the head is read, and after
        small_store race = store;
        const auto lost = submit(race, make("s3", 1, 3), at, [&] { submit(race, winner); });
        CHECK(lost.status == submission_status::lost_race);
        STRCMP_EQUAL("Brian Kiptoo", lost.winner->who.c_str());
        STRCMP_EQUAL("2026-12-04 05:20", lost.winner->when.c_str());
        STRCMP_EQUAL(
            "-1 service a balanced deadline=1ms # X\n+1 service a balanced deadline=2ms # X\n",
            format_diff(lost.their_changes).c_str());
        STRCMP_EQUAL(
            "-1 service a balanced deadline=2ms # X\n+1 service a balanced deadline=3ms # X\n",
            format_diff(lost.differing).c_str());
        UNSIGNED_LONGS_EQUAL(2, parse_record(race.rows["rules/head"].value).version);
    }
}

// Guards against rules with problems that reach the store.
TEST(acceptance, invalid_submissions_ask_nothing)
{
    auto input = make("s 1", 0, 0);
    input.who.clear();
    const auto refused = submit(store, input);
    CHECK(refused.status == submission_status::invalid);
    UNSIGNED_LONGS_EQUAL(3, refused.problems.size());
    CHECK(store.rows.empty());
    CHECK(submit(store, make("s1", 7, 1)).status == submission_status::invalid);
}

// Guards against a process that ends on a row written by a faulty program.
TEST(acceptance, damaged_row_is_reported)
{
    store.rows["rules/head"] = {"rules/head", 1, "{\"version\":\"one\"}"};
    STRCMP_CONTAINS("cannot be read", submit(store, make("s1", 0, 1)).message.c_str());
}
