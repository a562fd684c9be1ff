#include "sidecar/target_answer.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;
using wire::forward_outcome;

namespace {

header_names names()
{
    header_names result;
    result.request_id = "x-id";
    result.answer_seal = "x-seal";
    result.not_run = "x-not-run";
    return result;
}

forward_outcome judge(int status, net::header_list headers)
{
    return judge_answer(names(), {status, std::move(headers), "body"}).outcome;
}

const net::header_list whole{{"x-id", "1"}, {"x-seal", "s"}};

} // namespace

TEST_GROUP(target_answer){};

// Guards against a second copy of an earlier answer, or of an earlier refusal, that is
// taken for the answer to the request which now uses the connection.
TEST(target_answer, head_of_another_request_is_told_apart)
{
    const auto head = [](int status, net::header_list headers, bool is_first = false) {
        return judge_head(names(), {status, std::move(headers), ""}, "1", is_first);
    };
    CHECK(head(200, whole) == net::head_verdict::accept);
    CHECK(head(200, {{"x-id", "2"}, {"x-seal", "s"}}) == net::head_verdict::skip);
    CHECK(head(503, {{"x-id", "2"}, {"x-not-run", "1"}}) == net::head_verdict::skip);
    CHECK(head(500, {{"x-seal", "s"}}) == net::head_verdict::refuse);
    CHECK(head(503, {{"x-not-run", "1"}}) == net::head_verdict::refuse);
    CHECK(head(503, {{"x-not-run", "1"}}, true) == net::head_verdict::accept);
    CHECK(head(200, {{"x-id", "2"}, {"x-seal", "s"}}, true) == net::head_verdict::skip);
    CHECK(head(404, {}) == net::head_verdict::accept);
}

// Guards against a success that is not the target's own.
TEST(target_answer, success_needs_id_and_seal)
{
    CHECK(judge(200, whole) == forward_outcome::answered);
    CHECK(judge(200, {{"x-id", "1"}}) == forward_outcome::unknown);
    CHECK(judge(200, {{"x-seal", "s"}}) == forward_outcome::unknown);
    CHECK(judge(200, {{"x-id", "1"}, {"x-seal", "s"}, {"content-encoding", "gzip"}}) ==
          forward_outcome::unknown);
}

// Guards against callers that are told "not run" by a target that broke off: a 503
// without the mark of a refusal was passed on, and its request had run (soak, seed 1).
TEST(target_answer, only_a_marked_refusal_promises_that_nothing_ran)
{
    CHECK(judge(503, {{"x-not-run", "1"}}) == forward_outcome::not_run);
    CHECK(judge(421, {}) == forward_outcome::not_run);
    for (const int status : {408, 429, 503}) {
        CHECK(judge(status, {}) == forward_outcome::unknown);
        CHECK(judge(status, whole) == forward_outcome::unknown);
    }
}

// Guards against a target's failure that callers do not get to see.
TEST(target_answer, failures_of_the_target_are_passed_on)
{
    CHECK(judge(500, whole) == forward_outcome::answered);
    CHECK(judge(504, whole) == forward_outcome::answered);
    CHECK(judge(404, whole) == forward_outcome::answered);
}
