#include <memory>

#include <gflags/gflags.h>

#include "standins/program.h"
#include "standins/store_server.h"

DEFINE_string(listen, "127.0.0.1:0", "address of the store, IP:port; port 0 takes a free one");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::unique_ptr<bulrushgw::standin::store_server> server;
    return bulrushgw::standin::run_program([&](bulrushgw::net::loop& loop) {
        server = std::make_unique<bulrushgw::standin::store_server>(
            loop, bulrushgw::net::parse_endpoint(FLAGS_listen));
        return server->address();
    });
}
