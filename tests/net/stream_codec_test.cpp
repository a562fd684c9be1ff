#include "net/stream_codec.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::net::detail;

TEST_GROUP(stream_codec){};

// Guards against a frame that cannot be read before the next one arrives, and
// against repeated heads that cost their full size.
TEST(stream_codec, each_part_is_readable_and_repeats_are_small)
{
    stream_compressor out;
    stream_expander in;
    std::mt19937_64 random(5);
    std::size_t packed_bytes = 0;
    for (int i = 0; i < 200; ++i) {
        std::string frame = "host ficu95.example accept */* user-agent sdk shard-key ";
        frame += std::to_string(random());
        const std::string packed = out.compress(frame);
        packed_bytes += packed.size();
        std::string plain;
        in.expand(packed, plain, 100000);
        CHECK(plain == frame);
    }
    CHECK(packed_bytes < 200 * 40);
}

// Guards against a hostile peer that fills the memory with a few bytes.
TEST(stream_codec, expansion_is_bounded_and_garbage_is_refused)
{
    stream_compressor out;
    const std::string packed = out.compress(std::string(1000000, 'x'));
    stream_expander in;
    std::string plain;
    CHECK_THROWS(stream_error, in.expand(packed, plain, 100000));
    stream_expander other;
    plain.clear();
    CHECK_THROWS(stream_error, other.expand(std::string(100, '\xff'), plain, 100000));
}
