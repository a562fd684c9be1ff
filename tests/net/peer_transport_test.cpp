#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/peer_transport.h"
#include "net/sockets.h"
#include "tests/net/raw_client.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::net;

namespace {

constexpr milliseconds wait_limit{3000};
const endpoint any_port{"127.0.0.1", 0};

/// A peer transport that records the received frames and the calls of its disconnect hook.
struct recording_peer {
    std::vector<wire::frame> frames;
    std::vector<std::string> disconnected;
    int never_connected = 0; ///< disconnects of connections that were never established
    std::optional<peer_transport> transport;

    void open(net::loop& loop, const endpoint& address = any_port, peer_limits limits = {})
    {
        transport.emplace(
            loop, address, [this](const wire::frame& frame) { frames.push_back(frame); },
            [this](const std::string& at, std::optional<time_point> unsent_since) {
                disconnected.push_back(at);
                never_connected += unsent_since ? 1 : 0;
            },
            limits);
    }
    [[nodiscard]] std::string at() const { return to_string(transport->address()); }
    bool send(const std::string& to, wire::body content)
    {
        return transport->send(to, {{1}, {2}, at(), std::move(content)});
    }
};

} // namespace

TEST_GROUP(peer_transport)
{
    net::loop loop;
    recording_peer a;
    recording_peer b;

    void setup() override
    {
        a.open(loop);
        b.open(loop);
    }
    void teardown() override
    {
        a.transport.reset();
        b.transport.reset();
    }
    template <typename Done>
    bool wait_until(Done done)
    {
        return loop.run_until(done, wait_limit);
    }
};

// Guards against lost, reordered or duplicated frames on a working connection, and against using a
// separate system call for each frame.
TEST(peer_transport, frames_of_one_iteration_are_sent_in_order_in_one_write)
{
    constexpr std::uint64_t count = 200;
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK(a.send(b.at(), wire::cancel{i}));
    }
    CHECK(wait_until([&] { return b.frames.size() == count; }));
    for (std::uint64_t i = 0; i < count; ++i) {
        LONGS_EQUAL(i, std::get<wire::cancel>(b.frames[i].content).number);
    }
    LONGS_EQUAL(1, a.transport->counters().writes);
    LONGS_EQUAL(1, a.transport->counters().connects);
    LONGS_EQUAL(count, b.transport->counters().frames_received);
    CHECK(a.transport->counters().bytes_sent == b.transport->counters().bytes_received);
    STRCMP_EQUAL(a.at().c_str(), b.frames[0].reply_address.c_str());
}

// Guards against replies that cannot be sent to the address in the received frame.
TEST(peer_transport, both_directions_and_large_frames_work)
{
    CHECK(a.send(b.at(), wire::rules_text{1, "d", std::string(900000, 'r'), ""}));
    CHECK(wait_until([&] { return b.frames.size() == 1; }));
    CHECK(std::get<wire::rules_text>(b.frames[0].content).text.size() == 900000);
    CHECK(b.send(b.frames[0].reply_address, wire::rules_pull{1}));
    CHECK(wait_until([&] { return a.frames.size() == 1; }));
    CHECK(!a.send(b.at(), wire::rules_text{1, "d", std::string(1100000, 'r'), ""}));
}

// Guards against a lost connection that is not reported, and against a connection attempt for each
// frame to an unreachable address.
TEST(peer_transport, lost_peer_is_reported_and_reconnected)
{
    CHECK(a.send(b.at(), wire::cancel{1}));
    CHECK(wait_until([&] { return b.frames.size() == 1; }));
    const auto address = b.transport->address();
    b.transport.reset();
    CHECK(wait_until([&] { return a.disconnected.size() == 1; }));
    STRCMP_EQUAL(to_string(address).c_str(), a.disconnected[0].c_str());
    for (int i = 0; i < 50; ++i) {
        CHECK(!a.send(to_string(address), wire::cancel{2}));
    }
    LONGS_EQUAL(1, a.transport->counters().connects);
    LONGS_EQUAL(50, a.transport->counters().frames_refused);
    b.open(loop, address);
    CHECK(wait_until([&] {
        a.send(to_string(address), wire::cancel{3});
        return b.frames.size() >= 2;
    }));
}

// Guards against losing frames to an address without a listener and not reporting it.
TEST(peer_transport, refused_connection_calls_the_disconnect_hook)
{
    const auto address = b.at();
    b.transport.reset();
    CHECK(a.send(address, wire::cancel{1}));
    CHECK(wait_until([&] { return a.disconnected.size() == 1; }));
    LONGS_EQUAL(1, a.transport->counters().frames_lost);
    LONGS_EQUAL(1, a.never_connected);
}

// Guards against a queue for a slow reader that grows without limit, and against a write to a slow
// reader that never ends.
TEST(peer_transport, queue_of_a_slow_reader_is_bounded)
{
    peer_limits limits;
    limits.max_queued_bytes = 256 * 1024;
    limits.stall_timeout = milliseconds{200};
    a.transport.reset();
    a.open(loop, any_port, limits);
    detail::listener silent_listener(loop, any_port, [](h2o_socket_t*) {});
    const auto address = to_string(silent_listener.address());
    const wire::rules_text large{1, "", std::string(100000, 'x'), ""};
    bool refused = false;
    CHECK(wait_until([&] {
        refused = refused || !a.send(address, large);
        return refused;
    }));
    CHECK(wait_until([&] { return !a.disconnected.empty(); }));
    CHECK(a.transport->counters().frames_lost > 0);
}

// Guards against malicious bytes that end the process or disturb other peers: the sender gets a
// `protocol_failure` with a reason, and its connection is closed.
TEST(peer_transport, invalid_frames_are_refused_with_a_reason)
{
    auto newer_version = wire::encode({{1}, {2}, "", wire::cancel{1}});
    newer_version[wire::length_bytes + 1] = 9;
    auto unknown_type = wire::encode({{1}, {2}, "", wire::cancel{1}});
    unknown_type[wire::length_bytes + 2] = 99;
    const std::vector<std::pair<std::string, std::string>> cases = {
        {newer_version, "unknown-version"},
        {unknown_type, "unknown-type"},
        {std::string("\x00\x00\x00\x02\x91\xc0", 6), "malformed"},
        {"\xff\xff\xff\xff", "frame-too-long"},
        {"GET / HTTP/1.1\r\n\r\n", "frame-too-long"},
    };
    for (const auto& [bytes, reason] : cases) {
        test::raw_client raw(b.transport->address());
        CHECK(raw.send(bytes));
        std::string received;
        CHECK(wait_until([&] {
            received += raw.received();
            return raw.closed;
        }));
        const auto frame = wire::decode(received.data() + wire::length_bytes,
                                        received.size() - wire::length_bytes);
        STRCMP_CONTAINS(reason.c_str(),
                        std::get<wire::protocol_failure>(frame.content).reason.c_str());
    }
    LONGS_EQUAL(cases.size(), b.transport->counters().frames_broken);
    CHECK(a.send(b.at(), wire::cancel{1}));
    CHECK(wait_until([&] { return b.frames.size() == 1; }));
}

// Guards against losing a frame whose bytes arrive separately.
TEST(peer_transport, split_frames_are_reassembled)
{
    const auto bytes = wire::encode({{1}, {2}, "", wire::cancel{5}});
    test::raw_client raw(b.transport->address());
    for (const char byte : bytes) {
        CHECK(raw.send(std::string(1, byte)));
        loop.run_until([] { return false; }, milliseconds{1});
    }
    CHECK(wait_until([&] { return b.frames.size() == 1; }));
    LONGS_EQUAL(0, b.transport->counters().frames_broken);
}

// Guards against senders that occupy memory with incomplete frames.
TEST(peer_transport, unfinished_frame_is_refused_after_the_stall_timeout)
{
    peer_limits limits;
    limits.stall_timeout = milliseconds{50};
    b.transport.reset();
    b.open(loop, any_port, limits);
    test::raw_client raw(b.transport->address());
    CHECK(raw.send(std::string("\x00\x00\x10\x00half", 8)));
    CHECK(wait_until([&] { return b.transport->counters().frames_broken == 1; }));
    CHECK(wait_until([&] {
        raw.received();
        return raw.closed;
    }));
}

// Guards against a filter that does not drop frames, because tests of network partitions would then
// pass without a partition.
TEST(peer_transport, filter_drops_frames_of_each_direction)
{
    a.transport->set_filter([](const std::string&, bool outgoing) { return outgoing; });
    CHECK(a.send(b.at(), wire::cancel{1}));
    b.transport->set_filter(
        [&](const std::string& from, bool outgoing) { return !outgoing && from == a.at(); });
    a.transport->set_filter({});
    CHECK(a.send(b.at(), wire::cancel{2}));
    CHECK(wait_until([&] { return b.transport->counters().frames_filtered == 1; }));
    LONGS_EQUAL(0, b.frames.size());
    LONGS_EQUAL(1, a.transport->counters().frames_filtered);
    b.transport->set_filter({});
    CHECK(a.send(b.at(), wire::cancel{3}));
    CHECK(wait_until([&] { return b.frames.size() == 1; }));
    LONGS_EQUAL(3, std::get<wire::cancel>(b.frames[0].content).number);
}

// Guards against keeping connections to peers that are no longer used, and against reporting the
// closing of an idle connection as a disconnect.
TEST(peer_transport, idle_connections_are_closed_and_reopened)
{
    peer_limits limits;
    limits.idle_timeout = milliseconds{40};
    a.transport.reset();
    a.open(loop, any_port, limits);
    for (std::size_t i = 1; i <= 3; ++i) {
        CHECK(a.send(b.at(), wire::cancel{i}));
        CHECK(wait_until([&] { return b.frames.size() == i; }));
        CHECK(wait_until([&] { return a.transport->counters().idle_closed == i; }));
    }
    LONGS_EQUAL(3, a.transport->counters().connects);
    CHECK(a.disconnected.empty());
    LONGS_EQUAL(0, a.transport->counters().frames_lost);
}

// Guards against an unlimited number of incoming connections.
TEST(peer_transport, incoming_connections_are_bounded)
{
    peer_limits limits;
    limits.max_connections = 1;
    b.transport.reset();
    b.open(loop, any_port, limits);
    test::raw_client first(b.transport->address());
    test::raw_client second(b.transport->address());
    CHECK(wait_until([&] { return b.transport->counters().connections_refused == 1; }));
    second.received();
    CHECK(wait_until([&] {
        second.received();
        return second.closed;
    }));
    CHECK(!first.closed);
}

// Guards against a frame whose invalid reply address ends the process, since replies are sent to
// the address in the frame.
TEST(peer_transport, frame_to_an_invalid_address_is_refused)
{
    for (const char* address : {"", "host:80", "1.2.3.4:99999", "1.2.3.4", "\xff\xfe:1"}) {
        CHECK_FALSE(a.send(address, wire::cancel{1}));
    }
    LONGS_EQUAL(5, a.transport->counters().frames_refused);
    CHECK(a.send(b.at(), wire::cancel{2}));
    CHECK(loop.run_until([&] { return !b.frames.empty(); }, wait_limit));
}

// Guards against senders that exhaust memory by frames that they never complete, and against
// refusing complete frames of other peers because of them.
TEST(peer_transport, partial_frames_above_the_budget_are_refused)
{
    peer_limits limits;
    limits.budget = std::make_shared<memory_budget>(1'000'000);
    recording_peer bounded;
    bounded.open(loop, any_port, limits);
    const std::string partial = std::string("\x00\x0f\x00\x00", 4) + std::string(400'000, 'p');
    std::vector<std::unique_ptr<test::raw_client>> crowd;
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(std::make_unique<test::raw_client>(bounded.transport->address()));
        CHECK(crowd.back()->send(partial));
    }
    CHECK(wait_until([&] { return bounded.transport->counters().over_budget == 2; }));
    CHECK(limits.budget->used() <= limits.budget->limit());
    CHECK(a.send(bounded.at(), wire::cancel{1}));
    CHECK(wait_until([&] { return bounded.frames.size() == 1; }));
    crowd.clear();
    CHECK(wait_until([&] { return limits.budget->used() == 0; }));
}

// Guards against frames for many slow peers that take more memory than the host has, against
// replies that are dropped as early as requests, and against a full budget that costs the lease.
TEST(peer_transport, queued_frames_count_in_the_budget)
{
    peer_limits limits;
    limits.budget = std::make_shared<memory_budget>(160'000);
    a.transport.reset();
    a.open(loop, any_port, limits);
    const auto part = wire::forward_part{1, 0, std::string(64 * 1024, 'p')};
    wire::forward_reply reply;
    reply.body.assign(8000, 'r');
    CHECK(a.send(b.at(), part));
    CHECK(a.send(b.at(), part));
    CHECK_FALSE(a.send(b.at(), part));
    CHECK(limits.budget->used() > 2 * part.bytes.size());
    limits.budget->try_reserve(limits.budget->limit() - limits.budget->used());
    CHECK_FALSE(a.send(b.at(), wire::forward{}));
    CHECK(a.send(b.at(), reply));
    CHECK_FALSE(a.send(b.at(), reply)); // more than a sixteenth above the limit
    CHECK(a.send(b.at(), assignment::report{}));
    CHECK(a.send(b.at(), wire::cancel{1}));
    LONGS_EQUAL(3, a.transport->counters().frames_over_budget);
    const auto held_by_test = limits.budget->limit() - 2 * part.bytes.size();
    CHECK(wait_until([&] { return b.frames.size() == 5; }));
    CHECK(wait_until([&] { return limits.budget->used() < held_by_test; }));
    const auto rest = limits.budget->used();
    // A broken connection keeps nothing.
    CHECK(a.send(b.at(), wire::cancel{2}));
    CHECK(limits.budget->used() > rest);
    a.transport->reset(b.at());
    LONGS_EQUAL(rest, limits.budget->used());
}

// Guards against a sender of much data that is not told when the connection takes more, against a
// frame that is lost or changed because it was written in several pieces, and against a write so
// large that it counts as stalled on a slow link.
TEST(peer_transport, large_queue_is_written_in_pieces_and_reported_when_drained)
{
    constexpr std::uint64_t count = 3;
    int drained = 0;
    a.transport->set_flow_hooks(
        [&](const std::string& address) {
            STRCMP_EQUAL(b.at().c_str(), address.c_str());
            ++drained;
        },
        {});
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK(a.send(b.at(), wire::forward_part{1, i, std::string(900000, char('a' + i))}));
    }
    CHECK(wait_until([&] { return b.frames.size() == count && drained > 0; }));
    for (std::uint64_t i = 0; i < count; ++i) {
        const auto& part = std::get<wire::forward_part>(b.frames[i].content);
        LONGS_EQUAL(i, part.index);
        CHECK(part.bytes == std::string(900000, char('a' + i)));
    }
    const auto& counters = a.transport->counters();
    CHECK(counters.writes > count * 900000 / peer_limits{}.max_write_bytes);
    CHECK(wait_until([&] { return counters.frames_sent == count; }));
    // The last three writes: with a write's bytes in the queue, with an empty queue, and the last.
    CHECK(drained <= 3);
}

// Guards against bodies in parts that are kept although the node that was sending them has gone.
TEST(peer_transport, loss_of_a_sender_is_reported)
{
    std::vector<std::uint64_t> lost;
    b.transport->set_flow_hooks({}, [&](incarnation_id peer) { lost.push_back(peer.value); });
    CHECK(a.send(b.at(), wire::cancel{1}));
    CHECK(wait_until([&] { return b.frames.size() == 1; }));
    LONGS_EQUAL(0, lost.size());
    a.transport.reset();
    CHECK(wait_until([&] { return lost.size() == 1; }));
    LONGS_EQUAL(1, lost[0]);
}

// Guards against memory without a bound for frames whose rest never arrives, and against a peer
// that can no longer be heard because of them.
TEST(peer_transport, unfinished_frames_share_a_bound)
{
    constexpr std::size_t count = 40;
    constexpr std::size_t frame_bytes = 60000;
    peer_limits limits;
    limits.max_unfinished_bytes = 10 * frame_bytes;
    recording_peer limited;
    limited.open(loop, any_port, limits);
    const auto frame = wire::encode(
        {{7}, {2}, "127.0.0.1:1", wire::forward_part{1, 0, std::string(frame_bytes, 'a')}});
    std::vector<std::unique_ptr<test::raw_client>> crowd;
    for (std::size_t i = 0; i < count; ++i) {
        crowd.push_back(std::make_unique<test::raw_client>(limited.transport->address()));
        crowd.back()->send(frame.substr(0, frame.size() - 1));
    }
    const auto& counters = limited.transport->counters();
    CHECK(wait_until([&] { return counters.unfinished_closed >= count / 2; }));
    CHECK(a.send(limited.at(), wire::cancel{1}));
    CHECK(wait_until([&] { return limited.frames.size() == 1; }));
    CHECK(counters.unfinished_closed < count);
}
