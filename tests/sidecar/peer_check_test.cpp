#include "sidecar/peer_check.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

TEST_GROUP(peer_check)
{
    time_point now{};
    std::vector<std::uint64_t> asked;
    std::vector<std::string> lost;
    peer_check checks{{[this] { return now; },
                       [this](const std::string&, const wire::body& content) {
                           asked.push_back(std::get<wire::probe>(content).number);
                       },
                       [this](const std::string& address, const std::string& cause) {
                           lost.push_back(address + ": " + cause);
                       }}};

    void pass(milliseconds time)
    {
        for (milliseconds done{0}; done < time; done += milliseconds{50}) {
            now += milliseconds{50};
            checks.on_tick();
        }
    }
};

// Guards against a connection to a sound node that is made anew, which costs the requests
// under way on it: its target hangs, or it no longer leads.
TEST(peer_check, peer_that_answers_is_left_alone)
{
    checks.suspect("a", "silent");
    LONGS_EQUAL(1, asked.size());
    pass(milliseconds{100});
    checks.on_reply("a", {asked[0]});
    pass(milliseconds{3000});
    CHECK(lost.empty());
}

// Guards against a connection that swallows everything and is used on.
TEST(peer_check, peer_that_does_not_answer_is_lost_once)
{
    checks.suspect("a", "silent");
    checks.on_reply("b", {asked[0]});
    checks.on_reply("a", {asked[0] + 7});
    pass(milliseconds{250});
    CHECK(lost.empty());
    pass(milliseconds{100});
    LONGS_EQUAL(1, lost.size());
    STRCMP_EQUAL("a: silent", lost[0].c_str());
    pass(milliseconds{3000});
    LONGS_EQUAL(1, lost.size());
}

// Guards against a question for each request that is late.
TEST(peer_check, one_peer_is_asked_once_in_a_while)
{
    for (int i = 0; i < 30; ++i) {
        checks.suspect("a", "silent");
        checks.suspect("b", "silent");
        pass(milliseconds{50});
    }
    LONGS_EQUAL(4, asked.size());
}
