#include "cli/commands.h"
#include "cli/flags.h"

namespace bulrushgw::cli {

exit_code run_node_command(const invocation& call)
{
    if (FLAGS_config.empty()) {
        throw usage_error("flag --config is missing; expected the settings file of the node");
    }
    try {
        const node::settings values = node::load_settings(FLAGS_config);
        if (FLAGS_print_settings) {
            call.out << node::print_settings(values);
            return exit_code::done;
        }
        if (FLAGS_check) {
            call.out << FLAGS_config << ": settings are valid\n";
            return exit_code::done;
        }
        return static_cast<exit_code>(call.run_node(values));
    }
    catch (const node::settings_error& failure) {
        call.err << failure.what() << "\n";
    }
    catch (const node::settings_file_error& failure) {
        call.err << "bulrushgw: " << failure.what() << "\n";
    }
    return exit_code::usage;
}

} // namespace bulrushgw::cli
