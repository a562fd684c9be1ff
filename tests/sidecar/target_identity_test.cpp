#include "sidecar/target_identity.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

assignment::target_status make_run(const std::string& id, std::uint64_t start_time_ms)
{
    return {id, start_time_ms, "s", 6, assignment::target_phase::ready};
}

} // namespace

TEST_GROUP(target_identity){};

// Guards against grants to a run of the target that has not told its id, or is not the known one.
TEST(target_identity, only_an_answer_with_the_known_id_confirms_a_session)
{
    target_identity tested;
    const auto known = make_run("t1", 100);
    CHECK_FALSE(tested.is_confirmed(1, known));
    CHECK(tested.needs_answer(1, known));
    CHECK_FALSE(tested.needs_answer(1, make_run("", 0)));
    tested.on_answer(1, "t2", known, 0);
    CHECK_FALSE(tested.is_confirmed(1, known));
    tested.on_answer(1, "t1", known, 0);
    CHECK(tested.is_confirmed(1, known));
    CHECK_FALSE(tested.is_confirmed(0, known)); // no connection is open
    CHECK_FALSE(tested.is_confirmed(2, known));
    CHECK_FALSE(tested.is_confirmed(1, make_run("t2", 200)));
    CHECK_FALSE(tested.is_confirmed(1, make_run("t1", 200)));
}

// Guards against grants to a new run with the id of the run before, which its answers cannot tell
// from it.
TEST(target_identity, after_a_broken_session_the_same_id_needs_a_heartbeat)
{
    target_identity tested;
    const auto known = make_run("t1", 100);
    tested.on_answer(1, "t1", known, 0);
    tested.on_answer(2, "t1", known, 1);
    CHECK_FALSE(tested.is_confirmed(2, known));
    CHECK_FALSE(tested.needs_answer(2, known));
    // A further session does not end the wait.
    tested.on_answer(3, "t1", known, 1);
    CHECK_FALSE(tested.is_confirmed(3, known));
    tested.on_heartbeat(make_run("t2", 300));
    CHECK_FALSE(tested.is_confirmed(3, known));
    tested.on_heartbeat(known);
    CHECK(tested.is_confirmed(3, known));
    // The heartbeat of a new run makes it the known one.
    tested.on_answer(4, "t1", known, 3);
    const auto restarted = make_run("t1", 200);
    CHECK_FALSE(tested.is_confirmed(4, restarted));
    tested.on_answer(4, "t1", restarted, 3);
    CHECK(tested.is_confirmed(4, restarted));
}

// Guards against a pause of all renewals when this node itself closed the last connection.
TEST(target_identity, a_session_that_was_not_broken_needs_only_an_answer)
{
    target_identity tested;
    const auto known = make_run("t1", 100);
    tested.on_answer(2, "t1", known, 1);
    CHECK(tested.is_confirmed(2, known));
    tested.on_answer(3, "t1", known, 1);
    CHECK(tested.is_confirmed(3, known));
}
