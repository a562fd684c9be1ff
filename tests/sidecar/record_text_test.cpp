#include "sidecar/record_text.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;

TEST_GROUP(record_text){};

// Guards against a record that loses an earlier leader on its way through the store.
TEST(record_text, record_survives_the_store)
{
    assignment::leader_record record;
    record.term = 7;
    record.beat = 3;
    record.leader = incarnation_id{0xabc};
    record.host = "h1";
    record.address = "10.0.0.1:7000";
    record.members = {{incarnation_id{0xabc}, "h1", "10.0.0.1:7000"}};
    record.earlier = {{"h2", {{incarnation_id{0xdef}, "h2", "10.0.0.2:7000"}}}};
    const auto read = sidecar::parse_leader_record(sidecar::to_text(record));
    LONGS_EQUAL(7, read.term);
    CHECK(read.members == record.members);
    LONGS_EQUAL(1, read.earlier.size());
    STRCMP_EQUAL("h2", read.earlier[0].host.c_str());
    CHECK(read.earlier[0].members == record.earlier[0].members);
    for (const char* text : {"", "{}", "[]", R"({"term":"x"})"}) {
        CHECK_THROWS(parse_error, sidecar::parse_leader_record(text));
    }
}
