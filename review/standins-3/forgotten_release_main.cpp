/// Plays the loss of a node beside a busy target, then that of the leader's node, while packets to
/// the first of the two machines wait in its link, and checks that no key has two holders and that
/// none is given to a target while another works on it. Arguments: PROGRAM RECORD TROUBLE, which is
/// 1, 0 for the same requests without a disruption, "kills" for the losses without the wait in the
/// link, or "link" for the wait alone. Exits with 1 if the rule was broken, 0 if it held, and 2 if
/// the case could not run.

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "client.h"
#include "deployment.h"
#include "standins/loopback_proxy.h"
#include "store.h"
#include "target.h"

namespace {

using namespace bulrushgw;
using namespace bulrushgw::review;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

constexpr milliseconds start_limit{30000};
/// Time without a disruption before each round.
constexpr milliseconds calm_time{3000};
constexpr milliseconds observed_time{5000};
constexpr milliseconds close_time{500};
/// From the end of a process to its new start.
constexpr milliseconds restart_delay{100};
/// From the restart of the first node to the loss of the leader's node, by turns.
constexpr std::array leader_delays{milliseconds{570}, milliseconds{600}, milliseconds{630}};
constexpr int link_mbps = 10;
/// Time for which packets to the machine of the first node wait: 188 KB take it on its link.
constexpr milliseconds link_wait{150};
/// The clients of the first machine send a group of requests at this interval, as many as the
/// target has slots, one after the other.
constexpr milliseconds group_interval{1340};
constexpr std::size_t group_size = 6;
constexpr milliseconds group_step{25};
constexpr milliseconds long_work{1170};
constexpr milliseconds report_deadline{1500};
constexpr milliseconds request_interval{700};
constexpr std::size_t machines = 7;
constexpr int rounds = 8;

const std::string manifest = R"({"version":"00000001",
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[{"name":"write","routeType":"unsafe","targetLatencyMs":250,
"priority":0,"match":{"prefix":"/challenges/"},
"action":{"service":"ladder-front","timeoutMs":600,"maxAttempts":2}},
{"name":"report","routeType":"unsafe","targetLatencyMs":1200,"priority":1,"match":{"prefix":"/reports/"},
"action":{"service":"ladder-front","timeoutMs":1250,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder-front","healthPath":"/health","maxConnections":110,"sharded":true,"warmS":1}]})";

/// A machine with its sidecar, its target, its clients, and the link on which others reach it.
struct place {
    machine at;
    std::unique_ptr<standin::loopback_proxy> link;
    std::unique_ptr<target> server;
    std::unique_ptr<sidecar_process> sidecar;
    std::unique_ptr<clients> callers;
};

struct deployment {
    net::loop loop;
    record& log;
    holder_check check{log};
    heartbeat_network network{loop};
    net::endpoint store_address = free_address();
    store platform_store{loop, store_address, manifest, log};
    net::http_client http{loop, group_size * 4, std::size_t{256} * 1024};
    std::vector<std::unique_ptr<place>> places;
    std::uint32_t next_key = 0;
    std::uint64_t next_report = 1;

    void start(const std::string& program, const std::string& folder)
    {
        const std::vector<std::string> zones{"nbo-a", "nbo-b", "nbo-c"};
        for (std::size_t i = 0; i < machines; ++i) {
            const auto& zone = zones.at(i % zones.size());
            auto& where = *places.emplace_back(std::make_unique<place>());
            where.at = make_machine("sidecar-" + zone + "-" + std::to_string(i / zones.size() + 1),
                                    zone, "ladder-front");
            where.at.announced = free_address();
            where.at.link_mbps = link_mbps;
            where.link = std::make_unique<standin::loopback_proxy>(loop, *where.at.announced,
                                                                   where.at.inner);
            target_settings settings;
            settings.long_work = long_work;
            settings.waits_for_work = true;
            settings.send_heartbeat = [this, &where](const auto& path, const auto& body) {
                network.deliver(where.at, path, body, milliseconds{0});
            };
            where.server =
                std::make_unique<target>(loop, where.at, std::move(settings), log, check);
            where.sidecar =
                std::make_unique<sidecar_process>(where.at, store_address, program, folder);
            where.sidecar->start();
            where.callers = std::make_unique<clients>(
                loop, where.at, request_kind{"h.example", "/challenges/x", true, milliseconds{600}},
                request_interval,
                [this] {
                    next_key = (next_key + holder_check::key_step) % holder_check::key_count;
                    return next_key;
                },
                log);
        }
    }

    void pass(milliseconds time)
    {
        loop.run_until([] { return false; }, time);
    }

    /// The place whose metrics say that it leads, or null.
    place* find_leader()
    {
        constexpr milliseconds timeout{1000};
        place* leader = nullptr;
        std::size_t answered = 0;
        for (const auto& item : places) {
            http.send(item->at.metrics, {"GET", "/metrics", {}, ""}, timeout,
                      [&, item = item.get()](const net::http_result& result) {
                          ++answered;
                          if (result.response && result.response->body.find(
                                                     "bulrushgw_leads 1\n") != std::string::npos) {
                              leader = item;
                          }
                      });
        }
        loop.run_until([&] { return answered == places.size(); }, 2 * timeout);
        return leader;
    }

    void send_report(const place& from, std::uint32_t key)
    {
        const std::string id = from.at.host + "-report-" + std::to_string(next_report++);
        const std::string key_text = std::to_string(key);
        log.write("client: sent " + id + " key " + key_text);
        http.send(from.at.requests,
                  {"POST",
                   "/reports/x",
                   {{"Host", "h.example"},
                    {"Request-Id", id},
                    {"Deadline-Ms", std::to_string(report_deadline.count())},
                    {"Shard-Key", key_text}},
                   "body of " + id},
                  report_deadline, [this, id](const net::http_result& result) {
                      const int status = result.response ? result.response->status : 0;
                      log.write("client: answer " + id + " " + std::to_string(status));
                  });
    }

    /// The clients of the machine send a group of requests, one after the other, for keys that its
    /// target holds.
    void send_group(const place& from, const std::vector<std::uint32_t>& keys)
    {
        for (std::size_t i = 0; i < group_size; ++i) {
            loop.after(i * group_step,
                       [this, &from, key = keys.at(i % keys.size())] { send_report(from, key); });
        }
    }

    [[nodiscard]] std::vector<std::uint32_t> keys_of(const place& which) const
    {
        std::vector<std::uint32_t> result;
        for (std::uint32_t key = 0; key < holder_check::key_count; key += holder_check::key_step) {
            if (which.server->holds(key, loop.now())) {
                result.push_back(key);
            }
        }
        return result;
    }

    void restart(place& which)
    {
        log.write(which.at.host + ": node killed");
        which.sidecar->signal(SIGKILL);
        loop.run_until([&] { return !which.sidecar->runs(); }, milliseconds{1000});
        pass(restart_delay);
        log.write(which.at.host + ": node started");
        which.sidecar->start();
    }
};

/// Returns false if the deployment is not as it has to be.
bool play_round(deployment& all, std::size_t number, const std::string& trouble)
{
    auto* leader = all.find_leader();
    if (leader == nullptr) {
        return false;
    }
    auto* busy = all.places.at(number % all.places.size()).get();
    if (busy == leader) {
        busy = all.places.at((number + 1) % all.places.size()).get();
    }
    const auto keys = all.keys_of(*busy);
    if (keys.empty()) {
        return false;
    }
    all.log.write("round " + std::to_string(number) + ": " + busy->at.host + ", leader " +
                  leader->at.host);
    if (trouble == "1" || trouble == "link") {
        busy->link->set_mode(standin::loopback_proxy::mode::delay, link_wait);
    }
    const auto kills = trouble == "1" || trouble == "kills";
    const auto begin = all.loop.now();
    const auto until = [&](milliseconds time) {
        all.pass(std::chrono::duration_cast<milliseconds>(begin + time - all.loop.now()));
    };
    all.send_group(*busy, keys);
    all.loop.run_until([&] { return busy->server->running() >= group_size; },
                       group_size * group_step + restart_delay);
    if (kills) {
        all.restart(*busy);
    }
    const auto restarted = std::chrono::duration_cast<milliseconds>(all.loop.now() - begin);
    until(restarted + leader_delays.at(number % leader_delays.size()));
    if (kills) {
        all.restart(*leader);
    }
    until(group_interval);
    all.send_group(*busy, keys);
    all.pass(observed_time);
    busy->link->set_mode(standin::loopback_proxy::mode::pass);
    return true;
}

int play(const std::string& program, const std::string& folder, record& log,
         const std::string& trouble)
{
    deployment all{.loop = {}, .log = log};
    all.start(program, folder);
    constexpr milliseconds check_interval{10};
    const auto timer = all.loop.every(check_interval, [&] { all.check.on_tick(all.loop.now()); });
    constexpr int served_at_start = 3;
    const bool serves = all.loop.run_until(
        [&] {
            return std::all_of(all.places.begin(), all.places.end(), [](const auto& item) {
                return item->callers->answered_with(200) >= served_at_start;
            });
        },
        start_limit);
    if (!serves) {
        log.write("the deployment does not serve");
        return could_not_run;
    }
    for (std::size_t i = 0; i < rounds; ++i) {
        all.pass(calm_time);
        if (!play_round(all, i, trouble)) {
            log.write("no leader, or a target without keys");
        }
    }
    for (const auto& [kind, count] : all.check.violations()) {
        log.write("OWNER broken: " + kind + ": " + std::to_string(count) + " times");
    }
    all.loop.cancel(timer);
    const bool held = all.check.violations().empty();
    log.write(held ? "result: the rule held" : "result: the rule was broken");
    // The links and the clients see the end of all connections before they are destroyed.
    for (const auto& item : all.places) {
        item->sidecar.reset();
    }
    all.pass(close_time);
    return held ? rule_held : rule_broken;
}

} // namespace

int main(int argc, char** argv)
{
    constexpr int expected_arguments = 4;
    if (argc != expected_arguments) {
        std::cerr << "arguments: PROGRAM RECORD TROUBLE\n";
        return could_not_run;
    }
    std::string folder = std::filesystem::temp_directory_path() / "bulrushgw-review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        return could_not_run;
    }
    int result = could_not_run;
    try {
        record log(argv[2]);
        result = play(argv[1], folder, log, argv[3]);
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(folder);
    }
    else {
        std::cerr << folder << "\n";
    }
    return result;
}
