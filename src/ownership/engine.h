#pragma once

/// The ownership protocol of one node incarnation, as a deterministic state
/// machine: messages, timers and store replies in, effects out. It opens no
/// socket, reads no clock and writes no log. The node, the tests and the
/// measurements run the same code.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "ownership/messages.h"
#include "ownership/types.h"
#include "store/types.h"

namespace bulrushgw::ownership {

/// Switches that disable one safety check each. Tests use them to show that the
/// history checker finds the violation; the node never sets them.
struct unsafe_switches {
    bool skip_lease_check = false;
    bool skip_certificate_version = false; ///< accept any certificate for a takeover
    bool skip_previous_version = false;    ///< serve without closing the previous version
    bool skip_seal_permanence = false;     ///< a witness renews after it sealed
};

struct engine_settings {
    lease_times times;
    std::string host;
    std::string zone;
    std::string region;
    std::string address;
    std::string client_address;
    std::vector<std::string> join_peers; ///< inner addresses, used while the store is down
    std::size_t fanout = 8;
    std::size_t broadcast_limit = 32; ///< up to this many peers urgent items go to all
    unsafe_switches unsafe;
};

/// What the target beside this node announced.
struct target_info {
    std::string service;
    std::uint32_t slots = 0;
    bool checks_fences = false;
    auto operator<=>(const target_info&) const = default;
};

struct keyed_service {
    std::string name;
    std::uint32_t ranges = 0; ///< 0 for a balanced service
    /// Upper bound on planned moves of ranges in an hour; moves that follow the
    /// end or the leaving of a member are not counted.
    std::uint32_t moves_per_hour = 60;
    /// Availability zone of pinned ranges, if it has a live member.
    std::map<range_id, std::string> pinned_zones{};
};

/// Load measured by the node itself, for placement weights and overrides.
struct range_load {
    range_id range;
    double requests_per_second = 0;
};

// Effects that the caller carries out, in order.

/// `to` is none when only the address is known (join through a peer).
struct send {
    incarnation_id to;
    std::string address;
    message body;
};

/// The caller passes the reply to `on_store_reply` with the same id.
struct store_call {
    std::uint64_t id = 0;
    store::request request;
};

/// Ranges that became or stopped being served by this node.
struct serving_changed {
    std::string service;
    struct granted {
        range_id range;
        fence token;
    };
    std::vector<granted> grants;
    std::vector<range_id> releases;
};

/// This incarnation ended. The node cancels requests in flight, creates an
/// engine with a new incarnation and announces the target to it again. It comes
/// up to some seconds after the ranges were released, because the engine first
/// proves its end and stays a witness until it is replaced; until then the
/// caller goes on passing messages and ticks.
struct incarnation_ended {
    std::string cause;
};

/// The planned leave is complete; the process may exit.
struct left {};

enum class audit_kind {
    join,
    grant,
    release,
    takeover,
    refusal,
    seal,
    end,
    witness_replaced,
    leave,
    proposal
};

struct audit_event {
    audit_kind kind = audit_kind::grant;
    std::string service;
    std::optional<range_id> range;
    fence token;
    incarnation_id subject; ///< whom the event is about
    std::string cause;
};

using effect =
    std::variant<send, store_call, serving_changed, incarnation_ended, left, audit_event>;

enum class serve_refusal {
    lease_over,     ///< this node's lease does not run
    not_owner,      ///< another member is first for the range
    previous_owner, ///< the previous version is not closed for the range
    not_adopted,    ///< no witness acknowledged the adopted version
    unknown_service,
    leaving,
    too_few_witnesses, ///< fewer than two other hosts are known
};

/// Whether this node may run a request now, and until when at most.
struct serve_decision {
    bool allowed = false;
    serve_refusal refusal = serve_refusal::unknown_service;
    fence token;
    time_point lease_end; ///< valid when allowed
};

/// A node's view of who owns a range. It may be stale.
struct owner_view {
    incarnation_id owner; ///< none when no live member is known
    placement_version version;
    std::size_t position = 0;
    std::string reason; ///< e.g. "first candidate", "2 earlier candidates ended"
};

/// Not thread-safe: all calls come from the node's loop.
class engine {
public:
    /// `seed` makes the incarnation id and all random delays; two engines must
    /// not share one. Throws `error` for lease times that are not consistent.
    engine(engine_settings settings, std::uint64_t seed, time_point now);
    ~engine();
    engine(engine&&) noexcept;
    engine& operator=(engine&&) noexcept;
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Services in force, from the accepted rules.
    void set_services(time_point now, std::vector<keyed_service> services);
    void set_rules(time_point now, rules_stamp stamp);
    void on_target(time_point now, const target_info& target);
    /// The target stopped answering or restarted beyond repair: end this
    /// incarnation. It stops serving at once. Successors may serve from
    /// `idle_from` on, the time from which the target certainly runs nothing of
    /// this incarnation: now when its process is gone, the latest expiry of its
    /// grants when it may be frozen. The default is the end of the lease.
    void end(time_point now, const std::string& cause,
             std::optional<time_point> idle_from = std::nullopt);
    /// Planned stop or drain: hand all ranges over, then emit `left`.
    void leave(time_point now);
    /// Records the end of a switched-off host through the store, on behalf of the
    /// named operator. The outcome is an `end` or `refusal` audit event.
    /// Precondition: the host is switched off, and its lost witness too.
    void assert_ended(time_point now, incarnation_id id, const std::string& operator_name);
    void on_message(time_point now, incarnation_id from, const message& body);
    void on_store_reply(time_point now, std::uint64_t id, const store::reply& reply);
    /// Call at least every `times.tick`.
    void on_tick(time_point now);
    /// Requests in flight for a range; a released range drains until it is 0.
    /// Report a request before its first byte goes to the target, in the same
    /// turn of the loop as `may_serve`: an adoption in between would not drain it.
    void on_in_flight(time_point now, const std::string& service, range_id range,
                      std::size_t count);
    void on_load(time_point now, const std::string& service, std::vector<range_load> loads);

    /// Effects since the last call, in order.
    std::vector<effect> take_effects();

    [[nodiscard]] serve_decision may_serve(time_point now, const std::string& service,
                                           range_id range) const;
    [[nodiscard]] owner_view owner_of(const std::string& service, range_id range) const;
    [[nodiscard]] incarnation_id self() const;
    /// Empty while the lease does not run.
    [[nodiscard]] std::optional<time_point> lease_end(time_point now) const;
    [[nodiscard]] std::vector<member_row> members() const;
    [[nodiscard]] const member_row* find_member(incarnation_id id) const;
    /// Live members of a service: not ended, in its newest placement.
    [[nodiscard]] std::vector<incarnation_id> live_members(const std::string& service) const;
    [[nodiscard]] std::optional<placement> placement_of(const std::string& service) const;
    /// Version of the newest placement, without a copy of it; 0 for none.
    [[nodiscard]] placement_version version_of(const std::string& service) const;
    [[nodiscard]] std::vector<certificate> certificates() const;
    [[nodiscard]] std::size_t certificate_count() const;
    [[nodiscard]] rules_stamp newest_rules() const;
    /// True after the store or a peer answered within the last 30 s.
    [[nodiscard]] bool is_informed(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::ownership
