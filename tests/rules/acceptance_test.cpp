#include "rules/acceptance.h"

#include <functional>
#include <map>
#include <vector>

#include "common/hash.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::rules;

namespace {

/// In-memory store that fails requests as `script` specifies.
struct scripted_store {
    std::map<std::string, store::row> rows;
    std::map<std::string, std::string> objects;
    /// Results of the next requests, in order; afterwards `ok`. `unavailable` does not execute the
    /// request, `unknown` executes it and loses the reply, `ok` replies with the actual result.
    std::vector<store::status> script;

    store::reply run(const store::request& request)
    {
        const auto scripted_status = script.empty() ? store::status::ok : script.front();
        if (!script.empty()) {
            script.erase(script.begin());
        }
        if (scripted_status == store::status::unavailable) {
            return {scripted_status, {}, {}, {}};
        }
        auto reply = std::visit([this](const auto& call) { return answer(call); }, request);
        if (scripted_status == store::status::unknown) {
            return {scripted_status, {}, {}, {}};
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

submission make_submission(const std::string& id, std::uint64_t base, int deadline)
{
    return {id, base, "Amina Otieno", "2026-12-04 05:20",
            "service a balanced deadline=" + std::to_string(deadline) + "ms # X\n"};
}

/// Runs a submission to its end. Calls `before` before request number `at`, counting from 0.
submission_result submit(scripted_store& store, submission input, int at = -1,
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

/// Index of the commit, which follows the read of the earlier result, the read of the head and the
/// put of the text.
constexpr int commit_request = 3;

} // namespace

TEST_GROUP(acceptance)
{
    scripted_store store;
    using enum store::status;
};

// Guards against a version that is accepted without its text or its history row.
TEST(acceptance, accepted_version_is_stored_with_text_and_history)
{
    CHECK(submit(store, make_submission("s1", 0, 1)).status == submission_status::accepted);
    const auto second = submit(store, make_submission("s2", 1, 2));
    UNSIGNED_LONGS_EQUAL(2, second.record->version);
    const auto head = parse_record(store.rows["rules/head"].value);
    CHECK(head == *second.record);
    CHECK(parse_record(store.rows["rules/history/2"].value) == head);
    CHECK(content_digest(store.objects[head.object]) == head.digest);
}

// Guards against a repeated submission that is accepted twice or refused.
TEST(acceptance, repeat_returns_the_first_result)
{
    submit(store, make_submission("s1", 0, 1));
    submit(store, make_submission("s2", 1, 2));
    const auto repeat = submit(store, make_submission("s1", 0, 1));
    CHECK(repeat.status == submission_status::repeated);
    UNSIGNED_LONGS_EQUAL(1, repeat.record->version);
    CHECK(submit(store, make_submission("s1", 2, 3)).status == submission_status::id_reused);
}

// Guards against a submission id that is accepted twice: two submissions with the same id run
// concurrently, and the base version of the second is the version that the first one created.
TEST(acceptance, concurrent_use_of_one_id_is_accepted_once)
{
    constexpr int head_request = 1; // follows the read of the earlier result
    const auto second = submit(store, make_submission("s1", 1, 1), head_request,
                               [this] { submit(store, make_submission("s1", 0, 1)); });
    UNSIGNED_LONGS_EQUAL(1, second.record->version);
    UNSIGNED_LONGS_EQUAL(1, parse_record(store.rows["rules/head"].value).version);
}

// Guards against a commit that is reported as a lost race, or accepted twice, because its answer
// was lost.
TEST(acceptance, lost_answer_of_the_commit_is_read_back)
{
    store.script = {ok, ok, ok, unknown, unavailable, ok};
    CHECK(submit(store, make_submission("s1", 0, 1)).status == submission_status::accepted);
    UNSIGNED_LONGS_EQUAL(1, parse_record(store.rows["rules/head"].value).version);
    // The commit itself was lost: its result is unknown and nothing was written.
    const auto undo = [this] { store.rows.clear(); };
    scripted_store saved = store;
    store.rows.clear();
    store.script = {ok, ok, ok, unknown, ok};
    CHECK(submit(store, make_submission("s1", 0, 1), commit_request + 1, undo).status ==
          submission_status::accepted);
    CHECK(parse_record(store.rows["rules/head"].value) ==
          parse_record(saved.rows["rules/head"].value));
}

// Guards against rules that were accepted but are reported as `unavailable`, which means that
// nothing was changed.
TEST(acceptance, undetermined_only_after_the_commit_was_sent)
{
    store.script = {unavailable, unavailable, unavailable, unavailable};
    CHECK(submit(store, make_submission("s1", 0, 1)).status == submission_status::unavailable);
    store.script = {ok, ok, ok, unavailable, unavailable, unavailable, unavailable};
    CHECK(submit(store, make_submission("s1", 0, 1)).status == submission_status::unavailable);
    CHECK(store.rows["rules/head"].version == 0);
    store.script = {ok, ok, ok, unknown, unavailable, unavailable, unavailable, unavailable};
    CHECK(submit(store, make_submission("s1", 0, 1)).status == submission_status::undetermined);
    CHECK(submit(store, make_submission("s1", 0, 1)).status == submission_status::repeated);
}

// Guards against a lost race whose result does not name the winning operator or the changed lines.
TEST(acceptance, lost_race_names_winner_time_and_differences)
{
    submit(store, make_submission("s1", 0, 1));
    auto winner = make_submission("s2", 1, 2);
    winner.who = "Brian Kiptoo";
    for (const int at : {0, commit_request}) { // before and after the head is read
        scripted_store race = store;
        const auto lost =
            submit(race, make_submission("s3", 1, 3), at, [&] { submit(race, winner); });
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

// Guards against invalid rules that are written to the store.
TEST(acceptance, invalid_submissions_write_nothing)
{
    auto input = make_submission("s 1", 0, 0);
    input.who.clear();
    const auto refused = submit(store, input);
    CHECK(refused.status == submission_status::invalid);
    UNSIGNED_LONGS_EQUAL(3, refused.problems.size());
    CHECK(store.rows.empty());
    CHECK(submit(store, make_submission("s1", 7, 1)).status == submission_status::invalid);
}

// Guards against an uncaught exception for a malformed row, written by a faulty program.
TEST(acceptance, damaged_row_is_reported)
{
    store.rows["rules/head"] = {"rules/head", 1, "{\"version\":\"one\"}"};
    STRCMP_CONTAINS("cannot be read", submit(store, make_submission("s1", 0, 1)).message.c_str());
}
