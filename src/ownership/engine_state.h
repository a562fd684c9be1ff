#pragma once

/// Private state and functions of the engine. Included only by engine*.cpp; the comments below name
/// the file that defines each group of functions. types.h defines the terms seal, certificate and
/// adoption, and engine.h the term effect.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ownership/directory.h"
#include "ownership/engine.h"
#include "ownership/holder_lease.h"
#include "ownership/load_moves.h"
#include "ownership/planner.h"
#include "ownership/random_source.h"
#include "ownership/serve_rule.h"
#include "ownership/store_schedule.h"
#include "ownership/witness.h"

namespace bulrushgw::ownership {

struct engine::state {
    state(engine_settings settings_in, std::uint64_t seed, time_point now);

    // Shared state and dissemination (engine_gossip.cpp).
    void accept(time_point now, const gossip_item& item);
    void accept_member(time_point now, const member_row& row);
    void accept_placement(time_point now, const placement& record);
    void accept_adoption(const adoption& item);
    void accept_seal(time_point now, const seal& item);
    void accept_certificate(time_point now, const certificate& item);
    void publish(gossip_item item) { gossip_to_forward.push_back(std::move(item)); }
    void flush_gossip();
    void send_items(incarnation_id to, const std::vector<gossip_item>& items);
    void on_digest(time_point now, incarnation_id from, const digest& theirs);
    void exchange_digests(time_point now);
    [[nodiscard]] digest own_digest(bool reply_wanted) const;
    [[nodiscard]] std::vector<incarnation_id> random_peers(std::size_t count);
    void send_to(incarnation_id to, message body);

    // Messages of the lease protocol (engine.cpp).
    void on_message(time_point now, incarnation_id from, const message& body);
    void on_renew(time_point now, incarnation_id from, const renew& body);
    void on_set_change(time_point now, incarnation_id from, const set_change& body);
    void on_tick(time_point now);
    void after_event(time_point now);
    void audit(audit_kind kind, incarnation_id subject, std::string cause);

    // Own row, first witnesses and renewal (engine_join.cpp).
    void on_target(time_point now, const target_info& info);
    void advance_join(time_point now);
    void write_own_row(time_point now);
    void on_own_row_written(time_point now, const store::reply& reply);
    void on_own_row_read(time_point now, const store::reply& reply);
    void own_row_stored(time_point now, std::uint64_t version);
    void renew_lease(time_point now);

    // Replacement of witnesses (engine_witnesses.cpp).
    void advance_witnesses(time_point now);
    void advance_witness_change(time_point now);
    void handle_lost_witnesses(time_point now);
    void replace_witness(time_point now, incarnation_id lost);
    void improve_witnesses(time_point now);
    void begin_witness_change(time_point now, incarnation_id replaced, const member_row& added);
    void send_set_change(time_point now);
    void on_set_change_ack(time_point now, incarnation_id from, const set_change_ack& ack);
    [[nodiscard]] std::vector<const member_row*> witness_candidates(time_point now) const;
    [[nodiscard]] bool is_lost_witness(time_point now, incarnation_id id) const;

    // Adoption and serving (engine_serving.cpp).
    void consider_adoption(time_point now);
    [[nodiscard]] bool should_wait_for_next_owners(time_point now,
                                                   const placement_view& next) const;
    void complete_adoption(time_point now);
    void publish_adoption();
    [[nodiscard]] std::map<range_id, range_verdict> owned_ranges() const;
    void update_serving(time_point now);
    void change_grants(const std::map<range_id, range_verdict>& next,
                       const std::string& release_cause);
    void on_in_flight(time_point now, const std::string& service, range_id range,
                      std::size_t count);
    [[nodiscard]] serve_decision may_serve(time_point now, const std::string& service,
                                           range_id range) const;
    [[nodiscard]] bool holds_lease(time_point now) const;
    [[nodiscard]] std::size_t total_in_flight() const;

    // Placement proposals (engine_proposals.cpp).
    void consider_proposal(time_point now);
    [[nodiscard]] plan_inputs inputs_for_plan(time_point now) const;
    void start_proposal(time_point now);
    void on_placement_read(time_point now, const store::reply& reply);
    void write_proposal(time_point now, std::uint64_t row_version);
    void finish_proposal(time_point now);

    // Load and weights (engine_load.cpp).
    void on_load(const std::string& service, std::vector<range_load> loads);
    void on_peer_load(time_point now, incarnation_id from, double rate);
    [[nodiscard]] double own_requests_per_second() const;
    void consider_move(time_point now);
    [[nodiscard]] std::optional<std::uint32_t> settled_weight(time_point now) const;
    /// This member's share of the service's load moves, per hour.
    [[nodiscard]] double own_moves_per_hour() const;
    /// Number of ranges whose owner would change with the load changes (own weight and overrides)
    /// in `inputs`.
    [[nodiscard]] std::size_t count_load_moves(const plan_inputs& inputs) const;

    // End and leave (engine_end.cpp).
    void end(time_point now, const std::string& cause,
             std::optional<time_point> idle_from = std::nullopt);
    void leave(time_point now);
    void advance_leave(time_point now);
    void advance_end(time_point now);
    void finish_end(time_point now, const std::string& cause);
    void advance_after_end(time_point now);
    void advance_self_sealed_holders(time_point now);

    // End through the store (engine_store_end.cpp).
    void request_store_end(time_point now, incarnation_id subject, const std::string& requester);
    void advance_store_end(time_point now);
    void on_end_placement_read(time_point now, const store::reply& reply);
    void on_end_members_read(time_point now, const store::reply& reply);

    // Store calls (engine_store.cpp).
    using continuation = std::function<void(time_point, const store::reply&)>;
    /// Issues the call and returns true, or returns false if the rate limit or the backoff forbids
    /// it now.
    bool call(time_point now, store::request request, continuation done);
    void on_store_reply(time_point now, std::uint64_t id, const store::reply& reply);
    void expire_calls(time_point now);
    void advance_store_reads(time_point now);
    void on_members_read(time_point now, time_point began, const store::reply& reply);
    void on_placements_read(time_point now, const store::reply& reply);
    void erase_rows(time_point now, const std::vector<store::row>& rows);
    std::optional<member_row> read_member(const store::row& row);
    std::optional<placement> read_placement(const store::row& row);
    void report_bad_row(const std::string& key, const std::string& problem);
    std::string next_writer();

    engine_settings settings;
    random_source random;
    incarnation_id self;
    directory shared;
    witness_table witness;
    holder_lease lease;
    store_schedule schedule;
    std::map<std::string, service_config> services;
    rules_stamp rules;
    std::optional<target_info> target;
    member_row own_row;
    std::vector<effect> effects;

    std::vector<gossip_item> gossip_to_forward; ///< new items, sent to peers after each event
    incarnation_id gossip_sender; ///< sender of the message being handled, 0 if there is none
    time_point next_digest{};
    std::size_t digest_offset = 0; ///< start of the next digest answer that exceeds the item limit
    std::optional<time_point> last_message_time; ///< last message from any peer

    struct pending_call {
        continuation done;
        time_point sent;
        bool is_write = false;
    };
    std::map<std::uint64_t, pending_call> calls;
    std::uint64_t last_call = 0;
    std::uint64_t last_writer = 0;
    time_point next_members_read{};
    time_point next_placements_read{};
    bool members_read_pending = false;
    bool placements_read_pending = false;
    bool members_known = false;    ///< the members were read from the store at least once
    bool placements_known = false; ///< the placements were read from the store at least once
    time_point first_write_time{}; ///< earliest time of the first write of the own row
    bool erase_pending = false;
    std::set<std::string> reported_rows; ///< keys of the invalid rows that were reported

    /// A write of the own row that is not confirmed yet. Retries repeat the same content and
    /// writer, so that it makes no difference if a delayed earlier write takes effect as well.
    struct row_write {
        member_row row;
        std::string writer;
        bool call_pending = false; ///< a store call is pending
        /// Read the row before the next write, because the last one conflicted or its outcome is
        /// unknown.
        bool read_first = false;
        bool maybe_written = false; ///< an earlier write may still take effect
    };
    std::optional<row_write> own_row_write;
    std::uint64_t own_row_version = 0;
    std::uint32_t highest_set_version = 0;
    std::optional<time_point> lease_expired_since; ///< first tick after the end of the lease
    /// When two possible witnesses became known; none while fewer are known.
    std::optional<time_point> witnesses_found_since;
    bool too_few_witnesses = false;
    time_point next_probe{};
    time_point next_set_change{};
    time_point next_improvement_check{};
    /// Witnesses that were lost, with the time of the last attempt to replace each of them.
    std::map<incarnation_id, time_point> lost_witnesses;

    /// Placement whose version a witness recorded.
    std::shared_ptr<const placement_view> adopted_view;
    /// Placement whose version is sent in renewals, but not recorded by a witness yet.
    std::shared_ptr<const placement_view> offered_view;
    /// Placement that is not offered yet, because the next owners of this node's ranges should
    /// adopt it first.
    std::shared_ptr<const placement_view> deferred_view;
    time_point deferred_since{};
    std::map<range_id, fence> serving; ///< ranges that this node serves, with their fences
    bool serving_dirty = false;        ///< the owned ranges must be computed again
    /// True if the lease was running at the last update of `serving`. Also false while a leaving
    /// node hands over its ranges without a new placement.
    bool lease_was_running = false;
    std::map<range_id, std::size_t> in_flight;
    std::vector<range_id> draining; ///< lost ranges with requests in flight, ascending

    struct proposal_state {
        std::string writer;
        bool written = false; ///< a write was sent; its outcome may be unknown
    };
    std::optional<proposal_state> proposal;
    std::optional<time_point> propose_at; ///< end of the random delay before a proposal
    time_point next_proposal_check{};
    std::optional<time_point> last_addition;    ///< when a placement that adds members was received
    std::optional<std::uint32_t> wanted_weight; ///< from the target's newest announcement
    time_point wanted_weight_since{};
    std::optional<range_move> wanted_move;
    std::vector<range_load> own_loads;
    std::optional<time_point> overloaded_since;
    time_point next_move{};
    struct peer_load {
        double rate = 0; ///< requests per second
        time_point at;
    };
    std::map<incarnation_id, peer_load> peer_loads;
    move_budget own_move_budget;

    struct leave_state {
        time_point since;
        bool without_store = false; ///< ranges are released without a new placement
    };
    std::optional<leave_state> leaving;
    struct end_state {
        std::string cause;
        time_point seal_from; ///< earliest time of the holder seal
        time_point next_seal{};
        /// When the end was proven, or when the engine stopped waiting for a proof. The engine then
        /// remains a witness for a bounded time, so that the holders that it watches can replace
        /// it.
        std::optional<time_point> done;
    };
    std::optional<end_state> ending;
    bool stopped = false; ///< the last effect was emitted; the engine ignores all input
    struct requested_end {
        std::string requester;
        unsigned attempts = 0;
    };
    std::map<incarnation_id, requested_end> requested_ends; ///< ends to be recorded in the store
    time_point next_store_end{};
    /// The attempt in progress to record ends in the store.
    struct store_end_state {
        std::string service;
        placement_version version;
        std::vector<incarnation_id> subjects;
        std::uint64_t placement_row = 0; ///< store version of the placement's row
    };
    std::optional<store_end_state> store_end;
    time_point next_self_sealed_check{};
};

} // namespace bulrushgw::ownership
