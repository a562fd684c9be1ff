#include "tests/sidecar/gate_fixture.h"

#include <cstdint>
#include <string>
#include <vector>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;
using namespace bulrushgw::sidecar::test;

TEST_GROUP_BASE(gate_explanation, gate_fixture){};

// Guards against an explanation that differs from what happens to the next request, and against
// one that changes the queue.
TEST(gate_explanation, explanation_agrees_with_the_next_request_and_changes_nothing)
{
    using verdict = gate_explanation::verdict;
    std::vector<verdict> expected;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        const auto before = tested_gate->explain(request_for(i));
        CHECK(before.result == tested_gate->explain(request_for(i)).result);
        const auto running = tested_gate->running();
        const auto queued = tested_gate->queued();
        const auto answers = replies.size();
        LONGS_EQUAL(before.running, running);
        run(i);
        const auto actual = tested_gate->running() > running ? verdict::start
                            : tested_gate->queued() > queued ? verdict::queue
                                                             : verdict::refuse;
        CHECK(before.result == actual);
        if (before.result == verdict::refuse) {
            CHECK(replies.size() > answers);
            STRCMP_EQUAL(std::string(request::to_text(before.why)).c_str(),
                         replies.back().reason.c_str());
            LONGS_EQUAL(before.retry_after.count(), replies.back().retry_after.count());
        }
        expected.push_back(actual);
    }
    CHECK(expected.front() == verdict::start);
    CHECK(expected.back() == verdict::refuse);
    wait_for(60);
    tested_gate->refuse_from(loop.now());
    CHECK(tested_gate->explain(request_for(99)).why == request::reason::zone_evacuated);
}
