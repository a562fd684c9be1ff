#include <algorithm>
#include <cstdlib>

#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/table.h"
#include "common/ids.h"

namespace bulrushgw::cli {

namespace {

std::string yes_or_no(const ordered_json& object, const char* name)
{
    return object.value(name, false) ? "yes" : "no";
}

bool is_incarnation(const std::string& text)
{
    try {
        parse_incarnation(text);
        return true;
    }
    catch (const parse_error&) {
        return false;
    }
}

/// Returns the incarnation of `host`, which is a host name or already an incarnation. Throws
/// `error` if it is a host name that does not belong to exactly one incarnation that has not ended.
std::string find_incarnation(const operator_client& node, const std::string& host)
{
    if (is_incarnation(host)) {
        return host;
    }
    const auto answer = node.get("/operator/v1/hosts");
    std::string last_match;
    std::string matches;
    if (answer.ok()) {
        for (const auto& row : answer.body.at("hosts")) {
            if (member_text(row, "host") == host && member_text(row, "state") != "ended") {
                last_match = member_text(row, "incarnation");
                matches += " " + last_match;
            }
        }
    }
    if (last_match.empty()) {
        throw error("the node knows no host \"" + host + "\" that has not ended");
    }
    if (matches != " " + last_match) {
        throw error("host \"" + host + "\" has several incarnations; specify one of:" + matches);
    }
    return last_match;
}

void print_fields(const invocation& call,
                  const std::vector<std::pair<std::string, std::string>>& fields)
{
    constexpr std::size_t value_column = 24;
    for (const auto& [name, value] : fields) {
        std::string line = name;
        std::ranges::replace(line, '_', ' ');
        line.resize(std::max(value_column, line.size() + 2), ' ');
        call.out << line << printable(value) << "\n";
    }
}

exit_code report_message(const invocation& call, const operator_answer& answer)
{
    return report(call, answer, [&](const ordered_json& body) {
        call.out << printable(member_text(body, "message")) << "\n";
    });
}

} // namespace

bool wants_json()
{
    return FLAGS_json;
}

operator_client connect()
{
    try {
        return {net::parse_endpoint(FLAGS_node), milliseconds{FLAGS_timeout_ms}};
    }
    catch (const net::address_error& failure) {
        throw usage_error(std::string("flag --node: ") + failure.what());
    }
}

std::string operator_name()
{
    if (!FLAGS_operator.empty()) {
        return FLAGS_operator;
    }
    for (const char* variable : {"USER", "LOGNAME"}) {
        // The command line has one thread, and nothing changes the environment.
        const char* name = std::getenv(variable); // NOLINT(concurrency-mt-unsafe)
        if (name != nullptr && *name != '\0') {
            return name;
        }
    }
    throw usage_error("flag --operator is missing, and the environment has no login name");
}

std::string member_text(const ordered_json& object, const char* name)
{
    const auto member = object.find(name);
    if (member == object.end() || member->is_null()) {
        return {};
    }
    return member->is_string() ? member->get<std::string>() : member->dump();
}

exit_code report_failure(const invocation& call, const operator_answer& answer)
{
    if (wants_json()) {
        call.out << answer.body.dump(2) << "\n";
    }
    const std::string type = answer.error_type();
    call.err << "bulrushgw: " << (type.empty() ? "status " + std::to_string(answer.status) : type)
             << ": " << printable(answer.error_message()) << "\n";
    if (type == "lost-race") {
        return exit_code::lost_race;
    }
    if (type == "bad-request") {
        return exit_code::usage;
    }
    return type == "store-unavailable" || type == "outcome-unknown" ? exit_code::unreachable
                                                                    : exit_code::refused;
}

exit_code keys_owner(const invocation& call)
{
    const auto path = with_query("/operator/v1/keys/owner",
                                 {{"service", call.arguments[0]}, {"key", call.arguments[1]}});
    return report(call, connect().get(path), [&](const ordered_json& body) {
        print_fields(call, {{"service", member_text(body, "service")},
                            {"key", member_text(body, "key")},
                            {"range", member_text(body, "range")},
                            {"owner", member_text(body, "owner")},
                            {"host", member_text(body, "host")},
                            {"zone", member_text(body, "zone")},
                            {"address", member_text(body, "address")},
                            {"fence", member_text(body, "fence")},
                            {"placement version", member_text(body, "placement_version")},
                            {"reason", member_text(body, "reason")}});
    });
}

exit_code hosts_list(const invocation& call)
{
    return report(call, connect().get("/operator/v1/hosts"), [&](const ordered_json& body) {
        table rows({"HOST", "ZONE", "REGION", "SERVICE", "STATE", "SLOTS", "FENCES", "ADOPTED",
                    "INCARNATION", "ADDRESS"});
        for (const auto& host : body.at("hosts")) {
            rows.add({member_text(host, "host"), member_text(host, "zone"),
                      member_text(host, "region"), member_text(host, "service"),
                      member_text(host, "state"), member_text(host, "slots"),
                      yes_or_no(host, "checks_fences"), member_text(host, "adopted"),
                      member_text(host, "incarnation"), member_text(host, "address")});
        }
        call.out << rows.text();
    });
}

exit_code hosts_drain(const invocation& call)
{
    ordered_json body{{"operator", operator_name()}};
    const operator_client node = connect();
    if (!call.arguments.empty()) {
        body["incarnation"] = find_incarnation(node, call.arguments[0]);
    }
    return report_message(call, node.post("/operator/v1/hosts/drain", body));
}

exit_code hosts_assert_ended(const invocation& call)
{
    if (!FLAGS_switched_off) {
        throw usage_error("flag --switched-off is missing; it confirms that the host is switched "
                          "off, because a host that still runs would serve its ranges as well");
    }
    ordered_json body{{"operator", operator_name()}, {"switched_off", true}};
    const operator_client node = connect();
    body["incarnation"] = find_incarnation(node, call.arguments[0]);
    return report_message(call, node.post("/operator/v1/hosts/assert-ended", body));
}

exit_code targets_list(const invocation& call)
{
    return report(call, connect().get("/operator/v1/targets"), [&](const ordered_json& body) {
        table rows({"HOST", "SERVICE", "ADDRESS", "SLOTS", "CONNECTIONS", "IN-FLIGHT", "QUEUED",
                    "READY", "DRAINING", "FENCES"});
        for (const auto& target : body.at("targets")) {
            rows.add({member_text(target, "host"), member_text(target, "service"),
                      member_text(target, "address"), member_text(target, "slots"),
                      member_text(target, "connections"), member_text(target, "in_flight"),
                      member_text(target, "queued"), yes_or_no(target, "ready"),
                      yes_or_no(target, "draining"), yes_or_no(target, "checks_fences")});
        }
        call.out << rows.text();
    });
}

exit_code show_audit(const invocation& call)
{
    const auto path = with_query("/operator/v1/audit", {{"service", FLAGS_service},
                                                        {"range", FLAGS_range},
                                                        {"subject", FLAGS_subject},
                                                        {"kind", FLAGS_kind},
                                                        {"most", std::to_string(FLAGS_most)}});
    return report(call, connect().get(path), [&](const ordered_json& body) {
        table rows(
            {"TIME", "KIND", "SERVICE", "RANGE", "EPOCH", "SUBJECT", "SEEN BY", "WHO", "CAUSE"});
        for (const auto& event : body.at("events")) {
            rows.add({member_text(event, "at"), member_text(event, "kind"),
                      member_text(event, "service"), member_text(event, "range"),
                      member_text(event, "epoch"), member_text(event, "subject"),
                      member_text(event, "seen_by"), member_text(event, "who"),
                      member_text(event, "cause")});
        }
        call.out << rows.text();
    });
}

exit_code show_status(const invocation& call)
{
    return report(call, connect().get("/operator/v1/status"), [&](const ordered_json& body) {
        std::vector<std::pair<std::string, std::string>> fields;
        for (const auto& [name, value] : body.items()) {
            fields.emplace_back(name, member_text(body, name.c_str()));
        }
        print_fields(call, fields);
    });
}

} // namespace bulrushgw::cli
