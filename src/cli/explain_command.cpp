#include "cli/commands.h"
#include "cli/flags.h"
#include "cli/table.h"

namespace bulrushgw::cli {

namespace {

/// Text of a member that contains objects by name, such as "route.name"; "-" if there is none.
std::string text_at(const ordered_json& body, const char* pointer)
{
    const ordered_json::json_pointer place(pointer);
    if (!body.contains(place) || body.at(place).is_null()) {
        return "-";
    }
    const auto& value = body.at(place);
    return printable(value.is_string() ? value.get<std::string>() : value.dump());
}

std::string ms_at(const ordered_json& body, const char* pointer)
{
    const auto text = text_at(body, pointer);
    return text == "-" ? text : text + " ms";
}

bool is_set(const ordered_json& body, const char* pointer)
{
    return text_at(body, pointer) == "true";
}

std::string receiver_text(const ordered_json& body)
{
    return text_at(body, "/host") + " in " + text_at(body, "/zone") + " (" +
           text_at(body, "/address") + ", target " + text_at(body, "/target") + ")";
}

void print_decision(const invocation& call, const ordered_json& decision)
{
    const auto action = text_at(decision, "/action");
    call.out << "decision     " << action;
    if (action == "send") {
        call.out << " to " << receiver_text(decision.at("receiver"));
    }
    else if (action == "wait") {
        call.out << " for up to " << ms_at(decision, "/longest_wait_ms") << ", then";
    }
    if (action != "send") {
        call.out << " " << text_at(decision, "/status") << " " << text_at(decision, "/reason")
                 << ", Retry-After " << ms_at(decision, "/retry_after_ms");
    }
    call.out << "\nbecause      " << text_at(decision, "/cause") << "\n";
}

void print_key(const invocation& call, const ordered_json& key)
{
    call.out << "owner        "
             << (key.at("owner").is_null()
                     ? "none"
                     : receiver_text(key.at("owner")) + ", " + text_at(key, "/owner/state"))
             << "\nkeys         " << text_at(key, "/first_key") << " to "
             << text_at(key, "/last_key") << ", fence " << text_at(key, "/fence")
             << (is_set(key, "/moving") ? ", moving" : "") << "\nhold left    "
             << (key.at("hold_left_ms").is_null() ? "known on the owner's host only"
                                                  : ms_at(key, "/hold_left_ms"))
             << "\n";
}

std::string candidate_state(const ordered_json& candidate)
{
    auto excluded = text_at(candidate, "/excluded");
    if (!excluded.empty()) {
        return excluded;
    }
    std::string state = is_set(candidate, "/full") ? "full" : "usable";
    state += is_set(candidate, "/warming_up") ? ", warms up" : "";
    const auto refusing = ms_at(candidate, "/accepts_after_ms");
    state += refusing == "-" ? "" : ", refuses for " + refusing;
    state += is_set(candidate, "/trial_due") ? ", trial is due" : "";
    state += is_set(candidate, "/avoided") ? ", does not answer" : "";
    state += is_set(candidate, "/probe_due") ? ", probe is due" : "";
    return state;
}

void print_candidates(const invocation& call, const ordered_json& body)
{
    table rows({"HOST", "ZONE", "COST MS", "MEAN MS", "SLOWDOWN", "UNANSWERED MS", "LOAD", "SLOTS",
                "QUEUEING", "FAILURES MS", "BODY WAIT MS", "BODY MS", "OWN", "LOAD AGE MS",
                "STATE"});
    for (const auto& item : body.at("candidates")) {
        rows.add({text_at(item, "/host"), text_at(item, "/zone"), text_at(item, "/cost_ms"),
                  text_at(item, "/cost/mean_answer_ms"), text_at(item, "/cost/slowdown"),
                  text_at(item, "/cost/unanswered_ms"), text_at(item, "/cost/load"),
                  text_at(item, "/slots"), text_at(item, "/cost/queueing"),
                  text_at(item, "/cost/failure_ms"), text_at(item, "/cost/intake_wait_ms"),
                  text_at(item, "/cost/transfer_ms"), text_at(item, "/own_in_flight"),
                  text_at(item, "/age_ms/load"), candidate_state(item)});
    }
    call.out << rows.text();
    if (text_at(body, "/candidates_left_out") != "0") {
        call.out << text_at(body, "/candidates_left_out") << " more are not listed\n";
    }
    for (const auto& zone : body.at("zones")) {
        call.out << "zone         " << text_at(zone, "/zone")
                 << (is_set(zone, "/own") ? " (own)" : "") << ": share " << text_at(zone, "/share")
                 << ", figures " << ms_at(zone, "/age_ms") << " old\n";
    }
    call.out << "leaves zone  " << text_at(body, "/leaving_share") << "\n";
}

void print_limits(const invocation& call, const ordered_json& body)
{
    call.out << "limits       timeout " << ms_at(body, "/limits/timeout_ms") << ", goal "
             << ms_at(body, "/limits/aim_ms") << ", attempts " << text_at(body, "/limits/attempts")
             << ", retries left " << text_at(body, "/limits/retries_left") << ", body up to "
             << text_at(body, "/limits/max_body_bytes") << " bytes\n";
    if (text_at(body, "/limits/cold_requests_per_s") != "0.0") {
        call.out << "warm-up      " << text_at(body, "/limits/cold_requests_per_s")
                 << " requests/s for each cold target\n";
    }
    if (body.contains("gate")) {
        const auto& gate = body.at("gate");
        call.out << "queue        " << text_at(gate, "/verdict") << "; slots "
                 << text_at(gate, "/slots") << ", running " << text_at(gate, "/running")
                 << ", queued " << text_at(gate, "/queued") << ", expected work "
                 << ms_at(gate, "/expected_work_ms") << ", wait for the warm-up limit "
                 << ms_at(gate, "/warm_up_wait_ms") << "\n";
    }
}

void print_report(const invocation& call, const ordered_json& body)
{
    call.out << "route        " << text_at(body, "/route/name") << ", rank "
             << text_at(body, "/route/rank") << ", "
             << (is_set(body, "/route/safe") ? "safe" : "unsafe") << "; manifest "
             << text_at(body, "/manifest_version") << "\nservice      "
             << text_at(body, "/service/name")
             << (is_set(body, "/service/sharded") ? ", divided by key" : "") << "\n";
    if (body.at("destinations").size() > 1) {
        for (const auto& item : body.at("destinations")) {
            call.out << "destination  " << text_at(item, "/service") << ": share "
                     << text_at(item, "/share") << "\n";
        }
    }
    call.out << "view         term " << text_at(body, "/view/term") << ", version "
             << text_at(body, "/view/version") << ", confirmed " << ms_at(body, "/view/age_ms")
             << " ago" << (is_set(body, "/view/stale") ? ", STALE" : "") << "; evacuations "
             << ms_at(body, "/evacuations/age_ms") << " old\n";
    if (body.contains("key")) {
        print_key(call, body.at("key"));
    }
    else {
        print_candidates(call, body);
    }
    print_limits(call, body);
    print_decision(call, body.at("decision"));
    call.out << "left out     ";
    for (const auto& item : body.at("left_out")) {
        call.out << (&item == &body.at("left_out").front() ? "" : ", ")
                 << printable(item.get<std::string>());
    }
    call.out << "\n";
}

std::string number_text(const char* flag, std::uint64_t value)
{
    return is_flag_set(flag) ? std::to_string(value) : std::string{};
}

} // namespace

exit_code explain_request(const invocation& call)
{
    if (FLAGS_path.empty() || !is_flag_set("node")) {
        throw usage_error("flags --node and --path are needed: the metrics address of a sidecar, "
                          "and the path of the request");
    }
    const auto target =
        with_query("/explain", {{"path", FLAGS_path},
                                {"host", FLAGS_host},
                                {"key", FLAGS_key},
                                {"service", FLAGS_service},
                                {"deadline_ms", number_text("deadline_ms", FLAGS_deadline_ms)},
                                {"body_bytes", number_text("body_bytes", FLAGS_body_bytes)}});
    try {
        return report(call, connect().get(target),
                      [&](const ordered_json& body) { print_report(call, body); });
    }
    catch (const unreachable_error& failure) {
        throw error(failure.what());
    }
    catch (const ordered_json::exception& failure) {
        throw error("the answer has another form than expected; is this the metrics address of a "
                    "sidecar of this version? " +
                    std::string(failure.what()));
    }
}

} // namespace bulrushgw::cli
