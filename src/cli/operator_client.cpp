#include "cli/operator_client.h"

#include <optional>

#include "net/loop.h"
#include "rules/percent.h"

namespace bulrushgw::cli {

namespace {

/// Larger than the largest answer, which has 4,096 audit events.
constexpr std::size_t max_answer_bytes = 16UL * 1024 * 1024;
/// The wait for the result of the HTTP client is limited to its timeout plus this margin.
constexpr milliseconds timeout_margin{1000};

std::string error_member(const ordered_json& body, const char* name)
{
    if (!body.is_object() || !body.contains("error")) {
        return {};
    }
    const auto& inner = body["error"];
    return inner.is_object() && inner.contains(name) && inner[name].is_string()
               ? inner[name].get<std::string>()
               : std::string();
}

std::string failure_message(net::http_failure failure)
{
    switch (failure) {
    case net::http_failure::connect:
        return "no connection";
    case net::http_failure::not_sent:
        return "the request was not sent";
    case net::http_failure::timeout:
        return "no answer in time";
    case net::http_failure::closed:
        return "the connection was closed before the answer was complete";
    case net::http_failure::malformed:
        return "the answer is not valid HTTP or is too large";
    }
    return {};
}

} // namespace

std::string operator_answer::error_type() const
{
    return error_member(body, "type");
}

std::string operator_answer::error_message() const
{
    return error_member(body, "message");
}

operator_client::operator_client(net::endpoint node, milliseconds timeout)
    : node_(std::move(node)), timeout_(timeout)
{
}

operator_answer operator_client::get(const std::string& path) const
{
    return send("GET", path, {});
}

operator_answer operator_client::post(const std::string& path, const ordered_json& body) const
{
    return send("POST", path, body.dump());
}

operator_answer operator_client::send(const std::string& method, const std::string& path,
                                      const std::string& body) const
{
    const std::string message_prefix = "node " + net::to_string(node_) + ": ";
    net::loop loop;
    net::http_client client(loop, 1, max_answer_bytes);
    std::optional<net::http_result> result;
    net::http_request request{method, path, {}, body};
    if (!body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    client.send(node_, request, timeout_,
                [&result](net::http_result received) { result = std::move(received); });
    loop.run_until([&result] { return result.has_value(); }, timeout_ + timeout_margin);
    if (!result || !result->response) {
        const auto failure = result ? result->failure : net::http_failure::timeout;
        const bool is_certainly_not_sent =
            failure == net::http_failure::connect || failure == net::http_failure::not_sent;
        throw unreachable_error(message_prefix + failure_message(failure), !is_certainly_not_sent);
    }
    operator_answer answer{result->response->status,
                           ordered_json::parse(result->response->body, nullptr, false)};
    if (!answer.body.is_object()) {
        throw unreachable_error(
            message_prefix + "the answer is not JSON; is this an operator address?", true);
    }
    return answer;
}

std::string with_query(const std::string& path, const query_values& values)
{
    std::string text = path;
    char separator = '?';
    for (const auto& [name, value] : values) {
        if (!value.empty()) {
            text += separator + name + "=" + rules::percent_encode(value);
            separator = '&';
        }
    }
    return text;
}

} // namespace bulrushgw::cli
