#include "node/audit_trail.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::node;
using nlohmann::json;

TEST_GROUP(audit)
{
    std::vector<store::transact> written;
    store::status outcome = store::status::ok;
    time_point now{std::chrono::hours{1}};
    audit_settings settings{
        .ring_capacity = 100, .rows_per_minute = 6, .events_per_row = 40, .rows_kept = 3};
    audit_trail subject{settings, [this](store::transact batch, auto on_result) {
                            written.push_back(std::move(batch));
                            on_result(outcome);
                        }};

    void setup() override
    {
        subject.set_incarnation(incarnation_id{0xab});
    }

    void record(int count, const char* service = "ladder-front")
    {
        for (int i = 0; i < count; ++i) {
            audit_record event;
            event.service = service;
            event.range = range_id{static_cast<std::uint32_t>(i)};
            event.subject = incarnation_id{7};
            event.token = fence{(5ULL << fence_position_bits) | 2};
            subject.record(event);
        }
    }

    std::size_t events_in(std::size_t row)
    {
        return json::parse(written.at(row).writes.at(0).value)["events"].size();
    }
};

// Guards against a burst of audit events that exhausts the store's write budget.
TEST(audit, row_rate_is_limited)
{
    record(90);
    for (int i = 0; i < 300; ++i) {
        subject.on_tick(now);
        now += milliseconds{100};
    }
    LONGS_EQUAL(3, written.size());
    LONGS_EQUAL(40, events_in(0));
    LONGS_EQUAL(10, events_in(2));
    STRCMP_EQUAL("audit/00000000000000ab/0", written[0].writes[0].key.c_str());
}

// Guards against audit rows that grow without bound in the store.
TEST(audit, old_rows_are_erased)
{
    for (int i = 0; i < 5; ++i) {
        record(1);
        subject.on_tick(now);
        now += milliseconds{10000};
    }
    LONGS_EQUAL(1, written[2].writes.size());
    LONGS_EQUAL(2, written[4].writes.size());
    STRCMP_EQUAL("audit/00000000000000ab/1", written[4].writes[1].key.c_str());
    CHECK(written[4].writes[1].erase);
    subject.set_incarnation(incarnation_id{0xcd});
    record(1);
    subject.on_tick(now);
    STRCMP_EQUAL("audit/00000000000000cd/0", written[5].writes[0].key.c_str());
    STRCMP_EQUAL("audit/00000000000000ab/2", written[5].writes[1].key.c_str());
}

// Guards against events that are lost when the store doesn't answer, and against dropped events
// that are not counted.
TEST(audit, failed_batch_is_written_again)
{
    outcome = store::status::unavailable;
    record(10);
    subject.on_tick(now);
    outcome = store::status::ok;
    now += milliseconds{10000};
    subject.on_tick(now);
    LONGS_EQUAL(2, written.size());
    STRCMP_EQUAL(written[0].writes[0].value.c_str(), written[1].writes[0].value.c_str());
    STRCMP_EQUAL(written[0].writes[0].key.c_str(), written[1].writes[0].key.c_str());
    record(105);
    LONGS_EQUAL(5, subject.dropped());
}

// Guards against a query that returns records of other services, ranges, subjects or kinds.
TEST(audit, query_filters)
{
    record(5);
    record(5, "results-desk");
    subject.record(std::chrono::system_clock::now(),
                   ownership::audit_event{.kind = ownership::audit_kind::takeover,
                                          .service = "ladder-front",
                                          .range = range_id{3},
                                          .token = {},
                                          .subject = incarnation_id{9},
                                          .cause = "certificate"});
    LONGS_EQUAL(11, subject.query({}).size());
    LONGS_EQUAL(6, subject.query({.service = "ladder-front"}).size());
    LONGS_EQUAL(2, subject.query({.service = "ladder-front", .range = range_id{3}}).size());
    LONGS_EQUAL(1, subject.query({.subject = incarnation_id{9}}).size());
    LONGS_EQUAL(11, subject.query({.subject = incarnation_id{0xab}}).size());
    LONGS_EQUAL(1, subject.query({.kind = audit_kind::takeover}).size());
    const auto newest = subject.query({.most = 2});
    LONGS_EQUAL(2, newest.size());
    LONGS_EQUAL(11, newest.back().number);
}

// Guards against missing fields in the JSON of a record, and against kinds without a unique name.
TEST(audit, record_as_json)
{
    record(1);
    const auto object = json::parse(to_json(subject.query({}).at(0)));
    STRCMP_EQUAL("00000000000000ab", object["seen_by"].get<std::string>().c_str());
    LONGS_EQUAL(5, object["epoch"].get<int>());
    STRCMP_EQUAL("1970-01-01T00:00:00.000Z", object["at"].get<std::string>().c_str());
    for (std::size_t i = 0; i < audit_kind_count; ++i) {
        const auto kind = static_cast<audit_kind>(i);
        CHECK(parse_audit_kind(to_string(kind)) == kind);
    }
    CHECK_FALSE(parse_audit_kind("nothing").has_value());
}

// Guards against a use after free by a store reply that arrives after the destruction of the audit
// trail.
TEST(audit, late_store_answer_is_ignored)
{
    std::function<void(store::status)> late;
    {
        audit_trail gone(settings, [&](store::transact, auto on_result) { late = on_result; });
        gone.set_incarnation(incarnation_id{1});
        gone.record(audit_record{});
        gone.on_tick(now);
        gone.on_tick(now + milliseconds{20000});
    }
    late(store::status::ok);
}
