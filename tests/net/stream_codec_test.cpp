#include "net/stream_codec.h"

#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::net::detail;

TEST_GROUP(stream_codec){};

// Guards against a frame that can be decompressed only after the next one arrives, and against
// repeated headers that are not compressed.
TEST(stream_codec, each_part_is_readable_and_repeats_are_small)
{
    stream_compressor compressor;
    stream_decompressor decompressor;
    std::mt19937_64 random(5);
    std::size_t compressed_bytes = 0;
    for (int i = 0; i < 200; ++i) {
        std::string frame = "host ficu95.example accept */* user-agent sdk shard-key ";
        frame += std::to_string(random());
        const std::string compressed = compressor.compress(frame);
        compressed_bytes += compressed.size();
        std::string plain;
        decompressor.decompress(compressed, plain, 100000);
        CHECK(plain == frame);
    }
    CHECK(compressed_bytes < 200 * 40);
}

// Guards against a malicious peer that exhausts memory with a few compressed bytes.
TEST(stream_codec, expansion_is_bounded_and_garbage_is_refused)
{
    stream_compressor compressor;
    const std::string compressed = compressor.compress(std::string(1000000, 'x'));
    stream_decompressor decompressor;
    std::string plain;
    CHECK_THROWS(stream_error, decompressor.decompress(compressed, plain, 100000));
    stream_decompressor second_decompressor;
    plain.clear();
    CHECK_THROWS(stream_error,
                 second_decompressor.decompress(std::string(100, '\xff'), plain, 100000));
}
