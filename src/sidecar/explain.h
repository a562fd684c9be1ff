#pragma once

/// The answer to the question where a request would go now and why, as a plain structure and as
/// JSON. See docs/design/explain.md.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "common/boot_clock.h"
#include "common/errors.h"
#include "common/ids.h"
#include "dispatch/target_picker.h"
#include "sidecar/gate.h"

namespace bulrushgw::sidecar {

/// A view of the other nodes that is older than this is marked as stale.
inline constexpr milliseconds max_view_age{2000};
/// Candidates and zones in one report. All are considered; those beyond the limit are only counted.
inline constexpr std::size_t max_listed_candidates = 256;
/// Longest path and host of a question, in bytes.
inline constexpr std::size_t max_question_text = 4096;

struct explain_query {
    std::string host;
    std::string path;                     ///< begins with a slash
    std::optional<std::string> key;       ///< as given
    std::optional<milliseconds> deadline; ///< as the client would send it
    std::size_t body_bytes = 0;
    std::string service; ///< destination of the route to explain; empty: that of the largest weight
};

/// There is no decision to explain. `type` is a word for programs, `status` that of the response.
struct explain_failure : error {
    explain_failure(int response_status, std::string failure_type, const std::string& message)
        : error(message), status(response_status), type(std::move(failure_type))
    {
    }
    int status;
    std::string type;
};

enum class explained_action : std::uint8_t {
    send,  ///< to a node
    wait,  ///< for an owner or a target; refused when the wait is over
    refuse ///< at once
};

/// A node with a target of the service.
struct explained_node {
    incarnation_id node;
    std::string host;
    std::string address;
    std::string zone;
    std::string target;
    std::uint32_t slots = 0;
    assignment::target_phase phase = assignment::target_phase::absent;
    bool warming_up = false;
};

struct explained_candidate {
    explained_node node;
    std::string excluded; ///< why it gets no such request; empty: it may get one
    std::optional<dispatch::pick_explanation::candidate> figures; ///< none if it is excluded
};

struct explained_owner {
    std::optional<explained_node> node; ///< none: the key has no owner that this node knows
    std::uint32_t first = 0;            ///< the segment of the key
    std::uint32_t last = 0;
    fence range_fence;
    bool moving = false;
    /// Known only on the host of the owner: the rest of the hold. 0: the hold is not confirmed.
    std::optional<milliseconds> hold_left;
};

struct explained_destination {
    std::string service;
    double share = 0; ///< of the requests of the route
};

struct explained_limits {
    double retries_left = 0; ///< of the service, at this node
    std::uint32_t attempts = 1;
    milliseconds timeout{0}; ///< time until the client has its answer
    milliseconds aim{0};
    milliseconds owner_wait{0};
    std::size_t max_body_bytes = 0;
    bool body_in_parts = false;
    double cold_requests_per_s = 0; ///< per target of the service; 0: not limited
};

struct explained_decision {
    explained_action action = explained_action::wait;
    std::optional<explained_node> node; ///< receiver, if the request is sent
    std::string cause;
    std::string reason;           ///< of the refusal, at once or after the wait
    int status = 0;               ///< of the refusal
    milliseconds retry_after{0};  ///< of the refusal, without the random extra time
    milliseconds longest_wait{0}; ///< for an owner or a target, before the refusal
};

struct explanation {
    explain_query query;
    std::uint64_t manifest_version = 0;
    std::string route;
    std::uint32_t rank = 0;
    bool idempotent = false;
    std::string service;
    bool sharded = false;
    std::optional<std::uint32_t> key;
    std::uint64_t directory_term = 0;
    std::uint64_t directory_version = 0;
    std::optional<milliseconds> view_age; ///< since the leader was last heard; none: never
    std::uint64_t evacuations_version = 0;
    std::optional<milliseconds> evacuations_age; ///< since the store confirmed them; none: never
    std::vector<explained_destination> destinations;
    std::optional<explained_owner> owner;        ///< for a sharded service
    std::vector<explained_candidate> candidates; ///< for other services
    std::size_t candidates_left_out = 0;
    std::vector<dispatch::pick_explanation::zone> zones;
    double leaving_share = 0; ///< share of such requests that leaves the zone
    explained_limits limits;
    std::optional<gate_explanation> gate; ///< if the receiver is this node
    explained_decision decision;

    [[nodiscard]] bool is_stale() const { return !view_age || *view_age > max_view_age; }
};

/// True for the path "/explain" with or without a query.
bool is_explain_target(const std::string& target);

/// Reads the query of a request target such as "/explain?path=/a/". Throws `explain_failure`.
explain_query parse_explain_query(const std::string& target);

nlohmann::ordered_json to_json(const explanation& report);
nlohmann::ordered_json to_json(const explain_failure& failure);

} // namespace bulrushgw::sidecar
