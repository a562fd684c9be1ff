/// Plays a restart of the machine that leads, around which the store comes back from an older copy,
/// and checks that no key has two holders. Arguments: PROGRAM RECORD TROUBLE, which is 1, 0 for the
/// restart alone, or "away" for a store that comes back with all that it had. Exits with 1 if the
/// rule was broken, 0 if it held, and 2 if the case could not run.

#include <algorithm>
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
#include "store.h"
#include "target.h"

namespace {

using namespace bulrushgw;
using namespace bulrushgw::review;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/// Bound on the wait until the deployment serves.
constexpr milliseconds start_limit{30000};
/// The deployment runs undisturbed for this time before the restart.
constexpr milliseconds calm_time{6000};
/// Age of the store's copy when the machine is told to stop.
constexpr milliseconds copy_lead{500};
/// The platform kills a process that has not ended this long after it was told to stop.
constexpr milliseconds grace{6000};
/// From the end of the process to its new start.
constexpr milliseconds restart_delay{600};
/// Time for which the store is away in the drill.
constexpr milliseconds away_time{500};
constexpr milliseconds observed_time{36000};
constexpr milliseconds request_interval{50};

const std::string manifest = R"({"version":"00000001",
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[{"name":"write","routeType":"unsafe","targetLatencyMs":250,
"priority":0,"match":{"prefix":"/challenges/"},
"action":{"service":"ladder-front","timeoutMs":600,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder-front","healthPath":"/health","maxConnections":110,"sharded":true,"warmS":1}]})";

/// The machine whose metrics say that it leads, or null.
sidecar_process* find_leader(net::loop& loop,
                             const std::vector<std::unique_ptr<sidecar_process>>& sidecars)
{
    constexpr milliseconds timeout{1000};
    constexpr std::size_t max_answer_bytes = std::size_t{256} * 1024;
    net::http_client http(loop, 1, max_answer_bytes);
    sidecar_process* leader = nullptr;
    std::size_t answered = 0;
    for (const auto& item : sidecars) {
        http.send(item->at().metrics, {"GET", "/metrics", {}, ""}, timeout,
                  [&, item = item.get()](const net::http_result& result) {
                      ++answered;
                      if (result.response &&
                          result.response->body.find("bulrushgw_leads 1\n") != std::string::npos) {
                          leader = item;
                      }
                  });
    }
    loop.run_until([&] { return answered == sidecars.size(); }, 2 * timeout);
    return leader;
}

void pass(net::loop& loop, milliseconds time)
{
    loop.run_until([] { return false; }, time);
}

int play(const std::string& program, const std::string& folder, record& log,
         const std::string& trouble)
{
    net::loop loop;
    holder_check check(log);
    heartbeat_network network(loop);
    const auto store_address = free_address();
    store platform_store(loop, store_address, manifest, log);
    std::vector<std::unique_ptr<target>> targets;
    std::vector<std::unique_ptr<sidecar_process>> sidecars;
    std::vector<std::unique_ptr<clients>> callers;
    std::uint32_t next = 0;
    const auto next_key = [&next] {
        next = (next + holder_check::key_step) % holder_check::key_count;
        return next;
    };
    for (const std::string zone : {"nbo-a", "nbo-b", "nbo-c"}) {
        const auto at = make_machine("sidecar-" + zone + "-1", zone, "ladder-front");
        target_settings settings;
        settings.send_heartbeat = [&network, at](const auto& path, const auto& body) {
            network.deliver(at, path, body, milliseconds{0});
        };
        targets.push_back(std::make_unique<target>(loop, at, std::move(settings), log, check));
        sidecars.push_back(std::make_unique<sidecar_process>(at, store_address, program, folder));
        sidecars.back()->start();
        callers.push_back(std::make_unique<clients>(
            loop, at, request_kind{"h.example", "/challenges/x", true, milliseconds{600}},
            request_interval, next_key, log));
    }
    constexpr milliseconds check_interval{10};
    const auto timer = loop.every(check_interval, [&] { check.on_tick(loop.now()); });

    constexpr int served_at_start = 40;
    const bool serves = loop.run_until(
        [&] {
            return std::all_of(callers.begin(), callers.end(), [](const auto& item) {
                return item->answered_with(200) >= served_at_start;
            });
        },
        start_limit);
    if (!serves) {
        log.write("the deployment does not serve");
        return could_not_run;
    }
    pass(loop, calm_time);
    auto* leader = find_leader(loop, sidecars);
    if (leader == nullptr) {
        log.write("no machine leads");
        return could_not_run;
    }
    const bool is_away = trouble != "0";
    const bool is_older = is_away && trouble != "away";
    if (is_older) {
        platform_store.take_copy();
    }
    pass(loop, copy_lead);
    log.write(leader->at().host + ": SIGTERM");
    leader->signal(SIGTERM);
    if (!loop.run_until([&] { return !leader->runs(); }, grace)) {
        leader->signal(SIGKILL);
        pass(loop, restart_delay);
    }
    log.write(leader->at().host + ": ended");
    if (is_away) {
        platform_store.set_away(true);
    }
    pass(loop, away_time);
    if (is_older) {
        platform_store.restore_copy();
    }
    if (is_away) {
        platform_store.set_away(false);
    }
    pass(loop, restart_delay - away_time);
    leader->start();
    log.write(leader->at().host + ": started");
    pass(loop, observed_time);
    for (const auto& item : callers) {
        item->stop();
    }
    pass(loop, milliseconds{1000});
    for (const auto& item : callers) {
        log.write("clients: " + std::to_string(item->answers().size()) + " sent, " +
                  std::to_string(item->answered_with(200)) + " answered with 200");
    }
    loop.cancel(timer);
    for (const auto& [kind, count] : check.violations()) {
        log.write("OWNER broken: " + kind + ": " + std::to_string(count) + " times");
    }
    log.write(check.violations().empty() ? "result: the rule held" : "result: the rule was broken");
    return check.violations().empty() ? rule_held : rule_broken;
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
