#include "tests/net/raw_client.h"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

#include "net/sockets.h"

namespace bulrushgw::net::test {

raw_client::raw_client(const endpoint& address)
{
    const auto target = detail::to_socket_address(address);
    const auto* name = reinterpret_cast<const sockaddr*>(&target.bytes);
    fd_ = socket(name->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd_, name, target.size) != 0) {
        closed = true;
    }
}

raw_client::~raw_client()
{
    if (fd_ != -1) {
        close(fd_);
    }
}

bool raw_client::send(const std::string& bytes) const
{
    return ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT) ==
           static_cast<ssize_t>(bytes.size());
}

std::string raw_client::received()
{
    std::string result;
    std::array<char, 4096> buffer{};
    for (;;) {
        const auto size = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) {
            result.append(buffer.data(), static_cast<std::size_t>(size));
            continue;
        }
        closed = closed || size == 0 || (errno != EAGAIN && errno != EINTR);
        return result;
    }
}

void raw_client::shut_down_sending() const
{
    shutdown(fd_, SHUT_WR);
}

void raw_client::reset()
{
    const linger reset_on_close{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    close(fd_);
    fd_ = -1;
}

} // namespace bulrushgw::net::test
