#include "sidecar/store_session.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace bulrushgw;
using namespace bulrushgw::sidecar;

namespace {

constexpr milliseconds wait_limit{3000};
constexpr const char* era_header = "x-era";

platform_protocol protocol_for_tests()
{
    platform_protocol result;
    result.parse_store_era = [](const net::header_list& headers) -> std::optional<std::uint64_t> {
        const auto text = net::find_header(headers, era_header);
        if (text == "unreadable") {
            throw store_format_error("era");
        }
        return text ? std::optional<std::uint64_t>(std::stoull(std::string(*text))) : std::nullopt;
    };
    result.read_leader = [] { return net::http_request{"GET", "/leader", {}, ""}; };
    result.write_leader = [](const leader_write& content) {
        return net::http_request{"POST", "/leader", {}, content.value};
    };
    result.read_manifest = [] { return net::http_request{"GET", "/manifest", {}, ""}; };
    result.watch_manifest = [](std::uint64_t after, milliseconds) {
        return net::http_request{"GET", "/watch/" + std::to_string(after), {}, ""};
    };
    result.parse_leader = [](const std::string& body, std::uint64_t era) {
        return leader_rows{version_in_era(era, 1), body, {}};
    };
    result.parse_manifest_row = [](const std::string& body) { return stored_row{1, body}; };
    result.parse_version = [](const std::string&) -> std::uint64_t { return 7; };
    result.parse_feed = [](const std::string&) { return feed_page{}; };
    result.parse_evacuations = [](const std::string&, std::uint64_t era) {
        return routing::evacuation_rows{version_in_era(era, 7), {}, true};
    };
    result.conflict_status = 412;
    result.history_lost_status = 410;
    return result;
}

} // namespace

// A store whose answers name `era`, if it is not empty. It does not answer watches.
TEST_GROUP(store_session)
{
    net::loop loop;
    platform_protocol protocol = protocol_for_tests();
    std::string era;
    std::vector<std::string> paths;
    std::vector<net::http_exchange> watches;
    std::vector<std::uint64_t> eras; ///< passed to the hook
    std::unique_ptr<net::http_server> server;
    std::unique_ptr<store_session> session;

    void setup() override
    {
        server = std::make_unique<net::http_server>(
            loop, net::endpoint{"127.0.0.1", 0},
            [this](const net::http_exchange& exchange) { answer(exchange); });
        store_session::hooks hooks;
        hooks.on_manifest = [](const std::string&) {};
        hooks.on_evacuations = [](const routing::evacuation_rows&, bool) {};
        hooks.on_era = [this](std::uint64_t next) { eras.push_back(next); };
        hooks.on_state = [](bool, const std::string&) {};
        session =
            std::make_unique<store_session>(loop, server->address(), protocol, 1, std::move(hooks));
    }

    void teardown() override
    {
        // No call may be open when the session is destroyed.
        const bool is_watching = !watches.empty();
        watches.clear();
        server.reset();
        CHECK(!is_watching || loop.run_until([this] { return !session->is_up(); }, wait_limit));
        session.reset();
    }

    void answer(const net::http_exchange& exchange)
    {
        paths.push_back(exchange.request.path);
        if (exchange.request.path.starts_with("/watch")) {
            watches.push_back(exchange);
            return;
        }
        net::header_list headers;
        if (!era.empty()) {
            headers.push_back({era_header, era});
        }
        exchange.respond({200, headers, "text"});
    }

    store_outcome read(leader_rows* result = nullptr)
    {
        std::optional<store_outcome> outcome;
        session->read_leader([&](store_outcome ended, const leader_rows& rows) {
            outcome = ended;
            if (result != nullptr) {
                *result = rows;
            }
        });
        CHECK(loop.run_until([&] { return outcome.has_value(); }, wait_limit));
        return *outcome;
    }

    store_outcome write(store_version expected)
    {
        std::optional<store_outcome> outcome;
        session->write_leader({expected, {}, "record"},
                              [&](store_outcome ended, store_version) { outcome = ended; });
        CHECK(loop.run_until([&] { return outcome.has_value(); }, wait_limit));
        return *outcome;
    }
};

// Guards against a record of an earlier era that is taken for the current one because its answer
// arrives after one of the later era.
TEST(store_session, answer_of_an_earlier_era_is_ignored)
{
    era = "4";
    leader_rows rows;
    CHECK(read(&rows) == store_outcome::done);
    CHECK(rows.version == version_in_era(4, 1));
    era = "5";
    CHECK(read() == store_outcome::done);
    for (const char* earlier : {"4", "", "unreadable"}) {
        era = earlier;
        CHECK(read() == store_outcome::unknown);
    }
    CHECK(eras == std::vector<std::uint64_t>({4, 5}));
}

// Guards against a leader that takes a write for a confirmation of its term though the store
// executed it after it came back from an older copy.
TEST(store_session, write_that_is_executed_in_another_era_confirms_nothing)
{
    era = "4";
    CHECK(write(version_in_era(4, 1)) == store_outcome::done);
    era = "5";
    CHECK(write(version_in_era(4, 7)) == store_outcome::unknown);
    CHECK(write(version_in_era(5, 7)) == store_outcome::done);
}

// Guards against a manifest that is not read for as long as a watch lasts, because the watch waits
// for a version that the store gives out again.
TEST(store_session, manifest_is_read_anew_when_the_era_rises)
{
    era = "4";
    session->watch_manifest();
    CHECK(loop.run_until([&] { return watches.size() == 1; }, wait_limit));
    CHECK(read() == store_outcome::done);
    LONGS_EQUAL(3, paths.size());
    era = "5";
    CHECK(read() == store_outcome::done);
    CHECK(loop.run_until([&] { return watches.size() == 2; }, wait_limit));
    CHECK(paths == std::vector<std::string>(
                       {"/manifest", "/watch/7", "/leader", "/leader", "/manifest", "/watch/7"}));
}

// Guards against a store without eras that is treated as one that came back.
TEST(store_session, store_without_eras_is_in_era_0)
{
    leader_rows rows;
    CHECK(read(&rows) == store_outcome::done);
    CHECK(rows.version == version_in_era(0, 1));
    CHECK(write(version_in_era(0, 1)) == store_outcome::done);
    CHECK(eras.empty());
    CHECK_FALSE(session->era().has_value());
}
