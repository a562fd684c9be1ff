#include "cli/flags.h"

#include <algorithm>

#include <gflags/gflags.h>

DEFINE_string(config, "", "settings file of the node or sidecar");
DEFINE_bool(check, false, "only check the settings");
DEFINE_bool(print_settings, false, "print the settings in force, with defaults, and exit");
DEFINE_string(node, "127.0.0.1:8001", "operator address of any node, IP:port");
// Longer than the 8 s that a node can take to record an operator's assertion that a host has ended.
DEFINE_uint32(timeout_ms, 10000, "time to wait for one answer of the node, in ms");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_string(operator, "",
              "operator name for the rules history and the audit trail; default: the login name");
DEFINE_uint64(base, 0, "version of the rules that was edited; 0 if there was none");
DEFINE_string(submission_id, "",
              "submission id; set it to send an earlier submission again; default: random");
DEFINE_uint64(at, 0, "version of the rules; default: the version in force");
DEFINE_uint32(most, 50, "maximum number of entries to print");
DEFINE_string(service, "", "only this service");
DEFINE_string(range, "", "only this range, by its number");
DEFINE_string(subject, "", "only events whose subject or observer is this incarnation");
DEFINE_string(kind, "", "only this kind of event");
DEFINE_bool(switched_off, false, "confirms that the host is switched off");
DEFINE_string(path, "", "path of the request");
DEFINE_string(host, "", "Host header of the request");
// Text, so that the sidecar judges it as it judges the header of a request.
DEFINE_string(key, "", "shard key of the request");
DEFINE_uint32(deadline_ms, 0, "time for which the client waits, in ms; default: not specified");
DEFINE_uint32(body_bytes, 0, "size of the request's body");

namespace bulrushgw::cli {

namespace {

/// Registered names use underscores; the command line accepts underscores and hyphens.
std::string registered_name(std::string name)
{
    std::ranges::replace(name, '-', '_');
    return name;
}

std::string display_name(std::string name)
{
    std::ranges::replace(name, '_', '-');
    return "--" + name;
}

struct flag_argument {
    std::string name;
    std::string value;
    bool has_value = false;
};

flag_argument split_argument(const std::string& argument)
{
    const std::size_t start = argument.starts_with("--") ? 2 : 1;
    const std::size_t equals = argument.find('=');
    if (equals == std::string::npos) {
        return {registered_name(argument.substr(start)), "", false};
    }
    return {registered_name(argument.substr(start, equals - start)), argument.substr(equals + 1),
            true};
}

bool is_allowed(const std::vector<std::string_view>& allowed, const std::string& name)
{
    return std::ranges::find(allowed, name) != allowed.end();
}

void set_flag(const flag_argument& flag, const std::string& type)
{
    if (gflags::SetCommandLineOption(flag.name.c_str(), flag.value.c_str()).empty()) {
        throw usage_error("flag " + display_name(flag.name) + ": found \"" + flag.value +
                          "\", expected a value of type " + type);
    }
}

} // namespace

std::vector<std::string> parse_flags(const std::vector<std::string>& arguments,
                                     const std::vector<std::string_view>& allowed)
{
    std::vector<std::string> positional;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string& argument = arguments[i];
        if (argument == "--") {
            positional.insert(positional.end(),
                              arguments.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                              arguments.end());
            break;
        }
        if (argument.size() < 2 || argument[0] != '-') {
            positional.push_back(argument);
            continue;
        }
        flag_argument flag = split_argument(argument);
        gflags::CommandLineFlagInfo info;
        if (!is_allowed(allowed, flag.name) ||
            !gflags::GetCommandLineFlagInfo(flag.name.c_str(), &info)) {
            throw usage_error("unknown flag " + argument + " for this command");
        }
        if (!flag.has_value && info.type == "bool") {
            flag.value = "true";
        }
        else if (!flag.has_value) {
            if (++i == arguments.size()) {
                throw usage_error("flag " + display_name(flag.name) + " needs a value");
            }
            flag.value = arguments[i];
        }
        set_flag(flag, info.type);
    }
    return positional;
}

std::string flag_help(std::string_view name)
{
    const auto info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    std::string text = display_name(info.name);
    if (info.type != "bool") {
        text += " VALUE";
    }
    constexpr std::size_t help_column = 24;
    text.resize(std::max(text.size() + 2, help_column), ' ');
    text += info.description;
    if (info.type != "bool" && !info.default_value.empty() && info.default_value != "0") {
        text += " (default " + info.default_value + ")";
    }
    return text;
}

bool is_flag_set(std::string_view name)
{
    return !gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str()).is_default;
}

} // namespace bulrushgw::cli
