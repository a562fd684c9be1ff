#pragma once

/// The command line of `bulrushgw`.

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

/// What a command works with. Flags are read from gflags.
struct invocation {
    std::vector<std::string> arguments; ///< without the words of the command
    std::ostream& out;
    std::ostream& err;
    const node_runner& run_node;
};

struct command {
    std::string_view words;     ///< such as "rules check"
    std::string_view arguments; ///< for help, such as "FILE"
    std::size_t least_arguments = 0;
    std::size_t most_arguments = 0;
    std::vector<std::string_view> flags; ///< registered names
    std::string_view help;
    exit_code (*run)(const invocation&) = nullptr;
};

const std::vector<command>& commands();

/// Runs one command line, without the name of the program. Not thread-safe: the
/// flags are global and restored before the return.
int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err,
        const node_runner& run_node);

} // namespace bulrushgw::cli
