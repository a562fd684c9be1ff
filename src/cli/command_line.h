#pragma once

/// The commands of `bulrushgw` and the function that runs them.

#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/exit_code.h"
#include "cli/operator_client.h"
#include "node/settings.h"

namespace bulrushgw::cli {

/// Runs a node and returns the exit code of the process.
using node_runner = std::function<int(const node::settings&)>;

/// The arguments, streams and functions for one run of a command. Flags are read from gflags.
struct invocation {
    std::vector<std::string> arguments; ///< positional arguments, without the command name
    std::ostream& out;
    std::ostream& err;
    const node_runner& run_node;
};

struct command {
    std::string_view name;      ///< such as "rules check"
    std::string_view arguments; ///< shown in the help, such as "FILE"
    std::size_t min_arguments = 0;
    std::size_t max_arguments = 0;
    std::vector<std::string_view> flags; ///< registered gflags names of the accepted flags
    std::string_view help;
    exit_code (*run)(const invocation&) = nullptr;
};

/// All commands, in the order of the help.
const std::vector<command>& commands();

/// Runs one command line, given without the program name, and returns the exit code. Not
/// thread-safe: the flags are global; their values are restored before the function returns.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err,
        const node_runner& run_node);

} // namespace bulrushgw::cli
