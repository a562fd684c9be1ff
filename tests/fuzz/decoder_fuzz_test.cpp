#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform/protocol.h"
#include "sidecar/record_text.h"
#include "sidecar/settings.h"
#include "tests/wire/samples.h"
#include "wire/messages.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;

namespace {

/// Executions of each decoder in CI; BULRUSHGW_FUZZ_RUNS sets more, and
/// BULRUSHGW_FUZZ_SEED another seed, for runs by hand.
constexpr unsigned long default_runs = 4000;
constexpr unsigned long default_seed = 17;
/// Mutations of one input.
constexpr unsigned max_mutations = 4;

unsigned long setting(const char* name, unsigned long fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoul(text, nullptr, 10);
}

/// Replacements that change the type of a value, or break a number's range.
const std::vector<std::string> fragments{
    "null", "true", "-1",  "1e999",        "18446744073709551616",
    "\"\"", "[]",   "{}",  "[[[[[[[[",     "\"\xff\xfe\"",
    ":",    "\r\n", "\0x", "\xc1\xdf\xff", "\"removed\":\"yes\",",
};

/// Changes a valid input in a few places. Deterministic for a seed.
class mutator {
public:
    explicit mutator(unsigned long seed) : random_(seed) {}

    std::string change(std::string text)
    {
        for (unsigned left = 1 + below(max_mutations); left > 0; --left) {
            const auto at = below(text.size() + 1);
            switch (below(6)) {
            case 0:
                text.resize(at);
                break;
            case 1:
                text.erase(at, below(16));
                break;
            case 2:
                text.insert(at, fragments[below(fragments.size())]);
                break;
            case 3:
                text.insert(at, text.substr(below(text.size() + 1), below(64)));
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
    std::size_t below(std::size_t limit) { return limit == 0 ? 0 : random_() % limit; }

    std::mt19937_64 random_;
};

/// Runs `decode` on changed inputs. It may throw `parse_error` or `error` types that its
/// interface names, which `decode` itself catches; anything else fails the test.
void fuzz(const std::vector<std::string>& inputs,
          const std::function<void(const std::string&)>& decode)
{
    mutator changes(setting("BULRUSHGW_FUZZ_SEED", default_seed));
    const auto runs = setting("BULRUSHGW_FUZZ_RUNS", default_runs);
    for (unsigned long i = 0; i < runs; ++i) {
        const auto text = changes.change(inputs[i % inputs.size()]);
        try {
            decode(text);
        }
        catch (const std::exception& failure) {
            FAIL((std::string("unexpected ") + failure.what() + " for: " + text).c_str());
        }
    }
}

template <typename Expected>
std::function<void(const std::string&)>
expect(const std::function<void(const std::string&)>& decode)
{
    return [decode](const std::string& text) {
        try {
            decode(text);
        }
        catch (const Expected&) {
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
    R"({"key":"config","removed":true,"ver":8}],"morePages":false,"ver":9,"nowMs":51230})";

} // namespace

// Each guards against input of another process that ends this one: a decoder may refuse
// it only in the way that its callers handle.
TEST_GROUP(decoder_fuzz){};

TEST(decoder_fuzz, frames_of_peers)
{
    std::vector<std::string> inputs;
    for (const auto& frame : wire::test::samples()) {
        inputs.push_back(wire::encode(frame).substr(wire::length_bytes));
    }
    fuzz(inputs, expect<wire::frame_error>([](const std::string& text) {
             const auto frame = wire::decode(text.data(), text.size());
             wire::encode(frame);
         }));
}

TEST(decoder_fuzz, heartbeats)
{
    fuzz({R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,)"
          R"("state":"draining","warmupLeftMs":12,"sequence":4,"born":1700000000000})"},
         expect<parse_error>([](const std::string& text) {
             platform::detail::parse_control({"POST", "/v1/Instances.Heartbeat/i-1", {}, text});
         }));
}

TEST(decoder_fuzz, manifests)
{
    fuzz({manifest}, expect<routing::manifest_error>(
                         [](const std::string& text) { platform::detail::parse_manifest(text); }));
}

TEST(decoder_fuzz, rows_of_the_store)
{
    const auto decode = [](const std::string& text) {
        platform::detail::parse_feed(text, "config");
        platform::detail::parse_row(text);
        platform::detail::parse_version(text);
    };
    fuzz({rows}, expect<sidecar::store_format_error>(decode));
}

TEST(decoder_fuzz, leader_records)
{
    assignment::leader_record record;
    record.term = 7;
    record.leader = incarnation_id{12};
    record.host = "h1";
    record.address = "10.0.0.1:7380";
    record.members = {{incarnation_id{12}, "h1", "10.0.0.1:7380"}};
    record.earlier = {{"h2", record.members}};
    fuzz({sidecar::to_text(record)},
         expect<parse_error>([](const std::string& text) { sidecar::parse_leader_record(text); }));
}
