#pragma once

/// What an answer of the target says of its request. Pure.

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

/// Whether the head is of the answer to the request with `request_id`. A target may send
/// a second copy of an earlier answer first, which only the echoed id tells apart; one
/// that bears the target's mark without an id may be of any request of its connection.
/// Thread-safe.
net::head_verdict judge_head(const header_names& names, const net::http_response& head,
                             std::string_view request_id, bool is_first);

/// `answered` only for an answer that may be passed on as it is. Thread-safe.
answer_verdict judge_answer(const header_names& names, const net::http_response& answer);

} // namespace bulrushgw::sidecar
