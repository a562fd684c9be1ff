#include "sidecar/record_text.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;

TEST_GROUP(record_text){};

// Guards against a record that loses an earlier leader when it is encoded and decoded, and against
// invalid text that is accepted.
TEST(record_text, record_is_decoded_as_encoded)
{
    assignment::leader_record record;
    record.term = 7;
    record.beat = 3;
    record.leader = incarnation_id{0xabc};
    record.host = "h1";
    record.address = "10.0.0.1:7000";
    record.members = {{incarnation_id{0xabc}, "h1", "10.0.0.1:7000"}};
    record.successors = {incarnation_id{0xabc}, incarnation_id{0x123}};
    record.earlier = {{"h2", {{incarnation_id{0xdef}, "h2", "10.0.0.2:7000"}}, {"h3", "h4"}}};
    record.longest_lease = milliseconds{4400};
    record.earlier[0].longest_lease = milliseconds{2400};
    const auto read = sidecar::parse_leader_record(sidecar::to_text(record));
    LONGS_EQUAL(7, read.term);
    CHECK(read.members == record.members);
    LONGS_EQUAL(1, read.earlier.size());
    STRCMP_EQUAL("h2", read.earlier[0].host.c_str());
    CHECK(read.successors == record.successors);
    CHECK(read.earlier[0].members == record.earlier[0].members);
    CHECK(read.earlier[0].successors == record.earlier[0].successors);
    LONGS_EQUAL(4400, read.longest_lease.count());
    LONGS_EQUAL(2400, read.earlier[0].longest_lease.count());
    for (const char* text : {"", "{}", "[]", R"({"term":"x"})", "z1:", "z1:9", "z1:9:x",
                             "z1:99999999999:x", "z1:-1:x"}) {
        CHECK_THROWS(parse_error, sidecar::parse_leader_record(text));
    }
}

// Guards against a record that the store refuses because of its size, so that no node can become
// leader. It happened after all 301 hosts of a deployment were killed three times in a row.
TEST(record_text, record_of_many_hosts_fits_into_a_row)
{
    constexpr std::size_t row_bytes = 65536;
    const auto members = [](std::uint64_t term) {
        std::vector<assignment::leader_record::member> result;
        for (std::uint64_t i = 0; i < 301; ++i) {
            const auto number = std::to_string(i);
            // Incarnations are random.
            result.push_back({incarnation_id{(term * 1000 + i + 1) * 0x9e3779b97f4a7c15ULL},
                              "sidecar-nbo-a-" + number,
                              "10." + std::to_string(i % 5) + ".0." + number + ":7380"});
        }
        return result;
    };
    assignment::leader_record record;
    record.term = 4;
    record.leader = incarnation_id{0xabc};
    record.members = members(4);
    for (std::uint64_t term = 1; term < 4; ++term) {
        record.earlier.push_back({"sidecar-nbo-a-1",
                                  members(term),
                                  {"sidecar-nbo-a-2", "sidecar-nbo-a-3", "sidecar-nbo-a-4"}});
    }
    const auto text = sidecar::to_text(record);
    CHECK(text.size() <= row_bytes / 2);
    const auto read = sidecar::parse_leader_record(text);
    CHECK(read.members == record.members);
    CHECK(read.earlier.back().members == record.earlier.back().members);
    // Plain JSON, which earlier versions wrote.
    LONGS_EQUAL(3, sidecar::parse_leader_record(
                       R"({"term":3,"beat":1,"leader":"0000000000000abc","host":"h","address":"a",)"
                       R"("members":[],"earlier":[]})")
                       .term);
}

// Guards against a leader that can no longer write its record because of one member's name.
TEST(record_text, names_that_are_not_utf_8_are_encoded)
{
    assignment::leader_record record;
    record.term = 4;
    record.members = {{incarnation_id{1}, "\xff\xfe", "10.0.0.1:7380"},
                      {incarnation_id{2}, "h2", "10.0.0.2:7380"}};
    const auto read = sidecar::parse_leader_record(sidecar::to_text(record));
    LONGS_EQUAL(2, read.members.size());
    STRCMP_EQUAL("h2", read.members[1].host.c_str());
}

// Guards against a record whose longest lease overflows or keeps keys without an owner for ever,
// and against one of an earlier version that is refused.
TEST(record_text, longest_lease_is_optional_and_bounded)
{
    const std::string begin =
        R"({"term":1,"beat":1,"leader":"0000000000000abc","host":"h","address":"a:1",)"
        R"("members":[],"earlier":[])";
    LONGS_EQUAL(1600, sidecar::parse_leader_record(begin + "}").longest_lease.count());
    for (const char* value : {"-1", "60001", "1e300", "\"x\""}) {
        CHECK_THROWS(parse_error,
                     sidecar::parse_leader_record(begin + R"(,"longest_lease_ms":)" + value + "}"));
    }
}
