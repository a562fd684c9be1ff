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

const net::header_list complete_headers{{"x-id", "1"}, {"x-seal", "s"}};

} // namespace

TEST_GROUP(target_answer){};

// Guards against a second copy of an earlier answer or refusal that is mistaken for the answer to
// the current request on the connection.
TEST(target_answer, head_of_another_request_is_not_accepted)
{
    const auto head = [](int status, net::header_list headers, bool is_new_connection = false) {
        return judge_head(names(), {status, std::move(headers), ""}, "1", is_new_connection);
    };
    CHECK(head(200, complete_headers) == net::head_verdict::accept);
    CHECK(head(200, {{"x-id", "2"}, {"x-seal", "s"}}) == net::head_verdict::skip);
    CHECK(head(503, {{"x-id", "2"}, {"x-not-run", "1"}}) == net::head_verdict::skip);
    CHECK(head(500, {{"x-seal", "s"}}) == net::head_verdict::refuse);
    CHECK(head(503, {{"x-not-run", "1"}}) == net::head_verdict::refuse);
    CHECK(head(503, {{"x-not-run", "1"}}, true) == net::head_verdict::accept_last);
    CHECK(head(200, {{"x-id", "2"}, {"x-seal", "s"}}, true) == net::head_verdict::skip);
    CHECK(head(404, {}) == net::head_verdict::accept_last);
}

// Guards against a copy of a refusal that bears neither an id nor a mark, such as a 421 of a target
// that expected another instance: the request on the connection ran, and ran again elsewhere.
TEST(target_answer, refusal_without_an_id_is_not_accepted_on_a_used_connection)
{
    for (const int status : {408, 421, 429, 503}) {
        CHECK(judge_head(names(), {status, {}, ""}, "1", false) == net::head_verdict::refuse);
        CHECK(judge_head(names(), {status, {}, ""}, "1", true) == net::head_verdict::accept_last);
        CHECK(judge_head(names(), {status, {{"x-id", "2"}}, ""}, "1", false) ==
              net::head_verdict::skip);
        CHECK(judge_head(names(), {status, {{"x-id", "1"}}, ""}, "1", false) ==
              net::head_verdict::accept);
    }
}

// Guards against a successful answer that the target did not generate itself.
TEST(target_answer, success_needs_id_and_seal)
{
    CHECK(judge(200, complete_headers) == forward_outcome::answered);
    CHECK(judge(200, {{"x-id", "1"}}) == forward_outcome::unknown);
    CHECK(judge(200, {{"x-seal", "s"}}) == forward_outcome::unknown);
    CHECK(judge(200, {{"x-id", "1"}, {"x-seal", "s"}, {"content-encoding", "gzip"}}) ==
          forward_outcome::unknown);
}

// Guards against a request that is reported as not run although the target aborted it while it
// ran: a 503 without the header that marks a refusal was passed on (soak test, seed 1).
TEST(target_answer, only_a_marked_refusal_counts_as_not_run)
{
    CHECK(judge(503, {{"x-not-run", "1"}}) == forward_outcome::not_run);
    CHECK(judge(421, {}) == forward_outcome::not_run);
    for (const int status : {408, 429, 503}) {
        CHECK(judge(status, {}) == forward_outcome::unknown);
        CHECK(judge(status, complete_headers) == forward_outcome::unknown);
    }
}

// Guards against failures of the target that are hidden from callers.
TEST(target_answer, failures_of_the_target_are_passed_on)
{
    CHECK(judge(500, complete_headers) == forward_outcome::answered);
    CHECK(judge(504, complete_headers) == forward_outcome::answered);
    CHECK(judge(404, complete_headers) == forward_outcome::answered);
}
