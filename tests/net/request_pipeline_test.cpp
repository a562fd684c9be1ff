#include "net/request_pipeline.h"

#include <vector>

#include "net/memory_budget.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::net;
using detail::request_pipeline;

TEST_GROUP(request_pipeline)
{
    request_pipeline pipeline{{3, 1000}};
};

// Guards against responses that are sent in another order than the requests.
TEST(request_pipeline, answers_leave_in_the_order_of_the_requests)
{
    const auto first = pipeline.add(true, 10);
    const auto second = pipeline.add(true, 10);
    CHECK(pipeline.start_next() == first);
    CHECK(pipeline.start_next() == second);
    CHECK(pipeline.respond(second, 5, false));
    CHECK_FALSE(pipeline.respond(second, 5, false));
    CHECK_FALSE(pipeline.take_answer().has_value());
    CHECK(pipeline.respond(first, 5, false));
    CHECK(pipeline.take_answer()->request == first);
    CHECK(pipeline.take_answer()->request == second);
    CHECK(pipeline.is_empty());
}

// Guards against starting a request that is not idempotent before everything ahead of it is
// answered, after which the client may have to send it again.
TEST(request_pipeline, request_that_may_not_run_ahead_waits_until_all_before_it_was_sent)
{
    const auto first = pipeline.add(true, 10);
    const auto write = pipeline.add(false, 10);
    const auto read = pipeline.add(true, 10);
    CHECK(pipeline.start_next() == first);
    CHECK(pipeline.start_next() == read);
    CHECK_FALSE(pipeline.start_next().has_value());
    pipeline.respond(first, 5, false);
    CHECK(pipeline.take_answer()->request == first);
    CHECK_FALSE(pipeline.start_next().has_value());
    pipeline.on_sent();
    CHECK(pipeline.start_next() == write);
}

// Guards against a connection that occupies the process by requests read ahead, or by responses
// that wait for their turn.
TEST(request_pipeline, requests_and_bytes_are_bounded)
{
    const auto first = pipeline.add(true, 100);
    CHECK(pipeline.may_read(0));
    pipeline.start_next();
    const auto second = pipeline.add(true, 100);
    const auto third = pipeline.add(true, 100);
    CHECK(pipeline.may_read(0));
    CHECK_FALSE(pipeline.may_read(900));
    pipeline.start_next();
    pipeline.respond(second, 2000, false);
    CHECK_FALSE(pipeline.may_read(0));
    CHECK_FALSE(pipeline.start_next().has_value()); // the waiting response is above the bound
    pipeline.respond(first, 1, false);
    pipeline.take_answer();
    pipeline.take_answer();
    pipeline.on_sent();
    CHECK(pipeline.start_next() == third);
    for (int i = 0; i < 3; ++i) {
        CHECK(pipeline.may_read(0));
        pipeline.add(false, 1);
    }
    CHECK_FALSE(pipeline.may_read(0));
}

// Guards against work that continues for a client that disconnected, and against requests that
// start although the connection ends before their response.
TEST(request_pipeline, cancellation_and_closing_answers_end_the_connection)
{
    const auto first = pipeline.add(true, 1);
    const auto second = pipeline.add(true, 1);
    pipeline.add(false, 1);
    pipeline.start_next();
    pipeline.start_next();
    pipeline.respond(first, 1, true);
    CHECK_FALSE(pipeline.may_read(0));
    CHECK_FALSE(pipeline.start_next().has_value());
    LONGS_EQUAL(1, pipeline.drop_waiting());
    CHECK(pipeline.take_answer()->closes);
    CHECK(pipeline.cancel_all() == std::vector<request_pipeline::number>{second});
    CHECK(pipeline.is_empty());
    CHECK_FALSE(pipeline.respond(second, 1, false));
}

TEST_GROUP(memory_budget){};

// Guards against a budget that is exceeded, or whose bytes are lost when their user ends.
TEST(memory_budget, charges_stay_below_the_limit_and_are_released)
{
    const auto budget = std::make_shared<memory_budget>(100);
    CHECK_FALSE(budget->try_reserve(static_cast<std::size_t>(-1)));
    {
        memory_charge first(budget);
        CHECK(first.try_resize(60));
        memory_charge second(budget);
        CHECK_FALSE(second.try_resize(41));
        LONGS_EQUAL(60, budget->used());
        CHECK(first.try_resize(50));
        CHECK(second.try_resize(50));
        second = std::move(first);
        LONGS_EQUAL(50, budget->used());
    }
    LONGS_EQUAL(0, budget->used());
    memory_charge unlimited;
    CHECK(unlimited.try_resize(static_cast<std::size_t>(-1)));
}
