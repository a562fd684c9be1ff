#include "net/server_continuity.h"

#include <array>
#include <sys/socket.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw::net;

namespace {

/// A connection of this process, and its end in the server.
struct connection {
    connection() { CHECK(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0); }
    ~connection()
    {
        close(ends[0]);
        end_at_server();
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    void end_at_server()
    {
        if (ends[1] >= 0) {
            close(ends[1]);
        }
        ends[1] = -1;
    }
    [[nodiscard]] int descriptor() const { return ends[0]; }

    std::array<int, 2> ends{-1, -1};
};

} // namespace

TEST_GROUP(server_continuity){};

// Guards against a connection to another process that counts as one to the process before: the end
// of the old connections is in the kernel, but has not been read.
TEST(server_continuity, a_connection_after_the_end_of_all_others_begins_a_session)
{
    server_continuity tested;
    LONGS_EQUAL(0, tested.session());
    connection first;
    connection second;
    tested.on_connected(first.descriptor());
    const auto session = tested.session();
    tested.on_connected(second.descriptor());
    LONGS_EQUAL(session, tested.session());
    LONGS_EQUAL(0, tested.last_broken());
    CHECK(write(first.ends[1], "answer", 6) == 6); // unread bytes do not hide the end
    first.end_at_server();
    second.end_at_server();
    connection third;
    tested.on_connected(third.descriptor());
    CHECK(tested.session() > session);
    LONGS_EQUAL(session, tested.last_broken());
    // The ends are read later.
    tested.on_closed(first.descriptor(), true);
    tested.on_closed(second.descriptor(), true);
    LONGS_EQUAL(session, tested.last_broken());
    CHECK(tested.session() > session);
}

// Guards against a server that counts as another process whenever it ends one of its connections.
TEST(server_continuity, a_session_lasts_while_a_connection_is_open)
{
    server_continuity tested;
    connection first;
    connection second;
    connection third;
    tested.on_connected(first.descriptor());
    const auto session = tested.session();
    tested.on_connected(second.descriptor());
    first.end_at_server();
    tested.on_closed(first.descriptor(), true);
    tested.on_connected(third.descriptor());
    LONGS_EQUAL(session, tested.session());
    tested.on_closed(second.descriptor(), false);
    LONGS_EQUAL(session, tested.session());
    tested.on_closed(third.descriptor(), false);
    LONGS_EQUAL(0, tested.session());
}
