#include "request/duplicate_table.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::request;

namespace {

constexpr time_point base_time{std::chrono::hours{1}};

time_point at(int seconds)
{
    return base_time + std::chrono::seconds{seconds};
}

request_key key_of(const std::string& id, std::uint32_t range = 1)
{
    return {"ladder-front", range_id{range}, id};
}

final_answer answer(const std::string& body)
{
    return {reason::none, 201, {{"x", "y"}}, body};
}

} // namespace

TEST_GROUP(duplicates)
{
    duplicate_table table;
    void setup() override
    {
        table.on_acquired(at(-700), "ladder-front", range_id{1});
    }
};

// Guards against a second run of a request, and against a repeat that gets a different answer.
TEST(duplicates, repeat_is_answered_from_the_record)
{
    CHECK(table.begin(at(0), key_of("a"), 1, 7).verdict == duplicate_verdict::run);
    CHECK(table.begin(at(1), key_of("a"), 2, 7).verdict == duplicate_verdict::in_progress);
    table.complete(at(2), key_of("a"), answer("done"));
    table.complete(at(3), key_of("a"), answer("late"));
    const auto repeat = table.begin(at(4), key_of("a"), 2, 7);
    CHECK(repeat.verdict == duplicate_verdict::replay);
    STRCMP_EQUAL("done", repeat.answer->body.c_str());
    CHECK(repeat.answer->why == reason::replayed);
    LONGS_EQUAL(201, repeat.answer->status);
}

// Guards against a request with an unknown outcome that runs again, and against a request that did
// not run and is not allowed to run later.
TEST(duplicates, unknown_outcome_is_kept_and_not_run_is_forgotten)
{
    table.begin(at(0), key_of("a"), 1, 7);
    table.complete(at(1), key_of("a"), {reason::connection_lost, 502, {}, {}});
    CHECK(table.begin(at(2), key_of("a"), 2, 7).answer->why == reason::connection_lost);
    table.begin(at(0), key_of("b"), 1, 7);
    table.complete(at(1), key_of("b"), {reason::overloaded, 503, {}, {}});
    CHECK(table.begin(at(2), key_of("b"), 2, 7).verdict == duplicate_verdict::run);
}

// Guards against a client that receives the answer to another client's request with the same id.
TEST(duplicates, id_of_another_request_is_refused)
{
    table.begin(at(0), key_of("a"), 1, 7);
    CHECK(table.begin(at(1), key_of("a"), 2, 8).verdict == duplicate_verdict::id_reused);
}

// Guards against a second run after a takeover: only the previous owner has the record of the
// first.
TEST(duplicates, history_is_lost_for_ten_minutes_after_a_takeover)
{
    table.on_acquired(at(0), "ladder-front", range_id{1});
    CHECK(table.begin(at(599), key_of("a"), 2, 7).verdict == duplicate_verdict::history_lost);
    CHECK(table.begin(at(599), key_of("b"), 1, 7).verdict == duplicate_verdict::run);
    CHECK(table.begin(at(600), key_of("a"), 2, 7).verdict == duplicate_verdict::run);
    CHECK(table.begin(at(600), key_of("c", 2), 2, 7).verdict == duplicate_verdict::history_lost);
}

// Guards against memory use without bound, against the eviction of a request in progress, and
// against a repeat that runs because its record was evicted.
TEST(duplicates, eviction_bounds_memory_and_makes_repeats_history_lost)
{
    duplicate_table small({.max_bytes = 4000, .max_answer_bytes = 600});
    small.on_acquired(at(-700), "ladder-front", range_id{1});
    small.on_acquired(at(-700), "ladder-front", range_id{2});
    small.begin(at(0), key_of("running"), 1, 7);
    for (int i = 0; i < 50; ++i) {
        const auto key = key_of("id" + std::to_string(i));
        CHECK(small.begin(at(i), key, 1, 7).verdict == duplicate_verdict::run);
        small.complete(at(i), key, answer(std::string(500, 'x')));
        CHECK(small.bytes() <= 4000);
    }
    CHECK(small.counters().answers_dropped > 0 && small.counters().evicted > 0);
    CHECK(small.begin(at(51), key_of("running"), 2, 7).verdict == duplicate_verdict::in_progress);
    CHECK(small.begin(at(51), key_of("id0"), 2, 7).verdict == duplicate_verdict::history_lost);
    CHECK(small.begin(at(51), key_of("new", 2), 2, 7).verdict == duplicate_verdict::run);
    CHECK(small.begin(at(700), key_of("id0"), 2, 7).verdict == duplicate_verdict::run);
}

// Guards against a table full of requests in progress that drops one of them.
TEST(duplicates, full_table_records_nothing)
{
    duplicate_table tiny({.max_bytes = 1000});
    tiny.on_acquired(at(-700), "ladder-front", range_id{1});
    tiny.begin(at(0), key_of("a"), 1, 7);
    tiny.begin(at(0), key_of("b"), 1, 7);
    CHECK(tiny.begin(at(0), key_of("c"), 1, 7).verdict == duplicate_verdict::full);
    tiny.complete(at(1), key_of("a"), answer("done"));
    CHECK(tiny.begin(at(1), key_of("c"), 1, 7).verdict == duplicate_verdict::run);
}

// Guards against a long answer of which only a part is replayed.
TEST(duplicates, long_answer_is_not_replayed)
{
    table.begin(at(0), key_of("a"), 1, 7);
    table.complete(at(0), key_of("a"), answer(std::string(100000, 'x')));
    const auto repeat = table.begin(at(1), key_of("a"), 2, 7);
    CHECK(repeat.answer->why == reason::answer_not_kept);
    LONGS_EQUAL(409, repeat.answer->status);
    CHECK(repeat.answer->body.empty());
}

// Guards against records that are never removed.
TEST(duplicates, records_expire)
{
    table.begin(at(0), key_of("a"), 1, 7);
    table.complete(at(0), key_of("a"), answer("done"));
    table.on_tick(at(599));
    UNSIGNED_LONGS_EQUAL(1, table.size());
    table.on_tick(at(600));
    UNSIGNED_LONGS_EQUAL(0, table.size());
    UNSIGNED_LONGS_EQUAL(0, table.bytes());
}
