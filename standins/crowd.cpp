#include "standins/crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <memory>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "net/sockets.h"

namespace bulrushgw::standin {

namespace {

/// Longest wait for an event, so that the end of the crowd's time is noticed.
constexpr milliseconds poll_time{50};
/// Repeated text is sent in blocks of about this size.
constexpr std::size_t block_bytes = std::size_t{64} * 1024;
/// Receive buffer of a client that does not read: its answers stay at the server.
constexpr int unread_buffer_bytes = 4096;

/// One connection of the crowd, reopened when the server closes it.
class member {
public:
    member(const crowd_options& options, std::size_t number, crowd_counters& counters)
        : address_(net::detail::to_socket_address(options.address)),
          attempts_left_(options.attempts), counters_(counters),
          script_(make_crowd_script(options, number))
    {
        if (!script_.repeated.empty()) {
            block_repetitions_ =
                std::clamp<std::size_t>(block_bytes / script_.repeated.size(), 1,
                                        std::max<std::size_t>(script_.repetitions, 1));
            for (std::size_t i = 0; i < block_repetitions_; ++i) {
                block_ += script_.repeated;
            }
        }
        total_bytes_ = script_.opening.size() + script_.repeated.size() * script_.repetitions;
        open();
    }
    ~member() { close_socket(); }
    member(const member&) = delete;
    member& operator=(const member&) = delete;
    member(member&&) = delete;
    member& operator=(member&&) = delete;

    [[nodiscard]] int descriptor() const { return descriptor_; }

    [[nodiscard]] short wanted_events() const
    {
        const bool sends = sent_ < total_bytes_;
        return static_cast<short>((sends ? POLLOUT : 0) | (script_.reads_answers ? POLLIN : 0));
    }

    void on_events(short events)
    {
        const bool ended = (events & POLLIN) != 0 && !receive();
        const bool lost = ended || (events & (POLLERR | POLLHUP)) != 0;
        if (lost || ((events & POLLOUT) != 0 && !send_more())) {
            ++counters_.closed;
            close_socket();
            open();
        }
    }

private:
    void open()
    {
        sent_ = 0;
        if (attempts_left_ == 0) {
            return;
        }
        --attempts_left_;
        ++counters_.connects;
        descriptor_ = socket(address_.bytes.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
        if (!script_.reads_answers) {
            setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &unread_buffer_bytes,
                       sizeof(unread_buffer_bytes));
        }
        // A failed attempt is reported by the next poll.
        (void)connect(descriptor_, reinterpret_cast<const sockaddr*>(&address_.bytes),
                      address_.size);
    }

    void close_socket()
    {
        if (descriptor_ >= 0) {
            close(descriptor_);
        }
        descriptor_ = -1;
    }

    [[nodiscard]] std::string_view next_bytes() const
    {
        if (sent_ < script_.opening.size()) {
            return std::string_view(script_.opening).substr(sent_);
        }
        const auto offset = (sent_ - script_.opening.size()) % script_.repeated.size();
        return std::string_view(block_).substr(offset, total_bytes_ - sent_);
    }

    // Returns false if the connection is lost.
    bool send_more()
    {
        if (sent_ == total_bytes_) {
            return true;
        }
        const auto bytes = next_bytes();
        const auto count = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EINPROGRESS;
        }
        sent_ += static_cast<std::size_t>(count);
        counters_.bytes_sent += static_cast<std::uint64_t>(count);
        return true;
    }

    // Returns false if the connection is lost.
    bool receive()
    {
        std::array<char, block_bytes> buffer{};
        const auto count = recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (count > 0) {
            counters_.bytes_received += static_cast<std::uint64_t>(count);
        }
        return count > 0 || (count < 0 && errno == EAGAIN);
    }

    net::detail::socket_address address_;
    std::size_t attempts_left_;
    crowd_counters& counters_;
    crowd_script script_;
    std::string block_; ///< the repeated text several times, for large writes
    std::size_t block_repetitions_ = 0;
    std::size_t total_bytes_ = 0;
    std::size_t sent_ = 0;
    int descriptor_ = -1;
};

// Returns false if no connection is left.
bool serve_events(const std::vector<std::unique_ptr<member>>& members)
{
    std::vector<pollfd> events;
    std::vector<member*> owners;
    for (const auto& each : members) {
        if (each->descriptor() >= 0) {
            events.push_back({each->descriptor(), each->wanted_events(), 0});
            owners.push_back(each.get());
        }
    }
    if (events.empty()) {
        return false;
    }
    poll(events.data(), events.size(), static_cast<int>(poll_time.count()));
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (events[i].revents != 0) {
            owners[i]->on_events(events[i].revents);
        }
    }
    return true;
}

} // namespace

crowd_counters run_crowd(const crowd_options& options)
{
    crowd_counters counters;
    std::vector<std::unique_ptr<member>> members;
    for (std::size_t i = 0; i < options.connections; ++i) {
        members.push_back(std::make_unique<member>(options, i, counters));
    }
    const auto end = boot_clock::now() + options.duration;
    while (boot_clock::now() < end && serve_events(members)) {
    }
    return counters;
}

} // namespace bulrushgw::standin
