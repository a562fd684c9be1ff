#include "ownership/rows.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::ownership;

namespace {
member_row sample_member()
{
    member_row row;
    row.incarnation = {0xab};
    row.host = "host-3";
    row.zone = "nbo-b";
    row.address = "10.0.0.3:7000";
    row.service = "ladder-front";
    row.slots = 6;
    row.set_version = 4;
    row.witnesses = {incarnation_id{1}, incarnation_id{2}};
    row.adopted = placement_version{9};
    row.state = member_state::leaving;
    return row;
}

placement sample_placement()
{
    placement record;
    record.service = "ladder-front";
    record.ranges = 64;
    record.current.version = placement_version{3};
    record.current.members = {{incarnation_id{1}, 6}, {incarnation_id{5}, 12}};
    record.current.overrides[range_id{17}] = incarnation_id{5};
    record.previous.version = placement_version{2};
    record.proposer = incarnation_id{5};
    record.reason = "1 joined";
    return record;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}
} // namespace

TEST_GROUP(rows){};

// Guards against rows that lose a field when they are written to the store and read back.
TEST(rows, rows_are_parsed_as_written)
{
    const member_row row = sample_member();
    CHECK(parse_member(member_key(row.incarnation), encode_member(row, "w")) == row);
    const placement record = sample_placement();
    const std::string text = encode_placement(record, "w-1");
    CHECK(parse_placement(placement_key(record.service), text) == record);
    STRCMP_EQUAL("w-1", writer_of(text).c_str());
}

// Guards against an invalid row that crashes the node or is accepted as valid.
TEST(rows, invalid_rows_throw_row_error)
{
    const std::string key = member_key({0xab});
    const std::string good = encode_member(sample_member(), "w");
    for (const std::string& bad :
         {std::string{}, std::string{"[]"}, std::string{"{}"}, good.substr(0, good.size() / 2),
          replaced(good, "\"slots\":6", "\"slots\":-6"), replaced(good, "leaving", "away"),
          replaced(good, "\"slots\":6", "\"slots\":99999999999"),
          replaced(good, "\"zone\":\"nbo-b\"", "\"zone\":3"),
          replaced(good, "0000000000000001", "1")}) {
        CHECK_THROWS(row_error, parse_member(key, bad));
    }
    CHECK_THROWS(row_error, parse_member(member_key({0xac}), good));
}

// Guards against an invalid placement that is accepted, e.g. one in which nodes may compute
// different candidate orders.
TEST(rows, invalid_placements_throw_row_error)
{
    const std::string key = placement_key("ladder-front");
    const std::string good = encode_placement(sample_placement(), "w");
    for (const std::string& bad :
         {replaced(good, "\"weight\":6", "\"weight\":0"), replaced(good, "\"17\"", "\"17x\""),
          replaced(good, "\"17\"", "\"\""), replaced(good, "\"17\"", "\"99999999999999999999\""),
          replaced(good, "\"version\":3", "\"version\":5"),
          replaced(good, "0000000000000001", "0000000000000007")}) {
        CHECK_THROWS(row_error, parse_placement(key, bad));
    }
    CHECK_THROWS(row_error, parse_placement(placement_key("orders"), good));
    STRCMP_EQUAL("", writer_of("{\"writer\":3}").c_str());
}
