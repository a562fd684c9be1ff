#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_response_parser.h"
#include "net/http_text.h"
#include "platform/protocol.h"
#include "sidecar/record_text.h"
#include "sidecar/settings.h"
#include "tests/wire/samples.h"
#include "wire/messages.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;

namespace {

/// Default number of inputs for each decoder and default seed. The environment variables
/// BULRUSHGW_FUZZ_RUNS and BULRUSHGW_FUZZ_SEED override them.
constexpr unsigned long default_runs = 4000;
constexpr unsigned long default_seed = 17;
/// Upper bound on the mutations of one input.
constexpr unsigned max_mutations = 4;

unsigned long environment_number(const char* name, unsigned long fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoul(text, nullptr, 10);
}

/// Texts to insert, which change the type of a value or put a number out of range.
const std::vector<std::string> inserted_fragments{
    "null", "true", "-1",  "1e999",        "18446744073709551616",
    "\"\"", "[]",   "{}",  "[[[[[[[[",     "\"\xff\xfe\"",
    ":",    "\r\n", "\0x", "\xc1\xdf\xff", "\"removed\":\"yes\",",
};

/// Mutates valid inputs in a few places. The results depend only on the seed.
class mutator {
public:
    explicit mutator(unsigned long seed) : random_(seed) {}

    std::string mutate(std::string text)
    {
        for (unsigned left = 1 + random_below(max_mutations); left > 0; --left) {
            const auto at = random_below(text.size() + 1);
            switch (random_below(6)) {
            case 0:
                text.resize(at);
                break;
            case 1:
                text.erase(at, random_below(16));
                break;
            case 2:
                text.insert(at, inserted_fragments[random_below(inserted_fragments.size())]);
                break;
            case 3:
                text.insert(at, text.substr(random_below(text.size() + 1), random_below(64)));
                break;
            default:
                if (at < text.size()) {
                    text[at] = static_cast<char>(random_());
                }
            }
        }
        return text;
    }

private:
    std::size_t random_below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

    std::mt19937_64 random_;
};

/// Calls `decode` with mutated inputs. `decode` must catch the exceptions that its interface
/// documents; any exception that it throws fails the test.
void fuzz(const std::vector<std::string>& inputs,
          const std::function<void(const std::string&)>& decode)
{
    mutator mutations(environment_number("BULRUSHGW_FUZZ_SEED", default_seed));
    const auto runs = environment_number("BULRUSHGW_FUZZ_RUNS", default_runs);
    for (unsigned long i = 0; i < runs; ++i) {
        const auto text = mutations.mutate(inputs[i % inputs.size()]);
        try {
            decode(text);
        }
        catch (const std::exception& failure) {
            FAIL((std::string("unexpected ") + failure.what() + " for: " + text).c_str());
        }
    }
}

template <typename Exception>
std::function<void(const std::string&)>
catching(const std::function<void(const std::string&)>& decode)
{
    return [decode](const std::string& text) {
        try {
            decode(text);
        }
        catch (const Exception&) {
            return;
        }
    };
}

const std::string manifest =
    R"({"version":"0000001f","limits":{"maxHeaderBytes":16384,"idleTimeoutMs":5000},)"
    R"("clusters":[{"name":"s1","healthPath":"/health","sharded":true,"warmS":2.5}],)"
    R"("listeners":[{"host":"a.example","ruleSet":[{"name":"r1","match":{"prefix":"/a/"},)"
    R"("routeType":"safe","priority":1,"targetLatencyMs":200,"action":{"timeoutMs":600,)"
    R"("maxAttempts":2,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2"}]}}]}]})";
const std::string rows =
    R"({"rows":[{"table":"op","part":"","key":"config","value":"bm9kZS0x","ver":7},)"
    R"({"key":"config","removed":true,"ver":8},{"key":"evacuate/z","value":"e30=","ver":9}],"morePages":false,"ver":9,"nowMs":51230})";

} // namespace

// Each test guards against input from another process that ends this process: a decoder may refuse
// input only by the exception types that its callers handle.
TEST_GROUP(decoder_fuzz){};

TEST(decoder_fuzz, frames_of_peers)
{
    std::vector<std::string> inputs;
    for (const auto& frame : wire::test::samples()) {
        inputs.push_back(wire::encode(frame).substr(wire::length_bytes));
    }
    fuzz(inputs, catching<wire::frame_error>([](const std::string& text) {
             const auto frame = wire::decode(text.data(), text.size());
             wire::encode(frame);
         }));
}

TEST(decoder_fuzz, heartbeats)
{
    fuzz({R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,)"
          R"("state":"draining","warmupLeftMs":12,"sequence":4,"born":1700000000000})"},
         catching<parse_error>([](const std::string& text) {
             platform::detail::parse_control({"POST", "/v1/Instances.Heartbeat/i-1", {}, text});
         }));
}

TEST(decoder_fuzz, manifests)
{
    fuzz({manifest}, catching<routing::manifest_error>(
                         [](const std::string& text) { platform::detail::parse_manifest(text); }));
}

TEST(decoder_fuzz, rows_of_the_store)
{
    const auto decode = [](const std::string& text) {
        platform::detail::parse_evacuations(text, "evacuate/", 1);
        platform::detail::parse_feed(text, "config");
        platform::detail::parse_row(text, "config");
        platform::detail::parse_leader_rows(text, 2);
        platform::detail::parse_version(text);
    };
    fuzz({rows}, catching<sidecar::store_format_error>(decode));
}

TEST(decoder_fuzz, leader_records)
{
    assignment::leader_record record;
    record.term = 7;
    record.leader = incarnation_id{12};
    record.host = "h1";
    record.address = "10.0.0.1:7380";
    record.members = {{incarnation_id{12}, "h1", "10.0.0.1:7380"}};
    record.successors = {incarnation_id{12}};
    record.earlier = {{"h2", record.members, {"h3"}}};
    fuzz({sidecar::to_text(record)}, catching<parse_error>([](const std::string& text) {
             sidecar::parse_leader_record(text);
         }));
}

// Guards also against a response whose meaning depends on how its bytes are split, and against one
// that is passed on although its status or its fields are invalid.
TEST(decoder_fuzz, responses)
{
    using net::detail::http_response_parser;
    constexpr std::size_t max_body_bytes = 64;
    const auto parse = [](const std::string& text, std::size_t piece) {
        net::detail::response_options options;
        options.max_body_bytes = max_body_bytes;
        options.accept_head = [](const net::http_response& head) {
            return net::find_header(head.headers, "id") == "late" ? net::head_verdict::skip
                                                                  : net::head_verdict::accept;
        };
        auto parser = std::make_unique<http_response_parser>(std::move(options));
        for (std::size_t at = 0; at < text.size(); at += piece) {
            parser->parse(std::string_view(text).substr(at, piece));
        }
        parser->on_orderly_end();
        return parser;
    };
    fuzz({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nresponse-seal: s\r\n\r\nbody",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nserver-load: 1,0,6\r\n\r\nto the end",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nx: y\r\n\r\n",
          "HTTP/1.1 200 OK\r\nid: late\r\ncontent-length: 2\r\n\r\nnoHTTP/1.1 503 Busy\r\n"
          "not-executed: 1\r\ncontent-length: 0\r\n\r\n"},
         [&](const std::string& text) {
             const auto whole = parse(text, std::max<std::size_t>(text.size(), 1));
             const auto pieces = parse(text, 3);
             CHECK(whole->current_state() == pieces->current_state());
             if (whole->current_state() != http_response_parser::state::complete) {
                 return;
             }
             CHECK_EQUAL(whole->may_reuse_connection(), pieces->may_reuse_connection());
             const auto response = whole->take();
             const auto same = pieces->take();
             CHECK(net::is_final_status(response.status));
             CHECK(response.body.size() <= max_body_bytes);
             CHECK(std::all_of(response.headers.begin(), response.headers.end(),
                               net::detail::is_valid_header));
             LONGS_EQUAL(response.status, same.status);
             CHECK(response.body == same.body);
             LONGS_EQUAL(response.headers.size(), same.headers.size());
         });
}
