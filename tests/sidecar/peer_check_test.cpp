#include "sidecar/peer_check.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

TEST_GROUP(peer_check)
{
    time_point now{};
    std::vector<std::uint64_t> probes;
    std::vector<std::string> unresponsive;
    peer_check checks{{[this] { return now; },
                       [this](const std::string&, const wire::body& content) {
                           probes.push_back(std::get<wire::probe>(content).number);
                       },
                       [this](const std::string& address, const std::string& cause) {
                           unresponsive.push_back(address + ": " + cause);
                       }}};

    void advance(milliseconds time)
    {
        for (milliseconds done{0}; done < time; done += milliseconds{50}) {
            now += milliseconds{50};
            checks.on_tick();
        }
    }
};

// Guards against a reset of the connection to a healthy node if its target hangs or the node is no
// longer the leader. The reset would lose the requests in flight on the connection.
TEST(peer_check, peer_that_answers_is_not_reported)
{
    checks.suspect("a", "silent");
    LONGS_EQUAL(1, probes.size());
    advance(milliseconds{100});
    checks.on_reply("a", {probes[0]});
    advance(milliseconds{3000});
    CHECK(unresponsive.empty());
}

// Guards against continued use of a connection that loses all data, and against a second report of
// the same failure.
TEST(peer_check, peer_that_does_not_answer_is_reported_once)
{
    checks.suspect("a", "silent");
    checks.on_reply("b", {probes[0]});
    checks.on_reply("a", {probes[0] + 7});
    advance(milliseconds{250});
    CHECK(unresponsive.empty());
    advance(milliseconds{100});
    LONGS_EQUAL(1, unresponsive.size());
    STRCMP_EQUAL("a: silent", unresponsive[0].c_str());
    advance(milliseconds{3000});
    LONGS_EQUAL(1, unresponsive.size());
}

// Guards against sending one probe for each late request.
TEST(peer_check, probes_of_one_peer_are_limited_in_rate)
{
    for (int i = 0; i < 30; ++i) {
        checks.suspect("a", "silent");
        checks.suspect("b", "silent");
        advance(milliseconds{50});
    }
    LONGS_EQUAL(4, probes.size());
}
