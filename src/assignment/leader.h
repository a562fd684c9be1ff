#pragma once

/// The leader of a term: gives leases to members and assigns keys to targets. Has no I/O: no
/// socket, clock or store. A node becomes the leader of a term by a claim: it writes the leader
/// record with that term to the store. The keys of a service are divided into segments, which are
/// ranges of keys with at most one owner each.

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "assignment/directory_log.h"
#include "assignment/lease_lengths.h"
#include "assignment/planner.h"
#include "assignment/relay_plan.h"
#include "assignment/types.h"
#include "assignment/work_average.h"

namespace bulrushgw::assignment {

/// Identity of the node that leads.
struct leader_identity {
    incarnation_id node;
    std::string host;
    std::string address;
};

/// How the term of a leader began.
struct term_start {
    std::uint64_t term = 0;
    /// Earlier leaders whose leases may still run. Empty: there was no earlier leader.
    std::vector<leader_record::earlier_leader> earlier;
    std::vector<leader_record::member> recorded; ///< members named in the claim
    milliseconds longest_lease = timing{}.lease; ///< named in the claim
    time_point claimed;                          ///< when the store confirmed the claim
    /// When the claim was sent; the store's confirmation of the term counts from this time.
    time_point claim_sent;
};

namespace detail {

inline std::uint64_t to_leader_time_ms(time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count());
}

/// Converts `report_reply::leader_time_ms` back to a time of the leader's clock.
inline time_point from_leader_time_ms(std::uint64_t leader_time_ms)
{
    return time_point(milliseconds(leader_time_ms));
}

} // namespace detail

/// Implemented in six files: reports and members (leader.cpp), the validity of terms
/// (leader_term.cpp), their transfer to other nodes (leader_transfer.cpp), the keys
/// (leader_keys.cpp), their moves for load balancing (leader_balance.cpp) and the evacuation of
/// zones (leader_evacuation.cpp). Not thread-safe.
class leader {
public:
    /// Precondition: the store has accepted the claim of the term.
    leader(timing times, leader_identity self, term_start start);
    /// Continues a term that its leader transferred to this node. `store_confirmed`: a time at
    /// which the store had confirmed the term, at the latest. Precondition: the transfer is
    /// addressed to this incarnation, which has not led this term before.
    leader(timing times, leader_identity self, const leadership_transfer& transfer, time_point now,
           time_point store_confirmed);

    /// Sets the services whose keys are assigned to targets, from the manifest in force.
    void set_sharded(std::set<std::string> services) { sharded_services_ = std::move(services); }
    /// Sets the zones under evacuation. Their targets own no keys if another target can own them.
    void set_evacuated_zones(std::set<std::string> zones);
    /// Requests per second that a cold target of each service tolerates; others have no limit.
    void set_cold_rates(std::map<std::string, double> rates) { cold_rates_ = std::move(rates); }
    /// Sets the longest time for which a target of each sharded service runs a request, from the
    /// manifest in force. It determines the lengths of the leases.
    void set_longest_work(const std::map<std::string, milliseconds>& longest_work)
    {
        lengths_.set_longest_work(longest_work);
    }
    /// Sets whether the store may come back from an older copy, see `confirmed_at`. Not
    /// thread-safe.
    void set_store_returns(bool returns) { store_returns_ = returns; }
    /// Enables or disables moves of keys for load balancing.
    void set_balancing(bool on) { balancing_ = on; }

    /// Answers a report. A report from a member that has not accepted this term yet has an earlier
    /// term.
    report_reply on_report(time_point now, incarnation_id from, const report& body);
    /// Releases, assigns and moves keys as needed. Call at least every 50 ms.
    void on_tick(time_point now);

    /// Returns the record to write next, if a write is due. The caller writes it on the condition
    /// that the row is unchanged since the last confirmed write, and reports the outcome to
    /// `on_record_result`. At most one write is in progress.
    std::optional<leader_record> take_record(time_point now);
    /// `sent`: when the write was sent. `written` is false if the write failed or its outcome is
    /// unknown; a later call of `take_record` then returns a new record.
    void on_record_result(time_point sent, bool written);

    /// True while this leader may extend leases.
    [[nodiscard]] bool has_authority(time_point now) const;
    /// True if two writes of the record in a row are overdue.
    [[nodiscard]] bool is_store_silent(time_point now) const
    {
        return now - store_confirmed_ >= times_.record_interval * 2;
    }
    /// Returns the transfer of this term to a successor, with the successor's address, or none if
    /// no successor can take over now. The caller sends it and must then drop this leader. The
    /// caller sets `leadership_transfer::row_version`.
    struct outgoing_transfer {
        std::string address;
        incarnation_id to;
        leadership_transfer content;
    };
    std::optional<outgoing_transfer> make_transfer(time_point now);
    /// Tells members that this node leads.
    [[nodiscard]] leadership_notice make_notice(time_point now) const;
    /// While the store is silent, returns notices for recorded hosts that do not report: a process
    /// that starts then cannot read in the store who leads.
    struct outgoing_notices {
        leadership_notice notice;
        std::vector<std::string> addresses;
    };
    std::optional<outgoing_notices> take_notices(time_point now);
    /// A directory change for one member and for the members to which that member forwards it.
    struct outgoing_change {
        std::string address;
        directory_update update;
    };
    /// Returns the directory changes that members on other hosts lack and that were not sent to
    /// them yet. Empty until `push_interval` has passed since the last changes.
    std::vector<outgoing_change> take_changes(time_point now);
    /// Returns the members to ask now for an acknowledgement of the term. The keys of a silent
    /// member can be reassigned only if the term is confirmed after the end of the member's lease,
    /// by the store or by a majority of acknowledgements. Returns no members if no keys wait for
    /// such a confirmation.
    struct confirmation_round {
        confirm_request request;
        std::vector<std::string> addresses;
    };
    std::optional<confirmation_round> take_confirmation_round(time_point now);
    /// Directory change for the member on the leader's own host.
    directory_change change_since(std::uint64_t version);
    [[nodiscard]] const directory& view() const { return view_; }
    /// How often the leadership of this term was transferred.
    [[nodiscard]] std::uint64_t transfers() const { return transfers_; }
    /// State of the leader, for logs.
    struct summary {
        std::size_t members = 0;
        /// Number of members that the leader record in the store names. Only they may get leases.
        std::size_t recorded = 0;
        std::size_t segments = 0;
        std::size_t unassigned = 0; ///< segments without an owner
        bool authority = false;
        milliseconds old_leases{0};    ///< time until the leases of earlier terms have ended
        milliseconds longest_lease{0}; ///< upper bound on the lengths of all leases that may run
    };
    [[nodiscard]] summary summarize(time_point now) const;
    /// Keys that began to move for load balancing in one round.
    struct balance_round {
        std::string service;
        std::array<std::size_t, move_cause_names.size()> moves{}; ///< by cause
        std::size_t ranges = 0;                                   ///< that are released separately
        double share_in_motion = 0; ///< of the service's load, after the begin of the round
    };
    /// Returns the rounds since the last call.
    std::vector<balance_round> take_balance_rounds() { return std::exchange(balance_rounds_, {}); }
    /// Highest share of the load of a service whose keys are moving or have no owner.
    [[nodiscard]] double highest_share_in_motion() const;
    /// Number of keys that targets in evacuated zones own and other targets can own.
    [[nodiscard]] std::size_t keys_to_evacuate() const;

private:
    /// Time for which a new leader learns the loads before it moves keys.
    static constexpr milliseconds load_learning_time{500};

    struct member_state {
        report last_report;
        time_point last_report_at;
        work_average work;          ///< of the target
        time_point term_acked_at;   ///< latest time at which the member knew of this term
        time_point lease_end_bound; ///< latest possible end of its lease, on the leader's clock
        /// Latest possible end of the holds that earlier processes of its host granted, on the
        /// leader's clock.
        time_point earlier_holds_end;
        bool recorded = false;    ///< named in the leader record in the store
        bool leased_once = false; ///< had a lease of this leader
        bool inherits = false;    ///< took over the segments of an earlier incarnation of its host
        bool leaving = false;
        std::uint64_t sent_version = 0; ///< newest directory version sent to it
        /// The member's directory has been older than `sent_version` without progress since then.
        time_point unconfirmed_since{};
    };
    struct planned_move {
        std::string service;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        owner_candidate to;

        [[nodiscard]] bool is_for(const segment& item) const
        {
            return service == item.service && first == item.first && last == item.last;
        }
    };
    /// Pace at which keys leave the evacuated zones.
    struct evacuation_pace {
        std::size_t rounds = 0;      ///< rounds of releases so far
        bool whole_segments = false; ///< false: a round releases a part of each segment
        time_point next_round{};
    };
    /// Pace of the rounds of moves for load balancing in one service.
    struct balance_pace {
        time_point last_round{};
        bool has_new_target = false; ///< a target became ready since the last round
    };

    void supersede(incarnation_id old, incarnation_id next);
    void accept_holdings(incarnation_id from, const report& body);
    void accept_released(time_point now, const released_keys& keys, incarnation_id from);
    void accept_loads(const report& body);
    void reconcile_target(incarnation_id node, bool target_restarted);
    void unassign_segments(incarnation_id node);
    void update_nodes(time_point now);
    void update_directory_log();
    [[nodiscard]] std::uint64_t base_version_for(const member_state& member, time_point now) const;
    void begin_releases(time_point now);
    [[nodiscard]] std::vector<segment> segments_to_evacuate(const std::string& service) const;
    void begin_evacuation(time_point now, const std::string& service);
    void find_services_elsewhere();
    void assign_free(time_point now, const std::string& service);
    [[nodiscard]] std::vector<segment> segments_after_moves(const std::string& service) const;
    [[nodiscard]] double full_load(const std::string& service,
                                   std::span<const owner_candidate> owners) const;
    void balance(time_point now, const std::string& service);
    [[nodiscard]] keys_in_motion moving_keys(const std::string& service) const;
    [[nodiscard]] double share_in_motion(const std::string& service) const;
    void split_at(const std::string& service, std::uint32_t first, std::uint32_t last);
    /// Returns the target that a planned move assigns the keys of the segment to, and removes these
    /// keys from the move; none: no move is planned for them.
    std::optional<owner_candidate> take_planned_move(const segment& item);
    void plan_move(planned_move move);
    void fill_gaps(const std::string& service);
    void merge_neighbours(time_point now);
    void assign_segment(segment& item, const owner_candidate& to, std::string handover);
    /// Part of the requests of a warm target that a cold target of the service tolerates.
    [[nodiscard]] double cold_target_share(const std::string& service, std::size_t targets) const;
    [[nodiscard]] std::vector<owner_candidate> candidates(const std::string& service) const;
    [[nodiscard]] bool can_own_keys(incarnation_id node, const std::string& service) const;
    /// As `can_own_keys`, but regardless of evacuations.
    [[nodiscard]] bool is_usable_owner(incarnation_id node, const std::string& service) const;
    [[nodiscard]] bool is_in_evacuated_zone(incarnation_id node) const;
    /// True if the keys of the service can leave the evacuated zones.
    [[nodiscard]] bool must_give_keys_up(incarnation_id node, const std::string& service) const;
    [[nodiscard]] bool is_live(const member_state& member, time_point now) const;
    [[nodiscard]] std::optional<time_point>
    majority_accepted_at(const std::vector<leader_record::member>& members) const;
    [[nodiscard]] std::optional<time_point> term_accepted_at(const std::string& host) const;
    [[nodiscard]] std::optional<time_point>
    leaders_ended_at(const leader_record::earlier_leader& predecessor) const;
    [[nodiscard]] std::vector<const recorded_nodes*> possible_records() const;
    [[nodiscard]] bool may_have_lease(incarnation_id node, const std::string& host) const;
    [[nodiscard]] std::vector<incarnation_id> choose_successors(time_point now) const;
    [[nodiscard]] bool can_succeed(incarnation_id node, time_point now) const;
    [[nodiscard]] bool knows_all_holdings(time_point now) const;
    [[nodiscard]] bool may_hold_unreported_keys(const target_status& target) const;
    [[nodiscard]] const member_state* member_on(const std::string& host) const;
    [[nodiscard]] time_point old_leases_end() const;
    [[nodiscard]] milliseconds confirmed_lease() const;
    [[nodiscard]] milliseconds longest_own_lease() const;
    [[nodiscard]] milliseconds longest_lease(time_point now) const;
    void accept_process_age(time_point now, member_state& member, milliseconds age) const;
    void give_lease(time_point now, member_state& member, report_reply& reply);
    [[nodiscard]] leader_record make_record(time_point now) const;
    /// Latest known time at which no later term was in force.
    [[nodiscard]] time_point confirmed_at(time_point now) const;
    [[nodiscard]] time_point majority_acked_at(const std::vector<leader_record::member>& members,
                                               time_point now) const;
    [[nodiscard]] bool is_sent_after_takeover(const report& body) const;
    void note_replaced(std::vector<leader_record::member> members, time_point replaced);
    fence next_fence();
    void begin_release(segment& item);
    /// Begins the release of the keys. Precondition: they belong to one segment.
    void release_keys(const std::string& service, std::uint32_t first, std::uint32_t last);
    void mark_changed() { changed_ = true; }

    timing times_;
    leader_identity self_;
    term_start start_;
    lease_lengths lengths_;
    directory view_;
    directory_log log_;
    bool changed_ = true; ///< the directory may differ from the last version in `log_`
    /// Since the last `on_tick`, a change occurred that may require segments to be released or
    /// assigned. `on_report` then calls `on_tick` early, unless the last call was too recent.
    bool decisions_due_ = true;
    time_point last_tick_{};
    time_point last_push_{};
    time_point last_round_{}; ///< last round of `take_confirmation_round`
    bool balancing_ = true;
    std::set<std::string> sharded_services_;
    std::set<std::string> evacuated_zones_;
    /// Sharded services with a target outside of the evacuated zones that can own keys.
    std::set<std::string> services_elsewhere_;
    std::map<std::string, evacuation_pace> evacuation_paces_; ///< by service, while keys must move
    std::map<std::string, balance_pace> balance_paces_;       ///< by service
    std::map<std::string, double> cold_rates_;                ///< see `set_cold_rates`
    std::map<incarnation_id, member_state> members_;
    /// The node of each host in `members_`.
    std::map<std::string, incarnation_id, std::less<>> node_by_host_;
    std::set<incarnation_id> superseded_;
    std::map<std::string, key_load_table> loads_;
    std::vector<planned_move> planned_moves_;
    std::vector<balance_round> balance_rounds_;     ///< since the last `take_balance_rounds`
    std::map<std::string, time_point> accepted_at_; ///< first report of each host in this term
    time_point store_confirmed_;
    std::uint64_t transfers_ = 0; ///< how often the leadership of this term was transferred
    time_point last_notices_{};
    recorded_nodes recorded_;
    recorded_nodes pending_record_;
    /// Nodes of the writes whose outcome is unknown. The record in the store may name those of any
    /// one of these writes.
    std::vector<recorded_nodes> unresolved_writes_;
    bool write_under_way_ = false;
    bool store_returns_ = false; ///< see `set_store_returns`
    struct replaced_record {
        std::vector<leader_record::member> members;
        time_point replaced; ///< earliest time at which the next record was written
    };
    /// Records that the store no longer has, or may never have had, but may come back with.
    std::deque<replaced_record> replaced_records_;
    time_point last_write_{};
    std::uint64_t beat_ = 0; ///< `leader_record::beat` of the newest record
    std::uint64_t fence_count_ = 0;
    fence last_merge_fence_; ///< newest fence at the last merge
    time_point next_merge_;
    time_point last_decay_;
    time_point balancing_from_; ///< no keys are moved for load balancing before this time
    bool is_first_leader_ = false;
    time_point first_assignment_at_{}; ///< if there was no earlier leader, no keys are assigned
                                       ///< before this time
};

} // namespace bulrushgw::assignment
