#pragma once

/// Finds the route, service, key and range of a client's request.

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

/// The parts of a client's request that routing looks at. Absent headers are
/// none.
struct request_head {
    std::string_view method;
    std::string_view path; ///< as received, with the query
    std::optional<std::string_view> request_id;
    std::optional<std::string_view> attempt;
    std::optional<std::string_view> deadline_ms;
};

/// A request with everything that the rules say about it.
struct routed_request {
    std::string service;
    rules::service_kind kind = rules::service_kind::keyed;
    std::string route; ///< "METHOD PATTERN", for metrics
    std::string key;   ///< percent-decoded; empty on routes without "{key}"
    range_id range;    ///< 0 for a balanced service
    rules::repeat_kind repeat = rules::repeat_kind::once;
    std::uint32_t worth = 1;
    std::string request_id;
    std::uint32_t attempt = 1;
    milliseconds deadline{0}; ///< from now
};

/// A request that is refused before it reaches a target.
struct refusal {
    reason why = reason::no_route;
    std::string detail; ///< one sentence for the client's programmer
};

/// Lookup structure of one accepted rule set. Const members are thread-safe.
class route_table {
public:
    /// Precondition: the rule set passed `rules::parse_and_check`.
    explicit route_table(const rules::rule_set& rules);

    [[nodiscard]] std::variant<routed_request, refusal> find(const request_head& head) const;

    /// None for a service that no rule names.
    [[nodiscard]] const rules::service_rule* find_service(std::string_view name) const;
    /// Limits of a service; default values where no rule sets them.
    [[nodiscard]] rules::limit_rule limits_of(std::string_view service) const;

private:
    struct entry {
        std::vector<std::string> segments; ///< "{key}" marks the key
        rules::route_rule rule;
    };

    [[nodiscard]] std::variant<routed_request, refusal>
    complete(const entry& found, std::string_view raw_key, const request_head& head) const;

    std::map<std::string, rules::service_rule, std::less<>> services_;
    std::map<std::string, rules::limit_rule, std::less<>> limits_;
    std::map<std::size_t, std::vector<entry>> by_length_; ///< by number of segments
};

} // namespace bulrushgw::request
