#pragma once

/// Interface between the sidecar and the protocol of a platform: header names, and the encoding
/// and decoding of calls. An implementation only translates and makes no decisions.

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
#include "common/store_version.h"
#include "net/http.h"
#include "routing/evacuations.h"
#include "routing/manifest.h"

namespace bulrushgw::sidecar {

/// Names of the headers that the sidecar reads or sets.
struct header_names {
    std::string request_id;      ///< id of a client's request attempt, echoed in the answer
    std::string deadline;        ///< time left for the request, in ms
    std::string answer_seal;     ///< marks answers that the target itself generated
    std::string expected_target; ///< id of the intended target; others refuse the request
    std::string load;            ///< load of the target, see `platform_protocol::parse_load`
    /// Rest of the warm-up time, sent with answers to health checks, see
    /// `platform_protocol::parse_warm_up`.
    std::string warm_up;
    std::string not_run;     ///< marks answers to requests that the target did not run
    std::string retry_after; ///< in seconds, with decimals
    std::string caller;      ///< service on the host from which the request was sent
    std::string target_id;   ///< id of a target, sent with answers to health checks
    std::string shard_key;   ///< key of a request, a decimal number
    /// Handover token: a text that a target returns with its answer to a release, for the grant of
    /// the same keys to their next owner.
    std::string handover;
};

/// A periodic status message of a target.
struct heartbeat {
    assignment::target_status target;
    std::string address;
    std::uint64_t sequence = 0; ///< increases with each heartbeat of one run of the target
    std::optional<milliseconds> warm_up_left; ///< rest of the warm-up time; none: not given
};

/// Load of a target, as it reports with its answers.
struct target_load {
    std::uint32_t running = 0;        ///< requests that run
    std::uint32_t waiting = 0;        ///< requests that wait for a slot
    std::uint32_t slots = 0;          ///< requests that may run at once
    std::uint32_t work_percent = 100; ///< duration of work on the machine now; 100: as usual
};

/// A target's announcement that it stops.
struct deregistration {
    std::string target_id;
};

/// A call with an unknown method or path.
struct unknown_call {};

using control_call = std::variant<heartbeat, deregistration, unknown_call>;

/// A row of the store. Version 0: the row does not exist.
struct stored_row {
    std::uint64_t version = 0; ///< in the era of the answer
    std::string value;
};

/// The rows with the leaders' records, one for each era of the store in which a node led. A write
/// that the store carries out only after it has come back from an older copy changes the row of its
/// own era, and so cannot replace the record of the current one.
struct leader_rows {
    struct earlier_row {
        std::uint64_t record_era = 0; ///< era in which the record was written
        store_version version;        ///< of the row, in the current era
        std::string value;
    };

    store_version version; ///< of the current era's row; number 0: the row does not exist
    std::string value;
    std::vector<earlier_row> earlier; ///< sorted by `record_era`
};

/// Replaces the record of the era of `expected` if its row has that version; with number 0, if the
/// row does not exist. The rows of earlier eras must be unchanged as well, and are removed.
struct leader_write {
    store_version expected;
    std::vector<leader_rows::earlier_row> earlier;
    std::string value;
};

/// Changes of the manifest's row after a version of the store.
struct feed_page {
    std::vector<stored_row> rows; ///< latest state of the manifest's row; empty if unchanged
    std::uint64_t next = 0;       ///< version after which the next watch continues
};

/// An answer of the store that violates the platform's protocol.
struct store_format_error : error {
    using error::error;
};

/// All functions are pure and throw only the exceptions that are named here.
struct platform_protocol {
    header_names names;

    /// Decodes a call of the target on this host. Throws `parse_error` for an invalid body.
    std::function<control_call(const net::http_request&)> parse_control;
    /// Decode the values of `header_names::load` and `header_names::warm_up`. Return none if the
    /// value cannot be read.
    std::function<std::optional<target_load>(std::string_view value)> parse_load;
    std::function<std::optional<milliseconds>(std::string_view value)> parse_warm_up;
    /// Body of the answer to a control call.
    std::string confirmation;
    /// Path of readiness checks.
    std::string ready_path;

    /// Encode orders for the target: grants and releases of keys.
    std::function<net::http_request(const assignment::grant_order&)> grant;
    std::function<net::http_request(const assignment::release_order&)> release;

    /// Throws `routing::manifest_error`.
    std::function<routing::manifest(const std::string& text)> parse_manifest;

    /// Returns the era of the store from the headers of any answer; none: this store has no eras.
    /// Throws `store_format_error`.
    std::function<std::optional<std::uint64_t>(const net::header_list&)> parse_store_era;
    /// Encodes a call to the store that reads the rows with the leaders' records.
    std::function<net::http_request()> read_leader;
    std::function<net::http_request(const leader_write&)> write_leader;
    /// Encodes a call that reads the row with the manifest.
    std::function<net::http_request()> read_manifest;
    /// Encodes a call that waits for changes of these rows after version `after` of the store; the
    /// store answers within `wait`, also without a change.
    std::function<net::http_request(std::uint64_t after, milliseconds wait)> watch_manifest;
    /// Returns the rows from the body of a 200 answer to `read_leader` in this era. Throws
    /// `store_format_error`.
    std::function<leader_rows(const std::string& body, std::uint64_t era)> parse_leader;
    /// Returns the row from the body of a 200 answer to `read_manifest`. Throws
    /// `store_format_error`.
    std::function<stored_row(const std::string& body)> parse_manifest_row;
    /// Returns the version of the store, from the body of a 200 answer to a read or a write. It is
    /// the version at the time of the read, or after the write. Throws `store_format_error`.
    std::function<std::uint64_t(const std::string& body)> parse_version;
    /// Returns the changes from the body of a 200 answer to a watch. Throws `store_format_error`.
    std::function<feed_page(const std::string& body)> parse_feed;
    /// Returns the orders of evacuation from the body of a 200 answer to `read_manifest` or
    /// `watch_manifest` in this era. An unreadable row is left out. Throws `store_format_error`.
    std::function<routing::evacuation_rows(const std::string& body, std::uint64_t era)>
        parse_evacuations;
    /// HTTP status codes of the store's answers, apart from 200.
    int conflict_status = 0; ///< the row has another version; nothing was written
    /// The store no longer has all changes since the version `after` of a watch; read the row
    /// again.
    int history_lost_status = 0;
};

} // namespace bulrushgw::sidecar
