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
    client::callback record_reply = [this](const reply& result) { last = result; };
    /// Delivers a message to the store. By default, the store executes and answers it.
    std::function<void(const outgoing&)> deliver = [this](const outgoing& sent) { answer(sent); };

    void answer(const outgoing& sent)
    {
        const auto [status, body] = server.run(sent.message);
        subject.on_answer(now, sent.id, status, body);
    }

    void run_for(milliseconds time)
    {
        for (const time_point end = now + time; now < end; now += tick) {
            subject.on_tick(now);
            for (const outgoing& sent : subject.take_messages()) {
                deliver(sent);
            }
        }
    }
};

// Guards against a writer token or its JSON wrapper in values that are returned to callers.
TEST(store_client, written_value_is_read_unchanged)
{
    const std::string value = R"({"b": 1, "a": "}\",\"value\":"})";
    CHECK(subject.submit(now, put("k", 0, value), priority::urgent, record_reply) ==
          submission::accepted);
    run_for(milliseconds{500});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, last->written.at(0).version);
    subject.submit(now, read_row{"k"}, priority::urgent, record_reply);
    run_for(milliseconds{500});
    STRCMP_EQUAL(value.c_str(), last->rows.at(0).value.c_str());
    subject.submit(now, read_prefix{"k"}, priority::urgent, record_reply);
    run_for(milliseconds{500});
    STRCMP_EQUAL(value.c_str(), last->rows.at(0).value.c_str());
    CHECK(subject.is_store_up());
}

// Guards against a transaction that is retried after a conflict, which would overwrite the
// concurrent write that caused the conflict.
TEST(store_client, conflict_is_reported_and_not_repeated)
{
    server.rows["k"] = {4, "{}"};
    subject.submit(now, put("k", 3, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{2000});
    CHECK(last && last->result == status::conflict);
    LONGS_EQUAL(1, server.transactions);
}

// Guards against a write that is executed twice, or reported as failed, when only its answer was
// lost.
TEST(store_client, lost_answer_is_read_back_and_not_repeated)
{
    bool lose_next = true;
    deliver = [&](const outgoing& sent) {
        if (std::exchange(lose_next, false)) {
            server.run(sent.message);
            subject.on_lost(now, sent.id);
            return;
        }
        answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, last->written.at(0).version);
    LONGS_EQUAL(1, server.transactions);
    LONGS_EQUAL(1, subject.counters().read_backs);
}

// Guards against a write that is not retried although it was not executed.
TEST(store_client, write_that_did_not_run_is_repeated)
{
    bool lose_next = true;
    deliver = [&](const outgoing& sent) {
        std::exchange(lose_next, false) ? subject.on_lost(now, sent.id) : answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, subject.counters().retries);
}

// Guards against a write that took effect but is reported as a conflict: its first copy is delayed
// and succeeds, and the retry conflicts with the row that the first copy wrote.
TEST(store_client, delayed_first_copy_is_detected)
{
    std::optional<http_message> delayed;
    bool delay_next = true;
    deliver = [&](const outgoing& sent) {
        const bool is_write = sent.message.method == "POST";
        if (is_write && std::exchange(delay_next, false)) {
            delayed = sent.message;
            subject.on_lost(now, sent.id);
            return;
        }
        if (is_write && delayed) {
            server.run(*delayed);
        }
        answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::ok);
    LONGS_EQUAL(1, server.rows["k"].version);
}

// Guards against `conflict` or `ok` when the answer to a write was lost and another client changed
// the row afterwards: it can't be determined whether the write was executed.
TEST(store_client, lost_answer_followed_by_another_writer_is_unknown)
{
    bool lose_next = true;
    deliver = [&](const outgoing& sent) {
        if (std::exchange(lose_next, false)) {
            server.run(sent.message);
            server.rows["k"] = {2, "{}"};
            subject.on_lost(now, sent.id);
            return;
        }
        answer(sent);
    };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{3000});
    CHECK(last && last->result == status::unknown);
    LONGS_EQUAL(1, server.transactions);
}

// Guards against callers that never get a reply, and against a write that is reported as not
// executed while a message with it may still be in transit.
TEST(store_client, outage_and_missing_answers_have_the_right_status)
{
    deliver = [&](const outgoing& sent) { subject.on_not_sent(now, sent.id); };
    subject.submit(now, put("k", 0, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{8000});
    CHECK(last && last->result == status::unavailable);
    CHECK_FALSE(subject.is_store_up());
    CHECK(subject.counters().not_sent < 30);

    last.reset();
    deliver = [](const outgoing&) {};
    subject.submit(now, put("k", 0, "{}"), priority::urgent, record_reply);
    run_for(milliseconds{20000});
    CHECK(last && last->result == status::unknown);
    LONGS_EQUAL(0, subject.pending());
}

// Guards against an answer that arrives after its timeout and is used for a later message.
TEST(store_client, late_answer_is_dropped)
{
    std::vector<outgoing> captured;
    deliver = [&](const outgoing& sent) { captured.push_back(sent); };
    subject.submit(now, read_row{"k"}, priority::urgent, record_reply);
    run_for(milliseconds{3000});
    CHECK(captured.size() >= 2);
    subject.on_answer(now, captured.front().id, 200, R"({"key":"x","version":9,"value":"1"})");
    CHECK_FALSE(last.has_value());
    answer(captured.back());
    CHECK(last && last->result == status::not_found);
    LONGS_EQUAL(1, subject.counters().late_answers);
}

// Guards against an answer that violates the protocol but is reported as a result.
TEST(store_client, malformed_answer_is_not_a_result)
{
    bool malformed_next = true;
    deliver = [&](const outgoing& sent) {
        if (std::exchange(malformed_next, false)) {
            subject.on_answer(now, sent.id, 200, R"({"key":"k"})");
            return;
        }
        answer(sent);
    };
    subject.submit(now, read_row{"k"}, priority::urgent, record_reply);
    run_for(milliseconds{2000});
    CHECK(last && last->result == status::not_found);
    LONGS_EQUAL(1, subject.counters().malformed);
}

// Guards against background requests that fill the queue, and against unbounded memory while the
// store is down.
TEST(store_client, full_queue_rejects_background_first)
{
    settings.max_pending = 8;
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

// Guards against identical reads that exhaust the read budget, and against a read that is merged
// with one already in flight, which might not return the caller's own preceding write.
TEST(store_client, identical_queued_reads_are_coalesced)
{
    std::vector<outgoing> captured;
    deliver = [&](const outgoing& sent) { captured.push_back(sent); };
    int answered = 0;
    const auto count = [&](const reply&) { ++answered; };
    subject.submit(now, read_prefix{"m/"}, priority::normal, count);
    run_for(milliseconds{100});
    LONGS_EQUAL(1, captured.size());
    subject.submit(now, read_prefix{"m/"}, priority::normal, count);
    run_for(milliseconds{100});
    LONGS_EQUAL(2, captured.size());

    deliver = [&](const outgoing& sent) { subject.on_not_sent(now, sent.id); };
    run_for(milliseconds{3000});
    subject.submit(now, read_prefix{"z/"}, priority::normal, count);
    subject.submit(now, read_prefix{"z/"}, priority::urgent, count);
    LONGS_EQUAL(1, subject.counters().coalesced);
    deliver = [&](const outgoing& sent) { answer(sent); };
    run_for(milliseconds{12000});
    LONGS_EQUAL(4, answered);
}

// Guards against an operator's request that is sent after queued background requests.
TEST(store_client, interactive_requests_go_first)
{
    client many{client_settings{.nodes = 18000}, 7, now};
    many.submit(now, put("a", 0, "1"), priority::background, {});
    many.submit(now, put("r", 0, "1"), priority::interactive, {});
    const auto sends = many.take_messages();
    LONGS_EQUAL(1, sends.size());
    CHECK(sends.at(0).message.body.find("\"r\"") != std::string::npos);
}
