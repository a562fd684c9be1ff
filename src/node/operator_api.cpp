#include "node/operator_api.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <memory>

#include "net/request_target.h"
#include "node/metrics.h"
#include "node/operator_json.h"
#include "rules/parser.h"

namespace bulrushgw::node {

namespace {

using nlohmann::json;

using responder = std::function<void(net::http_response)>;

constexpr std::size_t default_history_versions = 50;
constexpr std::size_t default_audit_records = 200;

/// Thrown by handlers to reject a request. `handle_operator_request` catches it and responds.
struct request_failure : error {
    request_failure(operator_failure kind, const std::string& message)
        : error(message), failure(kind)
    {
    }
    operator_failure failure;
};

[[noreturn]] void throw_bad_request(const std::string& message)
{
    throw request_failure(operator_failure::bad_request, message);
}

struct call {
    const net::http_request& request;
    const net::request_target& target;
    const operator_hooks& hooks;
    const responder& respond;
};

std::optional<std::string> find_query(const call& call, std::string_view name)
{
    const auto& query = call.target.query;
    const auto place = std::ranges::find(query, name, &std::pair<std::string, std::string>::first);
    return place == query.end() ? std::nullopt : std::optional(place->second);
}

/// Rejects unknown query parameters, because ignoring a misspelled filter would silently return
/// more results than requested.
void allow_only_query(const call& call, std::initializer_list<std::string_view> names)
{
    for (const auto& [name, value] : call.target.query) {
        if (std::ranges::find(names, name) == names.end()) {
            throw_bad_request("unknown query parameter \"" + name + "\"");
        }
    }
}

std::uint64_t parse_number(std::string_view name, const std::string& text, std::uint64_t max_value)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || stop != end || number > max_value) {
        throw_bad_request("query parameter \"" + std::string(name) + "\": found \"" + text +
                          "\", expected an integer from 0 to " + std::to_string(max_value));
    }
    return number;
}

std::uint64_t number_query(const call& call, std::string_view name, std::uint64_t default_value,
                           std::uint64_t max_value)
{
    const auto text = find_query(call, name);
    return text ? parse_number(name, *text, max_value) : default_value;
}

incarnation_id parse_subject(const std::string& text)
{
    try {
        return parse_incarnation(text);
    }
    catch (const parse_error& failure) {
        throw_bad_request(failure.what());
    }
}

std::string required_query(const call& call, std::string_view name)
{
    const auto text = find_query(call, name);
    if (!text || text->empty()) {
        throw_bad_request("query parameter \"" + std::string(name) + "\" is missing");
    }
    return *text;
}

json parse_object(const call& call, std::initializer_list<std::string_view> names)
{
    json body = json::parse(call.request.body, nullptr, false);
    if (!body.is_object()) {
        throw_bad_request("the body is not one JSON object");
    }
    for (const auto& [name, value] : body.items()) {
        if (std::ranges::find(names, name) == names.end()) {
            throw_bad_request("unknown field \"" + name + "\"");
        }
    }
    return body;
}

std::string string_field(const json& body, const char* name, std::size_t max_bytes)
{
    const auto place = body.find(name);
    if (place == body.end() || !place->is_string()) {
        throw_bad_request(std::string("field \"") + name + "\": expected a string");
    }
    auto text = place->get<std::string>();
    if (text.size() > max_bytes) {
        throw_bad_request(std::string("field \"") + name + "\": expected at most " +
                          std::to_string(max_bytes) + " bytes");
    }
    return text;
}

std::string operator_field(const json& body)
{
    std::string who = string_field(body, "operator", max_operator_name_bytes);
    const bool printable = std::ranges::none_of(
        who, [](char character) { return static_cast<unsigned char>(character) < 0x20; });
    if (who.empty() || !printable) {
        throw_bad_request("field \"operator\": expected a name without control characters");
    }
    return who;
}

template <typename Hook>
const Hook& require_hook(const Hook& hook)
{
    if (!hook) {
        throw request_failure(operator_failure::not_found, "this node does not offer that");
    }
    return hook;
}

net::http_response failure_response(const operator_error& failure)
{
    return error_response(failure.failure, failure.message);
}

template <typename Value>
net::http_response answer_response(const answer<Value>& result)
{
    if (const auto* failure = std::get_if<operator_error>(&result)) {
        return failure_response(*failure);
    }
    return json_response(200, to_json_value(std::get<Value>(result)));
}

template <typename Value>
completion<Value> respond_with(const responder& respond)
{
    return [respond](const answer<Value>& result) { respond(answer_response(result)); };
}

void get_rules(const call& call)
{
    allow_only_query(call, {"version"});
    if (find_query(call, "version")) {
        require_hook(call.hooks.rules_at)(number_query(call, "version", 0, UINT64_MAX),
                                          respond_with<rules_document>(call.respond));
        return;
    }
    call.respond(answer_response(require_hook(call.hooks.rules)()));
}

void get_history(const call& call)
{
    allow_only_query(call, {"most"});
    using records = std::vector<rules::version_record>;
    require_hook(call.hooks.history)(
        number_query(call, "most", default_history_versions, max_history_versions),
        [respond = call.respond](const answer<records>& result) {
            if (const auto* failure = std::get_if<operator_error>(&result)) {
                respond(failure_response(*failure));
                return;
            }
            respond(json_response(200, {{"versions", to_json_value(std::get<records>(result))}}));
        });
}

/// State of a diff request while the texts of the two versions are read.
struct diff_work {
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::string older;
    responder respond;
    std::function<void(std::uint64_t, completion<rules_document>)> rules_at;
};

void finish_diff(const diff_work& work, const std::string& newer)
{
    work.respond(
        json_response(200, {{"from", work.from},
                            {"to", work.to},
                            {"lines", to_json_value(rules::diff_lines(work.older, newer))}}));
}

void get_newer(const std::shared_ptr<diff_work>& work)
{
    work->rules_at(work->to, [work](const answer<rules_document>& result) {
        if (const auto* failure = std::get_if<operator_error>(&result)) {
            work->respond(failure_response(*failure));
            return;
        }
        finish_diff(*work, std::get<rules_document>(result).text);
    });
}

void get_diff(const call& call)
{
    allow_only_query(call, {"from", "to"});
    auto work = std::make_shared<diff_work>();
    work->from = parse_number("from", required_query(call, "from"), UINT64_MAX);
    work->to = parse_number("to", required_query(call, "to"), UINT64_MAX);
    work->respond = call.respond;
    work->rules_at = require_hook(call.hooks.rules_at);
    if (work->from == 0) { // version 0 is empty
        get_newer(work);
        return;
    }
    work->rules_at(work->from, [work](const answer<rules_document>& result) {
        if (const auto* failure = std::get_if<operator_error>(&result)) {
            work->respond(failure_response(*failure));
            return;
        }
        work->older = std::get<rules_document>(result).text;
        get_newer(work);
    });
}

void post_check(const call& call)
{
    const json body = parse_object(call, {"text"});
    const auto checked = rules::parse_and_check(string_field(body, "text", rules::max_file_bytes));
    if (!checked.problems.empty()) {
        call.respond(error_response(operator_failure::rules_invalid, "the rules file has problems",
                                    {{"problems", to_json_value(checked.problems)}}));
        return;
    }
    call.respond(json_response(200, {{"services", checked.rules.services.size()},
                                     {"routes", checked.rules.routes.size()}}));
}

void post_rules(const call& call)
{
    const json body = parse_object(call, {"base_version", "operator", "submission_id", "text"});
    rules::submission input;
    input.who = operator_field(body);
    input.text = string_field(body, "text", rules::max_file_bytes);
    input.id = string_field(body, "submission_id", rules::max_name_bytes);
    const auto base = body.find("base_version");
    if (base == body.end() || !base->is_number_unsigned()) {
        throw_bad_request(
            "field \"base_version\": expected the version that was edited, 0 for the first");
    }
    input.base_version = base->get<std::uint64_t>();
    const bool id_valid = !input.id.empty() && std::ranges::all_of(input.id, [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') ||
               std::string_view("._-").find(character) != std::string_view::npos;
    });
    if (!id_valid) {
        throw_bad_request("field \"submission_id\": expected 1 to 64 of [A-Za-z0-9._-]");
    }
    require_hook(call.hooks.submit)(
        std::move(input), [respond = call.respond](const rules::submission_result& result) {
            respond(submission_response(result));
        });
}

void get_owner(const call& call)
{
    allow_only_query(call, {"service", "key"});
    call.respond(answer_response(require_hook(call.hooks.owner)(required_query(call, "service"),
                                                                required_query(call, "key"))));
}

void get_hosts(const call& call)
{
    allow_only_query(call, {});
    call.respond(json_response(200, {{"hosts", to_json_value(require_hook(call.hooks.hosts)())}}));
}

incarnation_id incarnation_field(const json& body)
{
    return parse_subject(string_field(body, "incarnation", 16));
}

void post_drain(const call& call)
{
    const json body = parse_object(call, {"incarnation", "operator"});
    drain_request input;
    input.who = operator_field(body);
    if (body.contains("incarnation")) {
        input.incarnation = incarnation_field(body);
    }
    require_hook(call.hooks.drain)(std::move(input), respond_with<done_message>(call.respond));
}

void post_assert_ended(const call& call)
{
    const json body = parse_object(call, {"incarnation", "operator", "switched_off"});
    assert_ended_request input;
    input.who = operator_field(body);
    input.incarnation = incarnation_field(body);
    input.switched_off = body.value("switched_off", json(false)) == json(true);
    // A host that is still running would serve its ranges at the same time as their new owner.
    if (!input.switched_off) {
        throw_bad_request(
            "field \"switched_off\": expected true, which confirms that the host is off");
    }
    require_hook(call.hooks.assert_ended)(std::move(input),
                                          respond_with<done_message>(call.respond));
}

void get_targets(const call& call)
{
    allow_only_query(call, {});
    call.respond(
        json_response(200, {{"targets", to_json_value(require_hook(call.hooks.targets)())}}));
}

void get_audit(const call& call)
{
    allow_only_query(call, {"service", "range", "subject", "kind", "most"});
    audit_query wanted;
    wanted.service = find_query(call, "service").value_or("");
    if (find_query(call, "range")) {
        wanted.range =
            range_id{static_cast<std::uint32_t>(number_query(call, "range", 0, UINT32_MAX))};
    }
    if (const auto subject = find_query(call, "subject")) {
        wanted.subject = parse_subject(*subject);
    }
    if (const auto kind = find_query(call, "kind")) {
        wanted.kind = parse_audit_kind(*kind);
        if (!wanted.kind) {
            throw_bad_request("unknown audit kind \"" + *kind + "\"");
        }
    }
    wanted.most = number_query(call, "most", default_audit_records, max_audit_records);
    call.respond(
        json_response(200, {{"events", to_json_value(require_hook(call.hooks.audit)(wanted))}}));
}

void get_status(const call& call)
{
    allow_only_query(call, {});
    call.respond(json_response(200, to_json_value(require_hook(call.hooks.status)())));
}

void get_metrics(const call& call)
{
    call.respond({200,
                  {{"Content-Type", std::string(metrics_content_type)}},
                  require_hook(call.hooks.metrics)()});
}

struct route {
    std::string_view method;
    std::string_view path;
    void (*handle)(const call&);
};

constexpr std::array routes{
    route{"GET", "/operator/v1/rules", get_rules},
    route{"POST", "/operator/v1/rules", post_rules},
    route{"GET", "/operator/v1/rules/history", get_history},
    route{"GET", "/operator/v1/rules/diff", get_diff},
    route{"POST", "/operator/v1/rules/check", post_check},
    route{"GET", "/operator/v1/keys/owner", get_owner},
    route{"GET", "/operator/v1/hosts", get_hosts},
    route{"POST", "/operator/v1/hosts/drain", post_drain},
    route{"POST", "/operator/v1/hosts/assert-ended", post_assert_ended},
    route{"GET", "/operator/v1/targets", get_targets},
    route{"GET", "/operator/v1/audit", get_audit},
    route{"GET", "/operator/v1/status", get_status},
    route{"GET", "/metrics", get_metrics},
};

const route& find_route(const net::http_request& request, const net::request_target& target)
{
    std::string allowed;
    for (const route& candidate : routes) {
        if (candidate.path != target.path) {
            continue;
        }
        if (candidate.method == request.method) {
            return candidate;
        }
        allowed += (allowed.empty() ? "" : " or ") + std::string(candidate.method);
    }
    if (allowed.empty()) {
        throw request_failure(operator_failure::not_found, "no such path: " + target.path);
    }
    throw request_failure(operator_failure::method_not_allowed,
                          target.path + " expects " + allowed);
}

} // namespace

std::string_view to_string(operator_failure failure)
{
    constexpr std::array<std::string_view, 8> names{
        "bad-request",   "not-found", "method-not-allowed", "lost-race",
        "rules-invalid", "refused",   "store-unavailable",  "outcome-unknown"};
    return names.at(static_cast<std::size_t>(failure));
}

int http_status(operator_failure failure)
{
    constexpr std::array<int, 8> statuses{400, 404, 405, 409, 422, 409, 503, 502};
    return statuses.at(static_cast<std::size_t>(failure));
}

void handle_operator_request(const net::http_request& request, const operator_hooks& hooks,
                             const std::function<void(net::http_response)>& respond)
{
    const auto target = net::parse_request_target(request.path);
    try {
        find_route(request, target).handle({request, target, hooks, respond});
    }
    catch (const request_failure& failure) {
        respond(error_response(failure.failure, failure.what()));
    }
}

} // namespace bulrushgw::node
