#include "sidecar/explain.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <nlohmann/json.hpp>

#include "net/request_target.h"

namespace bulrushgw::sidecar {

namespace {

using nlohmann::ordered_json;

constexpr int status_bad_request = 400;

[[noreturn]] void throw_bad_request(const std::string& message)
{
    throw explain_failure(status_bad_request, "bad-request", message);
}

std::uint64_t parse_number(const std::string& name, const std::string& text, std::uint64_t max)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || stop != end || number > max) {
        throw_bad_request("\"" + name + "\": found \"" + text +
                          "\", expected an integer from 0 to " + std::to_string(max));
    }
    return number;
}

/// Figures have three decimals: thousandths of a millisecond or of a share.
double rounded(double value)
{
    constexpr double steps = 1000;
    return std::round(value * steps) / steps;
}

ordered_json to_json(const std::optional<milliseconds>& time)
{
    return time ? ordered_json(time->count()) : ordered_json(nullptr);
}

const char* to_text(assignment::target_phase phase)
{
    switch (phase) {
    case assignment::target_phase::absent:
        return "absent";
    case assignment::target_phase::ready:
        return "ready";
    case assignment::target_phase::draining:
        return "draining";
    }
    return "unknown";
}

const char* to_text(explained_action action)
{
    switch (action) {
    case explained_action::send:
        return "send";
    case explained_action::wait:
        return "wait";
    case explained_action::refuse:
        return "refuse";
    }
    return "unknown";
}

const char* to_text(gate_explanation::verdict verdict)
{
    switch (verdict) {
    case gate_explanation::verdict::start:
        return "start";
    case gate_explanation::verdict::queue:
        return "queue";
    case gate_explanation::verdict::refuse:
        return "refuse";
    }
    return "unknown";
}

ordered_json to_json(const explained_node& node)
{
    return {{"node", to_string(node.node)},
            {"host", node.host},
            {"zone", node.zone},
            {"address", node.address},
            {"target", node.target},
            {"state", to_text(node.phase)},
            {"slots", node.slots},
            {"warming_up", node.warming_up}};
}

ordered_json to_json(const std::optional<explained_node>& node)
{
    return node ? to_json(*node) : ordered_json(nullptr);
}

ordered_json to_json(const explained_candidate& candidate)
{
    ordered_json result = to_json(candidate.node);
    result["excluded"] = candidate.excluded;
    if (!candidate.figures) {
        return result;
    }
    const auto& figures = *candidate.figures;
    const auto& cost = figures.cost;
    result["cost_ms"] = rounded(figures.total_ms);
    result["cost"] = {{"mean_answer_ms", rounded(cost.mean_answer_ms)},
                      {"mean_is_of_service", !cost.has_answers},
                      {"slowdown", rounded(cost.slowdown)},
                      {"unanswered_ms", rounded(cost.unanswered_ms)},
                      {"load", rounded(cost.load)},
                      {"queueing", rounded(cost.queueing)},
                      {"failure_ms", rounded(cost.failure_ms)},
                      {"intake_wait_ms", rounded(cost.intake_wait_ms)},
                      {"transfer_ms", rounded(cost.transfer_ms)},
                      {"refusing_ms", rounded(cost.refusing_ms)}};
    result["full"] = cost.load >= candidate.node.slots;
    result["own_in_flight"] = figures.own_in_flight;
    result["accepts_after_ms"] = to_json(figures.refusing_time);
    result["trial_due"] = figures.trial_due;
    result["avoided"] = cost.is_avoided();
    result["probe_due"] = figures.probe_due;
    result["age_ms"] = {{"answer", to_json(figures.answer_age)},
                        {"load", to_json(figures.load_age)},
                        {"failure", to_json(figures.failure_age)}};
    return result;
}

ordered_json to_json(const explained_owner& owner)
{
    return {{"owner", to_json(owner.node)}, {"first_key", owner.first},
            {"last_key", owner.last},       {"fence", owner.range_fence.value},
            {"moving", owner.moving},       {"hold_left_ms", to_json(owner.hold_left)}};
}

ordered_json to_json(const explained_limits& limits)
{
    return {{"retries_left", rounded(limits.retries_left)},
            {"attempts", limits.attempts},
            {"timeout_ms", limits.timeout.count()},
            {"aim_ms", limits.aim.count()},
            {"owner_wait_ms", limits.owner_wait.count()},
            {"max_body_bytes", limits.max_body_bytes},
            {"body_in_parts", limits.body_in_parts},
            {"cold_requests_per_s", limits.cold_requests_per_s}};
}

ordered_json to_json(const gate_explanation& gate)
{
    ordered_json result{{"verdict", to_text(gate.result)},
                        {"slots", gate.slots},
                        {"running", gate.running},
                        {"queued", gate.queued},
                        {"expected_work_ms", gate.expected_work.count()},
                        {"warm_up_wait_ms", to_json(gate.next_start)}};
    if (gate.result == gate_explanation::verdict::refuse) {
        result["reason"] = request::to_text(gate.why);
        result["retry_after_ms"] = gate.retry_after.count();
    }
    return result;
}

ordered_json to_json(const explained_decision& decision)
{
    ordered_json result{{"action", to_text(decision.action)}, {"cause", decision.cause}};
    if (decision.action == explained_action::send) {
        result["receiver"] = to_json(decision.node);
        return result;
    }
    result["longest_wait_ms"] = decision.longest_wait.count();
    result["status"] = decision.status;
    result["reason"] = decision.reason;
    result["retry_after_ms"] = decision.retry_after.count();
    return result;
}

ordered_json question_of(const explanation& report)
{
    const auto& query = report.query;
    return {{"host", query.host},
            {"path", query.path},
            {"key", report.key ? ordered_json(*report.key) : ordered_json(nullptr)},
            {"deadline_ms", to_json(query.deadline)},
            {"body_bytes", query.body_bytes}};
}

ordered_json zones_of(const explanation& report)
{
    auto result = ordered_json::array();
    for (const auto& zone : report.zones) {
        result.push_back({{"zone", zone.name},
                          {"own", zone.own},
                          {"share", rounded(zone.share)},
                          {"age_ms", to_json(zone.age)}});
    }
    return result;
}

} // namespace

bool is_explain_target(const std::string& target)
{
    return target == "/explain" || target.starts_with("/explain?");
}

explain_query parse_explain_query(const std::string& target)
{
    explain_query result;
    for (const auto& [name, value] : net::parse_request_target(target).query) {
        if (value.size() > max_question_text) {
            throw_bad_request("\"" + name + "\" is longer than " +
                              std::to_string(max_question_text) + " bytes");
        }
        if (name == "path") {
            result.path = value;
        }
        else if (name == "host") {
            result.host = value;
        }
        else if (name == "key") {
            result.key = value;
        }
        else if (name == "service") {
            result.service = value;
        }
        else if (name == "deadline_ms") {
            result.deadline = milliseconds{parse_number(name, value, UINT32_MAX)};
        }
        else if (name == "body_bytes") {
            result.body_bytes = parse_number(name, value, UINT32_MAX);
        }
        else {
            throw_bad_request("unknown query parameter \"" + name + "\"");
        }
    }
    if (!result.path.starts_with('/')) {
        throw_bad_request("\"path\": found \"" + result.path + "\", expected a path from \"/\" on");
    }
    return result;
}

ordered_json to_json(const explanation& report)
{
    ordered_json result{
        {"request", question_of(report)},
        {"manifest_version", report.manifest_version},
        {"route", {{"name", report.route}, {"rank", report.rank}, {"safe", report.idempotent}}},
        {"service", {{"name", report.service}, {"sharded", report.sharded}}},
        {"view",
         {{"term", report.directory_term},
          {"version", report.directory_version},
          {"age_ms", to_json(report.view_age)},
          {"stale", report.is_stale()}}},
        {"evacuations",
         {{"version", report.evacuations_version}, {"age_ms", to_json(report.evacuations_age)}}}};
    result["destinations"] = ordered_json::array();
    for (const auto& item : report.destinations) {
        result["destinations"].push_back(
            {{"service", item.service}, {"share", rounded(item.share)}});
    }
    if (report.owner) {
        result["key"] = to_json(*report.owner);
    }
    else {
        result["candidates"] = ordered_json::array();
        for (const auto& candidate : report.candidates) {
            result["candidates"].push_back(to_json(candidate));
        }
        result["candidates_left_out"] = report.candidates_left_out;
        result["zones"] = zones_of(report);
        result["leaving_share"] = rounded(report.leaving_share);
    }
    result["limits"] = to_json(report.limits);
    if (report.gate) {
        result["gate"] = to_json(*report.gate);
    }
    result["decision"] = to_json(report.decision);
    result["left_out"] = {"random factors on costs", "the random draws of destination and zone",
                          "random extra Retry-After", "queues at other hosts"};
    return result;
}

ordered_json to_json(const explain_failure& failure)
{
    return {{"error", {{"type", failure.type}, {"message", failure.what()}}}};
}

} // namespace bulrushgw::sidecar
