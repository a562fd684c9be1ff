#include "dispatch/body_transfer.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::dispatch;

namespace {

constexpr std::size_t upload = 60000;

time_point at(long ms)
{
    return time_point(milliseconds{ms});
}

} // namespace

TEST_GROUP(body_transfer)
{
    body_transfer bodies;
};

// Guards against avoiding a host for long because of a backlog that has passed, and against
// avoiding it for requests that do not wait there.
TEST(body_transfer, reported_wait_counts_for_bodies_and_decays_within_a_second)
{
    bodies.on_intake_wait(at(1000), milliseconds{400});
    DOUBLES_EQUAL(400, bodies.wait_ms(at(1000), upload), 1);
    CHECK(bodies.wait_ms(at(1500), upload) < 400);
    DOUBLES_EQUAL(0, bodies.wait_ms(at(2000), upload), 1);
    DOUBLES_EQUAL(0, bodies.wait_ms(at(1000), direct_body_bytes), 0);
}

// Guards against sending many bodies to one host before its first reply reports a wait.
TEST(body_transfer, own_bodies_in_flight_count_before_any_reply)
{
    for (int i = 0; i < 10; ++i) {
        bodies.on_sent(upload);
    }
    DOUBLES_EQUAL(10 * bodies.transfer_ms(upload), bodies.wait_ms(at(1000), upload), 1);
    for (int i = 0; i < 10; ++i) {
        bodies.on_end(upload);
    }
    DOUBLES_EQUAL(0, bodies.wait_ms(at(1000), upload), 0);
}

// Guards against counting a slow link like a fast one.
TEST(body_transfer, transfer_time_is_learned_from_answers)
{
    for (int i = 0; i < 30; ++i) {
        bodies.on_answer(upload, 150);
    }
    DOUBLES_EQUAL(150, bodies.transfer_ms(upload), 15);
    DOUBLES_EQUAL(300, bodies.transfer_ms(2 * upload), 30);
}
