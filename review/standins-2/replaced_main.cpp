// The platform's store, and endpoints of one service that hold keys. On SIGHUP the first endpoint
// ends at once, and after a pause another lifetime with another id starts at its address. Writes
// each lifetime, grant, release and run to a file, and a line "VIOLATION" for each grant by which
// an endpoint takes keys under a generation number that isn't above that of another lifetime for
// these keys.

#include <algorithm>
#include <chrono>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "net/http.h"
#include "net/loop.h"
#include "standins/platform_model.h"

DEFINE_string(store, "", "address of the store");
DEFINE_string(manifest, "", "file with the manifest");
DEFINE_string(service, "ladder", "service of the endpoints");
DEFINE_string(endpoints, "", "comma-separated ADDRESS/CONTROL");
DEFINE_int32(heartbeat_ms, 870, "time between two heartbeats");
DEFINE_int32(first_heartbeat_ms, 870, "delay of a lifetime's first heartbeat");
DEFINE_int32(down_ms, 100, "time from the end of a lifetime to the start of the next");
DEFINE_int32(execution_ms, 20, "time that an endpoint takes for a request");
DEFINE_string(record, "", "file for the events");

namespace {

using namespace bulrushgw;
using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;
constexpr std::size_t max_answer_bytes = 4096;

struct key_range {
    std::string id; ///< lifetime that took the keys
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    time_point until;

    [[nodiscard]] bool overlaps(std::uint32_t from, std::uint32_t to) const
    {
        return first <= to && from <= last;
    }
};

/// What all lifetimes of the test were granted, and the record of events.
struct history {
    explicit history(net::loop& loop_to_use)
        : loop(loop_to_use), started(loop.now()), out(FLAGS_record)
    {
    }

    void note(const std::string& text)
    {
        const auto time = std::chrono::duration_cast<milliseconds>(loop.now() - started);
        out << time.count() << " ms: " << text << std::endl;
    }

    net::loop& loop;
    time_point started;
    std::ofstream out;
    std::vector<key_range> grants;
    int lifetimes = 0;
};

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

net::http_response response(int status, net::header_list headers = {}, std::string body = "{}")
{
    headers.push_back({"content-type", "application/json"});
    return {status, std::move(headers), std::move(body)};
}

class endpoint {
public:
    endpoint(net::loop& loop, history& events, net::endpoint address, net::endpoint control)
        : loop_(loop), events_(events), address_(std::move(address)), control_(std::move(control)),
          id_("i-" + std::to_string(++events.lifetimes)), born_(unix_ms()),
          client_(loop, 2, max_answer_bytes),
          server_(loop, address_, [this](const net::http_exchange& call) { handle(call); })
    {
        events_.note("lifetime " + id_ + " starts at " + net::to_string(address_));
        loop_.after(milliseconds{FLAGS_first_heartbeat_ms}, [this, alive = alive_] {
            if (*alive) {
                send_heartbeat();
            }
        });
    }
    ~endpoint()
    {
        *alive_ = false;
        events_.note("lifetime " + id_ + " ends");
    }
    endpoint(const endpoint&) = delete;
    endpoint& operator=(const endpoint&) = delete;
    endpoint(endpoint&&) = delete;
    endpoint& operator=(endpoint&&) = delete;

private:
    void send_heartbeat()
    {
        const json body{{"service", FLAGS_service},
                        {"address", net::to_string(address_)},
                        {"zone", "z-a"},
                        {"version", "v1"},
                        {"slots", 6},
                        {"state", "ready"},
                        {"warmupLeftMs", 0},
                        {"born", born_},
                        {"sequence", ++sequence_}};
        client_.send(control_, {"POST", "/v1/Instances.Heartbeat/" + id_, {}, body.dump()},
                     milliseconds{1000}, [](const net::http_result&) {});
        loop_.after(milliseconds{FLAGS_heartbeat_ms}, [this, alive = alive_] {
            if (*alive) {
                send_heartbeat();
            }
        });
    }

    void handle(const net::http_exchange& call)
    {
        const std::string& path = call.request.path;
        if (path == "/v1/grant") {
            grant(call);
        }
        else if (path == "/v1/release") {
            release(call);
        }
        else if (path == "/health") {
            call.respond(response(status_ok, {{"Instance-Id", id_}, {"Server-Load", "0,0,6"}}));
        }
        else {
            run(call);
        }
    }

    // Another lifetime's grants don't bind this one: it holds and knows nothing of before.
    void grant(const net::http_exchange& call)
    {
        const json order = json::parse(call.request.body);
        const key_range next{id_, order.at("from"), order.at("target"), order.at("fence"),
                             loop_.now() + milliseconds{order.at("holdMs").get<long>()}};
        const std::string text = std::to_string(next.first) + "-" + std::to_string(next.last) +
                                 " generation " + std::to_string(next.fence);
        const bool is_refused = std::any_of(seen_.begin(), seen_.end(), [&](const key_range& item) {
            return item.overlaps(next.first, next.last) && item.fence > next.fence;
        });
        if (is_refused) {
            events_.note(id_ + " refuses " + text);
            call.respond(response(status_conflict));
            return;
        }
        for (const auto& item : events_.grants) {
            if (item.id != id_ && item.overlaps(next.first, next.last) &&
                item.fence >= next.fence) {
                events_.note("VIOLATION: " + id_ + " takes " + text + ", " + item.id + " had " +
                             std::to_string(item.first) + "-" + std::to_string(item.last) +
                             " generation " + std::to_string(item.fence));
                break;
            }
        }
        const bool is_renewal = std::any_of(seen_.begin(), seen_.end(), [&](const auto& item) {
            return item.first == next.first && item.last == next.last && item.fence == next.fence;
        });
        if (!is_renewal) {
            events_.note(id_ + " takes " + text);
            events_.grants.push_back(next);
            seen_.push_back(next);
        }
        std::erase_if(held_, [&](const auto& item) {
            return item.first >= next.first && item.last <= next.last;
        });
        held_.push_back(next);
        call.respond(response(status_ok));
    }

    // A released part of a range is cut out of it.
    void release(const net::http_exchange& call)
    {
        const json order = json::parse(call.request.body);
        const std::uint32_t first = order.at("from");
        const std::uint32_t last = order.at("target");
        events_.note(id_ + " releases " + std::to_string(first) + "-" + std::to_string(last));
        seen_.push_back({id_, first, last, order.at("fence"), {}});
        std::vector<key_range> rest;
        for (const auto& item : held_) {
            if (!item.overlaps(first, last)) {
                rest.push_back(item);
                continue;
            }
            if (item.first < first) {
                rest.push_back(item);
                rest.back().last = first - 1;
            }
            if (item.last > last) {
                rest.push_back(item);
                rest.back().first = last + 1;
            }
        }
        held_ = std::move(rest);
        loop_.after(milliseconds{FLAGS_execution_ms}, [call] {
            call.respond(response(status_ok, {{"Handover", "token"}}));
        });
    }

    void run(const net::http_exchange& call)
    {
        const auto& headers = call.request.headers;
        const std::string id(net::find_header(headers, "Request-Id").value_or(""));
        const auto key = static_cast<std::uint32_t>(
            std::strtoul(std::string(net::find_header(headers, "Shard-Key").value_or("0")).c_str(),
                         nullptr, 10));
        const bool is_held = std::any_of(held_.begin(), held_.end(), [&](const auto& item) {
            return item.overlaps(key, key) && item.until > loop_.now();
        });
        if (!is_held || net::find_header(headers, "Expect-Instance") != id_) {
            call.respond(
                response(status_misdirected,
                         {{"Not-Executed", "1"}, {"Request-Id", id}, {"Instance-Id", id_}}));
            return;
        }
        events_.note(id_ + " runs " + id);
        loop_.after(milliseconds{FLAGS_execution_ms}, [call, id] {
            call.respond(response(status_ok, {{"Request-Id", id}, {"Response-Seal", "seal-" + id}},
                                  "done " + id));
        });
    }

    net::loop& loop_;
    history& events_;
    net::endpoint address_;
    net::endpoint control_;
    std::string id_;
    std::uint64_t born_;
    std::uint64_t sequence_ = 0;
    std::vector<key_range> held_;
    std::vector<key_range> seen_; ///< granted to or released by this lifetime
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::http_client client_;
    net::http_server server_;
};

struct place {
    net::endpoint address;
    net::endpoint control;
};

std::vector<place> parse_places(const std::string& text)
{
    std::vector<place> result;
    std::istringstream input(text);
    for (std::string part; std::getline(input, part, ',');) {
        const auto slash = part.find('/');
        result.push_back({net::parse_endpoint(part.substr(0, slash)),
                          net::parse_endpoint(part.substr(slash + 1))});
    }
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::loop loop;
    std::ifstream file(FLAGS_manifest);
    std::ostringstream manifest;
    manifest << file.rdbuf();
    const standin::platform_store store(loop, net::parse_endpoint(FLAGS_store), manifest.str());
    history events(loop);
    const auto places = parse_places(FLAGS_endpoints);
    std::vector<std::unique_ptr<endpoint>> endpoints;
    for (const auto& item : places) {
        endpoints.push_back(std::make_unique<endpoint>(loop, events, item.address, item.control));
    }
    loop.on_signal([&] { loop.stop(); });
    loop.on_hangup([&] {
        endpoints.front().reset();
        loop.after(milliseconds{FLAGS_down_ms}, [&] {
            endpoints.front() = std::make_unique<endpoint>(loop, events, places.front().address,
                                                           places.front().control);
        });
    });
    loop.run();
    return 0;
}
