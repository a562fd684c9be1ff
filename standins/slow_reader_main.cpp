#include <exception>
#include <iostream>

#include <gflags/gflags.h>

#include "standins/slow_reader.h"

DEFINE_string(address, "", "address for requests of a sidecar");
DEFINE_string(path, "/list/x", "path of the requests");
DEFINE_string(id_prefix, "slow-", "begin of the request ids");
DEFINE_uint32(requests, 28, "number of requests");
DEFINE_uint32(answer_bytes, 56000, "size of the body of an answer");
DEFINE_uint32(bytes_per_s, 300000, "rate of reading; 0: reads nothing");
DEFINE_uint32(milliseconds, 12000, "time after which the client leaves");

/// Sends the requests, prints the id and status of each complete answer, and returns when all are
/// answered, the connection has ended or the time is over. Exits with 2 if nothing was sent.
int main(int argc, char** argv)
{
    using namespace bulrushgw;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    net::loop loop;
    try {
        standin::slow_reader_settings settings;
        settings.address = net::parse_endpoint(FLAGS_address);
        settings.path = FLAGS_path;
        settings.id_prefix = FLAGS_id_prefix;
        settings.requests = FLAGS_requests;
        settings.answer_bytes = FLAGS_answer_bytes;
        settings.bytes_per_s = FLAGS_bytes_per_s;
        bool ended = false;
        const standin::slow_reader reader(loop, settings, [&] { ended = true; });
        loop.run_until([&] { return ended; }, milliseconds{FLAGS_milliseconds});
        for (const auto& [id, status] : reader.answers()) {
            std::cout << id << " " << status << "\n";
        }
        return 0;
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return 2;
    }
}
