#pragma once

/// HTTP interface for operators under /operator/v1/, and the page /metrics. Requests are handled
/// through hooks that the node provides.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "net/http.h"
#include "node/audit_trail.h"
#include "rules/acceptance.h"
#include "rules/text.h"
#include "rules/types.h"

namespace bulrushgw::node {

/// Why an operator request failed, with the status of the HTTP response.
enum class operator_failure {
    bad_request,        ///< 400
    not_found,          ///< 404
    method_not_allowed, ///< 405
    lost_race,          ///< 409
    rules_invalid,      ///< 422
    refused,            ///< 409: not allowed in the current state
    store_unavailable,  ///< 503: definitely not executed
    outcome_unknown,    ///< 502: may have been executed; safe to retry
};

struct operator_error {
    operator_failure failure = operator_failure::bad_request;
    std::string message;
};

struct rules_document {
    rules::version_record record;
    std::string text;
    bool possibly_stale = false;
};

struct key_owner {
    std::string service;
    std::string key;
    range_id range;
    placement_version version;
    incarnation_id owner; ///< none if no live candidate is known
    std::string host;
    std::string zone;
    std::string address;
    fence token;
    std::string reason;
    std::vector<incarnation_id> candidates; ///< in the order of precedence
};

struct host_info {
    incarnation_id incarnation;
    std::string host;
    std::string zone;
    std::string region;
    std::string address;
    std::string service;
    std::string state;
    std::uint32_t slots = 0;
    bool checks_fences = false;
    std::uint64_t adopted = 0; ///< placement version that the member has adopted
    std::vector<incarnation_id> witnesses;
    std::string ended_by; ///< empty unless the incarnation ended
};

/// The target on the host of the node that handles the request.
struct target_info_row {
    std::string host;
    std::string service;
    std::string address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    bool ready = false;
    bool draining = false;
    bool checks_fences = false;
    std::string run_id;
};

struct node_status {
    incarnation_id incarnation;
    std::string host;
    std::string zone;
    std::string region;
    std::string service;
    std::string state;  ///< "joining", "serving", "leaving", "not-serving"
    std::string reason; ///< why the node doesn't serve; empty while serving
    bool lease_running = false;
    milliseconds lease_left{0};
    bool store_up = false;
    std::uint64_t rules_version = 0;
    bool rules_possibly_stale = false;
    std::size_t ranges_served = 0;
    std::size_t in_flight = 0;
    std::size_t queued = 0;
    std::size_t members_alive = 0;
    std::size_t members_ended = 0;
    milliseconds uptime{0};
    std::string build_version;
};

struct drain_request {
    std::optional<incarnation_id> incarnation; ///< none for the node that handles the request
    std::string who;
};

/// An operator's assertion that an incarnation has ended, because its host is switched off.
struct assert_ended_request {
    incarnation_id incarnation;
    std::string who;
    bool switched_off = false; ///< the operator confirms that the host is off
};

struct done_message {
    std::string message;
};

template <typename Value>
using answer = std::variant<Value, operator_error>;

template <typename Value>
using completion = std::function<void(answer<Value>)>;

/// Operations of the node that the interface calls. A hook must call its completion exactly once,
/// before it returns or later. Requests for a hook that is not set get the status 404. Checking a
/// rules file needs no hook.
struct operator_hooks {
    std::function<answer<rules_document>()> rules;
    /// Accepted versions, newest first, at most `most`.
    std::function<void(std::size_t most, completion<std::vector<rules::version_record>>)> history;
    /// The text of an accepted version.
    std::function<void(std::uint64_t version, completion<rules_document>)> rules_at;
    /// Processes a submission by `rules::submission_process`.
    std::function<void(rules::submission, std::function<void(rules::submission_result)>)> submit;
    std::function<answer<key_owner>(const std::string& service, const std::string& key)> owner;
    std::function<std::vector<host_info>()> hosts;
    std::function<void(drain_request, completion<done_message>)> drain;
    std::function<void(assert_ended_request, completion<done_message>)> assert_ended;
    std::function<std::vector<target_info_row>()> targets;
    std::function<std::vector<audit_record>(const audit_query&)> audit;
    std::function<node_status()> status;
    std::function<std::string()> metrics;
};

// Limits for the values in operators' requests.
inline constexpr std::size_t max_operator_name_bytes = 128;
inline constexpr std::size_t max_audit_records = 4096;
inline constexpr std::size_t max_history_versions = 1000;

/// Handles an operator request. Calls `respond` exactly once, before it returns or when a hook
/// completes. Invalid requests are answered and never cause an exception.
void handle_operator_request(const net::http_request& request, const operator_hooks& hooks,
                             const std::function<void(net::http_response)>& respond);

/// Name of a failure in responses, such as "bad-request" for `operator_failure::bad_request`.
std::string_view to_string(operator_failure failure);
int http_status(operator_failure failure);

} // namespace bulrushgw::node
