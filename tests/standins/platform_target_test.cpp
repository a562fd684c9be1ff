#include "standins/platform_model.h"

#include <memory>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::standin;

namespace {

constexpr milliseconds wait_limit{3000};

} // namespace

TEST_GROUP(platform_target)
{
    net::loop loop;
    platform_history history;
    std::vector<platform_target*> running;
    std::unique_ptr<platform_target> target;
    net::endpoint address;

    void setup() override
    {
        platform_target_settings settings;
        {
            // Finds a free port. The control address is never served.
            const net::http_server unused(loop, net::endpoint{"127.0.0.1", 0},
                                          [](const net::http_exchange&) {});
            settings.address = unused.address();
        }
        address = settings.address;
        settings.control = {"127.0.0.1", 1};
        settings.service = "s";
        settings.sharded = true;
        settings.execution_time = milliseconds{120};
        target = std::make_unique<platform_target>(loop, settings, history, running);
    }

    int status_of(const net::http_request& request)
    {
        net::http_client client(loop, 1, 65536);
        std::optional<net::http_result> result;
        client.send(address, request, wait_limit, [&](const net::http_result& got) {
            result = got;
            loop.stop();
        });
        loop.run();
        CHECK(result && result->response);
        return result->response->status;
    }

    int run_under_hold(const std::string& hold_ms)
    {
        LONGS_EQUAL(200,
                    status_of({"POST",
                               "/v1/grant",
                               {},
                               R"({"from":0,"target":9,"fence":3,"holdMs":)" + hold_ms + "}"}));
        std::string id;
        net::http_client client(loop, 1, 65536);
        client.send(address, {"GET", "/health", {}, ""}, wait_limit,
                    [&](const net::http_result& got) {
                        id = net::find_header(got.response->headers, "Instance-Id").value_or("");
                        loop.stop();
                    });
        loop.run();
        return status_of(
            {"POST", "/", {{"Request-Id", "r"}, {"Shard-Key", "5"}, {"Expect-Instance", id}}, ""});
    }
};

// Guards against a stand-in that completes work which outlasts the hold under which it began, as
// the platform's targets do not.
TEST(platform_target, run_that_outlasts_its_hold_ends_with_500)
{
    LONGS_EQUAL(200, run_under_hold("1000"));
    LONGS_EQUAL(0, history.cut_runs);
    LONGS_EQUAL(500, run_under_hold("60"));
    LONGS_EQUAL(1, history.cut_runs);
}
