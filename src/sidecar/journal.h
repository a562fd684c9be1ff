#pragma once

/// Structured log of a sidecar: one JSON object a line on standard output. It never
/// waits for the reader: lines that do not fit are dropped, counted, and reported
/// by a line once there is room again.

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
    std::size_t buffer_bytes = std::size_t{64} * 1024; ///< of lines not yet written
    /// Lines of one event in one second; further ones are counted.
    std::uint32_t lines_per_event = 50;
};

/// Writes as many bytes as the reader takes without waiting; returns their number.
using line_sink = std::function<std::size_t(std::string_view bytes)>;

/// A sink on a file descriptor, such as standard output.
line_sink descriptor_sink(int descriptor);

/// Not thread-safe.
class journal {
public:
    using fields = nlohmann::ordered_json;

    journal(std::string host, line_sink sink, journal_limits limits = {});

    void set_incarnation(incarnation_id self) { self_ = self; }
    /// `details` is a JSON object.
    void write(time_point now, std::string_view event, const fields& details);
    /// Writes what is buffered and reports dropped lines.
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
    time_point second_{};
    std::map<std::string, event_count, std::less<>> counts_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

} // namespace bulrushgw::sidecar
