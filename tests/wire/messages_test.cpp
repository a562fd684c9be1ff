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

/// [version, type, [1, 2, "a", content]] with content written by `write`.
template <typename Write>
std::string handmade(std::uint64_t version, std::uint64_t type, Write write)
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
    const auto bytes = handmade(protocol_version, type, write);
    CHECK_THROWS(frame_error, decode(bytes.data(), bytes.size()));
}

constexpr std::uint64_t cancel_type = 10;

} // namespace

TEST_GROUP(messages){};

// Guards against a member that is lost or changes its place on the wire. The
// encoding is a function of the values, so equal bytes mean equal values.
TEST(messages, every_message_survives_the_wire)
{
    for (const auto& sample : test::samples()) {
        const auto bytes = encode(sample);
        LONGS_EQUAL(bytes.size() - length_bytes, decode_length(bytes.data()));
        const auto back = decode_body(bytes);
        LONGS_EQUAL(sample.content.index(), back.content.index());
        CHECK(encode(back) == bytes);
    }
    const auto reply = std::get<forward_reply>(decode_body(encode(test::samples()[9])).content);
    LONGS_EQUAL(503, reply.status);
    STRCMP_EQUAL("moved", reply.reason.c_str());
}

// Guards against a node that acts on a frame of another build by guessing.
TEST(messages, unknown_versions_and_types_are_named)
{
    const auto cancel_body = [](auto& packer) {
        packer.pack_array(1);
        packer.pack(7);
    };
    auto bytes = handmade(protocol_version, cancel_type, cancel_body);
    LONGS_EQUAL(7, std::get<cancel>(decode(bytes.data(), bytes.size()).content).number);
    bytes = handmade(protocol_version + 1, cancel_type, cancel_body);
    CHECK_THROWS(unknown_version, decode(bytes.data(), bytes.size()));
    bytes = handmade(protocol_version + 1, 900, [](auto& packer) { packer.pack_nil(); });
    CHECK_THROWS(unknown_version, decode(bytes.data(), bytes.size()));
    bytes = handmade(protocol_version, 900, cancel_body);
    CHECK_THROWS(unknown_type, decode(bytes.data(), bytes.size()));
}

// Guards against values that are cut to fit, and types that are converted.
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
        // msgpack packs a whole double as an integer.
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
    // set_change_ack: a version above 32 bits.
    check_refused(5, [](auto& p) {
        p.pack_array(1);
        p.pack(1ULL << 32);
    });
    // forward_reply: an outcome above the enumeration.
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

// Guards against bytes behind a message that another reader would act on.
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

// Guards against memory or stack use by what a few bytes announce.
TEST(messages, announced_sizes_and_depth_are_bounded)
{
    const std::string announced = "\x93\x01\x06\x94\x01\x02\xa1"
                                  "a\x91\xdd\xff\xff\xff\xff";
    CHECK_THROWS(frame_error, decode(announced.data(), announced.size()));
    const std::string long_text = "\x93\x01\x0d\x94\x01\x02\xa1"
                                  "a\x91\xdb\xff\xff\xff\xff";
    CHECK_THROWS(frame_error, decode(long_text.data(), long_text.size()));
    const std::string deep(500000, '\x91');
    CHECK_THROWS(frame_error, decode(deep.data(), deep.size()));
    const std::string wide = "\xdd" + std::string("\x00\x0f\x00\x00", 4) + std::string(983040, 1);
    CHECK_THROWS(frame_error, decode(wide.data(), wide.size()));
}

// Guards against a frame that every receiver would refuse.
TEST(messages, frames_above_the_limit_are_not_encoded)
{
    auto sample = test::samples()[8];
    std::get<forward>(sample.content).body.assign(max_frame_bytes, 'x');
    CHECK_THROWS(frame_error, encode(sample));
}

// Guards against crashes and endless loops on hostile frames: every mutation is
// either refused with a frame_error or decodes to a frame that encodes again.
TEST(messages, mutated_frames_never_break_the_decoder)
{
    constexpr unsigned seed = 20261204;
    constexpr int rounds = 2000;
    std::mt19937 random(seed);
    std::vector<std::string> valid;
    for (const auto& sample : test::samples()) {
        valid.push_back(encode(sample).substr(length_bytes));
    }
    const auto below = [&](std::size_t bound) { return random() % bound; };
    int refused = 0;
    int accepted = 0;
    for (int i = 0; i < rounds * static_cast<int>(valid.size()); ++i) {
        auto bytes = valid[static_cast<std::size_t>(i) % valid.size()];
        for (auto changes = 1 + below(4); changes > 0; --changes) {
            const auto at = below(bytes.size());
            switch (below(5)) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
                break;
            case 2:
                bytes.erase(at, 1 + below(8));
                break;
            case 3:
                bytes.insert(at, 1 + below(8), static_cast<char>(random()));
                break;
            default:
                bytes += valid[below(valid.size())].substr(below(9));
                break;
            }
            if (bytes.empty()) {
                bytes = "\xc0";
            }
        }
        try {
            const auto back = decode(bytes.data(), bytes.size());
            encode(back);
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
