#pragma once

/// Connects the key assignment (package `assignment`) with the other nodes, the
/// store and the target: reports, elections, the leader's record, grants.

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
        /// The member's directory is another one.
        std::function<void()> on_directory;
        /// Reads and writes of the leader's record, see `store_session`.
        std::function<void(std::function<void(store_outcome, const stored_row&)>)> read_record;
        std::function<void(std::uint64_t expected, const std::string& value,
                           std::function<void(store_outcome, std::uint64_t version)>)>
            write_record;
        /// The peer at the address should have answered, see `peer_check::suspect`.
        std::function<void(const std::string& address, const std::string& cause)> suspect;
        /// A peer knows this version of the manifest.
        std::function<void(const std::string& address, std::uint64_t version)> on_peer_manifest;
        std::function<void(std::string_view event, const journal::fields&)> log;
    };

    /// All hooks must be set. `seed` makes the jitter of claims.
    coordination(assignment::timing times, assignment::member_identity self, std::uint64_t seed,
                 hooks with);

    /// Messages of other nodes. Each may send messages and orders through the hooks.
    void on_report(const wire::frame& frame, const assignment::report& body);
    void on_reply(const wire::frame& frame, const assignment::report_reply& reply);
    void on_hint(const assignment::leader_hint& hint);
    void on_update(const wire::frame& frame, const assignment::directory_update& update);
    void on_confirm_request(const assignment::confirm_request& request);
    void on_lead_request(const assignment::lead_request& request);
    /// What is known of the target on this host.
    void on_target(const assignment::target_status& target);
    /// Answers to the orders that the hooks got, each exactly once.
    void on_grant_result(std::uint64_t id, assignment::order_outcome outcome);
    void on_release_result(std::uint64_t id, assignment::order_outcome outcome,
                           const std::string& handover);
    /// A request for the key arrived at this node; it counts as load of the key, also
    /// while nobody serves it, so that a new leader soon knows the loads.
    void on_keyed_request(const std::string& service, std::uint32_t key)
    {
        member_.count_request(service, key);
    }
    /// `sharded`: the services of that manifest that are divided by key.
    void set_manifest(std::uint64_t version, std::set<std::string> sharded);
    void set_mean_work(std::chrono::microseconds mean) { member_.set_mean_work(mean); }
    /// Planned stop: the keys of this node's target move away, and another node leads.
    void leave();
    /// Call at least every `tick_interval`.
    void on_tick();

    static constexpr milliseconds tick_interval{50};

    [[nodiscard]] const assignment::member& member() const { return member_; }
    [[nodiscard]] incarnation_id self() const { return self_.node; }
    [[nodiscard]] bool is_leader() const { return leader_ != nullptr; }

private:
    void pump();
    void send_report();
    void lead(time_point now);
    void log_summary(time_point now);
    void push_directory();
    void write_record(time_point now, const assignment::leader_record& record);
    void on_record_written(time_point sent, std::uint64_t beat, store_outcome outcome,
                           std::uint64_t version);
    void seek_leader(time_point now);
    [[nodiscard]] milliseconds claim_delay() const;
    void read_record();
    void on_record_read(store_outcome outcome, const stored_row& row);
    void consider_claim(time_point now, const assignment::leader_record* record);
    void claim(time_point now, const assignment::leader_record* record);
    void on_claimed(time_point sent, const assignment::leader_record& claimed);
    void step_down(const char* cause);
    void hand_over(time_point now);

    assignment::timing times_;
    assignment::member_identity self_;
    std::mt19937_64 random_;
    hooks hooks_;
    assignment::member member_;
    std::unique_ptr<assignment::leader> leader_;
    std::set<std::string> sharded_;
    std::uint64_t manifest_version_ = 0;
    std::uint64_t row_version_ = 0; ///< of the leader's record, as last seen
    bool row_known_ = false;
    std::optional<assignment::leader_record> record_;
    time_point record_changed_{};
    time_point last_read_{};
    time_point next_read_{};
    std::optional<time_point> first_claim_; ///< when to claim the first term of all
    bool reading_ = false;
    bool claiming_ = false;
    std::optional<assignment::leader_record> open_claim_; ///< outcome not known
    time_point open_claim_sent_{};
    std::uint64_t open_beat_ = 0; ///< of a record write whose outcome is not known
    time_point open_beat_sent_{};
    std::uint64_t asked_term_ = 0; ///< whose leader asked this node to follow it
    bool leaving_ = false;
    std::vector<incarnation_id> asked_; ///< nodes that this stopping leader asked
    time_point next_ask_{};
    std::map<incarnation_id, time_point> first_report_; ///< of members that heard no reply yet
    std::uint64_t seen_term_ = 0;
    std::uint64_t seen_version_ = 0;
    bool pumping_ = false;
    time_point next_summary_{};
};

} // namespace bulrushgw::sidecar
