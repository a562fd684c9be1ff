#pragma once

/// Connects the key assignment (package `assignment`) to the other nodes, the store and the
/// target: exchanges reports, elects the leader, writes the leader's record, sends orders to the
/// target (grants and releases of keys). A node becomes the leader of a term by a claim: it writes
/// the leader's record with that term to the store, if the record is unchanged since it was read.
/// The leader then rewrites the record regularly; each of these writes increases the record's beat.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "assignment/leader.h"
#include "assignment/member.h"
#include "routing/evacuations.h"
#include "sidecar/journal.h"
#include "sidecar/protocol.h"
#include "sidecar/store_outcome.h"
#include "wire/messages.h"

namespace bulrushgw::sidecar {

/// Not thread-safe: runs on one loop.
class coordination {
public:
    struct hooks {
        std::function<time_point()> now;
        std::function<void(const std::string& address, incarnation_id to, const wire::body&)> send;
        std::function<void(const assignment::grant_order&)> grant;
        std::function<void(const assignment::release_order&)> release;
        /// This node's member adopted a new directory.
        std::function<void()> on_directory;
        /// Read and write the leader's record, see `store_session`.
        std::function<void(std::function<void(store_outcome, const leader_rows&)>)> read_record;
        std::function<void(const leader_write&, std::function<void(store_outcome, store_version)>)>
            write_record;
        /// The peer at `address` did not answer in time, see `peer_check::suspect`.
        std::function<void(const std::string& address, const std::string& cause)> suspect;
        /// The peer at `address` has this version of the manifest.
        std::function<void(const std::string& address, std::uint64_t version)> on_peer_manifest;
        /// The evacuation of these zones began or ended, see `evacuations`.
        std::function<void(const routing::evacuations::changes&)> on_evacuations;
        std::function<void(std::string_view event, const journal::fields&)> log;
    };

    /// All hooks must be set. `seed` initializes the generator of claim delays.
    coordination(assignment::timing times, assignment::member_identity self, std::uint64_t seed,
                 hooks callbacks);

    /// Handle messages from other nodes. Each may send messages and orders through the hooks.
    void on_report(const wire::frame& frame, const assignment::report& body);
    void on_reply(const wire::frame& frame, const assignment::report_reply& reply);
    void on_hint(const assignment::leader_hint& hint);
    void on_update(const wire::frame& frame, const assignment::directory_update& update);
    void on_confirm_request(const wire::frame& frame, const assignment::confirm_request& request);
    void on_notice(const assignment::leadership_notice& notice);
    void on_transfer(const assignment::leadership_transfer& transfer);
    void on_lead_request(const assignment::lead_request& request);
    /// Sets the state of the target on this host.
    void on_target(const assignment::target_status& target);
    /// See `assignment::member::set_target_confirmed`.
    void set_target_confirmed(bool confirmed);
    /// Report the results of the orders passed to `hooks::grant` and `hooks::release`; each order
    /// needs exactly one.
    void on_grant_result(std::uint64_t id, assignment::order_outcome outcome);
    void on_release_result(std::uint64_t id, assignment::order_outcome outcome,
                           const std::string& handover);
    /// A client's request for `key` arrived at this node. It counts towards the key's load even
    /// while no target serves the key, so that a new leader learns the loads early.
    void on_keyed_request(const std::string& service, std::uint32_t key)
    {
        member_.count_request(service, key);
    }
    /// The store answered in this era. What it confirmed in earlier eras may be lost, so a leader
    /// whose term began in one of them claims a new term.
    void on_store_era(std::uint64_t era);
    /// Takes over the orders of evacuation in an answer of the store: to a read of all orders, or
    /// to a watch for changes.
    void on_evacuation_rows(const routing::evacuation_rows& rows, bool is_read);
    /// Requests per second that a cold target of each service tolerates. Services without a limit
    /// are left out.
    void set_cold_rates(std::map<std::string, double> rates);
    /// `sharded` contains the services whose keys the manifest divides among targets, and
    /// `longest_work` the longest time for which their targets run a request, if it is limited.
    void set_manifest(std::uint64_t version, std::set<std::string> sharded,
                      std::map<std::string, milliseconds> longest_work = {});
    void set_mean_work(std::chrono::microseconds mean) { member_.set_mean_work(mean); }
    /// See `assignment::member::covers_work`. Sends the renewal at once if one is due.
    bool covers_work(const std::string& service, std::uint32_t key, milliseconds work);
    /// Begins a planned stop: the keys of this node's target move to other targets, and if this
    /// node leads, it asks another node to take over the leadership.
    void leave();
    /// Call at least every `tick_interval`.
    void on_tick();

    static constexpr milliseconds tick_interval{50};

    [[nodiscard]] const assignment::member& member() const { return member_; }
    /// The zones under evacuation, from the store and from other nodes.
    [[nodiscard]] const routing::evacuations& evacuations() const { return evacuations_; }
    [[nodiscard]] incarnation_id self() const { return self_.node; }
    [[nodiscard]] bool is_leader() const { return leader_ != nullptr; }
    /// Keys that still have to leave evacuated zones, if this node leads; otherwise 0.
    [[nodiscard]] std::size_t keys_to_evacuate() const
    {
        return leader_ == nullptr ? 0 : leader_->keys_to_evacuate();
    }
    /// Moves of keys for load balancing that this node began as a leader since its start, by cause.
    using key_move_counts = std::array<std::uint64_t, assignment::move_cause_names.size()>;
    [[nodiscard]] const key_move_counts& key_moves() const { return key_moves_; }
    /// See `assignment::leader::highest_share_in_motion`; 0 if this node does not lead.
    [[nodiscard]] double key_load_in_motion() const
    {
        return leader_ == nullptr ? 0 : leader_->highest_share_in_motion();
    }

private:
    void note_tick(time_point now);
    [[nodiscard]] time_point heard_since(time_point now) const;
    void accept_evacuations(time_point now, const std::vector<routing::evacuation_snapshot>& news);
    void apply_evacuations(const routing::evacuations::changes& changes, const char* source);
    void process_outputs();
    void send_report();
    void send_leader_outputs(time_point now);
    void log_summary(time_point now);
    void log_evacuation();
    void log_balance_rounds();
    void push_directory();
    void write_record(time_point now, const assignment::leader_record& record);
    void on_record_written(time_point sent, std::uint64_t beat, store_outcome outcome,
                           store_version version);
    void seek_leader(time_point now);
    [[nodiscard]] milliseconds claim_delay() const;
    void read_record();
    void on_record_read(store_outcome outcome, const leader_rows& rows);
    bool resume_leading(time_point now, const assignment::leader_record* record);
    [[nodiscard]] bool is_term_outdated() const;
    void renew_term(time_point now);
    void retry_record_write();
    void consider_claim(time_point now, const assignment::leader_record* record);
    void claim(time_point now, const assignment::leader_record* record);
    [[nodiscard]] assignment::leader_record
    make_claim(const assignment::leader_record* record) const;
    void add_known_members(assignment::leader_record& record) const;
    void on_claimed(time_point sent, const assignment::leader_record& claimed);
    void step_down(const char* cause);
    void log_lease_lengths() const;
    void log_own_lease();
    void transfer_leadership(time_point now);
    void request_claim(time_point now);
    bool transfer_term(time_point now);
    void repeat_transfer(time_point now);
    void announce_leadership(const std::vector<assignment::leader_record::member>& members);

    assignment::timing times_;
    assignment::member_identity self_;
    std::mt19937_64 random_;
    hooks hooks_;
    assignment::member member_;
    std::unique_ptr<assignment::leader> leader_;
    std::set<std::string> sharded_;
    std::map<std::string, double> cold_rates_;         ///< see `set_cold_rates`
    std::map<std::string, milliseconds> longest_work_; ///< by sharded service
    std::uint64_t manifest_version_ = 0;
    routing::evacuations evacuations_;
    /// Leader that last answered a report of this node, and the version of the evacuations that it
    /// knew then.
    incarnation_id informed_leader_;
    store_version leader_evacuations_version_;
    key_move_counts key_moves_{};
    bool evacuating_keys_ = false; ///< as last logged by this leader
    time_point last_tick_{};
    /// The last pause of the process: time of the last tick before it, and of the first one after.
    time_point paused_from_{};
    time_point pause_end_{};
    /// Latest era of the store; none: it has named none.
    std::optional<std::uint64_t> store_era_;
    store_version row_version_; ///< of the leader's record, as last read or written
    /// Records of earlier eras, as last read. The next claim replaces them.
    std::vector<leader_rows::earlier_row> earlier_rows_;
    bool is_record_current_ = false; ///< the last read found a record of the store's current era
    bool row_known_ = false;         ///< the record was read at least once
    std::optional<assignment::leader_record> record_;
    time_point record_changed_{}; ///< the row is known to be unchanged since this time
    time_point last_read_{};
    time_point next_read_{};
    /// Earliest time at which this node may claim a term while the store has no leader record of
    /// its current era. Set when the record is first found missing.
    std::optional<time_point> first_claim_time_;
    bool reading_ = false;
    bool claiming_ = false;
    std::optional<assignment::leader_record> unresolved_claim_; ///< sent, with unknown outcome
    time_point unresolved_claim_sent_{};
    /// `leader_record::beat` of a record write with unknown outcome; 0: none.
    std::uint64_t unresolved_beat_ = 0;
    time_point unresolved_beat_sent_{};
    /// Term whose stopping leader asked this node to claim the next term; 0: none.
    std::uint64_t requested_claim_term_ = 0;
    bool leaving_ = false;
    /// Nodes that this stopping leader asked to claim the next term.
    std::vector<incarnation_id> asked_successors_;
    time_point next_transfer_request_{};
    /// Transfer that its receiver has not confirmed by a notice.
    std::optional<assignment::leader::outgoing_transfer> unconfirmed_transfer_;
    time_point next_transfer_repeat_{};
    /// For each member, the time at which this leader sent the latest message that the member's
    /// reports acknowledge. Before the first acknowledgement, the time at which the member's first
    /// report arrived.
    std::map<incarnation_id, time_point> acknowledged_replies_;
    /// Term and version of the directory at the last call of `hooks::on_directory`.
    std::uint64_t notified_term_ = 0;
    std::uint64_t notified_version_ = 0;
    bool processing_outputs_ = false;
    milliseconds logged_lease_{0}; ///< length of the member's lease in the last log line
    time_point next_summary_{};
};

} // namespace bulrushgw::sidecar
