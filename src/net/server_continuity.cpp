#include "net/server_continuity.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace bulrushgw::net {

namespace {

/// False once the server has closed or reset the connection, also while bytes before that are not
/// read yet.
bool is_open(int descriptor)
{
    pollfd state{descriptor, POLLRDHUP, 0};
    if (poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        return false;
    }
    char byte = 0;
    const auto size = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
}

} // namespace

void server_continuity::on_connected(int descriptor)
{
    if (std::none_of(open_.begin(), open_.end(), is_open)) {
        ++session_;
        // What is left are connections to a process that has ended.
        last_broken_ = open_.empty() ? last_broken_ : session_ - 1;
        open_.clear();
    }
    open_.insert(descriptor);
}

void server_continuity::on_closed(int descriptor, bool by_server)
{
    // A connection of an earlier session is not in the set any more.
    if (open_.erase(descriptor) > 0 && by_server) {
        last_broken_ = session_;
    }
}

} // namespace bulrushgw::net
