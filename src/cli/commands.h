#pragma once

/// The functions that run the commands, and functions that several commands use.

#include <string>

#include "cli/command_line.h"

namespace bulrushgw::cli {

exit_code run_node_command(const invocation& call);
exit_code run_sidecar_command(const invocation& call);
exit_code explain_request(const invocation& call);
exit_code rules_check(const invocation& call);
exit_code rules_submit(const invocation& call);
exit_code rules_show(const invocation& call);
exit_code rules_history(const invocation& call);
exit_code rules_diff(const invocation& call);
exit_code keys_owner(const invocation& call);
exit_code hosts_list(const invocation& call);
exit_code hosts_drain(const invocation& call);
exit_code hosts_assert_ended(const invocation& call);
exit_code targets_list(const invocation& call);
exit_code show_audit(const invocation& call);
exit_code show_status(const invocation& call);

/// A client for the node at the address in --node. Throws `usage_error`.
operator_client connect();

/// The operator's name from --operator or the environment. Throws `usage_error` when neither has
/// one.
std::string operator_name();

/// Prints an unsuccessful answer and returns the matching exit code.
exit_code report_failure(const invocation& call, const operator_answer& answer);

/// Prints a successful answer, as JSON with --json and by calling `print` otherwise. Prints other
/// answers by `report_failure`. Returns the exit code.
template <typename Print>
exit_code report(const invocation& call, const operator_answer& answer, const Print& print);

/// Text of a JSON member: the value of a string, "" for null or a missing member, and JSON for any
/// other value.
std::string member_text(const ordered_json& object, const char* name);

/// True if --json is set.
bool wants_json();

template <typename Print>
exit_code report(const invocation& call, const operator_answer& answer, const Print& print)
{
    if (!answer.ok()) {
        return report_failure(call, answer);
    }
    if (wants_json()) {
        call.out << answer.body.dump(2) << "\n";
    }
    else {
        print(answer.body);
    }
    return exit_code::done;
}

} // namespace bulrushgw::cli
