#pragma once

/// The assignment protocol on every node: reports to the leader, tracks its lease, and decides
/// which grants and releases its target gets. Has no I/O: no socket, clock or store.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "assignment/types.h"

namespace bulrushgw::assignment {

struct member_identity {
    incarnation_id node;
    std::string host;
    std::string address;
    std::string zone;
    std::uint32_t cpu_millicores = 0; ///< see `report::cpu_millicores`
    /// Start of this process. Earlier processes of the host granted no keys after it.
    time_point started{};
};

/// Orders the target on this host to serve the keys for the time `hold` from the receipt of the
/// order.
struct grant_order {
    std::uint64_t id = 0;
    std::string service;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    fence range_fence;
    milliseconds hold{0};
    std::string handover; ///< token of the previous owner, see `segment::handover`; empty: none
};

/// Orders the target on this host to stop serving the keys. An order with an empty `service`
/// releases all keys that the target holds from before this process started.
struct release_order {
    std::uint64_t id = 0;
    std::string service;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    fence range_fence;
};

enum class order_outcome : std::uint8_t {
    done,
    not_sent, ///< certainly not sent
    refused,  ///< the target has seen a higher fence
    unknown,  ///< no answer; the order may still be carried out
};

enum class serve_verdict : std::uint8_t {
    serve,
    pending,   ///< the target owns the keys, and its grant is in progress
    not_owner, ///< certainly not served here now
};

/// The owner of a key, to the knowledge of this node.
struct key_owner {
    incarnation_id node; ///< none: no owner at present
    std::string address;
    std::string zone;
    bool moving = false; ///< the owner is releasing the key, and its next owner is not known yet
};

/// The hold of a key by the target on this host.
struct key_hold {
    time_point served_until; ///< the target is certain to hold the key until this time
    fence granted;           ///< of the last confirmed grant
    bool releasing = false;
};

/// Not thread-safe.
class member {
public:
    member(timing times, member_identity self);

    /// Sets the leader to report to, from the store's record or a hint. Ignored unless `term` is
    /// higher than the known term, or equal to it while the known leader is silent.
    void on_leader(time_point now, std::uint64_t term, incarnation_id leader,
                   const std::string& address);
    /// Sets the leader to report to, from the leader itself, and acknowledges its term.
    void on_notice(time_point now, const leadership_notice& notice);
    /// Handles the leader's answer to a report, which may extend the lease. Precondition: the
    /// answer is from `leader`, or of another term.
    void on_reply(time_point now, const report_reply& reply);
    /// Notes that a message other than a reply arrived directly from the leader of `term`.
    void on_leader_alive(time_point now, std::uint64_t term);
    void on_confirm_request(time_point now, const confirm_request& request);
    /// Applies a directory change that the leader sent, directly or through another member. Starts
    /// the lease that waits for this version, if any.
    void on_directory(time_point now, const directory_change& content);
    /// Sets the state of the target on this host.
    void on_target(time_point now, const target_status& target);
    /// While false, no grant is sent: whether orders reach the run of the target that is known here
    /// is not certain, and another run must not get keys under the same fence. True by default.
    void set_target_confirmed(bool confirmed) { target_confirmed_ = confirmed; }
    /// Handles the result of an order of `take_grants`.
    void on_grant_result(time_point now, std::uint64_t id, order_outcome outcome);
    /// Handles the result of an order of `take_releases`. Precondition if `outcome` is `done`: the
    /// target runs no more requests for the keys, or there is no target.
    void on_release_result(time_point now, std::uint64_t id, order_outcome outcome,
                           const std::string& handover);
    /// Counts a request for the key for the next report.
    void count_request(const std::string& service, std::uint32_t key);
    void set_manifest_version(std::uint64_t version) { manifest_version_ = version; }
    void set_mean_work(std::chrono::microseconds mean) { mean_work_ = mean; }
    /// Begins a planned stop: the leader moves the keys away.
    void leave()
    {
        leaving_ = true;
        report_due_ = true;
    }
    /// Marks keys as released if their hold has run out and they are being released or the target
    /// is lost. Call at least every 50 ms.
    void on_tick(time_point now);

    /// Returns the report to send now and its destination, if a report is due.
    struct outgoing_report {
        std::string address;
        incarnation_id leader;
        report body;
    };
    std::optional<outgoing_report> take_report(time_point now);
    /// Return the orders to send now. The result of each order must be reported.
    std::vector<grant_order> take_grants(time_point now);
    std::vector<release_order> take_releases(time_point now);

    [[nodiscard]] serve_verdict may_serve(time_point now, const std::string& service,
                                          std::uint32_t key) const;
    /// True if the hold of the key covers `work`, or if a new grant could not make it longer now.
    /// Otherwise `take_grants` renews the hold. A run that starts ends at the latest with the hold.
    /// Precondition: `may_serve` allows to serve the key.
    bool covers_work(time_point now, const std::string& service, std::uint32_t key,
                     milliseconds work);
    /// Length of the last lease that the leader gave.
    [[nodiscard]] milliseconds lease_length() const { return lease_length_; }
    [[nodiscard]] key_owner owner_of(const std::string& service, std::uint32_t key) const;
    /// The segment of the key in the directory of this node; null if there is none. Valid until the
    /// directory changes.
    [[nodiscard]] const segment* segment_of(const std::string& service, std::uint32_t key) const;
    /// The hold of the key by the target on this host; none: it has none.
    [[nodiscard]] std::optional<key_hold> hold_of(const std::string& service,
                                                  std::uint32_t key) const;
    [[nodiscard]] const directory& view() const { return view_; }
    [[nodiscard]] std::uint64_t term() const { return term_; }
    /// How often the leadership of the term was transferred, to the knowledge of this node.
    [[nodiscard]] std::uint64_t transfers() const { return transfers_; }
    [[nodiscard]] incarnation_id leader() const { return leader_; }
    /// When the report with this sequence number was sent, if it is one of the latest.
    [[nodiscard]] std::optional<time_point> report_sent_at(std::uint64_t sequence) const;
    [[nodiscard]] const std::string& leader_address() const { return leader_address_; }
    [[nodiscard]] bool holds_lease(time_point now) const { return now < lease_end_; }
    /// True if `timing::leader_silence` has passed since `leader_heard`.
    [[nodiscard]] bool is_leader_silent(time_point now) const;
    /// Number of live hosts that are preferred as the next leader over this host, not counting the
    /// silent `leader_`.
    [[nodiscard]] std::size_t count_preferred_hosts() const;
    /// When the last reply or other direct message of the leader arrived, or a new leader or term
    /// became known.
    [[nodiscard]] time_point leader_heard() const { return leader_heard_; }
    /// True when a later incarnation of this host is known. The process must then continue under a
    /// new incarnation.
    [[nodiscard]] bool is_superseded() const { return superseded_; }
    /// Keys that the target holds or may hold.
    [[nodiscard]] std::vector<holding> holdings(time_point now) const;
    /// True if this node has no keys left to hand over.
    [[nodiscard]] bool holds_no_keys(time_point now) const { return holdings(now).empty(); }

private:
    struct held_range {
        std::string service;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        fence range_fence;
        fence granted; ///< fence of the last confirmed grant
        /// Highest fence under which an earlier run of the target may have held the keys.
        fence earlier_run;
        std::string handover;
        time_point served_until{}; ///< the target is certain to hold the keys until this time
        time_point needed_until{}; ///< longest work that waits for a renewal ends then
        /// Latest end of the holds that this process granted, see `may_hold_until`.
        time_point granted_until{};
        /// The target may hold the keys under a grant of an earlier process of this host.
        bool inherited = false;
        bool releasing = false;
        std::uint64_t order_id = 0; ///< id of the order in progress; 0: none
        time_point retry_at{};
    };
    struct sent_order {
        time_point sent;
        milliseconds hold{0};
        std::string service;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        fence range_fence;
        time_point granted_before{}; ///< `held_range::granted_until` without this order
    };

    void adopt_leader(time_point now, const leadership_notice& position);
    void extend_lease(time_point end);
    void adopt_directory(time_point now, const directory_change& content);
    void reconcile_held_ranges();
    [[nodiscard]] bool is_released(const segment& item) const;
    [[nodiscard]] bool is_partly_released(const segment& item) const;
    [[nodiscard]] bool had_earlier_run(const segment& item) const;
    void split_held_range(const std::string& service, std::uint32_t start);
    void finish_release(const held_range& item, release_evidence evidence, std::string handover);
    void consider_clearing(time_point now);
    void limit_earlier_holds(milliseconds longest_lease);
    /// The target may hold the keys until this time, under a grant of this process or of an earlier
    /// one. It is certain not to hold them afterwards. The epoch: it never held them.
    [[nodiscard]] time_point may_hold_until(const held_range& item) const;
    /// True if the keys are reported as held: if the leader cannot have assigned them to others.
    [[nodiscard]] bool is_reported(time_point now, const held_range& item) const;
    [[nodiscard]] milliseconds lease_of(const report_reply& reply) const;
    [[nodiscard]] bool has_long_lease() const { return lease_length_ > times_.lease; }
    [[nodiscard]] milliseconds renewal_threshold() const;
    [[nodiscard]] bool is_worth_renewal(time_point now, const held_range& item,
                                        milliseconds hold) const;
    [[nodiscard]] milliseconds grant_hold(time_point now) const;

    timing times_;
    member_identity self_;
    /// Latest possible end of the holds that earlier processes of this host granted.
    time_point earlier_holds_end_;
    std::uint64_t term_ = 0;
    std::uint64_t transfers_ = 0; ///< of the leadership of this term
    incarnation_id leader_;
    std::string leader_address_;
    time_point leader_heard_{};
    directory view_;
    target_status target_;
    std::vector<held_range> held_ranges_;
    std::vector<released_keys> released_;
    std::map<std::uint64_t, sent_order> open_orders_;
    /// Send times of reports without a reply, by sequence number.
    std::map<std::uint64_t, time_point> report_sent_times_;
    /// Sequence numbers and send times of the latest reports.
    std::deque<std::pair<std::uint64_t, time_point>> recent_reports_;
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> loads_;
    std::uint64_t sequence_ = 0;
    std::uint64_t echo_ = 0;
    std::uint64_t next_order_id_ = 1;
    std::uint64_t manifest_version_ = 0;
    std::chrono::microseconds mean_work_{0};
    time_point lease_end_{};
    milliseconds lease_length_; ///< of the last lease that the leader gave
    time_point next_report_{};
    bool report_due_ = true;
    bool leaving_ = false;
    bool superseded_ = false;
    bool target_confirmed_ = true; ///< see `set_target_confirmed`
    /// Term of the last lease. The leader of that term knows the holdings.
    std::uint64_t last_lease_term_ = 0;
    /// The lease that ends at `pending_lease_end_` begins once the directory has this version or a
    /// later one. 0: no lease waits.
    std::uint64_t pending_lease_version_ = 0;
    time_point pending_lease_end_{};
    bool had_any_lease_ = false;     ///< once true, the target holds no keys besides `held_ranges_`
    std::uint64_t clear_term_ = 0;   ///< term in which the leader asked to clear the target
    std::uint64_t cleared_term_ = 0; ///< term in which the target confirmed that it is cleared
    std::uint64_t clear_order_ = 0;  ///< id of the order in progress to release all keys; 0: none
    time_point next_clear_{};        ///< no order to release all keys is sent before this time
};

} // namespace bulrushgw::assignment
