#include "standins/program.h"

#include <cstdlib>
#include <exception>
#include <iostream>

#include "common/errors.h"

namespace bulrushgw::standin {

int run_program(const std::function<net::endpoint(net::loop&)>& start)
{
    try {
        net::loop loop;
        loop.on_signal([&loop] { loop.stop(); });
        const auto address = start(loop);
        std::cout << "listening on " << to_string(address) << std::endl;
        loop.run();
        // Exits without destructors; the operating system closes the connections.
        std::_Exit(0);
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << std::endl;
        // Exits without destructors, because a server that `start` created would be destroyed
        // after the loop.
        std::_Exit(2);
    }
}

} // namespace bulrushgw::standin
