#pragma once

/// Types of key assignment: which target owns which keys, and under whose lease. See
/// docs/platform.md.

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "common/store_version.h"
#include "routing/evacuations.h"

namespace bulrushgw::assignment {

/// The keys of a sharded service are the numbers from 0 to `key_count` - 1.
inline constexpr std::uint32_t key_count = 65536;

/// Times of the lease protocol. After the loss of its owner, a key is served again within the
/// owner's lease plus one report interval.
struct timing {
    /// Several reports fit into one lease, so that the loss of one report does not end the lease.
    milliseconds report_interval{250};
    milliseconds lease{1600};
    /// Upper bound on longer leases, see `lease_length`. The keys of a lost owner wait until its
    /// lease is over, so it must stay well below the time for which callers retry.
    milliseconds longest_lease{5000};
    /// Under a longer lease, a fresh hold exceeds the longest work of the target by this: by
    /// `renewal_period` and one tick of 50 ms.
    milliseconds work_margin{290};
    /// A hold under a longer lease is renewed when it has become shorter by this than a fresh one.
    /// That is about once for each report, since the lease is extended that often.
    milliseconds renewal_period{240};
    /// A target may carry out an order late. An order that was not answered at once is carried out
    /// after at least this time, if ever.
    milliseconds late_order_delay{2000};
    /// Whether a target that carries out a grant late counts its hold from the arrival of the
    /// grant, as the platform's protocol says. Otherwise a grant that is carried out just before
    /// its hold is over is taken to hold the keys for another hold.
    bool holds_count_from_arrival = true;
    /// A member that was given no lease reports again after this time, because a new leader gives
    /// leases only from the second report on. So does a member that cannot apply a directory change
    /// because an earlier one was lost.
    milliseconds lease_retry{60};
    /// The leader may extend leases for this time after the last confirmation of its term by the
    /// store or by a majority of the members.
    milliseconds authority_timeout{1500};
    /// A leader may extend no leases if the store has not confirmed its term for this time, even if
    /// a majority of the members confirms the term.
    milliseconds store_silence_limit{20000};
    /// A member may claim the next term, which means to write the leader record with that term to
    /// the store, if it has not heard from the leader for this time. By then two replies are
    /// overdue.
    milliseconds leader_silence{500};
    /// A member begins to read the leader record if it has not heard from the leader for this time.
    /// By then one reply is overdue. The time is shorter than `leader_silence`. It is longer than
    /// `report_interval` to allow for a report that is sent up to one tick of 50 ms late and for a
    /// busy leader.
    milliseconds record_watch_silence{400};
    /// The first read of the leader record is delayed by this time for each live host that is
    /// preferred as leader, up to `max_claim_stagger`, so that few nodes query the store when the
    /// leader of a large deployment is lost. The delay per host is longer than a claim and its
    /// announcement, which take about 20 ms each.
    milliseconds claim_stagger{50};
    milliseconds max_claim_stagger{1000};
    /// The leader rewrites its record at this interval. A candidate that sees no change of the
    /// record for `record_silence` may claim the next term.
    milliseconds record_interval{500};
    milliseconds record_silence{650};
    /// A member that has not reported for this time receives no requests from other nodes.
    milliseconds member_silence{1200};
    /// Bound on the difference in rate between the clocks of two hosts. A target may measure a hold
    /// 2 % too long.
    unsigned drift_permille = 20;
    /// Upper bound on the time from the sending of an order (a grant or release of keys) to its
    /// arrival at the target on the same host. It is subtracted from every hold.
    milliseconds hold_margin{40};
    /// The targets of a zone serve the keys that they still own for this time after the evacuation
    /// of the zone was ordered. It is half of the time after which no request may reach a target of
    /// the zone, so that the other half covers late news and requests that are under way.
    milliseconds evacuation_grace{2500};
};

/// Bound on the lengths of leases that records and messages may name. A longer one would keep keys
/// without an owner for too long.
inline constexpr milliseconds max_named_lease{60000};

/// Number of the low bits of a term that count the terms of one era of the store (see
/// `store_version`). The bits above them are the era in which the term was claimed, so that a term
/// is above all terms of earlier eras, whose records the store may have lost.
inline constexpr unsigned term_count_bits = 20;

inline std::uint64_t era_of_term(std::uint64_t term)
{
    return term >> term_count_bits;
}

/// Lower bound of the terms that are claimed in an era of the store.
inline std::uint64_t term_base(std::uint64_t era)
{
    return era << term_count_bits;
}

/// Number of the low bits of a fence that count the fences of one term. The bits above them are the
/// term.
inline constexpr unsigned fence_count_bits = 24;

/// Lower bound of the fences of `term`: below all fences that its leader issues, above those of
/// earlier terms.
inline fence fence_base(std::uint64_t term)
{
    return fence{term << fence_count_bits};
}

/// Upper bound on the time that passes here while a clock that is slow by `permille` measures
/// `time`.
inline milliseconds with_drift(milliseconds time, unsigned permille)
{
    return time + time * permille / 1000 + milliseconds{1};
}

enum class target_phase : std::uint8_t { absent, ready, draining };

/// The target on the same host as a node, as known to that node.
struct target_status {
    std::string id;                  ///< empty: no target
    std::uint64_t start_time_ms = 0; ///< Unix time; 0: unknown
    std::string service;
    std::uint32_t slots = 0;
    target_phase phase = target_phase::absent;
    /// The target tolerates fewer requests than usual and is slower, because it warms up.
    bool warming_up = false;
    bool operator==(const target_status&) const = default;

    /// True for the same process of a target. The start times are compared too, because an id may
    /// be used again after a restart.
    [[nodiscard]] bool is_same_instance(const target_status& other) const
    {
        return id == other.id && (start_time_ms == 0 || other.start_time_ms == 0 ||
                                  start_time_ms == other.start_time_ms);
    }
};

/// Keys that the target of a node holds or may hold.
struct holding {
    std::string service;
    std::uint32_t first = 0; ///< inclusive
    std::uint32_t last = 0;  ///< inclusive
    fence range_fence;
};

/// A range of keys with at most one owner. While `releasing` is set, the owner is releasing the
/// keys and nobody serves them.
struct segment {
    std::string service;
    std::uint32_t first = 0; ///< inclusive
    std::uint32_t last = 0;  ///< inclusive
    incarnation_id owner;    ///< none: unassigned
    std::string target;      ///< id of the owner's target
    fence range_fence;
    /// Handover token: a text that the previous owner's target returned when it released the keys.
    /// It is sent to the target of `owner` with the grant of the keys. Empty: none.
    std::string handover;
    bool releasing = false;
    bool operator==(const segment&) const = default;
};

/// What proves that a target no longer holds released keys.
enum class release_evidence : std::uint8_t {
    /// All holds that the reporting process granted have ended. Holds that an earlier process of
    /// the host granted may still run, which only the leader can rule out.
    hold_ended,
    /// The target confirmed the release: it holds the keys no more and runs no request for them.
    confirmed,
};

/// Keys that a target no longer holds, as far as `evidence` proves.
struct released_keys {
    std::string service;
    std::uint32_t first = 0; ///< inclusive
    std::uint32_t last = 0;  ///< inclusive
    fence range_fence;
    std::string handover; ///< token from the target, see `segment::handover`; empty: none
    release_evidence evidence = release_evidence::hold_ended;

    /// True if some of the keys are in `item`, which has the fence under which they were released.
    /// Either may be a part of the other: a member holds a segment in several pieces if the leader
    /// has merged it, and the leader may have split a segment since.
    [[nodiscard]] bool concerns(const segment& item) const
    {
        return item.service == service && first <= item.last && item.first <= last &&
               item.range_fence == range_fence;
    }
};

/// Numbers of requests for the keys of one service since the previous report.
struct key_load {
    std::string service;
    /// Pairs of key and number of requests.
    std::vector<std::pair<std::uint32_t, std::uint32_t>> counts;
};

/// Periodic message of a member to the leader.
struct report {
    std::uint64_t term = 0; ///< highest term known to the member
    std::uint64_t sequence = 0;
    std::uint64_t echo = 0; ///< `leader_time_ms` of the newest message of this term's leader
    std::string host;
    std::string address; ///< address of the member in the protocol between nodes
    std::string zone;
    target_status target;
    std::vector<holding> holdings; ///< empty once the member has a lease of this term
    std::vector<released_keys> released;
    std::uint64_t directory_version = 0;
    std::uint64_t manifest_version = 0;
    std::vector<key_load> loads;
    std::uint32_t mean_work_us = 0; ///< mean time in which the target processes one request
    bool leaving = false;
    /// Term in which the target confirmed that it holds no keys besides `holdings`; 0: none.
    std::uint64_t cleared_term = 0;
    /// Processor share of the host in thousandths of a core. The work of a leader grows with the
    /// number of nodes, so hosts with a larger share are preferred as leader.
    std::uint32_t cpu_millicores = 0;
    /// Version of the member's knowledge of evacuations, and the knowledge itself if it is newer
    /// than the last that the leader is known to have: one element, otherwise empty.
    store_version evacuations_version;
    std::vector<routing::evacuation_snapshot> evacuations;
    /// Time from the start of the member's process to the sending of this report. Until the holds
    /// that earlier processes of the host granted have ended, the target may hold keys that are not
    /// in `holdings`. Only the leader knows how long the leases of those processes may have been.
    /// A member that runs for long may report a lower bound.
    milliseconds process_age = std::chrono::hours{1};
};

struct node_record {
    incarnation_id node;
    std::string host;
    std::string address;
    std::string zone;
    target_status target;
    std::uint32_t cpu_millicores = 0; ///< see `report::cpu_millicores`
    bool operator==(const node_record&) const = default;
    /// True when the host or its target is about to stop.
    [[nodiscard]] bool is_leaving() const { return target.phase == target_phase::draining; }
};

/// All nodes and segments as decided by the leader.
struct directory {
    std::uint64_t term = 0;
    std::uint64_t version = 0; ///< increases within a term
    incarnation_id leader;
    std::vector<node_record> nodes; ///< sorted by incarnation
    std::vector<segment> segments;  ///< sorted by service and first key
};

/// The service and the first key of a segment. They identify the segment within a directory.
struct segment_start {
    std::string service;
    std::uint32_t first = 0;
    auto operator<=>(const segment_start&) const = default;
};

/// Updates a directory of version `base` or later to `version`. A change with base 0 contains the
/// complete directory.
struct directory_change {
    std::uint64_t term = 0;
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    incarnation_id leader;
    std::vector<node_record> nodes; ///< added or changed
    std::vector<incarnation_id> gone_nodes;
    std::vector<segment> segments; ///< added or changed
    std::vector<segment_start> gone_segments;
};

struct report_reply {
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;       ///< sequence number of the answered report
    std::uint64_t leader_time_ms = 0; ///< time of the leader's clock, returned in `report::echo`
    /// The member has a lease that runs from the sending of the report, provided that it has the
    /// directory of `directory_version`.
    bool leased = false;
    bool superseded = false; ///< a later incarnation of the host is known
    /// Asks the member to order its target to release all keys (see `report::cleared_term`),
    /// because the leader does not know which keys the target still holds from before this
    /// incarnation.
    bool clear_wanted = false;
    std::uint64_t directory_version = 0;
    std::uint64_t manifest_version = 0;
    /// One element if the member's directory is out of date, otherwise empty.
    std::vector<directory_change> content;
    /// Version of the leader's knowledge of evacuations, and the knowledge itself if it is newer
    /// than the member's: one element, otherwise empty.
    store_version evacuations_version;
    std::vector<routing::evacuation_snapshot> evacuations;
    milliseconds lease = timing{}.lease; ///< length of the lease, if `leased`
    /// Upper bound on the lengths of all leases that any leader gave and that may still run.
    milliseconds longest_lease = timing{}.longest_lease;
};

/// Names the leader: the answer of a node that does not lead, or the announcement of a new leader.
struct leader_hint {
    std::uint64_t term = 0;
    incarnation_id leader;
    std::string address;
};

/// Leadership of a term that changed hands without a new claim, see `leadership_transfer`. Sent by
/// the leader to members that it has not heard. Also asks the member to report at once and to
/// acknowledge the term by returning `leader_time_ms`.
struct leadership_notice {
    std::uint64_t term = 0;
    std::uint64_t transfers = 0; ///< how often the leadership of this term was transferred
    incarnation_id leader;
    std::string address;
    std::uint64_t leader_time_ms = 0; ///< time of the leader's clock, returned in `report::echo`
};

/// Asks the receiver to claim the next term at once because the leader of `term` is stopping.
struct lead_request {
    std::uint64_t term = 0;
};

/// Sent by the leader after a change of its directory, see `plan_relays`.
struct directory_update {
    directory_change content;
    std::vector<std::string> forward_to; ///< addresses to which the receiver forwards the change
};

/// Asks a member to report at once and to acknowledge the term by returning `leader_time_ms`.
struct confirm_request {
    std::uint64_t term = 0;
    std::uint64_t leader_time_ms = 0; ///< time of the leader's clock, returned in `report::echo`
};

/// The only row that the nodes write to the store: the leader, and the members to which it may have
/// given leases.
struct leader_record {
    std::uint64_t term = 0;
    /// Increases with each write of the record in this term, so that other nodes see that the
    /// leader is alive.
    std::uint64_t beat = 0;
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
    /// Members to which the leader may transfer this term without the store. The leader of the next
    /// term must therefore assume that any of them led this one.
    std::vector<incarnation_id> successors;
    /// Upper bound on the lengths of the leases of this term that run while the store has this
    /// record. A leader gives a longer lease only once the store has confirmed this value.
    milliseconds longest_lease = timing{}.lease;
    /// Earlier leaders whose leases may still run, with the members that confirmed their terms.
    struct earlier_leader {
        std::string host; ///< empty: unknown, because the store has lost the leader's record
        std::vector<member> members;
        std::vector<std::string> successors; ///< hosts of the possible successors in that term
        milliseconds longest_lease = timing{}.lease; ///< of its record
    };
    std::vector<earlier_leader> earlier;
};

/// What one write of the leader record names.
struct recorded_nodes {
    std::vector<leader_record::member> members;
    std::vector<incarnation_id> successors;
    milliseconds longest_lease = timing{}.lease; ///< see `leader_record::longest_lease`
    bool operator==(const recorded_nodes&) const = default;
};

/// A stopping leader passes its term on to a successor that the record names, because nobody can
/// claim the next term while the store does not answer. The sender no longer leads once it has sent
/// the message, and sends it to one receiver only, so that a term has at most one leader at a time.
struct leadership_transfer {
    struct member_entry {
        node_record record;
        bool live = false;     ///< reported lately
        bool leased = false;   ///< had a lease of this term
        bool inherits = false; ///< took over the keys of an earlier incarnation of its host
        bool leaving = false;
    };

    std::uint64_t term = 0;
    std::uint64_t transfers = 0; ///< including this one
    /// The receiver's newest report, by sequence number, and the time from the store's last
    /// confirmation of the term to the sending of this message. The receiver sent that report
    /// before this message was sent, so it can bound the time of the confirmation on its own clock.
    std::uint64_t report_sequence = 0;
    milliseconds store_silence{0};
    store_version row_version;     ///< of the leader record
    std::uint64_t beat = 0;        ///< of the leader record
    std::uint64_t fence_count = 0; ///< number of fences issued in this term
    directory_change content;      ///< the complete directory
    std::vector<member_entry> members;
    std::vector<incarnation_id> superseded; ///< earlier incarnations of hosts
    recorded_nodes recorded;                ///< by the last confirmed write
    std::vector<recorded_nodes> unresolved; ///< by writes that the store may still apply
};

/// If there are fewer members than this, only the store can confirm a term, because after the loss
/// of the leader the remaining members would not be a majority.
inline constexpr std::size_t min_confirming_members = 3;

} // namespace bulrushgw::assignment
