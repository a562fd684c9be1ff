#include "standins/store_model.h"

#include <string_view>
#include <utility>
#include <vector>

#include "standins/url.h"

namespace bulrushgw::standin {

namespace {

using nlohmann::json;

constexpr std::string_view object_prefix = "/v1/objects/";

net::http_response json_response(int status, const json& body)
{
    return {status, {{"content-type", "application/json"}}, body.dump()};
}

/// True if each condition has a string key and an unsigned version, and each write has a string
/// key and a value.
bool is_transaction(const json& body)
{
    if (!body.is_object() || !body.contains("writes") || !body["writes"].is_array()) {
        return false;
    }
    const auto conditions = body.value("conditions", json::array());
    if (!conditions.is_array()) {
        return false;
    }
    for (const auto& entry : conditions) {
        if (!entry.is_object() || !entry.contains("key") || !entry["key"].is_string() ||
            !entry.contains("version") || !entry["version"].is_number_unsigned()) {
            return false;
        }
    }
    for (const auto& entry : body["writes"]) {
        if (!entry.is_object() || !entry.contains("key") || !entry["key"].is_string() ||
            !entry.contains("value")) {
            return false;
        }
    }
    return true;
}

} // namespace

store_outcome store_model::handle(const net::http_request& request)
{
    if (path_of(request.path) == "/control") {
        return {store_action::answer, control(request)};
    }
    if (faults_.silent) {
        ++counters_.refused;
        return {store_action::leave_unanswered, {}};
    }
    if (faults_.outage) {
        ++counters_.refused;
        return {store_action::answer, json_response(503, {{"error", "outage"}})};
    }
    return serve(request);
}

milliseconds store_model::delay_of(const net::http_request& request) const
{
    return path_of(request.path) == "/control" ? milliseconds{0} : faults_.delay;
}

net::http_response store_model::control(const net::http_request& request)
{
    if (request.method == "POST") {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            return json_response(400, {{"error", "expected a JSON object"}});
        }
        try {
            auto next = faults_;
            next.outage = body.value("outage", next.outage);
            next.silent = body.value("silent", next.silent);
            next.lose_answers = body.value("lose_answers", next.lose_answers);
            next.delay = milliseconds{body.value("delay_ms", next.delay.count())};
            faults_ = next;
        }
        catch (const json::exception& failure) {
            return json_response(400, {{"error", failure.what()}});
        }
    }
    return json_response(200, {{"outage", faults_.outage},
                               {"silent", faults_.silent},
                               {"lose_answers", faults_.lose_answers},
                               {"delay_ms", faults_.delay.count()},
                               {"reads", counters_.reads},
                               {"writes", counters_.writes},
                               {"conflicts", counters_.conflicts},
                               {"refused", counters_.refused},
                               {"lost_answers", counters_.lost_answers},
                               {"malformed", counters_.malformed},
                               {"rows", rows_.size()},
                               {"objects", objects_.size()}});
}

store_outcome store_model::serve(const net::http_request& request)
{
    const auto path = path_of(request.path);
    const bool is_object = path.starts_with(object_prefix) && path.size() > object_prefix.size();
    net::http_response response;
    bool is_write = false;
    if (request.method == "POST" && path == "/v1/transact") {
        is_write = true;
        response = transact(request.body);
    }
    else if (request.method == "PUT" && is_object) {
        is_write = true;
        ++counters_.writes;
        objects_[percent_decode(path.substr(object_prefix.size()))] = request.body;
        response = json_response(200, json::object());
    }
    else if (request.method == "GET" && is_object) {
        response = get_object(percent_decode(path.substr(object_prefix.size())));
    }
    else if (request.method == "GET" && path == "/v1/rows") {
        response = read_rows(query_value(request.path, "prefix").value_or(""));
    }
    else if (const auto key = query_value(request.path, "key");
             request.method == "GET" && path == "/v1/row" && key) {
        response = read_row(*key);
    }
    else {
        response = refuse_malformed("no such method and path");
    }
    if (is_write && faults_.lose_answers) {
        ++counters_.lost_answers;
        return {store_action::drop, {}};
    }
    return {store_action::answer, std::move(response)};
}

net::http_response store_model::transact(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!is_transaction(parsed)) {
        return refuse_malformed("expected conditions and writes");
    }
    ++counters_.writes;
    auto failed = json::array();
    for (const auto& condition : parsed.value("conditions", json::array())) {
        const auto found = rows_.find(condition["key"].get<std::string>());
        const auto version = found == rows_.end() ? 0 : found->second.version;
        if (version != condition["version"].get<std::uint64_t>()) {
            failed.push_back(condition["key"]);
        }
    }
    if (!failed.empty()) {
        ++counters_.conflicts;
        return json_response(409, {{"failed", failed}});
    }
    auto versions = json::object();
    for (const auto& write : parsed["writes"]) {
        const auto key = write["key"].get<std::string>();
        if (write["value"].is_null()) {
            rows_.erase(key);
            versions[key] = 0;
            continue;
        }
        rows_[key] = {++last_version_, write["value"]};
        versions[key] = last_version_;
    }
    return json_response(200, {{"versions", versions}});
}

net::http_response store_model::read_rows(const std::string& prefix)
{
    ++counters_.reads;
    auto rows = json::array();
    for (auto at = rows_.lower_bound(prefix); at != rows_.end() && at->first.starts_with(prefix);
         ++at) {
        rows.push_back(
            {{"key", at->first}, {"version", at->second.version}, {"value", at->second.value}});
    }
    return json_response(200, {{"rows", rows}});
}

net::http_response store_model::read_row(const std::string& key)
{
    ++counters_.reads;
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return json_response(404, {{"error", "no such row"}});
    }
    return json_response(
        200, {{"key", key}, {"version", found->second.version}, {"value", found->second.value}});
}

net::http_response store_model::get_object(const std::string& name)
{
    ++counters_.reads;
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        return json_response(404, {{"error", "no such object"}});
    }
    return {200, {{"content-type", "application/octet-stream"}}, found->second};
}

net::http_response store_model::refuse_malformed(const std::string& what)
{
    ++counters_.malformed;
    return json_response(400, {{"error", what}});
}

} // namespace bulrushgw::standin
