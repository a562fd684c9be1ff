#include "request/route_table.h"

#include <algorithm>
#include <charconv>

#include "common/hash.h"
#include "rules/parser.h"
#include "rules/percent.h"

namespace bulrushgw::request {

namespace {

constexpr std::string_view key_segment = "{key}";
constexpr std::uint32_t max_attempt = 1000000;

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool is_visible_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char byte) { return byte > 0x20 && byte < 0x7f; });
}

/// The key segment of the path, still percent-encoded. Empty if the pattern has no key; none if the
/// path does not match. Precondition: pattern and path have the same number of segments.
std::optional<std::string_view> match(const std::vector<std::string>& pattern,
                                      const std::vector<std::string_view>& path)
{
    std::string_view key;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i] == key_segment) {
            key = path[i];
        }
        else if (pattern[i] != path[i]) {
            return std::nullopt;
        }
    }
    return key;
}

std::optional<refusal> read_request_id(const request_head& head, routed_request& request)
{
    if (!head.request_id || head.request_id->empty()) {
        if (request.repeat == rules::repeat_kind::idempotent) {
            return std::nullopt;
        }
        return refusal{reason::missing_request_id,
                       "This route runs at most once and needs a Bulrush-Request-Id."};
    }
    if (head.request_id->size() > max_request_id_bytes || !is_visible_ascii(*head.request_id)) {
        return refusal{reason::bad_request_id,
                       "Bulrush-Request-Id must be 1 to 64 visible ASCII characters."};
    }
    request.request_id = *head.request_id;
    return std::nullopt;
}

std::optional<refusal> read_attempt(const request_head& head, routed_request& request)
{
    if (!head.attempt) {
        return std::nullopt;
    }
    const auto attempt = parse_number(*head.attempt);
    if (!attempt || *attempt == 0 || *attempt > max_attempt) {
        return refusal{reason::bad_attempt, "Bulrush-Attempt must be a number from 1 to 1000000."};
    }
    request.attempt = *attempt;
    return std::nullopt;
}

std::optional<refusal> read_deadline(const request_head& head, routed_request& request)
{
    if (!head.deadline_ms) {
        return std::nullopt;
    }
    const auto deadline = parse_number(*head.deadline_ms);
    if (!deadline || *deadline == 0 || milliseconds{*deadline} > max_deadline) {
        return refusal{reason::bad_deadline,
                       "Bulrush-Deadline-Ms must be a number from 1 to 60000."};
    }
    request.deadline = milliseconds{*deadline};
    return std::nullopt;
}

} // namespace

route_table::route_table(const rules::rule_set& rules)
{
    for (const auto& service : rules.services) {
        services_.emplace(service.name, service);
    }
    for (const auto& limit : rules.limits) {
        limits_.emplace(limit.service, limit);
    }
    for (const auto& route : rules.routes) {
        entry added{{}, route};
        for (const auto segment : rules::split_path(route.pattern)) {
            added.segments.emplace_back(segment);
        }
        by_length_[added.segments.size()].push_back(std::move(added));
    }
}

std::variant<routed_request, refusal> route_table::find(const request_head& head) const
{
    const auto path = head.path.substr(0, head.path.find('?'));
    if (path.empty() || path.front() != '/') {
        return refusal{reason::bad_path, "The path must start with a slash."};
    }
    const auto segments = rules::split_path(path);
    const auto same_length = by_length_.find(segments.size());
    std::string other_methods;
    if (same_length != by_length_.end()) {
        for (const auto& candidate : same_length->second) {
            const auto raw_key = match(candidate.segments, segments);
            if (!raw_key) {
                continue;
            }
            if (candidate.rule.method == head.method) {
                return complete(candidate, *raw_key, head);
            }
            other_methods += (other_methods.empty() ? "" : ", ") + candidate.rule.method;
        }
    }
    if (!other_methods.empty()) {
        return refusal{reason::method_not_allowed, "This path accepts " + other_methods + "."};
    }
    return refusal{reason::no_route, "No rule has a route for this path."};
}

std::variant<routed_request, refusal>
route_table::complete(const entry& found, std::string_view raw_key, const request_head& head) const
{
    const auto* service = find_service(found.rule.service);
    if (service == nullptr) {
        return refusal{reason::no_route, "The rules do not define the service of this route."};
    }
    routed_request request;
    request.service = service->name;
    request.kind = service->kind;
    request.route = found.rule.method + " " + found.rule.pattern;
    request.repeat = found.rule.repeat;
    request.worth = found.rule.worth;
    request.deadline = service->deadline;
    const bool has_key = std::find(found.segments.begin(), found.segments.end(), key_segment) !=
                         found.segments.end();
    if (has_key) {
        auto key = rules::percent_decode(raw_key);
        if (!key || key->size() > max_key_bytes) {
            return refusal{reason::bad_key,
                           "The key must be 1 to 256 bytes in correct percent-encoding."};
        }
        request.key = std::move(*key);
    }
    if (service->kind == rules::service_kind::keyed) {
        request.range = range_of(request.key, service->ranges);
    }
    for (const auto read : {read_request_id, read_attempt, read_deadline}) {
        if (auto refused = read(head, request)) {
            return *refused;
        }
    }
    return request;
}

const rules::service_rule* route_table::find_service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

rules::limit_rule route_table::limits_of(std::string_view service) const
{
    const auto found = limits_.find(service);
    if (found != limits_.end()) {
        return found->second;
    }
    rules::limit_rule defaults;
    defaults.service = service;
    return defaults;
}

} // namespace bulrushgw::request
