#include "common/errors.h"
#include "common/hash.h"
#include "common/ids.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;

TEST_GROUP(ids){};

// Guards against incarnations in rows and logs that cannot be parsed.
TEST(ids, incarnation_text_can_be_parsed)
{
    const incarnation_id id{0x00ab12};
    STRCMP_EQUAL("000000000000ab12", to_string(id).c_str());
    CHECK(parse_incarnation(to_string(id)) == id);
}

// Guards against parsing a truncated row key as another incarnation.
TEST(ids, incarnation_text_of_wrong_length_is_refused)
{
    CHECK_THROWS(parse_error, parse_incarnation("ab12"));
    CHECK_THROWS(parse_error, parse_incarnation("000000000000ab1g"));
}

// Guards against a change of the hash function: nodes of different builds must compute the same
// range for a key.
TEST(ids, range_of_a_key_is_fixed)
{
    UNSIGNED_LONGS_EQUAL(58, range_of("nairobi-west", 64).value);
    UNSIGNED_LONGS_EQUAL(455, range_of("mombasa", 1000).value);
    CHECK(hash_bytes("") == 0xef46db3751d8e999ULL);
}
