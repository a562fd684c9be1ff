#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/table.h"
#include "rules/parser.h"

namespace bulrushgw::cli {

namespace {

/// Number of attempts to send a submission, and the delay between two attempts. Sending again is
/// safe because of the submission id. With the default timeout, a command waits at most 31 s for a
/// store that does not answer.
constexpr int submission_attempts = 3;
constexpr milliseconds retry_delay{500};

std::string read_text(const std::string& file)
{
    std::ostringstream text;
    if (file == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream input(file, std::ios::binary);
    if (!input || !(text << input.rdbuf())) {
        // Reading an empty file sets the fail bit as well, but is not an error.
        if (!input || input.peek() != std::ifstream::traits_type::eof() || input.bad()) {
            throw usage_error("cannot read rules file " + file);
        }
    }
    return text.str();
}

std::string random_id()
{
    std::random_device device;
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%08x%08x%08x%08x", device(), device(), device(),
                  device());
    return text.data();
}

ordered_json problem_list(const std::vector<rules::rule_problem>& problems)
{
    ordered_json list = ordered_json::array();
    for (const rules::rule_problem& problem : problems) {
        list.push_back({{"line", problem.line},
                        {"column", problem.column},
                        {"found", problem.found},
                        {"expected", problem.expected}});
    }
    return list;
}

exit_code report_problems(const invocation& call, const std::string& file,
                          const std::vector<rules::rule_problem>& problems)
{
    if (wants_json()) {
        const ordered_json error_body{{"type", "rules-invalid"},
                                      {"message", "the rules file has problems"},
                                      {"file", file},
                                      {"problems", problem_list(problems)}};
        call.out << ordered_json{{"error", error_body}}.dump(2, ' ', false,
                                                             ordered_json::error_handler_t::replace)
                 << "\n";
        return exit_code::refused;
    }
    for (const rules::rule_problem& problem : problems) {
        call.err << printable(rules::format_problem(file, problem)) << "\n";
    }
    return exit_code::refused;
}

std::string diff_text(const ordered_json& lines)
{
    std::string text;
    for (const auto& line : lines) {
        text += member_text(line, "kind") == "added" ? "+" : "-";
        text += member_text(line, "line") + " " + printable(member_text(line, "text")) + "\n";
    }
    return text;
}

std::string version_line(const ordered_json& record)
{
    return "version " + member_text(record, "version") + " by " +
           printable(member_text(record, "operator")) + " at " +
           printable(member_text(record, "when"));
}

exit_code report_lost_race(const invocation& call, const operator_answer& answer)
{
    if (wants_json()) {
        call.out << answer.body.dump(2) << "\n";
        return exit_code::lost_race;
    }
    const ordered_json& error_body = answer.body["error"];
    call.err << "Not accepted: another submission was accepted first.\n";
    if (error_body.contains("winner") && error_body["winner"].is_object()) {
        call.err << "Accepted first: " << version_line(error_body["winner"]) << ".\n";
    }
    if (error_body.contains("head") && error_body["head"].is_object()) {
        call.err << "In force: " << version_line(error_body["head"]) << ".\n";
    }
    if (error_body.contains("their_changes") && !error_body["their_changes"].empty()) {
        call.err << "\nLines changed since the version that you edited:\n"
                 << diff_text(error_body["their_changes"]);
    }
    if (error_body.contains("differing") && !error_body["differing"].empty()) {
        call.err << "\nLines that differ between the version in force and your file:\n"
                 << diff_text(error_body["differing"]);
    }
    call.err << "\nEdit the version in force (bulrushgw rules show) and submit it again.\n";
    return exit_code::lost_race;
}

/// Sends a submission until its outcome is known. Throws `unreachable_error` when the node cannot
/// be reached, or when the outcome is still unknown after the last attempt.
operator_answer send_submission(const operator_client& node, const ordered_json& body)
{
    bool may_be_accepted = false;
    std::string reason;
    for (int attempt = 1; attempt <= submission_attempts; ++attempt) {
        if (attempt > 1) {
            // Blocking is safe here: a command has no event loop running at this point.
            std::this_thread::sleep_for(retry_delay);
        }
        try {
            operator_answer answer = node.post("/operator/v1/rules", body);
            if (answer.error_type() == "outcome-unknown") {
                may_be_accepted = true;
            }
            else if (answer.error_type() != "store-unavailable" || !may_be_accepted) {
                return answer;
            }
            reason = answer.error_message();
        }
        catch (const unreachable_error& failure) {
            may_be_accepted = may_be_accepted || failure.may_have_run;
            if (!may_be_accepted) {
                throw;
            }
            reason = failure.what();
        }
    }
    throw unreachable_error("the outcome is unknown (" + reason +
                                "); run the command again with --submission-id " +
                                body["submission_id"].get<std::string>() + " to find out",
                            true);
}

} // namespace

exit_code rules_check(const invocation& call)
{
    const std::string& file = call.arguments.at(0);
    const auto checked = rules::parse_and_check(read_text(file));
    if (!checked.problems.empty()) {
        return report_problems(call, file, checked.problems);
    }
    if (wants_json()) {
        call.out << ordered_json{{"file", file},
                                 {"services", checked.rules.services.size()},
                                 {"routes", checked.rules.routes.size()},
                                 {"problems", ordered_json::array()}}
                        .dump(2)
                 << "\n";
    }
    else {
        call.out << file << ": " << checked.rules.services.size() << " services, "
                 << checked.rules.routes.size() << " routes, no problems\n";
    }
    return exit_code::done;
}

exit_code rules_submit(const invocation& call)
{
    if (!is_flag_set("base")) {
        throw usage_error("flag --base is missing; expected the version that was edited, which "
                          "\"rules show\" prints, or 0 if there were no rules");
    }
    const std::string& file = call.arguments.at(0);
    const std::string text = read_text(file);
    const auto checked = rules::parse_and_check(text);
    if (!checked.problems.empty()) {
        return report_problems(call, file, checked.problems);
    }
    const std::string id = FLAGS_submission_id.empty() ? random_id() : FLAGS_submission_id;
    call.err << "submission id " << id << "\n";
    const auto answer = send_submission(connect(), {{"base_version", FLAGS_base},
                                                    {"operator", operator_name()},
                                                    {"submission_id", id},
                                                    {"text", text}});
    if (answer.error_type() == "lost-race") {
        return report_lost_race(call, answer);
    }
    return report(call, answer, [&](const ordered_json& body) {
        call.out << "accepted: " << version_line(body)
                 << (body.value("repeated", false) ? " (by an earlier attempt)" : "") << "\n";
    });
}

exit_code rules_show(const invocation& call)
{
    const std::string path = is_flag_set("at") ? with_query("/operator/v1/rules",
                                                            {{"version", std::to_string(FLAGS_at)}})
                                               : "/operator/v1/rules";
    return report(call, connect().get(path), [&](const ordered_json& body) {
        call.err << version_line(body)
                 << (body.value("possibly_stale", false) ? ", possibly stale" : "") << "\n";
        call.out << member_text(body, "text");
    });
}

exit_code rules_history(const invocation& call)
{
    const auto path =
        with_query("/operator/v1/rules/history", {{"most", std::to_string(FLAGS_most)}});
    return report(call, connect().get(path), [&](const ordered_json& body) {
        table rows({"VERSION", "OPERATOR", "WHEN", "SUBMISSION", "DIGEST"});
        for (const auto& record : body.at("versions")) {
            rows.add({member_text(record, "version"), member_text(record, "operator"),
                      member_text(record, "when"), member_text(record, "submission_id"),
                      member_text(record, "digest")});
        }
        call.out << rows.text();
    });
}

exit_code rules_diff(const invocation& call)
{
    const operator_client node = connect();
    std::string to;
    if (call.arguments.size() == 2) {
        to = call.arguments[1];
    }
    else {
        const auto current = node.get("/operator/v1/rules");
        if (!current.ok()) {
            return report_failure(call, current);
        }
        to = member_text(current.body, "version");
    }
    const auto path =
        with_query("/operator/v1/rules/diff", {{"from", call.arguments[0]}, {"to", to}});
    return report(call, node.get(path),
                  [&](const ordered_json& body) { call.out << diff_text(body.at("lines")); });
}

} // namespace bulrushgw::cli
