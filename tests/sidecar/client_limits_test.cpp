#include "sidecar/client_limits.h"

#include <memory>
#include <string>
#include <vector>

#include "net/loop.h"
#include "tests/net/raw_client.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

TEST_GROUP(client_limits){};

// Guards against a request that is not idempotent and starts before those ahead of it are answered.
TEST(client_limits, only_idempotent_routes_run_ahead)
{
    std::shared_ptr<const routing::route_index> routes;
    const auto limits =
        request_server_limits(make_budget(160), platform_protocol{}, [&] { return routes; });
    const net::http_request read{"GET", "/read/1", {{"host", "h"}}, ""};
    CHECK_FALSE(limits.may_run_ahead(read));
    routing::manifest content;
    content.routes.resize(2);
    content.routes[0].host = "h";
    content.routes[0].prefix = "/read/";
    content.routes[0].idempotent = true;
    content.routes[1].host = "h";
    content.routes[1].prefix = "/write/";
    routes = std::make_shared<routing::route_index>(content);
    CHECK(limits.may_run_ahead(read));
    CHECK_FALSE(limits.may_run_ahead({"GET", "/write/1", {{"host", "h"}}, ""}));
    CHECK_FALSE(limits.may_run_ahead({"GET", "/read/1", {}, ""}));
}

// Guards against a host of 160 MB that cannot hold one body of the manifest's limit, in the share
// of the budget that is left to bodies.
TEST(client_limits, budget_holds_one_large_body)
{
    constexpr std::size_t largest_body = 67'108'864;
    CHECK(make_budget(160)->limit() / 16 * 12 > largest_body);
    CHECK(make_budget(160)->limit() < std::size_t{110} * 1024 * 1024);
}

// Guards against limits of the manifest that do not take effect, and against refusals that are not
// logged, or logged again at each interval.
TEST(client_limits, manifest_limits_apply_and_refusals_are_logged_once)
{
    net::loop loop;
    const auto budget = make_budget(160);
    net::http_server server(loop, {"127.0.0.1", 0}, [](const net::http_exchange&) {});
    apply_limits({100, 2000, milliseconds{3000}, milliseconds{0}}, server);
    net::test::raw_client head(server.address());
    net::test::raw_client body(server.address());
    CHECK(head.send("GET / HTTP/1.1\r\nx: " + std::string(200, 'x') + "\r\n\r\n"));
    CHECK(body.send("POST / HTTP/1.1\r\ncontent-length: 2001\r\n\r\n"));
    CHECK(loop.run_until(
        [&] {
            return server.counters().heads_too_large == 1 &&
                   server.counters().bodies_too_large == 1;
        },
        milliseconds{3000}));
    refusal_report report;
    std::vector<std::string> events;
    for (int i = 0; i < 2; ++i) {
        report.log_changes(server, *budget, [&](std::string_view event, const journal::fields&) {
            events.emplace_back(event);
        });
    }
    CHECK(events == std::vector<std::string>{"clients_refused"});
    STRCMP_CONTAINS("bulrushgw_clients_refused_total{cause=\"body_too_large\"} 1",
                    refusal_metrics(server, *budget).c_str());
}
