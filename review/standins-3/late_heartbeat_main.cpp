/// Plays the crash and restart of a target under the id that it had, while its last heartbeat from
/// before the crash is late, and checks the generation numbers of its grants. Arguments: PROGRAM
/// RECORD TROUBLE, which is 1, 0 for the late heartbeat without the crash, or "crash" for the crash
/// with heartbeats in time. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
/// could not run.

#include <algorithm>
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

constexpr milliseconds start_limit{30000};
/// Time without a disruption before each crash.
constexpr milliseconds calm_time{5000};
/// Time for which a heartbeat is late.
constexpr milliseconds lateness{1500};
/// From the sending of the late heartbeat to the crash.
constexpr milliseconds crash_delay{50};
/// From the crash to the restart.
constexpr milliseconds down_time{200};
/// Usual interval of heartbeats, and from the start of a target to its first one.
constexpr milliseconds heartbeat_interval{870};
constexpr milliseconds observed_time{6000};
constexpr milliseconds request_interval{1000};
constexpr int crashes = 3;
/// Machines of the service, of which one crashes at a time.
constexpr std::size_t machines = 7;

const std::string manifest = R"({"version":"00000001",
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"listeners":[{"host":"h.example","ruleSet":[{"name":"write","routeType":"unsafe","targetLatencyMs":250,
"priority":0,"match":{"prefix":"/challenges/"},
"action":{"service":"ladder-front","timeoutMs":600,"maxAttempts":2}}]}],
"clusters":[{"name":"ladder-front","healthPath":"/health","maxConnections":110,"sharded":true,"warmS":1}]})";

void pass(net::loop& loop, milliseconds time)
{
    loop.run_until([] { return false; }, time);
}

/// A machine with its sidecar, its clients, and the present life of its target.
struct place {
    machine at;
    std::unique_ptr<target> server;
    std::unique_ptr<sidecar_process> sidecar;
    std::unique_ptr<clients> callers;
    int life = 0;
    milliseconds heartbeat_delay{0};
    int heartbeats = 0;
};

struct deployment {
    net::loop loop;
    record& log;
    holder_check check{log};
    heartbeat_network network{loop};
    net::endpoint store_address = free_address();
    store platform_store{loop, store_address, manifest, log};
    std::vector<std::unique_ptr<place>> places;
    std::uint32_t next_key = 0;

    void start_target(place& where)
    {
        target_settings settings;
        settings.life = ++where.life;
        settings.first_heartbeat = heartbeat_interval;
        settings.send_heartbeat = [this, &where](const auto& path, const auto& body) {
            ++where.heartbeats;
            network.deliver(where.at, path, body, where.heartbeat_delay);
        };
        where.server = std::make_unique<target>(loop, where.at, std::move(settings), log, check);
        log.write(where.server->name() + ": started");
    }

    void start(const std::string& program, const std::string& folder)
    {
        const std::vector<std::string> zones{"nbo-a", "nbo-b", "nbo-c"};
        for (std::size_t i = 0; i < machines; ++i) {
            const auto& zone = zones.at(i % zones.size());
            auto& where = *places.emplace_back(std::make_unique<place>());
            where.at = make_machine("sidecar-" + zone + "-" + std::to_string(i / zones.size() + 1),
                                    zone, "ladder-front");
            start_target(where);
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
};

/// The target's last heartbeat before its crash arrives late, and so do those of its next life.
void crash(deployment& all, place& where, const std::string& trouble)
{
    where.heartbeat_delay = trouble == "crash" ? milliseconds{0} : lateness;
    const int sent_before = where.heartbeats;
    all.loop.run_until([&] { return where.heartbeats > sent_before; }, 2 * heartbeat_interval);
    pass(all.loop, crash_delay);
    if (trouble != "0") {
        all.log.write(where.server->name() + ": crashes");
        where.server.reset();
        pass(all.loop, down_time);
        all.start_target(where);
    }
    pass(all.loop, observed_time);
    where.heartbeat_delay = milliseconds{0};
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
    for (int i = 0; i < crashes; ++i) {
        pass(all.loop, calm_time);
        crash(all, *all.places.at(i % all.places.size()), trouble);
    }
    for (const auto& [kind, count] : all.check.violations()) {
        log.write("OWNER broken: " + kind + ": " + std::to_string(count) + " times");
    }
    all.loop.cancel(timer);
    const bool held = all.check.violations().empty();
    log.write(held ? "result: the rule held" : "result: the rule was broken");
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
