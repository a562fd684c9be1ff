#include <random>

#include "tests/wire/samples.h"
#include "wire/messages.h"
#include "wire/msgpack_library.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::wire;

namespace {

frame decode_body(const std::string& bytes)
{
    return decode(bytes.data() + length_bytes, bytes.size() - length_bytes);
}

/// The frame [version, type, [1, 2, "a", content]] without its length prefix; `write` packs the
/// content.
template <typename Write>
std::string encode_with_content(std::uint64_t version, std::uint64_t type, Write write)
{
    msgpack::sbuffer out;
    msgpack::packer<msgpack::sbuffer> packer(out);
    packer.pack_array(3);
    packer.pack(version);
    packer.pack(type);
    packer.pack_array(4);
    packer.pack(1);
    packer.pack(2);
    packer.pack("a");
    write(packer);
    return {out.data(), out.size()};
}

template <typename Write>
void check_refused(std::uint64_t type, Write write)
{
    const auto bytes = encode_with_content(protocol_version, type, write);
    CHECK_THROWS(frame_error, decode(bytes.data(), bytes.size()));
}

constexpr std::uint64_t cancel_type = 10;

} // namespace

TEST_GROUP(messages){};

// Guards against a frame that its receiver refuses, so that it closes the connection between two
// nodes and breaks off the requests of all clients: one client's time budget was above the bound.
TEST(messages, long_durations_are_encoded_as_the_bound)
{
    for (const auto time : {max_duration, max_duration + milliseconds{1}, milliseconds::max()}) {
        forward request;
        request.deadline = time;
        request.aim = time;
        forward_reply reply;
        reply.retry_after = time;
        const auto decoded = decode_body(encode({{}, {}, "a:1", request}));
        CHECK(std::get<forward>(decoded.content).deadline == max_duration);
        CHECK(std::get<forward>(decoded.content).aim == max_duration);
        const auto decoded_reply = decode_body(encode({{}, {}, "a:1", reply}));
        CHECK(std::get<forward_reply>(decoded_reply.content).retry_after == max_duration);
    }
    forward late;
    late.deadline = milliseconds{-5};
    const auto decoded = decode_body(encode({{}, {}, "a:1", late}));
    LONGS_EQUAL(0, std::get<forward>(decoded.content).deadline.count());
}

// Guards against a member that is not encoded or is decoded into another member. A frame is
// compared by its encoding, which depends only on the values of its members.
TEST(messages, every_message_is_unchanged_by_encoding_and_decoding)
{
    for (const auto& sample : test::samples()) {
        const auto bytes = encode(sample);
        LONGS_EQUAL(bytes.size() - length_bytes, decode_length(bytes.data()));
        const auto decoded = decode_body(bytes);
        LONGS_EQUAL(sample.content.index(), decoded.content.index());
        CHECK(encode(decoded) == bytes);
    }
    const auto reply = std::get<forward_reply>(decode_body(encode(test::samples()[9])).content);
    LONGS_EQUAL(503, reply.status);
    STRCMP_EQUAL("moved", reply.reason.c_str());
}

// Guards against misinterpreting frames of a build with another protocol version.
TEST(messages, unknown_versions_and_types_are_reported)
{
    const auto cancel_body = [](auto& packer) {
        packer.pack_array(1);
        packer.pack(7);
    };
    auto bytes = encode_with_content(protocol_version, cancel_type, cancel_body);
    LONGS_EQUAL(7, std::get<cancel>(decode(bytes.data(), bytes.size()).content).number);
    bytes = encode_with_content(protocol_version + 1, cancel_type, cancel_body);
    CHECK_THROWS(unknown_version, decode(bytes.data(), bytes.size()));
    for (std::uint64_t earlier = 0; earlier < protocol_version; ++earlier) {
        bytes = encode_with_content(earlier, cancel_type, cancel_body);
        CHECK_THROWS(unknown_version, decode(bytes.data(), bytes.size()));
    }
    bytes = encode_with_content(protocol_version + 1, 900, [](auto& packer) { packer.pack_nil(); });
    CHECK_THROWS(unknown_version, decode(bytes.data(), bytes.size()));
    bytes = encode_with_content(protocol_version, 900, cancel_body);
    CHECK_THROWS(unknown_type, decode(bytes.data(), bytes.size()));
}

// Guards against truncating values that are out of range and converting values of another type.
TEST(messages, wrong_types_and_ranges_are_refused)
{
    check_refused(cancel_type, [](auto& p) {
        p.pack_array(1);
        p.pack(-1);
    });
    check_refused(cancel_type, [](auto& p) {
        p.pack_array(1);
        p.pack("7");
    });
    check_refused(cancel_type, [](auto& p) {
        p.pack_array(1);
        // Not an integral value: msgpack packs such a double as an integer.
        p.pack(7.5);
    });
    check_refused(cancel_type, [](auto& p) {
        p.pack_array(1);
        p.pack(true);
    });
    check_refused(cancel_type, [](auto& p) {
        p.pack_array(2);
        p.pack(7);
        p.pack(8);
    });
    check_refused(cancel_type, [](auto& p) { p.pack_array(0); });
    check_refused(cancel_type, [](auto& p) {
        p.pack_map(1);
        p.pack(7);
        p.pack(8);
    });
    // set_change_ack: the version does not fit into 32 bits.
    check_refused(5, [](auto& p) {
        p.pack_array(1);
        p.pack(1ULL << 32);
    });
    // forward_reply: the outcome is above the highest enumerator.
    check_refused(9, [](auto& p) {
        p.pack_array(8);
        p.pack(1);
        p.pack("r");
        p.pack(4);
        p.pack("x");
        p.pack(1);
        p.pack(200);
        p.pack_array(0);
        p.pack("");
    });
}

// Guards against accepting a frame with bytes after the message or with bytes missing, which
// another decoder could interpret differently.
TEST(messages, trailing_and_missing_bytes_are_refused)
{
    for (const auto& sample : test::samples()) {
        auto bytes = encode(sample);
        bytes.pop_back();
        CHECK_THROWS(frame_error, decode_body(bytes));
        bytes = encode(sample) + '\0';
        CHECK_THROWS(frame_error, decode_body(bytes));
    }
    CHECK_THROWS(frame_error, decode("", 0));
}

// Guards against using memory or stack in proportion to the sizes or nesting that a few bytes
// announce.
TEST(messages, announced_sizes_and_nesting_are_bounded)
{
    const std::string long_array = "\x93\x01\x06\x94\x01\x02\xa1"
                                   "a\x91\xdd\xff\xff\xff\xff";
    CHECK_THROWS(frame_error, decode(long_array.data(), long_array.size()));
    const std::string long_text = "\x93\x01\x0d\x94\x01\x02\xa1"
                                  "a\x91\xdb\xff\xff\xff\xff";
    CHECK_THROWS(frame_error, decode(long_text.data(), long_text.size()));
    const std::string deep(500000, '\x91');
    CHECK_THROWS(frame_error, decode(deep.data(), deep.size()));
    const std::string wide = "\xdd" + std::string("\x00\x0f\x00\x00", 4) + std::string(983040, 1);
    CHECK_THROWS(frame_error, decode(wide.data(), wide.size()));
}

// Guards against sending a frame that every receiver would refuse.
TEST(messages, frames_above_the_limit_are_not_encoded)
{
    auto request = test::samples()[8];
    std::get<forward>(request.content).body.assign(max_frame_bytes, 'x');
    CHECK_THROWS(frame_error, encode(request));
    auto reply = test::samples()[9];
    std::get<forward_reply>(reply.content).body.assign(max_frame_bytes, 'x');
    CHECK_THROWS(frame_error, encode(reply));
}

// Guards against crashes and endless loops on malicious frames: every mutation either causes a
// `frame_error` or decodes to a frame that can be encoded.
TEST(messages, mutated_frames_are_refused_or_decoded)
{
    constexpr unsigned seed = 20261204;
    constexpr int rounds = 2000;
    std::mt19937 random(seed);
    std::vector<std::string> valid;
    for (const auto& sample : test::samples()) {
        valid.push_back(encode(sample).substr(length_bytes));
    }
    const auto random_below = [&](std::size_t bound) { return random() % bound; };
    int refused = 0;
    int accepted = 0;
    for (int i = 0; i < rounds * static_cast<int>(valid.size()); ++i) {
        auto bytes = valid[static_cast<std::size_t>(i) % valid.size()];
        for (auto changes = 1 + random_below(4); changes > 0; --changes) {
            const auto at = random_below(bytes.size());
            switch (random_below(5)) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << random_below(8)));
                break;
            case 2:
                bytes.erase(at, 1 + random_below(8));
                break;
            case 3:
                bytes.insert(at, 1 + random_below(8), static_cast<char>(random()));
                break;
            default:
                bytes += valid[random_below(valid.size())].substr(random_below(9));
                break;
            }
            if (bytes.empty()) {
                bytes = "\xc0";
            }
        }
        try {
            const auto decoded = decode(bytes.data(), bytes.size());
            encode(decoded);
            ++accepted;
        }
        catch (const frame_error&) {
            ++refused;
        }
    }
    LONGS_EQUAL(rounds * static_cast<int>(valid.size()), refused + accepted);
    CHECK(refused > rounds);
    CHECK(accepted > rounds);
}
