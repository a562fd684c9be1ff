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
    time_point now{std::chrono::hours{1}};
    std::vector<milliseconds> waits; ///< after which `on_rate` is to be called
    part_sender tested{100'000, make_hooks()};

    part_sender::hooks make_hooks()
    {
        part_sender::hooks hooks;
        hooks.now = [this] { return now; };
        hooks.send = [this](const std::string&, incarnation_id, const wire::body& content) {
            if (takes_frames) {
                sent.push_back(std::get<wire::forward_part>(content));
            }
            return takes_frames;
        };
        hooks.body_of = [this](std::uint64_t number) -> const std::string* {
            const auto found = bodies.find(number);
            return found == bodies.end() ? nullptr : &found->second;
        };
        hooks.call_on_rate_after = [this](milliseconds time) { waits.push_back(time); };
        return hooks;
    }
    void announce(part_sender & sender, std::uint64_t number, const std::string& address)
    {
        std::string body(4 * body_part_bytes + 1, 'a');
        for (std::size_t i = 0; i < body.size(); ++i) {
            body[i] = static_cast<char>('a' + i / body_part_bytes + number);
        }
        bodies[number] = std::move(body);
        sender.begin(number, address, incarnation_id{2});
    }
    void begin(std::uint64_t number)
    {
        announce(tested, number, "n2");
        tested.on_credit(incarnation_id{2}, number, bodies[number].size());
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

// Guards against a body that is not completed after the memory budget had no room for a part,
// although no write of the connection follows.
TEST(part_sender, refused_part_is_offered_again_without_a_write)
{
    takes_frames = false;
    begin(1);
    LONGS_EQUAL(1, waits.size());
    takes_frames = true;
    tested.on_rate();
    LONGS_EQUAL(max_queued_parts, sent.size());
}

// Guards against parts that the receiver has not credited, which fill its link, and against a
// credit that is lost, from another host, or repeated.
TEST(part_sender, parts_follow_the_credit)
{
    announce(tested, 1, "n2");
    tested.on_drained("n2");
    LONGS_EQUAL(0, sent.size());
    tested.on_credit(incarnation_id{3}, 1, body_part_bytes);
    tested.on_credit(incarnation_id{2}, 7, body_part_bytes);
    LONGS_EQUAL(0, sent.size());
    tested.on_credit(incarnation_id{2}, 1, 1000);
    tested.on_credit(incarnation_id{2}, 1, 1000);
    tested.on_credit(incarnation_id{2}, 1, 500);
    tested.on_drained("n2");
    LONGS_EQUAL(1000, received(1).size());
    tested.on_credit(incarnation_id{2}, 1, bodies[1].size() - 1);
    for (int i = 0; i < 3; ++i) {
        tested.on_drained("n2");
    }
    LONGS_EQUAL(bodies[1].size() - 1, received(1).size());
    CHECK(tested.is_sending(1)); // its last byte was not sent: it has not run
    tested.on_credit(incarnation_id{2}, 1, ~std::uint64_t{0});
    CHECK(received(1) == bodies[1]);
    CHECK_FALSE(tested.is_sending(1));
}

// Guards against bodies to many hosts that together wait for seconds on the link of their sender,
// and against a body that stops because its link was full.
TEST(part_sender, parts_to_all_hosts_follow_the_rate_of_the_own_link)
{
    constexpr std::uint64_t window = 62500; // 50 ms of 10 Mbit/s
    part_sender slow{10, make_hooks()};
    for (std::uint64_t number = 1; number <= 20; ++number) {
        announce(slow, number, "n" + std::to_string(number));
        slow.on_credit(incarnation_id{2}, number, body_part_bytes);
    }
    const auto total = [&] {
        std::uint64_t bytes = 0;
        for (const auto& part : sent) {
            bytes += part.bytes.size();
        }
        return bytes;
    };
    CHECK(total() <= window);
    const auto end = now + milliseconds{1000};
    while (!waits.empty() && now + waits.back() < end) {
        LONGS_EQUAL(1, waits.size());
        now += waits.back();
        waits.clear();
        slow.on_rate();
    }
    CHECK(total() > 750000 && total() <= 1000000); // at most four fifths of the link
    LONGS_EQUAL(1, waits.size());
}
