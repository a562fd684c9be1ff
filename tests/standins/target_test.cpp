#include <optional>

#include "standins/target_model.h"
#include "standins/target_server.h"

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::standin;
using nlohmann::json;

namespace {

constexpr milliseconds wait_limit{3000};
const time_point start_time{std::chrono::seconds{1000}};

net::http_request request_of(const std::string& id, std::uint64_t fence, std::uint32_t range = 3)
{
    return {"POST",
            "/ladders/nairobi-west/challenges",
            {{"Bulrush-Request-Id", id},
             {"Bulrush-Range", std::to_string(range)},
             {"Bulrush-Fence", std::to_string(fence)}},
            ""};
}

std::string grants_of(const std::string& incarnation, std::uint64_t fence, time_point expiry)
{
    return json{{"incarnation", incarnation},
                {"grants", {{{"range", 3}, {"fence", fence}}}},
                {"releases", json::array()},
                {"expires_at_ms", clock_ms(expiry)}}
        .dump();
}

std::string reason_of(const start_result& start)
{
    return start.refusal ? std::string(*net::find_header(start.refusal->headers, "bulrush-not-run"))
                         : "runs";
}

} // namespace

TEST_GROUP(standin_target)
{
    target_settings settings;
    time_point now = start_time;
    std::optional<target_model> model;

    void setup() override
    {
        settings.service = "ladder-front";
        settings.slots = 2;
        model.emplace(settings, 7, now);
    }
    void grant(std::uint64_t fence, milliseconds lifetime = milliseconds{1000})
    {
        LONGS_EQUAL(200, model->on_grants(grants_of("i1", fence, now + lifetime), now).status);
    }
    std::string start(const std::string& id, std::uint64_t fence, std::uint32_t range = 3)
    {
        const auto result = model->start(request_of(id, fence, range), now);
        if (!result.refusal) {
            model->finish(result.run, now);
        }
        return reason_of(result);
    }
};

// Guards against a request of a former owner that runs after a request of its successor.
TEST(standin_target, fences_and_grants_are_checked)
{
    STRCMP_EQUAL("no-grant", start("r1", 5).c_str());
    grant(5);
    STRCMP_EQUAL("runs", start("r1", 5).c_str());
    STRCMP_EQUAL("no-grant", start("r2", 5, 4).c_str());
    STRCMP_EQUAL("no-grant", start("r2", 6).c_str());
    grant(9);
    STRCMP_EQUAL("stale-fence", start("r2", 5).c_str());
    grant(8);
    STRCMP_EQUAL("runs", start("r3", 9).c_str());
    now += milliseconds{1000};
    STRCMP_EQUAL("grant-expired", start("r4", 9).c_str());
    const auto dump = model->dump(true, now);
    CHECK(dump["runs"].size() == 2);
    CHECK(dump["runs"][1]["fence"] == 9);
    CHECK(dump["counters"]["no_grant"] == 3);
}

// Guards against a late grant (one that waited in a frozen target's socket buffer): the grant of
// a replaced incarnation must not replace the grant of its successor.
TEST(standin_target, replaced_incarnations_get_no_grants)
{
    grant(5);
    LONGS_EQUAL(200, model->on_grants(grants_of("i2", 6, now + wait_limit), now).status);
    LONGS_EQUAL(409, model->on_grants(grants_of("i1", 5, now + wait_limit), now).status);
    STRCMP_EQUAL("runs", start("r1", 6).c_str());
    LONGS_EQUAL(400, model->on_grants("{\"grants\":1}", now).status);
}

// Guards against a stand-in that cannot reproduce the double runs of targets that do not check
// fences.
TEST(standin_target, fences_are_ignored_when_switched_off)
{
    model->control({{"checks_fences", false}}, now);
    STRCMP_EQUAL("runs", start("r1", 5).c_str());
    STRCMP_EQUAL("runs", start("r1", 4).c_str());
    const auto dump = model->dump(false, now);
    CHECK(dump["double_runs"] == json({"r1"}));
    CHECK(!dump.contains("runs"));
}

// Guards against refusals without the Bulrush-Not-Run header.
TEST(standin_target, full_or_draining_target_and_passed_deadline_are_refused)
{
    grant(5);
    const auto first = model->start(request_of("r1", 5), now);
    const auto second = model->start(request_of("r2", 5), now);
    STRCMP_EQUAL("shedding", start("r3", 5).c_str());
    model->finish(first.run, now);
    auto expired = request_of("r4", 5);
    expired.headers.push_back({"Bulrush-Deadline-Ms", "0"});
    STRCMP_EQUAL("deadline", reason_of(model->start(expired, now)).c_str());
    LONGS_EQUAL(200, model->on_drain(now).status);
    STRCMP_EQUAL("draining", start("r5", 5).c_str());
    CHECK(model->announcement()["draining"] == true);
    CHECK(model->announcement()["in_flight"] == 1);
    model->cancel(second.run);
    CHECK(model->dump(true, now)["runs"][1]["outcome"] == "cancelled");
}

// Guards against runs that go on after their deadline, and against a cold target that is as
// fast as a warm one.
TEST(standin_target, cold_start_and_deadline_change_the_run)
{
    settings.delay = milliseconds{100};
    settings.cold_start = milliseconds{1000};
    model.emplace(settings, 7, now);
    grant(5, milliseconds{5000});
    LONGS_EQUAL(400, model->start(request_of("r1", 5), now).duration.count());
    now += milliseconds{1000};
    auto short_deadline_request = request_of("r2", 5);
    short_deadline_request.headers.push_back({"Bulrush-Deadline-Ms", "30"});
    const auto run = model->start(short_deadline_request, now);
    LONGS_EQUAL(30, run.duration.count());
    LONGS_EQUAL(504, model->finish(run.run, now).status);
}

// Guards against overrides of announced fields that have no effect, and against a restart that
// keeps grants.
TEST(standin_target, false_reports_and_empty_restarts_are_possible)
{
    grant(5);
    model->control({{"report", {{"in_flight", 99}, {"ready", false}}}}, now);
    CHECK(model->announcement()["in_flight"] == 99);
    CHECK(model->announcement()["ready"] == false);
    const auto before = model->announcement()["run_id"];
    model->control({{"restart_empty", true}}, now);
    CHECK(model->announcement()["run_id"] != before);
    STRCMP_EQUAL("no-grant", start("r1", 5).c_str());
    CHECK_THROWS(parse_error, model->control({{"report", 3}}, now));
    CHECK_THROWS(json::exception, model->control({{"slots", "many"}}, now));
}

TEST_GROUP(standin_target_server)
{
    net::loop loop;
    std::optional<target_server> target;
    std::optional<net::http_client> client;

    void setup() override
    {
        client.emplace(loop, 8, 100000);
    }
    void teardown() override
    {
        client.reset();
        target.reset();
    }
    void open(std::optional<net::endpoint> node = std::nullopt)
    {
        target_settings settings;
        settings.name = "t1";
        settings.service = "ladder-front";
        settings.checks_fences = false;
        target.emplace(loop, net::endpoint{"127.0.0.1", 0}, node, settings, 7, milliseconds{20});
    }
    net::http_result call(const std::string& path, const std::string& body,
                          milliseconds limit = wait_limit)
    {
        std::optional<net::http_result> result;
        client->send(target->address(), {"POST", path, {{"Bulrush-Request-Id", "r1"}}, body}, limit,
                     [&](net::http_result got) { result = std::move(got); });
        CHECK(loop.run_until([&] { return result.has_value(); }, wait_limit));
        return *result;
    }
};

// Guards against responses that cannot be matched with their request.
TEST(standin_target_server, answers_echo_the_request_and_carry_the_clock)
{
    open();
    const auto result = call("/ladders/nairobi-west/challenges", "");
    const auto body = json::parse(result.response->body);
    CHECK(body["target"] == "t1");
    CHECK(body["service"] == "ladder-front");
    CHECK(body["key"] == "nairobi-west");
    CHECK(body["request_id"] == "r1");
    CHECK(*net::find_header(result.response->headers, "bulrush-target-run") == "7");
    CHECK(net::find_header(result.response->headers, "bulrush-target-clock-ms").has_value());
}

// Guards against a target that does not announce itself to its node.
TEST(standin_target_server, announces_itself_repeatedly)
{
    int announcements = 0;
    json last;
    net::http_server node(loop, {"127.0.0.1", 0}, [&](const net::http_exchange& exchange) {
        ++announcements;
        last = json::parse(exchange.request.body);
        exchange.respond({200, {}, "{}"});
    });
    open(node.address());
    CHECK(loop.run_until([&] { return announcements >= 3; }, wait_limit));
    CHECK(last["address"] == to_string(target->address()));
    CHECK(last["service"] == "ladder-front");
    CHECK(last["run_id"] == "7");
}

// Guards against a frozen target that loses the requests in its socket buffers. These requests
// must run after the target resumes, even if their clients have given up.
TEST(standin_target_server, frozen_target_runs_waiting_requests_after_it_resumes)
{
    open();
    call("/control", R"({"frozen":true})");
    CHECK(call("/ladders/a/challenges", "", milliseconds{30}).failure ==
          net::http_failure::timeout);
    LONGS_EQUAL(0, target->model().dump(false, loop.now())["counters"]["started"].get<int>());
    call("/control", R"({"frozen":false})");
    CHECK(loop.run_until(
        [&] { return target->model().dump(false, loop.now())["counters"]["done"] == 1; },
        wait_limit));
}

// Guards against runs that continue after their client has closed the connection.
TEST(standin_target_server, closing_the_connection_cancels_the_run)
{
    open();
    call("/control", R"({"delay_ms":2000})");
    CHECK(call("/ladders/a/challenges", "", milliseconds{30}).failure ==
          net::http_failure::timeout);
    CHECK(loop.run_until(
        [&] { return target->model().dump(false, loop.now())["counters"]["cancelled"] == 1; },
        wait_limit));
}
