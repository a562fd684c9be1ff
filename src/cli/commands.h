#pragma once

/// The commands of the command line and what they share.

#include <string>

#include "cli/command_line.h"

namespace bulrushgw::cli {

exit_code run_node_command(const invocation& call);
exit_code run_sidecar_command(const invocation& call);
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

/// A client of the node that the flags name. Throws `usage_error`.
operator_client connect();

/// The operator's name from the flag or the environment. Throws `usage_error`.
std::string operator_name();

/// Prints an answer that is not a success and returns the exit code for it.
exit_code report_failure(const invocation& call, const operator_answer& answer);

/// Prints `answer` as JSON with --json, or by `print`; failures by
/// `report_failure`.
template <typename Print>
exit_code report(const invocation& call, const operator_answer& answer, const Print& print);

/// Text of a JSON member: strings as they are, null and absent as "".
std::string text_of(const ordered_json& object, const char* name);

/// True with --json.
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
