#pragma once

/// State that nodes share about members and placements.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::ownership {

/// Times of the lease protocol. `validate` checks their relations.
struct lease_times {
    milliseconds renewal{200};
    milliseconds lease{1200};
    /// Bound on the relative drift of two boot clocks, in parts per thousand.
    unsigned drift_permille = 10;
    milliseconds tick{20};
    /// A gap between two ticks above this counts as a pause of this process.
    milliseconds pause_threshold{500};
    milliseconds digest_interval{1000};
};

/// The time for which a witness promises not to seal, counted from the receipt
/// of a renewal: lease * (1 + drift) / (1 - drift), rounded up to 5 ms.
milliseconds promise_of(const lease_times& times);

enum class member_state { joining, active, leaving, ended };

/// One incarnation of a node, as stored in `members/<incarnation>`. Merged by
/// an end first, then the higher `set_version`, then the later `state`.
struct member_row {
    incarnation_id incarnation;
    std::string host;
    std::string zone;
    std::string region;
    std::string address;        ///< inner protocol, "IP:port"
    std::string client_address; ///< clients' and operators' HTTP, "IP:port"
    std::string service;
    std::uint32_t slots = 0;
    bool checks_fences = false;
    std::uint32_t set_version = 0; ///< 0: no witnesses yet
    std::vector<incarnation_id> witnesses;
    placement_version adopted;
    member_state state = member_state::joining;
    std::string ended_by; ///< "holder", or the operator who asserted the end
    auto operator<=>(const member_row&) const = default;
};

struct weighted_member {
    incarnation_id incarnation;
    std::uint32_t weight = 1; ///< relative capacity, greater than 0
    auto operator<=>(const weighted_member&) const = default;
};

/// The members of one placement version.
struct placement_list {
    placement_version version;
    std::vector<weighted_member> members; ///< ascending by incarnation
    std::map<range_id, incarnation_id> overrides;
    auto operator<=>(const placement_list&) const = default;
};

/// A service's placement record, immutable for each version. It carries the
/// previous version, which may still be open.
struct placement {
    std::string service;
    std::uint32_t ranges = 0; ///< 0 for a balanced service
    placement_list current;
    placement_list previous;
    incarnation_id proposer;
    std::string reason;
    auto operator<=>(const placement&) const = default;
};

/// One voter's permanent refusal to renew an incarnation.
struct seal {
    incarnation_id holder;
    incarnation_id witness; ///< equals holder for a holder seal
    std::uint32_t set_version = 0;
    placement_version adopted; ///< highest adopted version the voter recorded
    bool with_holder = false;  ///< a witness seal made in answer to a holder seal
    auto operator<=>(const seal&) const = default;
};

/// Proof that an incarnation's lease ended for ever. All certificates of one
/// incarnation carry the same adopted version, see docs/design.md section 4.
struct certificate {
    incarnation_id holder;
    placement_version adopted;
    std::string cause; ///< "witnesses", "holder", "store", for the audit trail
    auto operator<=>(const certificate&) const = default;
};

/// A member's statement of the version that it adopted. `draining` holds the
/// ranges that it lost in that version and still has requests in flight for.
struct adoption {
    incarnation_id member;
    std::string service;
    placement_version version;
    std::vector<range_id> draining; ///< ascending
    auto operator<=>(const adoption&) const = default;
};

/// The newest accepted rules that a node knows of.
struct rules_stamp {
    std::uint64_t version = 0;
    std::string digest;
    auto operator<=>(const rules_stamp&) const = default;
};

/// Members of a list in the order in which they may own `range`.
/// Every node computes the same order. Thread-safe.
std::vector<incarnation_id> candidates(const placement_list& list, const std::string& service,
                                       range_id range);

} // namespace bulrushgw::ownership
