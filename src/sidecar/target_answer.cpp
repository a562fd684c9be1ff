#include "sidecar/target_answer.h"

#include <algorithm>
#include <array>

namespace bulrushgw::sidecar {

namespace {

using request::reason;

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int status_misdirected = 421;
/// Status codes that callers interpret as "the request has not run".
constexpr std::array<int, 4> not_run_statuses{408, status_misdirected, 429, 503};

bool is_refusal(int status)
{
    return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) !=
           not_run_statuses.end();
}

} // namespace

net::head_verdict judge_head(const header_names& names, const net::http_response& head,
                             std::string_view request_id, bool is_new_connection)
{
    const auto echo = net::find_header(head.headers, names.request_id);
    if (echo) {
        return *echo == request_id ? net::head_verdict::accept : net::head_verdict::skip;
    }
    const bool is_marked = net::find_header(head.headers, names.answer_seal).has_value() ||
                           net::find_header(head.headers, names.not_run).has_value();
    const bool may_be_copy = !is_new_connection && !request_id.empty();
    if (may_be_copy && (is_marked || is_refusal(head.status))) {
        return net::head_verdict::refuse;
    }
    // A copy of this answer could not be told from the answer to the next request.
    return net::head_verdict::accept_last;
}

answer_verdict judge_answer(const header_names& names, const net::http_response& answer)
{
    const auto has = [&](const std::string& name) {
        return net::find_header(answer.headers, name).has_value();
    };
    if (has(names.not_run) || answer.status == status_misdirected) {
        return {wire::forward_outcome::not_run, reason::target_refused};
    }
    const bool success = answer.status >= first_success && answer.status < first_redirect;
    const auto encoding = net::find_header(answer.headers, "content-encoding").value_or("");
    const bool invalid = (success && (!has(names.answer_seal) || !has(names.request_id))) ||
                         (!encoding.empty() && encoding != "identity");
    // Without the header that marks a refusal, the target may have run the request.
    if (invalid || is_refusal(answer.status)) {
        return {wire::forward_outcome::unknown, reason::malformed_answer};
    }
    return {wire::forward_outcome::answered, reason::none};
}

bool is_from_other_target(const header_names& names, const net::http_response& answer,
                          std::string_view expected_id)
{
    const auto id = net::find_header(answer.headers, names.target_id);
    return answer.status == status_misdirected && id && !id->empty() && *id != expected_id;
}

} // namespace bulrushgw::sidecar
