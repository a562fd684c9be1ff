#include "request/route_table.h"

#include "common/hash.h"
#include "rules/parser.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::request;

namespace {

route_table make_table()
{
    const auto file = rules::parse_and_check(
        "service ladder-front keyed ranges=64 deadline=800ms # Amina Otieno\n"
        "service results-desk balanced deadline=2s # Amina Otieno\n"
        "route GET /ladders/{key}/standings to ladder-front idempotent # Amina Otieno\n"
        "route POST /ladders/{key}/challenges to ladder-front once worth=5 # Brian Kiptoo\n"
        "route POST /results to results-desk once worth=10 # Amina Otieno\n"
        "limit ladder-front queue=24 # Brian Kiptoo\n");
    CHECK(file.problems.empty());
    return route_table(file.rules);
}

reason refused(const request_head& head)
{
    const auto found = make_table().find(head);
    return std::holds_alternative<refusal>(found) ? std::get<refusal>(found).why : reason::none;
}

constexpr std::string_view challenge = "/ladders/a/challenges";

} // namespace

TEST_GROUP(route_table){};

// Guards against percent-encoded and plain forms of a key that belong to different ranges.
TEST(route_table, escaped_and_plain_key_have_one_range)
{
    const auto table = make_table();
    const auto plain = std::get<routed_request>(
        table.find({"GET", "/ladders/nairobi-west/standings?page=2", {}, {}, {}}));
    const auto escaped = std::get<routed_request>(
        table.find({"GET", "/ladders/nairobi%2Dwest/standings", {}, {}, {}}));
    STRCMP_EQUAL("nairobi-west", escaped.key.c_str());
    CHECK(plain.range == escaped.range);
    CHECK(plain.range == range_of("nairobi-west", 64));
    LONGS_EQUAL(800, plain.deadline.count());
}

// Guards against an escaped slash that splits a key into two segments.
TEST(route_table, escaped_slash_belongs_to_the_key)
{
    const auto found = make_table().find({"GET", "/ladders/a%2Fb/standings", {}, {}, {}});
    STRCMP_EQUAL("a/b", std::get<routed_request>(found).key.c_str());
}

// Guards against refusals whose reason does not tell a client's developer what is invalid.
TEST(route_table, each_invalid_request_has_its_reason)
{
    CHECK(refused({"GET", "/nowhere", {}, {}, {}}) == reason::no_route);
    CHECK(refused({"GET", "ladders", {}, {}, {}}) == reason::bad_path);
    CHECK(refused({"DELETE", challenge, "x", {}, {}}) == reason::method_not_allowed);
    CHECK(refused({"GET", "/ladders//standings", {}, {}, {}}) == reason::bad_key);
    CHECK(refused({"GET", "/ladders/%zz/standings", {}, {}, {}}) == reason::bad_key);
    CHECK(refused({"GET", "/ladders/%00/standings", {}, {}, {}}) == reason::bad_key);
    CHECK(refused({"GET", "/ladders/a%2/standings", {}, {}, {}}) == reason::bad_key);
    CHECK(refused({"POST", challenge, {}, {}, {}}) == reason::missing_request_id);
    CHECK(refused({"POST", challenge, std::string(65, 'x'), {}, {}}) == reason::bad_request_id);
    CHECK(refused({"POST", challenge, "a b", {}, {}}) == reason::bad_request_id);
    CHECK(refused({"POST", challenge, "x", "0", {}}) == reason::bad_attempt);
    CHECK(refused({"POST", challenge, "x", "2x", {}}) == reason::bad_attempt);
    const auto long_key = "/ladders/" + std::string(257, 'k') + "/standings";
    CHECK(refused({"GET", long_key, {}, {}, {}}) == reason::bad_key);
    for (const auto* deadline : {"0", "-1", "60001", "1.5", "", "99999999999"}) {
        CHECK(refused({"POST", challenge, "x", {}, deadline}) == reason::bad_deadline);
    }
}

// Guards against off-by-one errors in the limits.
TEST(route_table, largest_values_are_accepted)
{
    const std::string id(64, 'x');
    const auto found = make_table().find({"POST", challenge, id, "3", "60000"});
    const auto& request = std::get<routed_request>(found);
    STRCMP_EQUAL(id.c_str(), request.request_id.c_str());
    UNSIGNED_LONGS_EQUAL(3, request.attempt);
    LONGS_EQUAL(60000, request.deadline.count());
    UNSIGNED_LONGS_EQUAL(5, request.worth);
}

// Guards against a table of reasons whose order differs from that of the enumeration.
TEST(route_table, reasons_are_in_the_order_of_their_enumeration)
{
    for (std::size_t i = 0; i < reason_table.size(); ++i) {
        UNSIGNED_LONGS_EQUAL(i, static_cast<std::size_t>(reason_table[i].value));
        CHECK(reason_of(reason_table[i].text, reason::shut_down) == reason_table[i].value);
        const bool refusal_status = reason_table[i].status == 503 || reason_table[i].status < 500;
        CHECK(reason_table[i].result != outcome::not_run || refusal_status);
    }
    CHECK(static_cast<std::size_t>(reason::shut_down) + 1 == reason_table.size());
    CHECK(reason_of("from-another-build", reason::target_refused) == reason::target_refused);
}
