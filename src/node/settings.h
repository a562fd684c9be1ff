#pragma once

/// Settings of a node: a JSON object that is validated as a whole before the node starts.
/// `settings_fields` defines all fields; the parser, `bulrushgw node --print-settings` and the
/// table in docs/operators.md are derived from it.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "net/http.h"
#include "ownership/types.h"

namespace bulrushgw::node {

enum class log_level { debug, info, warn, error };

struct node_addresses {
    net::endpoint clients;   ///< requests of clients
    net::endpoint operators; ///< operator interface and metrics
    net::endpoint inner;     ///< inner protocol between nodes
    net::endpoint announce;  ///< announcements of the target on this host
};

struct node_limits {
    std::size_t body_bytes = 0;      ///< body size of one client request
    std::size_t header_bytes = 0;    ///< total size of the headers of one client request
    std::size_t queue = 0;           ///< maximum queued requests, even if the rules allow more
    std::size_t connections = 0;     ///< client connections
    std::size_t duplicate_bytes = 0; ///< memory for stored request ids and outcomes
};

/// Result of `parse_settings`. A default-constructed value is not valid.
struct settings {
    std::string host;
    std::string zone;
    std::string region;
    node_addresses addresses;
    net::endpoint store;
    /// Number of nodes assumed to share the store budget until the node directory is known.
    std::size_t store_nodes = 0;
    std::vector<net::endpoint> join_peers;
    ownership::lease_times lease;
    node_limits limits;
    log_level level = log_level::info;
    std::size_t audit_per_minute = 0; ///< maximum number of audit rows written per minute
};

/// A problem in a settings file.
struct settings_problem {
    std::string file;
    std::string field; ///< path such as "lease.renewal"; empty for a problem of the whole file
    std::string found;
    std::string expected;
};

/// Reports all problems of a settings file. `what` returns one line per problem.
struct settings_error : error {
    explicit settings_error(std::vector<settings_problem> all);
    std::vector<settings_problem> problems;
};

/// A settings file that cannot be read.
struct settings_file_error : error {
    using error::error;
};

enum class field_kind {
    text,         ///< non-empty string
    address,      ///< "IP:port"
    address_list, ///< array of "IP:port"
    duration,     ///< string with the unit ms, s or min
    size,         ///< string with the unit B, KiB or MiB
    count,        ///< integer without a unit
    level,        ///< "debug", "info", "warn" or "error"
};

using field_member = std::variant<std::string*, net::endpoint*, std::vector<net::endpoint>*,
                                  milliseconds*, std::size_t*, unsigned*, log_level*>;

struct settings_field {
    std::string_view path;
    field_kind kind = field_kind::text;
    std::string_view default_json; ///< default value as JSON; empty for a required field
    /// Valid range in milliseconds, bytes, number of addresses or a plain count. For text, the
    /// maximum is in bytes and the minimum is not used.
    std::int64_t min_value = 0;
    std::int64_t max_value = 0;
    std::string_view help;
    field_member (*member)(settings&) = nullptr; ///< returns the member that holds the value
};

inline constexpr std::int64_t kibibyte = 1024;
inline constexpr std::int64_t mebibyte = 1024 * kibibyte;

// clang-format off
inline constexpr std::array settings_fields{
    settings_field{"host", field_kind::text, "", 1, 255,
        "name of this host in the node directory",
        [](settings& s) -> field_member { return &s.host; }},
    settings_field{"zone", field_kind::text, "", 1, 255,
        "availability zone of this host",
        [](settings& s) -> field_member { return &s.zone; }},
    settings_field{"region", field_kind::text, "", 1, 255,
        "region of the availability zone",
        [](settings& s) -> field_member { return &s.region; }},
    settings_field{"addresses.clients", field_kind::address, "", 0, 0,
        "address that accepts the requests of clients",
        [](settings& s) -> field_member { return &s.addresses.clients; }},
    settings_field{"addresses.operator", field_kind::address, "", 0, 0,
        "address of the operator interface and of /metrics",
        [](settings& s) -> field_member { return &s.addresses.operators; }},
    settings_field{"addresses.inner", field_kind::address, "", 0, 0,
        "address of the protocol between nodes",
        [](settings& s) -> field_member { return &s.addresses.inner; }},
    settings_field{"addresses.announce", field_kind::address, "", 0, 0,
        "address at which the target on this host announces itself",
        [](settings& s) -> field_member { return &s.addresses.announce; }},
    settings_field{"store.address", field_kind::address, "", 0, 0,
        "address of the platform store",
        [](settings& s) -> field_member { return &s.store; }},
    settings_field{"store.nodes", field_kind::count, "32", 1, 100000,
        "nodes that share the store budget, until the node directory is known",
        [](settings& s) -> field_member { return &s.store_nodes; }},
    settings_field{"join_peers", field_kind::address_list, "[]", 0, 16,
        "inner addresses of nodes to join through while the store is down",
        [](settings& s) -> field_member { return &s.join_peers; }},
    settings_field{"lease.renewal", field_kind::duration, "\"200ms\"", 50, 10000,
        "period between two renewals of the lease",
        [](settings& s) -> field_member { return &s.lease.renewal; }},
    settings_field{"lease.length", field_kind::duration, "\"1200ms\"", 300, 60000,
        "duration of the lease from the time at which a renewal is sent",
        [](settings& s) -> field_member { return &s.lease.lease; }},
    settings_field{"lease.drift_permille", field_kind::count, "10", 1, 100,
        "maximum relative drift of two hosts' boot clocks, in parts per thousand",
        [](settings& s) -> field_member { return &s.lease.drift_permille; }},
    settings_field{"lease.tick", field_kind::duration, "\"20ms\"", 5, 1000,
        "period of the lease timer",
        [](settings& s) -> field_member { return &s.lease.tick; }},
    settings_field{"lease.pause_threshold", field_kind::duration, "\"500ms\"", 100, 30000,
        "delay of the lease timer above which a pause of the process is reported",
        [](settings& s) -> field_member { return &s.lease.pause_threshold; }},
    settings_field{"lease.digest_interval", field_kind::duration, "\"1s\"", 100, 60000,
        "period between two comparisons of shared state with random peers",
        [](settings& s) -> field_member { return &s.lease.digest_interval; }},
    settings_field{"limits.body", field_kind::size, "\"256KiB\"", kibibyte, 768 * kibibyte,
        "maximum body size of a client request; a frame between nodes holds at most 1 MiB",
        [](settings& s) -> field_member { return &s.limits.body_bytes; }},
    settings_field{"limits.header", field_kind::size, "\"16KiB\"", kibibyte, 64 * kibibyte,
        "maximum total size of the headers of a client request",
        [](settings& s) -> field_member { return &s.limits.header_bytes; }},
    settings_field{"limits.queue", field_kind::count, "1024", 1, 100000,
        "maximum number of requests queued for the target, even if the rules allow more",
        [](settings& s) -> field_member { return &s.limits.queue; }},
    settings_field{"limits.connections", field_kind::count, "1000", 1, 60000,
        "maximum number of client connections",
        [](settings& s) -> field_member { return &s.limits.connections; }},
    settings_field{"limits.duplicate_table", field_kind::size, "\"16MiB\"", 64 * kibibyte, 48 * mebibyte,
        "memory for the request ids and outcomes of non-idempotent requests",
        [](settings& s) -> field_member { return &s.limits.duplicate_bytes; }},
    settings_field{"log_level", field_kind::level, "\"info\"", 0, 0,
        "minimum severity of the log lines that are written",
        [](settings& s) -> field_member { return &s.level; }},
    settings_field{"audit_rows_per_minute", field_kind::count, "6", 0, 600,
        "maximum number of audit rows that this node writes to the store per minute; 0 disables them",
        [](settings& s) -> field_member { return &s.audit_per_minute; }},
};
// clang-format on

/// Parses and validates settings. `file` is only used to report problems. Throws `settings_error`
/// with all problems. Thread-safe.
settings parse_settings(const std::string& text, const std::string& file);

/// Reads and parses a file. Throws `settings_file_error` or `settings_error`.
settings load_settings(const std::string& path);

/// Formats the settings, including default values, as JSON that `parse_settings` accepts.
std::string print_settings(const settings& values);

/// The Markdown table of settings in docs/operators.md, with one row for each field.
std::string settings_markdown();

} // namespace bulrushgw::node
