#include <iostream>

#include "cli/command_line.h"
#include "node/node.h"

int main(int argc, char** argv)
{
    return bulrushgw::cli::run({argv + 1, argv + argc}, std::cout, std::cerr,
                               bulrushgw::node::run_node);
}
