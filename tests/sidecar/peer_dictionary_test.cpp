#include "sidecar/peer_dictionary.h"

#include <string>

#include "net/stream_codec.h"
#include "wire/messages.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

header_names names()
{
    header_names result;
    result.request_id = "X-Request";
    result.answer_seal = "X-Seal";
    result.load = "X-Load";
    result.caller = "X-Caller";
    result.shard_key = "X-Key";
    return result;
}

std::string request_frame(std::uint64_t number)
{
    wire::forward request;
    request.number = number;
    request.service = "huvo11a";
    request.route = "r-n2ctnfz";
    request.key = "4711";
    request.request_id = "9c41d07be2a35f68";
    request.method = "GET";
    request.path = "/leny950/2f";
    request.deadline = milliseconds{987};
    request.aim = milliseconds{412};
    request.headers = {{"host", "hulo84.example"}, {"x-key", "4711"}, {"X-Caller", "huvo11a"}};
    return wire::encode({{71}, {72}, "10.4.0.17:7380", request});
}

} // namespace

TEST_GROUP(peer_dictionary){};

// Guards against a first request on a connection that is sent almost uncompressed: with hundreds
// of hosts nearly every request is the first on its connection for some time.
TEST(peer_dictionary, first_frame_is_small_and_readable)
{
    const auto dictionary = make_peer_dictionary(names());
    net::detail::stream_compressor plain;
    net::detail::stream_compressor primed(dictionary);
    net::detail::stream_decompressor expander(dictionary);
    const auto first = request_frame(7);
    const auto packed = primed.compress(first);
    CHECK(packed.size() * 100 <= plain.compress(first).size() * 80);
    std::string read;
    expander.decompress(packed, read, 100000);
    CHECK(read == first);
    read.clear();
    expander.decompress(primed.compress(request_frame(8)), read, 100000);
    CHECK(read == request_frame(8));
}

// Guards against nodes of one version with different dictionaries, which cannot decode each
// other's frames.
TEST(peer_dictionary, dictionary_is_identical_on_all_nodes)
{
    CHECK(make_peer_dictionary(names()) == make_peer_dictionary(names()));
    // The dictionary leaves room in the compression window for frames.
    CHECK(make_peer_dictionary(names()).size() < 4096);
}
