#include "sidecar/process.h"

#include <nlohmann/json.hpp>

#include "sidecar/explain.h"

namespace bulrushgw::sidecar {

namespace {

constexpr int status_ok = 200;
constexpr int status_method_not_allowed = 405;

// Hosts and paths of a question may hold bytes that are not UTF-8.
net::http_response response_of(int status, const nlohmann::ordered_json& body)
{
    return {status,
            {{"content-type", "application/json"}},
            body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n"};
}

} // namespace

void process::on_explain(const net::http_exchange& exchange)
{
    try {
        if (exchange.request.method != "GET") {
            throw explain_failure(status_method_not_allowed, "bad-request", "expected GET");
        }
        const auto report =
            entry_.explain(parse_explain_query(exchange.request.path),
                           [this](const wire::forward& request) { return gate_.explain(request); });
        exchange.respond(response_of(status_ok, to_json(report)));
    }
    catch (const explain_failure& failure) {
        exchange.respond(response_of(failure.status, to_json(failure)));
    }
}

} // namespace bulrushgw::sidecar
