#include "dispatch/retry_allowance.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

TEST_GROUP(retry_allowance){};

// Guards against retries of all nodes together that exceed the limit in a window.
TEST(retry_allowance, retries_of_all_nodes_stay_within_the_limit)
{
    constexpr std::uint32_t nodes = 10;
    const allowance_settings settings{0.2, 58, milliseconds{10000}, nodes};
    std::vector<retry_allowance> all(nodes);
    for (auto& each : all) {
        each.configure(settings);
    }
    int requests = 0;
    int retries = 0;
    for (long ms = 0; ms < 10000; ms += 10) {
        for (auto& each : all) {
            const time_point now(milliseconds{ms});
            each.on_request(now);
            ++requests;
            retries += each.try_spend(now) ? 1 : 0;
            retries += each.try_spend(now) ? 1 : 0;
        }
    }
    CHECK(retries > 0);
    CHECK(retries <= 0.2 * requests + 58);
}

// Guards against an allowance that is never restored.
TEST(retry_allowance, old_retries_free_their_allowance)
{
    retry_allowance allowance;
    allowance.configure({0, 10, milliseconds{1000}, 1});
    const time_point start(milliseconds{1});
    while (allowance.try_spend(start)) {
    }
    CHECK_FALSE(allowance.try_spend(start + milliseconds{900}));
    CHECK(allowance.try_spend(start + milliseconds{1100}));
}

// Guards against retries of one service that use up the allowance of a service that it calls: the
// calls of a retried request count as retries there.
TEST(retry_allowance, nested_retries_stay_within_the_limit)
{
    constexpr int calls_per_request = 3;
    retry_allowance caller;
    retry_allowance callee;
    const allowance_settings settings{0.2, 50, milliseconds{10000}, 1};
    caller.configure(settings);
    callee.configure(settings);
    int retries_at_callee = 0;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        const time_point now(milliseconds{i * 10});
        caller.on_request(now);
        callee.on_request(now);
        retries_at_callee += caller.try_spend(now) ? calls_per_request : 0;
        retries_at_callee += callee.try_spend(now) ? 1 : 0;
    }
    CHECK(retries_at_callee > 0);
    CHECK(retries_at_callee <= 0.2 * requests + 50);
}

// Guards against a figure for operators that still counts retries and requests that left the
// window.
TEST(retry_allowance, expired_entries_do_not_count_in_what_is_left)
{
    retry_allowance allowance;
    allowance.configure({0.5, 16, milliseconds{1000}, 1});
    const time_point start(milliseconds{1});
    DOUBLES_EQUAL(4, allowance.left(start), 1e-9);
    for (int i = 0; i < 8; ++i) {
        allowance.on_request(start);
    }
    DOUBLES_EQUAL(5, allowance.left(start), 1e-9);
    CHECK(allowance.try_spend(start));
    DOUBLES_EQUAL(4, allowance.left(start), 1e-9);
    DOUBLES_EQUAL(4, allowance.left(start + milliseconds{1001}), 1e-9);
    for (int i = 0; i < 3; ++i) {
        CHECK(allowance.try_spend(start));
    }
    DOUBLES_EQUAL(4, allowance.left(start + milliseconds{1001}), 1e-9);
}
