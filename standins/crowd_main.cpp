#include <exception>
#include <iostream>

#include <gflags/gflags.h>

#include "standins/crowd.h"

DEFINE_string(address, "", "address to which the crowd connects");
DEFINE_string(kind, "", "what the crowd sends; an unknown kind prints the list");
DEFINE_uint32(connections, 200, "connections open at a time");
DEFINE_uint32(attempts, 3, "times that each connection is opened");
DEFINE_uint32(body_bytes, 900000, "size of one body");
DEFINE_string(path, "/desk/crowd", "path of the requests");
DEFINE_uint32(milliseconds, 5000, "time after which the crowd leaves");

/// Plays one crowd, then prints its counters as one line. Exits with 2 for bad usage.
int main(int argc, char** argv)
{
    using namespace bulrushgw;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standin::crowd_options options;
    options.kind = FLAGS_kind;
    options.connections = FLAGS_connections;
    options.attempts = FLAGS_attempts;
    options.body_bytes = FLAGS_body_bytes;
    options.path = FLAGS_path;
    options.duration = milliseconds{FLAGS_milliseconds};
    try {
        options.address = net::parse_endpoint(FLAGS_address);
        const auto counters = standin::run_crowd(options);
        std::cout << "connects=" << counters.connects << " closed=" << counters.closed
                  << " bytes_sent=" << counters.bytes_sent
                  << " bytes_received=" << counters.bytes_received << std::endl;
        return 0;
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n" << standin::crowd_kinds();
        return 2;
    }
}
