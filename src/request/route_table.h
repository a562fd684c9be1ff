#pragma once

/// Finds the route of a client's request, and with it the service, key and range.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "request/outcomes.h"
#include "rules/types.h"

namespace bulrushgw::request {

inline constexpr std::size_t max_request_id_bytes = 64;
inline constexpr std::size_t max_key_bytes = 256;
inline constexpr milliseconds max_deadline{60000};

/// The parts of a client's request that routing uses. The optional fields are headers; a field is
/// none if the request does not have the header.
struct request_head {
    std::string_view method;
    std::string_view path; ///< as received, including the query
    std::optional<std::string_view> request_id;
    std::optional<std::string_view> attempt;
    std::optional<std::string_view> deadline_ms;
};

/// A request with the properties that the rules give it.
struct routed_request {
    std::string service;
    rules::service_kind kind = rules::service_kind::keyed;
    std::string route; ///< "METHOD PATTERN", for metrics
    std::string key;   ///< percent-decoded; empty if the route has no "{key}"
    range_id range;    ///< 0 for a balanced service
    rules::repeat_kind repeat = rules::repeat_kind::once;
    std::uint32_t worth = 1;
    std::string request_id;
    std::uint32_t attempt = 1;
    milliseconds deadline{0}; ///< time left, from the call of `route_table::find`
};

/// A request that is refused before it reaches a target.
struct refusal {
    reason why = reason::no_route;
    std::string detail; ///< one sentence that explains the refusal to the client's developer
};

/// Lookup structure of one accepted rule set. Const members are thread-safe.
class route_table {
public:
    /// Precondition: the rule set passed `rules::parse_and_check`.
    explicit route_table(const rules::rule_set& rules);

    /// The properties of the request, or the reason to refuse it.
    [[nodiscard]] std::variant<routed_request, refusal> find(const request_head& head) const;

    /// Null for a service that the rules do not define.
    [[nodiscard]] const rules::service_rule* find_service(std::string_view name) const;
    /// Limits of a service, with default values for limits that no rule sets.
    [[nodiscard]] rules::limit_rule limits_of(std::string_view service) const;

private:
    struct entry {
        std::vector<std::string> segments; ///< of the pattern; "{key}" matches any segment
        rules::route_rule rule;
    };

    [[nodiscard]] std::variant<routed_request, refusal>
    complete(const entry& found, std::string_view raw_key, const request_head& head) const;

    std::map<std::string, rules::service_rule, std::less<>> services_;
    std::map<std::string, rules::limit_rule, std::less<>> limits_;
    std::map<std::size_t, std::vector<entry>> by_length_; ///< by number of segments
};

} // namespace bulrushgw::request
