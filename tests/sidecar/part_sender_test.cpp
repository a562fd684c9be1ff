#include "sidecar/part_sender.h"

#include <map>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

// Bodies of five parts to the peer "n2". `sent` holds the parts that its connection took.
TEST_GROUP(part_sender)
{
    std::map<std::uint64_t, std::string> bodies;
    std::vector<wire::forward_part> sent;
    bool takes_frames = true;
    part_sender tested{{[this](const std::string&, incarnation_id, const wire::body& content) {
                            if (takes_frames) {
                                sent.push_back(std::get<wire::forward_part>(content));
                            }
                            return takes_frames;
                        },
                        [this](std::uint64_t number) -> const std::string* {
                            const auto found = bodies.find(number);
                            return found == bodies.end() ? nullptr : &found->second;
                        }}};

    void begin(std::uint64_t number)
    {
        std::string body(4 * body_part_bytes + 1, 'a');
        for (std::size_t i = 0; i < body.size(); ++i) {
            body[i] = static_cast<char>('a' + i / body_part_bytes + number);
        }
        bodies[number] = std::move(body);
        tested.begin(number, "n2", incarnation_id{2});
    }
    std::string received(std::uint64_t number) const
    {
        std::string result;
        for (const auto& part : sent) {
            result += part.number == number ? part.bytes : "";
        }
        return result;
    }
};

// Guards against a queue of a whole body on a connection, a body that stops, and parts that are
// missing or out of order.
TEST(part_sender, parts_follow_the_pace_of_the_connection)
{
    begin(1);
    LONGS_EQUAL(max_queued_parts, sent.size());
    tested.on_drained("n3");
    LONGS_EQUAL(max_queued_parts, sent.size());
    tested.on_drained("n2");
    LONGS_EQUAL(2 * max_queued_parts, sent.size());
    CHECK(tested.is_sending(1));
    tested.on_drained("n2");
    CHECK_FALSE(tested.is_sending(1));
    LONGS_EQUAL(5, sent.size());
    CHECK(received(1) == bodies[1]);
    for (std::size_t i = 0; i < sent.size(); ++i) {
        LONGS_EQUAL(i, sent[i].index);
    }
    CHECK_FALSE(tested.stop(1));
}

// Guards against a body that waits until another to the same peer is complete, and against parts of
// a request that has ended.
TEST(part_sender, bodies_take_turns_until_they_are_stopped)
{
    begin(1);
    begin(2);
    tested.on_drained("n2");
    tested.on_drained("n2");
    LONGS_EQUAL(received(1).size(), 4 * body_part_bytes);
    LONGS_EQUAL(received(2).size(), 2 * body_part_bytes);
    CHECK(tested.stop(1));
    for (int i = 0; i < 2; ++i) {
        tested.on_drained("n2");
    }
    CHECK(received(2) == bodies[2]);
    LONGS_EQUAL(received(1).size(), 4 * body_part_bytes);
}

// Guards against a body that is not completed after the connection refused a part because its queue
// was full.
TEST(part_sender, refused_part_is_sent_later)
{
    takes_frames = false;
    begin(1);
    LONGS_EQUAL(0, sent.size());
    takes_frames = true;
    for (int i = 0; i < 3; ++i) {
        tested.on_drained("n2");
    }
    CHECK(received(1) == bodies[1]);
}
