#include "sidecar/journal.h"

#include <algorithm>
#include <chrono>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include "common/wall_time.h"

namespace bulrushgw::sidecar {

namespace {

/// Bytes that a writable pipe accepts without blocking (PIPE_BUF of Linux).
constexpr std::size_t max_write = 4096;
constexpr milliseconds second_length{1000};

} // namespace

line_sink descriptor_sink(int descriptor)
{
    return [descriptor](std::string_view bytes) -> std::size_t {
        std::size_t done = 0;
        while (done < bytes.size()) {
            pollfd ready{descriptor, POLLOUT, 0};
            if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
                break;
            }
            const auto size = std::min(max_write, bytes.size() - done);
            const auto written = ::write(descriptor, bytes.data() + done, size);
            if (written <= 0) {
                break;
            }
            done += static_cast<std::size_t>(written);
        }
        return done;
    };
}

journal::journal(std::string host, line_sink sink, journal_limits limits)
    : host_(std::move(host)), sink_(std::move(sink)), limits_(limits)
{
}

void journal::begin_second(time_point now)
{
    if (now - second_start_ < second_length) {
        return;
    }
    second_start_ = now;
    for (const auto& [event, count] : std::exchange(counts_, {})) {
        if (count.withheld > 0) {
            append(now, "lines_withheld", {{"of", event}, {"count", count.withheld}});
        }
    }
}

void journal::write(time_point now, std::string_view event, const fields& details)
{
    begin_second(now);
    auto found = counts_.find(event);
    if (found == counts_.end()) {
        found = counts_.emplace(std::string(event), event_count{}).first;
    }
    if (found->second.written >= limits_.lines_per_event) {
        ++found->second.withheld;
        return;
    }
    ++found->second.written;
    append(now, event, details);
}

void journal::append(time_point, std::string_view event, const fields& details)
{
    fields line{{"time", rfc3339(std::chrono::system_clock::now())},
                {"host", host_},
                {"incarnation", to_string(self_)},
                {"event", event}};
    line.update(details);
    const std::string text = line.dump(-1, ' ', false, fields::error_handler_t::replace) + "\n";
    if (buffer_.size() + text.size() > limits_.buffer_bytes) {
        ++dropped_;
        return;
    }
    buffer_ += text;
}

void journal::flush(time_point now)
{
    begin_second(now);
    if (dropped_ != dropped_reported_ && buffer_.size() < limits_.buffer_bytes / 2) {
        append(now, "lines_dropped", {{"count", dropped_ - dropped_reported_}});
        dropped_reported_ = dropped_;
    }
    if (!buffer_.empty()) {
        buffer_.erase(0, sink_(buffer_));
    }
}

} // namespace bulrushgw::sidecar
