#include "sidecar/target_answer.h"

#include <algorithm>
#include <array>

namespace bulrushgw::sidecar {

namespace {

using request::reason;

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int misdirected = 421;
/// Callers take these as the promise that the request has not run.
constexpr std::array<int, 4> promises{408, misdirected, 429, 503};

} // namespace

net::head_verdict judge_head(const header_names& names, const net::http_response& head,
                             std::string_view request_id, bool is_first)
{
    const auto echo = net::find_header(head.headers, names.request_id);
    if (echo) {
        return *echo == request_id ? net::head_verdict::accept : net::head_verdict::skip;
    }
    const bool marked = net::find_header(head.headers, names.answer_seal).has_value() ||
                        net::find_header(head.headers, names.not_run).has_value();
    return marked && !is_first && !request_id.empty() ? net::head_verdict::refuse
                                                      : net::head_verdict::accept;
}

answer_verdict judge_answer(const header_names& names, const net::http_response& answer)
{
    const auto has = [&](const std::string& name) {
        return net::find_header(answer.headers, name).has_value();
    };
    if (has(names.not_run) || answer.status == misdirected) {
        return {wire::forward_outcome::not_run, reason::target_refused};
    }
    const bool success = answer.status >= first_success && answer.status < first_redirect;
    const auto encoding = net::find_header(answer.headers, "content-encoding").value_or("");
    const bool foreign = (success && (!has(names.answer_seal) || !has(names.request_id))) ||
                         (!encoding.empty() && encoding != "identity");
    // Without the mark of a refusal the target may have run the request.
    const bool false_promise =
        std::find(promises.begin(), promises.end(), answer.status) != promises.end();
    if (foreign || false_promise) {
        return {wire::forward_outcome::unknown, reason::malformed_answer};
    }
    return {wire::forward_outcome::answered, reason::none};
}

} // namespace bulrushgw::sidecar
