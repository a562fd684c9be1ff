#pragma once

/// Messages and frames of the protocol between nodes. One frame carries one message.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
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

/// Bytes that are not a valid frame, or a frame above a size limit.
struct frame_error : parse_error {
    using parse_error::parse_error;
};

/// The frame has another protocol version.
struct unknown_version : frame_error {
    using frame_error::frame_error;
};

/// The frame has this protocol version, but a message type that the version does not define.
struct unknown_type : frame_error {
    using frame_error::frame_error;
};

inline constexpr std::uint8_t protocol_version = 7;
/// Size of the length prefix of each frame.
inline constexpr std::size_t length_bytes = 4;
/// Upper bound on the bytes of a frame after its length prefix.
inline constexpr std::size_t max_frame_bytes = std::size_t{1024} * 1024;
/// Upper bound on the msgpack values of one frame. It limits the memory for decoding a malicious
/// frame of one-byte values.
inline constexpr std::size_t max_frame_values = std::size_t{256} * 1024;
/// Upper bound on each duration in a frame: deadlines, latency goals, retry delays and ages. Longer
/// ones are encoded as this, since a receiver refuses them.
inline constexpr milliseconds max_duration = std::chrono::hours{24};
/// Upper bound on the nesting of arrays; the most deeply nested message needs 7 levels.
inline constexpr std::size_t max_frame_depth = 10;

using header_pairs = std::vector<std::pair<std::string, std::string>>;

/// A client's request, forwarded to the owner node.
struct forward {
    std::uint64_t number = 0; ///< unique among the requests of the sender's incarnation
    std::string service;
    std::string route; ///< name of the route; requests of one route take a similar time to run
    range_id range;
    std::string key;
    std::string request_id;
    std::uint32_t attempt = 1;
    bool idempotent = false;
    /// Priority of the route. Between processes of `bulrushgw node`, it is the worth in the rules,
    /// and the highest goes first. Between sidecars, it is the rank in the manifest, and 0 goes
    /// first.
    std::uint32_t worth = 1;
    milliseconds deadline{0}; ///< time left until the deadline when the frame was written
    milliseconds aim{0};      ///< time left until the latency goal when the frame was written
    std::string method;
    std::string path;
    header_pairs headers;
    std::string body;
    /// Another target can probably run the request if this one warms up.
    bool has_alternative = false;
    /// Size of the body, if it follows in `forward_part` messages; `body` is then empty. 0: the
    /// request is complete.
    std::uint64_t body_bytes = 0;
    /// Not sent: the body of a request that stays in this process, in place of `body`. It avoids a
    /// copy while the entry keeps the body for a repetition.
    std::shared_ptr<const std::string> shared_body{};
};

/// A part of the body of the `forward` with this number, after that message. The body is the sum of
/// its parts in the order of their indexes.
struct forward_part {
    std::uint64_t number = 0;
    std::uint64_t index = 0; ///< from 0, without gaps
    std::string bytes;
};

/// Allows the sender of the `forward` with this number to send its body, up to `bytes` in total.
struct forward_credit {
    std::uint64_t number = 0;
    std::uint64_t bytes = 0;
};

enum class forward_outcome : std::uint8_t { answered, not_run, unknown, not_owner };

/// Reply to a `forward` with the same number.
struct forward_reply {
    std::uint64_t number = 0;
    std::string request_id;
    forward_outcome outcome = forward_outcome::unknown;
    std::string reason;
    placement_version version; ///< with not_owner: of the placement known to the replying node
    std::uint32_t load = 0;    ///< requests running and queued at the target
    milliseconds retry_after{
        0}; ///< with not_run: time until the target is expected to accept requests
    int status = 0;
    header_pairs headers;
    std::string body;
    /// Current duration of work on the target's machine in percent of the usual one.
    std::uint32_t work_percent = 100;
    /// Time after which the replying host would accept a body of 64 KiB that is announced now.
    milliseconds intake_wait{0};
};

/// Cancels the `forward` with this number: the client disconnected or its deadline passed. Between
/// sidecars, the receiver replies with `not_run` and reason `cancelled-not-sent` if the request has
/// certainly not been sent to the target and never will be. Otherwise it does not reply.
struct cancel {
    std::uint64_t number = 0;
};

/// Tells the receiver that the sender's latest requests to it got no reply. The connection from the
/// receiver to the sender may be lost, although TCP reports no failure.
struct no_replies {
    std::uint64_t requests = 0; ///< consecutive requests without a reply
};

/// Requests a `probe_reply` with the same number, to test the connections in both directions.
struct probe {
    std::uint64_t number = 0;
};

struct probe_reply {
    std::uint64_t number = 0;
};

/// Requests the `rules_text` of a version.
struct rules_pull {
    std::uint64_t version = 0; ///< the requested version
};

/// One version of the rules.
struct rules_text {
    std::uint64_t version = 0;
    std::string digest;
    std::string text;
    std::string record; ///< JSON of the row `rules/head` at that version
};

/// Tells the sender of a frame that cannot be accepted why its connection is about to be closed.
struct protocol_failure {
    std::string reason;
};

using body = std::variant<ownership::message, forward, forward_reply, cancel, rules_pull,
                          rules_text, protocol_failure, assignment::report,
                          assignment::report_reply, assignment::leader_hint,
                          assignment::directory_update, assignment::lead_request, no_replies, probe,
                          probe_reply, assignment::confirm_request, assignment::leadership_notice,
                          assignment::leadership_transfer, forward_part, forward_credit>;

/// A message with its sender and receiver. `to` is none if the sender knows only the address. If
/// `to` is another incarnation than that of the receiver, the receiver drops the frame, but answers
/// a `forward` with not_owner.
struct frame {
    incarnation_id from;
    incarnation_id to;
    std::string reply_address; ///< address of the sender for frames, "IP:port"
    body content;
};

/// Name of a message type for logs and metrics, by the index of the alternative in `body`.
/// Precondition: `index` is below the number of alternatives. Thread-safe.
std::string_view type_name(std::size_t index);

/// Encodes a frame with its 4-byte length prefix. Throws `frame_error` for a frame above
/// `max_frame_bytes` or `max_frame_values`. Thread-safe.
std::string encode(const frame& frame);

/// Reads a length prefix. Precondition: `bytes` has at least `length_bytes` bytes. Thread-safe.
std::size_t decode_length(const char* bytes);

/// Decodes the bytes after the length prefix. Throws `frame_error` for anything other than exactly
/// one frame of this protocol version. Allocates memory in proportion to `size`, independent of
/// the sizes that the bytes announce. Thread-safe.
frame decode(const char* bytes, std::size_t size);

} // namespace bulrushgw::wire
