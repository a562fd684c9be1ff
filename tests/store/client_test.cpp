#include "store/client.h"

#include <functional>

#include "tests/store/http_store.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::store;

namespace {

constexpr milliseconds tick{10};

transact put(const std::string& key, std::uint64_t version, const std::string& value)
{
    return {{{key, version}}, {{key, value, false}}};
}

} // namespace

TEST_GROUP(store_client)
{
    http_store server;
    time_point now{std::chrono::hours{1}};
    client_settings settings{.nodes = 10};
    client subject{settings, 7, now};
    std::optional<reply> last;
    client::callback keep = [this](const reply& result) { last = result; };
    /// Carries out one message; the default answers it.
    std::function<void(const outgoing&)> carry = [this](const outgoing& sent) { answer(sent); };

    void answer(const outgoing& sent)
    {
        const auto [status, body] = server.run(sent.message);
        subject.on_answer(now, sent.id, status, body);
    }

    void run_for(milliseconds time)
    {
        for (const time_point end = now + time; now < end; now += tick) {
            subject.on_tick(now);
            for (const outgoing& sent : subject.take_sends()) {
                carry(sent);
            }
        }
    }
};

// Guards against a writer token or an envelope that callers can see.
TEST(store_client, written_value_reads_back_unchanged)
{
    const std::string value = R"({"b": 1, "a": "}\",\"value\":"})";
    CHECK(subject.submit(now, put("k", 0, value), priority::urgent, keep) == submission::accepted);
    run_for(milliseconds{500});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, last->written.at(0).version);
    subject.submit(now, read_row{"k"}, priority::urgent, keep);
    run_for(milliseconds{500});
    STRCMP_EQUAL(value.c_str(), last->rows.at(0).value.c_str());
    subject.submit(now, read_prefix{"k"}, priority::urgent, keep);
    run_for(milliseconds{500});
    STRCMP_EQUAL(value.c_str(), last->rows.at(0).value.c_str());
    CHECK(subject.is_store_up());
}

// Guards against a conflict that is repeated until it succeeds, which would
// overwrite the winner of a race.
TEST(store_client, conflict_is_reported_and_not_repeated)
{
    server.rows["k"] = {4, "{}"};
    subject.submit(now, put("k", 3, "{}"), priority::urgent, keep);
    run_for(milliseconds{2000});
    CHECK(last && last->result == status::conflict);
    LONGS_EQUAL(1, server.transactions);
}

// Guards against a write that takes effect twice or is reported as failed when
// only its answer was lost.
TEST(store_client, lost_answer_is_read_back_and_not_repeated)
{
    bool lose = true;
    carry = [&](const outgoing& sent) {
        if (std::exchange(lose, false)) {
            server.run(sent.message);
            subject.on_lost(now, sent.id);
            return;
        }
        answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, keep);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, last->written.at(0).version);
    LONGS_EQUAL(1, server.transactions);
    LONGS_EQUAL(1, subject.counters().read_backs);
}

// Guards against a write that is given up although it did not run.
TEST(store_client, write_that_did_not_run_is_repeated)
{
    bool lose = true;
    carry = [&](const outgoing& sent) {
        std::exchange(lose, false) ? subject.on_lost(now, sent.id) : answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, keep);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, subject.counters().repeats);
}

// Guards against a delayed first copy whose success is reported as a conflict,
// because the repeat fails on the row that the first copy wrote.
TEST(store_client, delayed_first_copy_is_recognised)
{
    std::optional<http_message> delayed;
    bool hold = true;
    carry = [&](const outgoing& sent) {
        const bool is_write = sent.message.method == "POST";
        if (is_write && std::exchange(hold, false)) {
            delayed = sent.message;
            subject.on_lost(now, sent.id);
            return;
        }
        if (is_write && delayed) {
            server.run(*delayed);
        }
        answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, keep);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, server.rows["k"].version);
}

// Guards against a false "conflict" or "ok" when another writer came after a
// write whose answer was lost: both outcomes are possible then.
TEST(store_client, lost_answer_followed_by_another_writer_is_unknown)
{
    bool lose = true;
    carry = [&](const outgoing& sent) {
        if (std::exchange(lose, false)) {
            server.run(sent.message);
            server.rows["k"] = {2, "{}"};
            subject.on_lost(now, sent.id);
            return;
        }
        answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, keep);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::unknown);
    LONGS_EQUAL(1, server.transactions);
}

// Guards against callers that wait for ever, and against a write that is
// reported as not run although a copy may be under way.
TEST(store_client, outage_and_silence_end_with_the_right_status)
{
    carry = [&](const outgoing& sent) { subject.on_not_sent(now, sent.id); };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, keep);
    run_for(milliseconds{8000});
    CHECK(last && last->result == status::unavailable);
    CHECK_FALSE(subject.is_store_up());
    CHECK(subject.counters().not_sent < 30);

    last.reset();
    carry = [](const outgoing&) {};
    subject.submit(now, put("k", 0, "{}"), priority::urgent, keep);
    run_for(milliseconds{20000});
    CHECK(last && last->result == status::unknown);
    LONGS_EQUAL(0, subject.pending());
}

// Guards against an answer that arrives after its timeout being taken for the
// answer of another message.
TEST(store_client, late_answer_is_dropped)
{
    std::vector<outgoing> held;
    carry = [&](const outgoing& sent) { held.push_back(sent); };
    subject.submit(now, read_row{"k"}, priority::urgent, keep);
    run_for(milliseconds{3000});
    CHECK(held.size() >= 2);
    subject.on_answer(now, held.front().id, 200, R"({"key":"x","version":9,"value":"1"})");
    CHECK_FALSE(last.has_value());
    answer(held.back());
    CHECK(last && last->result == status::not_found);
    LONGS_EQUAL(1, subject.counters().late_answers);
}

// Guards against an answer that breaks the protocol being taken for a result.
TEST(store_client, malformed_answer_is_not_a_result)
{
    bool broken = true;
    carry = [&](const outgoing& sent) {
        if (std::exchange(broken, false)) {
            subject.on_answer(now, sent.id, 200, R"({"key":"k"})");
            return;
        }
        answer(sent);
    };
    subject.submit(now, read_row{"k"}, priority::urgent, keep);
    run_for(milliseconds{2000});
    CHECK(last && last->result == status::not_found);
    LONGS_EQUAL(1, subject.counters().malformed);
}

// Guards against background work that uses up the queue, and against unbounded
// memory while the store is down.
TEST(store_client, full_queue_refuses_background_first)
{
    settings.queue = 8;
    client small{settings, 7, now};
    std::size_t background = 0;
    while (background < 9 && small.submit(now, put("a" + std::to_string(background), 0, "1"),
                                          priority::background, {}) == submission::accepted) {
        ++background;
    }
    LONGS_EQUAL(4, background);
    CHECK(small.submit(now, put("u", 0, "1"), priority::urgent, {}) == submission::accepted);
    for (int i = 0; i < 3; ++i) {
        small.submit(now, put("v" + std::to_string(i), 0, "1"), priority::urgent, {});
    }
    CHECK(small.submit(now, put("w", 0, "1"), priority::urgent, {}) == submission::queue_full);
}

// Guards against many equal reads that use up the read budget, and against a
// read joined to an older one that could miss the caller's own write.
TEST(store_client, equal_reads_that_wait_are_coalesced)
{
    std::vector<outgoing> held;
    carry = [&](const outgoing& sent) { held.push_back(sent); };
    int answered = 0;
    const auto count = [&](const reply&) { ++answered; };
    subject.submit(now, read_prefix{"m/"}, priority::normal, count);
    run_for(milliseconds{100});
    LONGS_EQUAL(1, held.size());
    subject.submit(now, read_prefix{"m/"}, priority::normal, count);
    run_for(milliseconds{100});
    LONGS_EQUAL(2, held.size());

    carry = [&](const outgoing& sent) { subject.on_not_sent(now, sent.id); };
    run_for(milliseconds{3000});
    subject.submit(now, read_prefix{"z/"}, priority::normal, count);
    subject.submit(now, read_prefix{"z/"}, priority::urgent, count);
    LONGS_EQUAL(1, subject.counters().coalesced);
    carry = [&](const outgoing& sent) { answer(sent); };
    run_for(milliseconds{12000});
    LONGS_EQUAL(4, answered);
}

// Guards against an operator's request that waits behind background rows.
TEST(store_client, interactive_requests_go_first)
{
    client many{client_settings{.nodes = 18000}, 7, now};
    many.submit(now, put("a", 0, "1"), priority::background, {});
    many.submit(now, put("r", 0, "1"), priority::interactive, {});
    const auto sends = many.take_sends();
    LONGS_EQUAL(1, sends.size());
    CHECK(sends.at(0).message.body.find("\"r\"") != std::string::npos);
}
