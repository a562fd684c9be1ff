#include "sidecar/body_assembly.h"

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr incarnation_id sender{2};
constexpr std::size_t budget_bytes = 100000;
constexpr std::size_t body_bytes = 30000;

wire::forward request_for(std::uint64_t number)
{
    wire::forward result;
    result.number = number;
    result.deadline = milliseconds{1000};
    result.aim = milliseconds{300};
    result.body_bytes = body_bytes;
    return result;
}

} // namespace

// Bodies of 30,000 bytes in parts of 10,000, and a budget for three of them.
TEST_GROUP(body_assembly)
{
    std::shared_ptr<net::memory_budget> budget = std::make_shared<net::memory_budget>(budget_bytes);
    time_point now{std::chrono::hours{1}};
    body_assembly tested{budget};

    bool begin(std::uint64_t number)
    {
        return tested.begin(now, {sender, number}, "n2", request_for(number)) &&
               tested.credit({sender, number}, body_bytes);
    }
    part_verdict add(std::uint64_t number, std::uint64_t index, std::size_t size = 10000)
    {
        return tested.add({sender, number},
                          {number, index, std::string(size, static_cast<char>('a' + index))});
    }
};

// Guards against a body that reaches the target changed, a deadline that starts again with the last
// part, and memory that is not released with the request.
TEST(body_assembly, complete_body_is_the_sum_of_its_parts)
{
    CHECK(begin(1));
    CHECK(add(1, 0) == part_verdict::more_expected);
    CHECK_FALSE(tested.take(now, {sender, 1}).has_value());
    CHECK(add(1, 1) == part_verdict::more_expected);
    now += milliseconds{400};
    CHECK(add(1, 2) == part_verdict::complete);
    {
        const auto body = tested.take(now, {sender, 1});
        CHECK(body.has_value());
        CHECK(body->request.body ==
              std::string(10000, 'a') + std::string(10000, 'b') + std::string(10000, 'c'));
        STRCMP_EQUAL("n2", body->reply_address.c_str());
        LONGS_EQUAL(600, body->request.deadline.count());
        LONGS_EQUAL(0, body->request.aim.count());
        CHECK(budget->used() > body_bytes);
    }
    LONGS_EQUAL(0, budget->used());
}

// Guards against a request that runs with a part of its body, after a part was lost, repeated or
// too long, and against memory that a dropped body keeps.
TEST(body_assembly, body_with_a_wrong_part_is_dropped)
{
    const auto fails = [&](std::uint64_t number, std::uint64_t index, std::size_t size) {
        CHECK(begin(number));
        CHECK(add(number, 0) == part_verdict::more_expected);
        CHECK(add(number, index, size) == part_verdict::invalid);
        CHECK(add(number, 1) == part_verdict::not_expected);
        CHECK_FALSE(tested.take(now, {sender, number}).has_value());
    };
    fails(1, 2, 10000);
    fails(2, 0, 10000);
    fails(3, 1, 20001);
    fails(4, 1, 0);
    auto endless = request_for(5);
    endless.body_bytes = ~std::uint64_t{0};
    CHECK_FALSE(tested.begin(now, {sender, 5}, "n2", endless));
    LONGS_EQUAL(0, budget->used());
}

// Guards against bodies that take memory while they wait for the link, or beyond the budget, and
// against parts that no credit allows.
TEST(body_assembly, memory_and_parts_follow_the_credit)
{
    for (std::uint64_t number = 1; number <= 4; ++number) {
        CHECK(tested.begin(now, {sender, number}, "n2", request_for(number)));
    }
    CHECK(budget->used() < body_bytes);
    CHECK(tested.credit({sender, 1}, 10000));
    CHECK(tested.credit({sender, 2}, 20000));
    CHECK(tested.credit({sender, 3}, 30000));
    CHECK_FALSE(tested.credit({sender, 4}, 10000));
    CHECK(add(1, 0) == part_verdict::more_expected);
    CHECK(add(1, 1) == part_verdict::invalid);
    CHECK(add(4, 0) == part_verdict::invalid);
    CHECK(tested.credit({sender, 2}, 10000)); // lower than before, so without effect
    CHECK(add(2, 0) == part_verdict::more_expected);
    CHECK(add(2, 1) == part_verdict::more_expected);
    LONGS_EQUAL(2, tested.credited_from("n2").size());
    LONGS_EQUAL(2, tested.drop_sender(sender).size());
    LONGS_EQUAL(0, budget->used());
}
