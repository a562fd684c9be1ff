#include "net/sockets.h"

#include <cerrno>
#include <cstring>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <string>
#include <sys/ioctl.h>
#include <unistd.h>
#include <utility>

namespace bulrushgw::net::detail {

namespace {

constexpr int listen_backlog = 1024;
/// Upper bound on the connections accepted in one loop iteration, so that a flood of connections
/// does not starve other sockets and timers.
constexpr int max_accepts_per_iteration = 64;

int open_listening(const endpoint& address)
{
    const auto socket_name = to_socket_address(address);
    const auto* name = reinterpret_cast<const sockaddr*>(&socket_name.bytes);
    const int fd = socket(name->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    if (fd == -1 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled)) != 0 ||
        bind(fd, name, socket_name.size) != 0 || listen(fd, listen_backlog) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd != -1) {
            close(fd);
        }
        throw listen_error("cannot listen on " + to_string(address) + ": " + reason);
    }
    return fd;
}

std::uint16_t bound_port(int fd)
{
    sockaddr_storage bytes{};
    socklen_t size = sizeof(bytes);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bytes), &size);
    // The port has the same offset in sockaddr_in and sockaddr_in6.
    return ntohs(reinterpret_cast<sockaddr_in*>(&bytes)->sin_port);
}

} // namespace

std::size_t unacknowledged_bytes(int fd)
{
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

listener::listener(loop& loop, const endpoint& address, acceptor on_accept)
    : address_(address), on_accept_(std::move(on_accept))
{
    const int fd = open_listening(address);
    address_.port = bound_port(fd);
    socket_ = h2o_evloop_socket_create(loop.evloop(), fd, H2O_SOCKET_FLAG_DONT_READ);
    socket_->data = this;
    h2o_socket_read_start(socket_, on_readable);
}

listener::~listener()
{
    h2o_socket_close(socket_);
}

void listener::on_readable(h2o_socket_t* socket, const char* failure)
{
    if (failure != nullptr) {
        return;
    }
    auto* self = static_cast<listener*>(socket->data);
    for (int i = 0; i < max_accepts_per_iteration; ++i) {
        h2o_socket_t* accepted = h2o_evloop_socket_accept(socket);
        if (accepted == nullptr) {
            return;
        }
        self->on_accept_(accepted);
    }
}

} // namespace bulrushgw::net::detail
