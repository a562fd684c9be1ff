#include "standins/slow_reader.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

#include <http_parser.h>

#include "net/sockets.h"

namespace bulrushgw::standin {

namespace {

constexpr milliseconds read_interval{20};
constexpr std::size_t ms_per_s = 1000;
/// Receive buffer of the client. What it does not read stays at the server.
constexpr int receive_buffer_bytes = 16 * 1024;

} // namespace

struct slow_reader::state {
    state(net::loop& loop_to_use, slow_reader_settings values, std::function<void()> end_hook)
        : loop(loop_to_use), settings(std::move(values)), on_end(std::move(end_hook)),
          sent(loop.now())
    {
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser* from) {
            self_of(from).headers.clear();
            return 0;
        };
        callbacks.on_header_field = [](http_parser* from, const char* text, std::size_t size) {
            self_of(from).add_name({text, size});
            return 0;
        };
        callbacks.on_header_value = [](http_parser* from, const char* text, std::size_t size) {
            auto& self = self_of(from);
            self.headers.back().value.append(text, size);
            self.value_started = true;
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* from) {
            auto& self = self_of(from);
            const auto id = net::find_header(self.headers, "request-id").value_or("");
            self.answers[std::string(id)] = static_cast<int>(from->status_code);
            return 0;
        };
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
    }

    static state& self_of(http_parser* from) { return *static_cast<state*>(from->data); }

    void add_name(std::string_view text)
    {
        if (headers.empty() || value_started) {
            headers.emplace_back();
            value_started = false;
        }
        headers.back().name += text;
    }

    void open()
    {
        const auto target = net::detail::to_socket_address(settings.address);
        const auto* name = reinterpret_cast<const sockaddr*>(&target.bytes);
        descriptor = socket(name->sa_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof(receive_buffer_bytes));
        if (connect(descriptor, name, target.size) != 0) {
            throw std::runtime_error(std::string("no connection: ") + std::strerror(errno));
        }
    }

    void send_requests(const slow_reader& reader) const
    {
        std::string text;
        for (std::size_t i = 0; i < settings.requests; ++i) {
            text += "GET " + settings.path +
                    " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + reader.id_of(i) +
                    "\r\nDeadline-Ms: " + std::to_string(settings.time_budget.count()) +
                    "\r\nAnswer-Bytes: " + std::to_string(settings.answer_bytes) + "\r\n\r\n";
        }
        if (send(descriptor, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) !=
            static_cast<ssize_t>(text.size())) {
            throw std::runtime_error(std::string("not sent: ") + std::strerror(errno));
        }
    }

    void read_part()
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(loop.now() - sent).count();
        const auto allowed = settings.bytes_per_s * static_cast<std::size_t>(elapsed) / ms_per_s;
        std::array<char, 4096> buffer{};
        while (read_bytes < allowed) {
            const auto size = recv(descriptor, buffer.data(),
                                   std::min(buffer.size(), allowed - read_bytes), MSG_DONTWAIT);
            if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
                return;
            }
            if (size <= 0) {
                end();
                return;
            }
            read_bytes += static_cast<std::size_t>(size);
            http_parser_execute(&parser, &callbacks, buffer.data(), static_cast<std::size_t>(size));
        }
        if (answers.size() == settings.requests) {
            end();
        }
    }

    void end()
    {
        loop.cancel(timer);
        timer = 0;
        loop.defer([hook = std::exchange(on_end, {})] {
            if (hook) {
                hook();
            }
        });
    }

    net::loop& loop;
    slow_reader_settings settings;
    std::function<void()> on_end;
    time_point sent;
    std::map<std::string, int> answers;
    http_parser parser{};
    http_parser_settings callbacks{};
    net::header_list headers; ///< of the answer that is being read
    bool value_started = false;
    std::size_t read_bytes = 0;
    int descriptor = -1;
    net::loop::timer_id timer = 0;
};

slow_reader::slow_reader(net::loop& loop, slow_reader_settings settings,
                         std::function<void()> on_end)
    : state_(std::make_unique<state>(loop, std::move(settings), std::move(on_end)))
{
    state_->open();
    state_->send_requests(*this);
    state_->timer = loop.every(read_interval, [this] { state_->read_part(); });
}

slow_reader::~slow_reader()
{
    state_->loop.cancel(state_->timer);
    if (state_->descriptor >= 0) {
        close(state_->descriptor);
    }
}

const std::map<std::string, int>& slow_reader::answers() const
{
    return state_->answers;
}

time_point slow_reader::sent() const
{
    return state_->sent;
}

std::string slow_reader::id_of(std::size_t number) const
{
    return state_->settings.id_prefix + std::to_string(number);
}

const slow_reader_settings& slow_reader::settings() const
{
    return state_->settings;
}

} // namespace bulrushgw::standin
