#pragma once

/// Members, placements, adoptions, seals and certificates: the state that all nodes replicate.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::ownership {

/// Durations and intervals of the lease protocol. `validate` (holder_lease.h) checks that they are
/// consistent with each other.
struct lease_times {
    milliseconds renewal{200}; ///< interval between two renewals
    milliseconds lease{1200};  ///< duration of the lease, from the sending of a renewal
    /// Upper bound on the relative drift of two boot clocks, in parts per thousand.
    unsigned drift_permille = 10;
    milliseconds tick{20}; ///< longest time between two calls of `engine::on_tick`
    /// A longer gap between two ticks means that this process was paused.
    milliseconds pause_threshold{500};
    milliseconds digest_interval{1000}; ///< mean interval of the exchange of digests
};

/// The time after the receipt of a renewal during which a witness must not seal the holder:
/// lease * (1 + drift) / (1 - drift), rounded up to a multiple of 5 ms.
milliseconds promise_duration(const lease_times& times);

enum class member_state { joining, active, leaving, ended };

/// One incarnation of a node, as stored in `members/<incarnation>`. Of two copies of a row, the
/// ended one wins, then the one with the higher `set_version`, then the one with the later `state`.
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
    std::uint32_t set_version = 0; ///< version of the witness set; 0: no witnesses yet
    std::vector<incarnation_id> witnesses;
    /// Highest placement version sent in a renewal before the witness set was written. In an ended
    /// row, the version at which the end was recorded.
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

/// The members of one placement version. For each range, hashing defines the order of precedence of
/// the members. `overrides` assigns single ranges to a member, whatever its place in that order.
struct placement_list {
    placement_version version;
    std::vector<weighted_member> members; ///< ascending by incarnation
    std::map<range_id, incarnation_id> overrides;
    auto operator<=>(const placement_list&) const = default;
};

/// Placement record of a service. The record of one version never changes. Each record also
/// contains the previous version, which stays open until each member of that version has adopted
/// the current version or has ended. Members may still serve at an open version.
struct placement {
    std::string service;
    std::uint32_t ranges = 0; ///< 0 for a balanced service
    placement_list current;
    placement_list previous;
    incarnation_id proposer;
    std::string reason;
    auto operator<=>(const placement&) const = default;
};

/// Permanent refusal to renew the lease of an incarnation, by one of its voters: either of its two
/// witnesses, or the holder itself.
struct seal {
    incarnation_id holder;
    incarnation_id witness; ///< equals holder for a holder seal
    std::uint32_t set_version = 0;
    placement_version adopted; ///< highest adopted version the voter recorded
    bool with_holder = false;  ///< true for a witness seal made on receipt of the holder seal
    auto operator<=>(const seal&) const = default;
};

/// Proof that the lease of an incarnation ended permanently. All certificates of one incarnation
/// contain the same adopted version, see docs/design.md section 4.
struct certificate {
    incarnation_id holder;
    placement_version adopted;
    std::string cause; ///< "witnesses", "holder" or "store", for the audit trail
    auto operator<=>(const certificate&) const = default;
};

/// Announces the placement version that a member adopted. `draining` contains the ranges that the
/// member lost in that version and for which it still has requests in flight.
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

/// Members of `list` in the order of precedence for `range`: the first member that has not ended
/// owns the range. Every node computes the same order. Thread-safe.
std::vector<incarnation_id> candidates(const placement_list& list, const std::string& service,
                                       range_id range);

} // namespace bulrushgw::ownership
