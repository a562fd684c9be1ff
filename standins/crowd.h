#pragma once

/// Crowds of clients, or of peers, that make a process hold as much memory as it lets them. Used by
/// the tests of memory bounds; a crowd is bounded in connections and time.

#include <cstddef>
#include <cstdint>
#include <string>

#include "common/boot_clock.h"
#include "net/http.h"

namespace bulrushgw::standin {

struct crowd_options {
    /// One of `crowd_kinds`.
    std::string kind;
    net::endpoint address;
    std::size_t connections = 200; ///< open at a time
    /// Times that each connection is opened: a client whose connection is closed comes back.
    std::size_t attempts = 3;
    std::size_t body_bytes = 900000; ///< of one request, where the kind has bodies that end
    std::string host = "h.example";
    std::string path = "/desk/crowd";
    milliseconds duration{5000}; ///< the crowd leaves after this time at the latest
};

/// What one connection sends: `opening`, then `repeated` as many times as `repetitions` says. The
/// connection then stays open.
struct crowd_script {
    std::string opening;
    std::string repeated;
    std::size_t repetitions = 0;
    bool reads_answers = true;
};

struct crowd_counters {
    std::uint64_t connects = 0;
    std::uint64_t closed = 0; ///< connections that the server closed or refused
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Names and descriptions of the kinds, one on a line.
std::string crowd_kinds();

/// The script of one connection, with a number that is unique in the crowd. Throws `parse_error`
/// for an unknown kind.
crowd_script make_crowd_script(const crowd_options& options, std::size_t number);

/// Plays the crowd until all its connections have been closed `attempts` times or its time is over.
/// Blocks. Throws `parse_error` for an unknown kind and `net::address_error`.
crowd_counters run_crowd(const crowd_options& options);

} // namespace bulrushgw::standin
