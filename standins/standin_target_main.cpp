#include <memory>
#include <random>

#include <gflags/gflags.h>

#include "standins/program.h"
#include "standins/target_server.h"

DEFINE_string(listen, "127.0.0.1:0", "address of the target, IP:port; port 0 takes a free one");
DEFINE_string(
    node, "",
    "announcement address of the node on the same host, IP:port; empty: no announcements");
DEFINE_string(name, "target", "name of the target in its responses");
DEFINE_string(service, "", "service that the target belongs to");
DEFINE_uint32(slots, 6, "requests processed concurrently");
DEFINE_uint32(connections, 100, "connections that the target allows");
DEFINE_bool(checks_fences, true, "refuse requests without a valid grant");
DEFINE_uint32(delay_ms, 0, "execution time of a request in milliseconds");
DEFINE_uint32(cold_start_ms, 0,
              "time after the start during which requests take longer, in milliseconds");
DEFINE_string(run_log, "", "file to which each run is appended as a JSON line");
DEFINE_uint32(announce_ms, 1000, "interval of announcements in milliseconds");

namespace {

bulrushgw::standin::target_settings settings_from_flags()
{
    bulrushgw::standin::target_settings result;
    result.name = FLAGS_name;
    result.service = FLAGS_service;
    result.slots = FLAGS_slots;
    result.connections = FLAGS_connections;
    result.checks_fences = FLAGS_checks_fences;
    result.delay = std::chrono::milliseconds{FLAGS_delay_ms};
    result.cold_start = std::chrono::milliseconds{FLAGS_cold_start_ms};
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::unique_ptr<bulrushgw::standin::target_server> server;
    return bulrushgw::standin::run_program([&](bulrushgw::net::loop& loop) {
        std::optional<bulrushgw::net::endpoint> node;
        if (!FLAGS_node.empty()) {
            node = bulrushgw::net::parse_endpoint(FLAGS_node);
        }
        server = std::make_unique<bulrushgw::standin::target_server>(
            loop, bulrushgw::net::parse_endpoint(FLAGS_listen), node, settings_from_flags(),
            std::random_device{}(), std::chrono::milliseconds{FLAGS_announce_ms});
        if (!FLAGS_run_log.empty()) {
            server->log_runs(FLAGS_run_log);
        }
        return server->address();
    });
}
