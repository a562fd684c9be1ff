#pragma once

/// Interpretation of the target's answers to requests. Pure functions.

#include <string_view>

#include "net/http.h"
#include "request/outcomes.h"
#include "sidecar/protocol.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

struct answer_verdict {
    wire::forward_outcome outcome = wire::forward_outcome::unknown;
    request::reason why = request::reason::none;
};

/// Decides whether a response head belongs to the request with `request_id`. Before the answer to
/// this request, a target may send a second copy of an earlier answer. Only the echoed id
/// distinguishes the two, so a head with another id is skipped. A head without an id that is marked
/// by `header_names::answer_seal` or `not_run`, or whose status says that the request has not run,
/// may belong to any request on its connection. Such a head is refused, unless the request has no
/// id or `is_new_connection` is true (no earlier call received its response on the connection, see
/// `net::http_client::send`). The connection is closed after each answer without an id.
/// Thread-safe.
net::head_verdict judge_head(const header_names& names, const net::http_response& head,
                             std::string_view request_id, bool is_new_connection);

/// Returns `answered` only for an answer that may be passed on unchanged. Thread-safe.
answer_verdict judge_answer(const header_names& names, const net::http_response& answer);

/// True if the answer says that the target is another one than `expected_id`. Thread-safe.
bool is_from_other_target(const header_names& names, const net::http_response& answer,
                          std::string_view expected_id);

} // namespace bulrushgw::sidecar
