#pragma once

/// Frames of the inner protocol between nodes. One frame carries one message.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "assignment/types.h"
#include "common/boot_clock.h"
#include "common/errors.h"
#include "common/ids.h"
#include "ownership/messages.h"

namespace bulrushgw::wire {

struct frame_error : parse_error {
    using parse_error::parse_error;
};

/// A frame of another protocol version.
struct unknown_version : frame_error {
    using frame_error::frame_error;
};

/// A frame of this version with a message type that it does not define.
struct unknown_type : frame_error {
    using frame_error::frame_error;
};

inline constexpr std::uint8_t protocol_version = 4;
/// Bytes of the length that precedes each frame.
inline constexpr std::size_t length_bytes = 4;
/// Upper bound on the bytes after the length.
inline constexpr std::size_t max_frame_bytes = std::size_t{1024} * 1024;
/// Upper bound on the msgpack values of one frame. It bounds the memory that a
/// hostile frame of one-byte values takes while it is decoded.
inline constexpr std::size_t max_frame_values = std::size_t{256} * 1024;
/// Upper bound on nested arrays; the deepest message needs 7.
inline constexpr std::size_t max_frame_depth = 10;

using header_pairs = std::vector<std::pair<std::string, std::string>>;

/// A client's request on its way to the owner node.
struct forward {
    std::uint64_t number = 0; ///< unique for the sender's incarnation
    std::string service;
    std::string route; ///< name of the route; requests of one route take similar time
    range_id range;
    std::string key;
    std::string request_id;
    std::uint32_t attempt = 1;
    bool idempotent = false;
    std::uint32_t worth = 1;
    milliseconds deadline{0}; ///< time left when the frame was written
    milliseconds aim{0};      ///< time left in which an answer is worth most
    std::string method;
    std::string path;
    header_pairs headers;
    std::string body;
};

enum class forward_outcome : std::uint8_t { answered, not_run, unknown, not_owner };

struct forward_reply {
    std::uint64_t number = 0;
    std::string request_id;
    forward_outcome outcome = forward_outcome::unknown;
    std::string reason;
    placement_version version;   ///< with not_owner: what the answering node has
    std::uint32_t load = 0;      ///< requests at the target, running and queued
    milliseconds retry_after{0}; ///< with not_run: when there will be room
    int status = 0;
    header_pairs headers;
    std::string body;
};

/// The client went away or its deadline passed.
struct cancel {
    std::uint64_t number = 0;
};

/// The sender's latest requests to the receiver got no reply: the receiver's connection
/// to it may be lost without a sign.
struct no_replies {
    std::uint64_t requests = 0; ///< in a row
};

/// Asks for a `probe_reply` with the same number, to see whether connections work.
struct probe {
    std::uint64_t number = 0;
};

struct probe_reply {
    std::uint64_t number = 0;
};

struct rules_pull {
    std::uint64_t version = 0; ///< the version wanted
};

struct rules_text {
    std::uint64_t version = 0;
    std::string digest;
    std::string text;
    std::string record; ///< JSON of the row `rules/head` at that version
};

/// Why a peer closes the connection.
struct protocol_failure {
    std::string reason;
};

using body =
    std::variant<ownership::message, forward, forward_reply, cancel, rules_pull, rules_text,
                 protocol_failure, assignment::report, assignment::report_reply,
                 assignment::leader_hint, assignment::directory_update, assignment::lead_request,
                 no_replies, probe, probe_reply, assignment::confirm_request>;

/// `to` none: the sender knows only the address. A receiver with another
/// incarnation drops frames that name one, except for forwards, which it
/// answers with not_owner.
struct frame {
    incarnation_id from;
    incarnation_id to;
    std::string reply_address; ///< inner address of the sender
    body content;
};

/// Name of the type of a message, by its index in `body`, for logs and metrics.
/// Precondition: `index` is below the number of types. Thread-safe.
std::string_view type_name(std::size_t index);

/// Bytes of a frame including its 4-byte length. Throws `frame_error` for a frame
/// above `max_frame_bytes` or `max_frame_values`. Thread-safe.
std::string encode(const frame& frame);

/// The length in the first `length_bytes` bytes. Thread-safe.
std::size_t decode_length(const char* bytes);

/// Decodes the bytes after the length. Throws `frame_error` for anything that
/// is not exactly one frame of this protocol version. Allocates in proportion to
/// `size`, whatever lengths the bytes announce. Thread-safe.
frame decode(const char* bytes, std::size_t size);

} // namespace bulrushgw::wire
