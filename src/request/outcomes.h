#pragma once

/// Outcomes and reasons with which a request can end, and the HTTP status for each.
/// docs/overload.md documents them for clients.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushgw::request {

enum class outcome : std::uint8_t {
    answered, ///< the client gets the complete answer of the target, with its status
    not_run,  ///< the request certainly did not run
    unknown,  ///< the request may have run
};

enum class reason : std::uint8_t {
    none, ///< answered by the target
    replayed,
    no_route,
    method_not_allowed,
    bad_key,
    bad_path,
    missing_request_id,
    bad_request_id,
    bad_attempt,
    bad_deadline,
    request_id_reused,
    body_too_large,
    headers_too_large,
    no_rules,
    overloaded,
    draining,
    target_silent,
    no_target,
    target_refused,
    stale_fence,
    not_owner,
    no_owner,
    lease_over,
    peer_unreachable,
    deadline_not_sent,
    cancelled_not_sent,
    history_full,
    zone_evacuated,
    no_target_in_region,
    warming_up,
    in_progress,
    history_lost,
    answer_not_kept,
    deadline_sent,
    cancelled_sent,
    connection_lost,
    malformed_answer,
    shut_down,
};

struct reason_info {
    reason value;
    outcome result;
    int status; ///< HTTP status; 0: the status from the target
    std::string_view text;
};

/// One row for each reason, in the order of the enumeration.
inline constexpr std::array reason_table{
    reason_info{reason::none, outcome::answered, 0, "none"},
    reason_info{reason::replayed, outcome::answered, 0, "replayed"},
    reason_info{reason::no_route, outcome::not_run, 404, "no-route"},
    reason_info{reason::method_not_allowed, outcome::not_run, 400, "method-not-allowed"},
    reason_info{reason::bad_key, outcome::not_run, 400, "bad-key"},
    reason_info{reason::bad_path, outcome::not_run, 400, "bad-path"},
    reason_info{reason::missing_request_id, outcome::not_run, 400, "missing-request-id"},
    reason_info{reason::bad_request_id, outcome::not_run, 400, "bad-request-id"},
    reason_info{reason::bad_attempt, outcome::not_run, 400, "bad-attempt"},
    reason_info{reason::bad_deadline, outcome::not_run, 400, "bad-deadline"},
    reason_info{reason::request_id_reused, outcome::not_run, 409, "request-id-reused"},
    reason_info{reason::body_too_large, outcome::not_run, 413, "body-too-large"},
    reason_info{reason::headers_too_large, outcome::not_run, 431, "headers-too-large"},
    reason_info{reason::no_rules, outcome::not_run, 503, "no-rules"},
    reason_info{reason::overloaded, outcome::not_run, 503, "overloaded"},
    reason_info{reason::draining, outcome::not_run, 503, "draining"},
    reason_info{reason::target_silent, outcome::not_run, 503, "target-silent"},
    reason_info{reason::no_target, outcome::not_run, 503, "no-target"},
    reason_info{reason::target_refused, outcome::not_run, 503, "target-refused"},
    reason_info{reason::stale_fence, outcome::not_run, 503, "stale-fence"},
    reason_info{reason::not_owner, outcome::not_run, 503, "not-owner"},
    reason_info{reason::no_owner, outcome::not_run, 503, "no-owner"},
    reason_info{reason::lease_over, outcome::not_run, 503, "lease-over"},
    reason_info{reason::peer_unreachable, outcome::not_run, 503, "peer-unreachable"},
    reason_info{reason::deadline_not_sent, outcome::not_run, 503, "deadline-not-sent"},
    reason_info{reason::cancelled_not_sent, outcome::not_run, 503, "cancelled-not-sent"},
    reason_info{reason::history_full, outcome::not_run, 503, "history-full"},
    reason_info{reason::zone_evacuated, outcome::not_run, 503, "zone-evacuated"},
    reason_info{reason::no_target_in_region, outcome::not_run, 503, "no-target-in-region"},
    reason_info{reason::warming_up, outcome::not_run, 503, "warming-up"},
    reason_info{reason::in_progress, outcome::unknown, 409, "in-progress"},
    reason_info{reason::history_lost, outcome::unknown, 409, "history-lost"},
    reason_info{reason::answer_not_kept, outcome::unknown, 409, "answer-not-kept"},
    reason_info{reason::deadline_sent, outcome::unknown, 502, "deadline-sent"},
    reason_info{reason::cancelled_sent, outcome::unknown, 502, "cancelled-sent"},
    reason_info{reason::connection_lost, outcome::unknown, 502, "connection-lost"},
    reason_info{reason::malformed_answer, outcome::unknown, 502, "malformed-answer"},
    reason_info{reason::shut_down, outcome::unknown, 502, "shut-down"},
};

constexpr const reason_info& info_of(reason value)
{
    return reason_table[static_cast<std::size_t>(value)];
}

/// The value of `Bulrush-Outcome`.
constexpr std::string_view to_text(outcome value)
{
    switch (value) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

/// The value of `Bulrush-Reason`.
constexpr std::string_view to_text(reason value)
{
    return info_of(value).text;
}

/// The reason with this text, or `fallback` if the text is unknown. Peers of another build may send
/// reasons that this build does not have.
constexpr reason reason_of(std::string_view text, reason fallback)
{
    for (const auto& row : reason_table) {
        if (row.text == text) {
            return row.value;
        }
    }
    return fallback;
}

} // namespace bulrushgw::request
