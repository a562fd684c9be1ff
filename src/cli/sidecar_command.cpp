#include "cli/commands.h"
#include "cli/flags.h"
#include "platform/protocol.h"
#include "sidecar/process.h"

namespace bulrushgw::cli {

exit_code run_sidecar_command(const invocation& call)
{
    if (FLAGS_config.empty()) {
        throw usage_error("flag --config is missing; expected the settings file of the sidecar");
    }
    try {
        if (FLAGS_check) {
            sidecar::load_settings(FLAGS_config);
            call.out << FLAGS_config << ": settings are valid\n";
            return exit_code::done;
        }
        return static_cast<exit_code>(
            sidecar::run_sidecar(FLAGS_config, platform::make_protocol()));
    }
    catch (const sidecar::settings_error& failure) {
        call.err << "bulrushgw: " << failure.what() << "\n";
        return exit_code::usage;
    }
}

} // namespace bulrushgw::cli
