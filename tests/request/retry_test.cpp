#include "request/retry.h"

#include <array>
#include <map>

#include "request/balance.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::request;
using rules::repeat_kind;
using rules::service_kind;

namespace {

retry_kind decide(reason why, repeat_kind repeat, service_kind kind = service_kind::keyed,
                  std::uint32_t attempts = 1, int remaining = 500)
{
    return decide_retry({why, repeat, attempts, milliseconds{remaining}}, kind, {});
}

} // namespace

TEST_GROUP(retry){};

// Guards against retries that multiply the load of a failing service.
TEST(retry, budget_is_ten_percent_and_three_a_second)
{
    retry_budget budget;
    int spent = 0;
    for (int ms = 0; ms < 10000; ++ms) { // 1000 requests/s, all fail
        const time_point now = time_point{std::chrono::hours{1}} + milliseconds{ms};
        budget.on_request(now);
        spent += budget.try_spend(now) ? 1 : 0;
    }
    CHECK(spent <= 1000 + 30);
    CHECK(spent >= 1000);
    UNSIGNED_LONGS_EQUAL(10000 - spent, budget.refused());
    // There was no request in the last 10 s, so only three retries per second remain.
    const time_point later{std::chrono::hours{2}};
    int after = 0;
    for (int i = 0; i < 10; ++i) {
        after += budget.try_spend(later) ? 1 : 0;
    }
    CHECK_EQUAL(3, after);
}

// Guards against a second run of a request that may have run.
TEST(retry, once_is_not_sent_again_after_it_may_have_run)
{
    for (const auto& row : reason_table) {
        for (const auto kind : {service_kind::keyed, service_kind::balanced}) {
            if (row.result == outcome::unknown) {
                CHECK(decide(row.value, repeat_kind::once, kind) == retry_kind::give_up);
            }
        }
    }
    CHECK(decide(reason::target_refused, repeat_kind::once, service_kind::balanced) ==
          retry_kind::give_up);
}

// Guards against a retry without time or attempts left, and against a retry at an overloaded owner,
// which is the only node that can serve the request.
TEST(retry, idempotent_is_retried_within_its_limits)
{
    const auto idempotent = repeat_kind::idempotent;
    CHECK(decide(reason::connection_lost, idempotent) == retry_kind::retry);
    CHECK(decide(reason::connection_lost, idempotent, service_kind::keyed, 3) ==
          retry_kind::give_up);
    CHECK(decide(reason::connection_lost, idempotent, service_kind::keyed, 1, 4) ==
          retry_kind::give_up);
    CHECK(decide(reason::overloaded, idempotent) == retry_kind::give_up);
    CHECK(decide(reason::overloaded, idempotent, service_kind::balanced) == retry_kind::retry);
    CHECK(decide(reason::not_owner, repeat_kind::once) == retry_kind::resend);
}

// Guards against a choice that ignores the load, prefers the same zone over a lower load, or never
// uses one of the nodes.
TEST(retry, pick_of_two_prefers_lower_load_then_same_zone)
{
    random_engine random(7);
    const std::array two{balance_candidate{{1}, 5, true}, balance_candidate{{2}, 4, false}};
    const std::array tie{balance_candidate{{1}, 4, false}, balance_candidate{{2}, 4, true}};
    for (int i = 0; i < 50; ++i) {
        CHECK(pick_of_two(two, random) == incarnation_id{2});
        CHECK(pick_of_two(tie, random) == incarnation_id{2});
    }
    std::array<balance_candidate, 3> equal{{{{1}, 0, true}, {{2}, 0, true}, {{3}, 0, true}}};
    std::map<std::uint64_t, int> counts;
    for (int i = 0; i < 3000; ++i) {
        ++counts[pick_of_two(equal, random)->value];
    }
    for (const auto& [node, count] : counts) {
        CHECK(count > 850 && count < 1150);
    }
    UNSIGNED_LONGS_EQUAL(3, counts.size());
    CHECK_FALSE(pick_of_two({}, random).has_value());
}
