#pragma once

/// Types of the key assignment: which target holds which keys, and under whose
/// lease. See docs/platform.md.

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"

namespace bulrushgw::assignment {

/// Keys of a sharded service are numbers below this.
inline constexpr std::uint32_t key_count = 65536;

/// Times of the lease protocol. A key is served again within `lease` plus one
/// report after the loss of its owner.
struct timing {
    /// Several reports fit into one lease, so that a lost one does not end it.
    milliseconds report_interval{250};
    milliseconds lease{1600};
    /// A member that got no lease asks again after this time: a new leader gives
    /// leases only after a second report.
    milliseconds lease_retry{60};
    /// The leader may extend leases for this time after a majority of the members,
    /// or the store, last confirmed its term.
    milliseconds authority{1500};
    /// A leader without the store for this time stops, whatever the members say.
    milliseconds store_silence_limit{20000};
    /// A member that hears no leader for this time, when two replies are overdue, may
    /// claim the next term.
    milliseconds leader_silence{500};
    /// It begins to watch the record of the leader sooner, when one reply is overdue: a
    /// report leaves up to one tick of 50 ms late, and the leader may be busy.
    milliseconds record_watch{400};
    /// Each stronger live host delays that look by this time, up to the most, so that
    /// few nodes ask the store when a leader of many is lost: a claim takes about
    /// 20 ms, and its announcement as long.
    milliseconds claim_stagger{50};
    milliseconds most_claim_stagger{1000};
    /// The leader rewrites its record this often; a candidate that sees no change
    /// for `record_silence` may claim the next term.
    milliseconds record_interval{500};
    milliseconds record_silence{650};
    /// A member that is silent for this time gets no requests from others.
    milliseconds member_silence{1200};
    /// Clocks of two hosts differ by at most this; a target's hold may run 2 % slow.
    unsigned drift_permille = 20;
    /// Bound on the time between the sending of an order and its arrival on the
    /// same host; it is taken off every hold.
    milliseconds hold_margin{40};
};

/// Low bits of a fence that count within a term.
inline constexpr unsigned fence_count_bits = 24;

/// Below all fences that the leader of `term` gives, above those of earlier terms.
inline fence first_fence(std::uint64_t term)
{
    return fence{term << fence_count_bits};
}

/// `time` as it may appear on a clock that is slow by the drift bound.
inline milliseconds with_drift(milliseconds time, unsigned permille)
{
    return time + time * permille / 1000 + milliseconds{1};
}

enum class target_phase : std::uint8_t { absent, ready, draining };

/// The target beside a node, as that node knows it.
struct target_status {
    std::string id;         ///< empty: none
    std::uint64_t born = 0; ///< Unix time of its start in ms; 0: not known
    std::string service;
    std::uint32_t slots = 0;
    target_phase phase = target_phase::absent;
    bool operator==(const target_status&) const = default;

    /// One life of a target. An id may be used again after a restart.
    [[nodiscard]] bool is_same_run(const target_status& other) const
    {
        return id == other.id && (born == 0 || other.born == 0 || born == other.born);
    }
};

/// Keys that a node's target holds or may hold.
struct holding {
    std::string service;
    std::uint32_t first = 0; ///< inclusive
    std::uint32_t last = 0;  ///< inclusive
    fence stamp;
};

/// Keys of one owner. While `releasing`, the owner stops and nobody serves them.
struct segment {
    std::string service;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    incarnation_id owner; ///< none: not assigned
    std::string target;   ///< id of the owner's target
    fence stamp;
    std::string handover; ///< for the owner's grant; empty: none
    bool releasing = false;
    bool operator==(const segment&) const = default;
};

/// Keys that a target certainly holds no more.
struct released_keys {
    std::string service;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    fence stamp;
    std::string handover; ///< from the target; empty: none

    /// True for a segment, or a part of one that the leader divided meanwhile, with the
    /// fence under which the keys were given back.
    [[nodiscard]] bool covers(const segment& item) const
    {
        return item.service == service && first <= item.first && item.last <= last &&
               item.stamp == stamp;
    }
};

/// Requests for one key since the previous report.
struct key_load {
    std::string service;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> counts; ///< key, requests
};

/// What a member tells the leader.
struct report {
    std::uint64_t term = 0; ///< the highest known to the member
    std::uint64_t sequence = 0;
    std::uint64_t echo = 0; ///< `stamp` of the newest reply of this term
    std::string host;
    std::string address; ///< of the inner protocol
    std::string zone;
    target_status target;
    std::vector<holding> holdings; ///< empty once the member has a lease of this term
    std::vector<released_keys> released;
    std::uint64_t directory_version = 0;
    std::uint64_t manifest_version = 0;
    std::vector<key_load> loads;
    std::uint32_t mean_work_us = 0; ///< mean time of the target for one request
    bool leaving = false;
    /// Term in which the target confirmed that it holds no other keys than these
    /// holdings; 0: not asked.
    std::uint64_t cleared_term = 0;
    /// Processor share of the host in thousandths of a core: a leader's work grows
    /// with the number of nodes, so strong hosts lead first.
    std::uint32_t strength = 0;
};

struct node_record {
    incarnation_id node;
    std::string host;
    std::string address;
    std::string zone;
    target_status target;
    std::uint32_t strength = 0; ///< of the host, see `report::strength`
    bool operator==(const node_record&) const = default;
    /// The host or its target will be gone soon.
    [[nodiscard]] bool is_leaving() const { return target.phase == target_phase::draining; }
};

/// The leader's view of all nodes and keys.
struct directory {
    std::uint64_t term = 0;
    std::uint64_t version = 0; ///< grows within a term
    incarnation_id leader;
    std::vector<node_record> nodes; ///< by incarnation
    std::vector<segment> segments;  ///< by service and first key
};

/// The service and the first key of a segment, which identify it in a directory.
struct segment_start {
    std::string service;
    std::uint32_t first = 0;
    auto operator<=>(const segment_start&) const = default;
};

/// What brings a directory of any version from `base` to `version` up to `version`.
/// Base 0: the whole directory.
struct directory_change {
    std::uint64_t term = 0;
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    incarnation_id leader;
    std::vector<node_record> nodes; ///< new or changed
    std::vector<incarnation_id> gone_nodes;
    std::vector<segment> segments; ///< new or changed
    std::vector<segment_start> gone_segments;
};

struct report_reply {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0; ///< of the report
    std::uint64_t stamp = 0;    ///< time of the leader, for `report::echo`
    /// The lease runs from the sending of the report, if the member has the
    /// directory of `directory_version`.
    bool leased = false;
    bool superseded = false; ///< a later incarnation of the host is known
    /// The leader asks for `report::cleared_term`: it does not know what the target
    /// holds of the time before this incarnation.
    bool clear_wanted = false;
    std::uint64_t directory_version = 0;
    std::uint64_t manifest_version = 0;
    /// One element when the member's directory is another one; else empty.
    std::vector<directory_change> content;
};

/// The answer of a node that does not lead, and the announcement of a new leader.
struct leader_hint {
    std::uint64_t term = 0;
    incarnation_id leader;
    std::string address;
};

/// Asks the receiver to claim the next term at once: the leader of `term` stops.
struct lead_request {
    std::uint64_t term = 0;
};

/// Sent by the leader when its directory changed, see `plan_relays`.
struct directory_update {
    directory_change content;
    std::vector<std::string> onward; ///< addresses that the receiver passes it on to
};

/// Asks a member to report at once and to acknowledge the term with `stamp`.
struct confirm_request {
    std::uint64_t term = 0;
    std::uint64_t stamp = 0; ///< time of the leader, for `report::echo`
};

/// The only row in the store: who leads, and whom it may have given leases.
struct leader_record {
    std::uint64_t term = 0;
    std::uint64_t beat = 0; ///< grows with each write of the term
    incarnation_id leader;
    std::string host;
    std::string address;
    struct member {
        incarnation_id node;
        std::string host;
        std::string address;
        auto operator<=>(const member&) const = default;
    };
    std::vector<member> members;
    /// Leaders before this one whose leases may still run, with the members that
    /// confirmed their terms.
    struct earlier_leader {
        std::string host;
        std::vector<member> members;
    };
    std::vector<earlier_leader> earlier;
};

/// With fewer members than this, only the store confirms a term: if the leader is
/// lost, the others alone could not be a majority.
inline constexpr std::size_t least_confirming_members = 3;

} // namespace bulrushgw::assignment
