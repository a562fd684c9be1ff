#include "cli/command_line.h"

#include <algorithm>
#include <optional>

#include <gflags/gflags.h>

#include "cli/commands.h"
#include "cli/flags.h"

namespace bulrushgw::cli {

namespace {

std::vector<std::string_view> with_node_flags(std::vector<std::string_view> command_flags = {})
{
    std::vector<std::string_view> flags{"node", "json", "timeout_ms"};
    flags.insert(flags.begin(), command_flags.begin(), command_flags.end());
    return flags;
}

std::string usage_line(const command& command)
{
    std::string line = "bulrushgw " + std::string(command.name);
    if (!command.arguments.empty()) {
        line += " " + std::string(command.arguments);
    }
    return line;
}

std::string general_help()
{
    constexpr std::size_t help_column = 48;
    std::string text = "bulrushgw routes requests to servers that own keys exclusively.\n\n"
                       "Commands:\n";
    for (const command& command : commands()) {
        std::string line = "  " + usage_line(command);
        line.resize(std::max(line.size() + 2, help_column), ' ');
        const std::size_t end = command.help.find_first_of(".;");
        text += line + std::string(command.help.substr(0, end)) + "\n";
    }
    text += "\nbulrushgw COMMAND --help prints the flags of a command.\n"
            "Exit codes: 0 done, 1 refused or not found, 2 bad usage or settings,\n"
            "3 the node or the store cannot be reached, 4 another submission was accepted first.\n";
    return text;
}

std::string command_help(const command& command)
{
    std::string text =
        "Usage: " + usage_line(command) + " [FLAGS]\n\n" + std::string(command.help) + "\n";
    text += command.flags.empty() ? "" : "\nFlags:\n";
    for (const std::string_view flag : command.flags) {
        text += "  " + flag_help(flag) + "\n";
    }
    return text;
}

std::vector<std::string> name_words(const command& command)
{
    std::vector<std::string> words;
    std::string_view rest = command.name;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        words.emplace_back(rest.substr(0, end));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return words;
}

bool has_prefix(const std::vector<std::string>& arguments, const std::vector<std::string>& words)
{
    return arguments.size() >= words.size() &&
           std::equal(words.begin(), words.end(), arguments.begin());
}

/// Names of the commands that begin with `word`, for error messages; empty if there are none.
std::string commands_in_group(const std::string& word)
{
    std::string names;
    for (const command& command : commands()) {
        if (command.name.starts_with(word + " ")) {
            names += (names.empty() ? "" : ", ") + std::string(command.name);
        }
    }
    return names;
}

[[noreturn]] void throw_unknown_command(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        throw usage_error("a command is missing; bulrushgw --help lists the commands");
    }
    const std::string group = commands_in_group(arguments[0]);
    if (group.empty()) {
        throw usage_error("unknown command \"" + arguments[0] +
                          "\"; bulrushgw --help lists the commands");
    }
    throw usage_error("\"" + arguments[0] +
                      "\" is not followed by a known subcommand; "
                      "expected one of: " +
                      group);
}

const command& find_command(const std::vector<std::string>& arguments)
{
    for (const command& command : commands()) {
        if (has_prefix(arguments, name_words(command))) {
            return command;
        }
    }
    throw_unknown_command(arguments);
}

bool has_flag(const std::vector<std::string>& arguments, const std::string& flag)
{
    const auto end = std::ranges::find(arguments, "--");
    return std::find(arguments.begin(), end, flag) != end;
}

exit_code run_command(const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& err, const node_runner& run_node)
{
    if (!arguments.empty() && arguments[0] == "--version") {
        out << "bulrushgw " << BULRUSHGW_VERSION << "\n";
        return exit_code::done;
    }
    if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "help")) {
        out << general_help();
        return exit_code::done;
    }
    const command& command = find_command(arguments);
    const auto words = static_cast<std::ptrdiff_t>(name_words(command).size());
    const std::vector<std::string> rest(arguments.begin() + words, arguments.end());
    if (has_flag(rest, "--help")) {
        out << command_help(command);
        return exit_code::done;
    }
    const auto positional = parse_flags(rest, command.flags);
    if (positional.size() < command.min_arguments || positional.size() > command.max_arguments) {
        throw usage_error("found " + std::to_string(positional.size()) +
                          " arguments, expected: " + usage_line(command));
    }
    return command.run({positional, out, err, run_node});
}

} // namespace

const std::vector<command>& commands()
{
    static const std::vector<command> all{
        {"node",
         "",
         0,
         0,
         {"config", "check", "print_settings"},
         "Run a node beside a target. On SIGTERM, hands its ranges over and then stops; a second "
         "signal ends it at once.",
         run_node_command},
        {"sidecar",
         "",
         0,
         0,
         {"config", "check"},
         "Run a node on the deployment platform, beside a target. On SIGTERM, moves its keys to "
         "other targets and then stops.",
         run_sidecar_command},
        {"explain", "", 0, 0,
         with_node_flags({"path", "host", "key", "service", "deadline_ms", "body_bytes"}),
         "Print where a sidecar would send a request now and why, without sending it. --node is "
         "the "
         "metrics address of the sidecar; --service selects one of the destinations of the route. "
         "The exit code is 0 also if the request would be refused, and 1 for all errors.",
         explain_request},
        {"rules check",
         "FILE",
         1,
         1,
         {"json"},
         "Check a rules file offline. Reports all problems at once; FILE \"-\" is standard input.",
         rules_check},
        {"rules submit", "FILE", 1, 1, with_node_flags({"base", "operator", "submission_id"}),
         "Submit an edited rules file for acceptance. --base is the version that was edited, so "
         "that no other edit is overwritten; a submission whose answer was lost is sent again with "
         "the same submission id.",
         rules_submit},
        {"rules show", "", 0, 0, with_node_flags({"at"}),
         "Print the rules in force. The version is printed to standard error, so that standard "
         "output holds only the file to edit.",
         rules_show},
        {"rules history", "", 0, 0, with_node_flags({"most"}),
         "List accepted versions, newest first.", rules_history},
        {"rules diff", "FROM [TO]", 1, 2, with_node_flags(),
         "Print the lines that differ between two versions. TO is the version in force by default; "
         "FROM 0 is the empty file.",
         rules_diff},
        {"keys owner", "SERVICE KEY", 2, 2, with_node_flags(), "Print which host owns a key.",
         keys_owner},
        {"hosts list", "", 0, 0, with_node_flags(), "List the hosts that the node knows.",
         hosts_list},
        {"hosts drain", "[HOST]", 0, 1, with_node_flags({"operator"}),
         "Hand over the ranges of the host at --node and stop its node. HOST, a host name or "
         "an incarnation, guards against a wrong --node: the request is refused for another host.",
         hosts_drain},
        {"hosts assert-ended", "HOST", 1, 1, with_node_flags({"operator", "switched_off"}),
         "Record that a lost host is switched off. HOST is a host name or an incarnation. Only for "
         "ranges that cannot be taken over because two of the three voters of a lease are lost; if "
         "the host still ran, two hosts would serve these ranges.",
         hosts_assert_ended},
        {"targets list", "", 0, 0, with_node_flags(), "List the targets that the node knows.",
         targets_list},
        {"audit", "", 0, 0, with_node_flags({"service", "range", "subject", "kind", "most"}),
         "Print audit events, oldest first.", show_audit},
        {"status", "", 0, 0, with_node_flags(), "Print the state of the node.", show_status},
    };
    return all;
}

int run(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err,
        const node_runner& run_node)
{
    const gflags::FlagSaver restore_flags;
    const auto fail = [&](const char* type, const std::string& message, exit_code code) {
        if (wants_json()) {
            out << ordered_json{{"error", {{"type", type}, {"message", message}}}}.dump(2) << "\n";
        }
        err << "bulrushgw: " << message << "\n";
        return static_cast<int>(code);
    };
    try {
        return static_cast<int>(run_command(arguments, out, err, run_node));
    }
    catch (const usage_error& failure) {
        return fail("usage", failure.what(), exit_code::usage);
    }
    catch (const unreachable_error& failure) {
        return fail("unreachable", failure.what(), exit_code::unreachable);
    }
    catch (const error& failure) {
        return fail("failed", failure.what(), exit_code::refused);
    }
}

} // namespace bulrushgw::cli
