#pragma once

/// What a platform must tell the sidecar: its header names and how its calls read
/// and write. An implementation translates and decides nothing.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "assignment/member.h"
#include "assignment/types.h"
#include "common/errors.h"
#include "net/http.h"
#include "routing/manifest.h"

namespace bulrushgw::sidecar {

/// Names of the headers that the sidecar reads or sets.
struct header_names {
    std::string request_id;      ///< of a client's attempt, echoed in the answer
    std::string deadline;        ///< time left in ms
    std::string answer_seal;     ///< the target's mark of its own answers
    std::string expected_target; ///< id; any other target refuses
    std::string load;            ///< of a target, with its answers
    std::string not_run;         ///< the target did not run the request
    std::string retry_after;     ///< seconds, with a fraction
    std::string caller;          ///< service on the host where the request began
    std::string target_id;       ///< in answers to health questions
    std::string shard_key;
    std::string handover; ///< token in the answer to a release
};

/// What a target says of itself.
struct heartbeat {
    assignment::target_status target;
    std::string address;
    std::uint64_t sequence = 0;
    milliseconds warm_up_left{0};
};

/// A target says that it ends.
struct deregistration {
    std::string target_id;
};

/// A call that no known form fits.
struct unknown_call {};

using control_call = std::variant<heartbeat, deregistration, unknown_call>;

/// A row of the store. Version 0: it does not exist.
struct stored_row {
    std::uint64_t version = 0;
    std::string value;
};

struct feed_page {
    std::vector<stored_row> rows; ///< newest state of the manifest's row, if changed
    std::uint64_t next = 0;       ///< version to continue after
};

/// An answer of the store that does not follow its protocol.
struct store_format_error : error {
    using error::error;
};

/// All functions are pure and may throw only what they name.
struct platform_protocol {
    header_names names;

    /// The call of a target on this host. Throws `parse_error` for a body that
    /// cannot be read: it names no target to use.
    std::function<control_call(const net::http_request&)> parse_control;
    /// Body of the answer that confirms a control call.
    std::string confirmation;
    std::string ready_path;

    std::function<net::http_request(const assignment::grant_order&)> grant;
    std::function<net::http_request(const assignment::release_order&)> release;

    /// Throws `routing::manifest_error`.
    std::function<routing::manifest(const std::string& text)> parse_manifest;

    /// The row that records the leader.
    std::function<net::http_request()> read_leader;
    /// Writes it if it still has `version`.
    std::function<net::http_request(std::uint64_t version, const std::string& value)> write_leader;
    std::function<net::http_request()> read_manifest;
    /// Changes of the manifest after a version; the store answers within `wait`.
    std::function<net::http_request(std::uint64_t after, milliseconds wait)> watch_manifest;
    /// Body of a 200 answer to a read. Throws `store_format_error`.
    std::function<stored_row(const std::string& body)> parse_row;
    /// The version of the whole store that a read was made at.
    std::function<std::uint64_t(const std::string& body)> parse_version;
    std::function<feed_page(const std::string& body)> parse_feed;
    /// Statuses of the store beside 200.
    int conflict_status = 0;     ///< the row has another version
    int history_lost_status = 0; ///< the watch must begin anew
};

} // namespace bulrushgw::sidecar
