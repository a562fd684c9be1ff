#pragma once

/// Structured log of a sidecar: one JSON object per line on standard output. Logging never blocks
/// on the reader: lines that do not fit into the buffer are dropped and counted, and a line
/// reports their number once there is space again.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::sidecar {

struct journal_limits {
    std::size_t buffer_bytes = std::size_t{64} * 1024; ///< limit for lines not yet written
    /// Limit for the lines of one event per second; further lines are withheld and counted.
    std::uint32_t lines_per_event = 50;
};

/// Writes as many bytes as possible without blocking and returns their number.
using line_sink = std::function<std::size_t(std::string_view bytes)>;

/// A sink on a file descriptor, such as standard output.
line_sink descriptor_sink(int descriptor);

/// Not thread-safe.
class journal {
public:
    using fields = nlohmann::ordered_json;

    journal(std::string host, line_sink sink, journal_limits limits = {});

    void set_incarnation(incarnation_id self) { self_ = self; }
    /// Appends a line to the buffer. `details` is a JSON object.
    void write(time_point now, std::string_view event, const fields& details);
    /// Writes the buffered lines and reports the number of dropped lines.
    void flush(time_point now);
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    struct event_count {
        std::uint32_t written = 0;
        std::uint32_t withheld = 0;
    };

    void append(time_point now, std::string_view event, const fields& details);
    void begin_second(time_point now);

    std::string host_;
    line_sink sink_;
    journal_limits limits_;
    incarnation_id self_;
    std::string buffer_;
    time_point second_start_{};
    std::map<std::string, event_count, std::less<>> counts_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

} // namespace bulrushgw::sidecar
