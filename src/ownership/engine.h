#pragma once

/// The ownership protocol of one node incarnation, as a deterministic state machine: its inputs are
/// messages, ticks and store replies, its outputs are effects (actions for the caller to carry
/// out). It opens no socket, reads no clock and writes no log, so that the node, the tests and the
/// benchmarks run the same code. A seal is a permanent refusal to renew the lease of an
/// incarnation, a certificate proves that the lease ended permanently, and an adoption announces
/// the placement version that a member has adopted.

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

/// Each switch disables one safety check. Tests use them to show that the history checker detects
/// the resulting violation; the node never sets them.
struct unsafe_switches {
    bool skip_lease_check = false;         ///< serve without a running lease
    bool skip_certificate_version = false; ///< take over with a certificate of any version
    bool skip_previous_version = false;    ///< serve before the previous version is closed
    bool skip_seal_permanence = false;     ///< a witness acknowledges renewals after its seal
};

struct engine_settings {
    lease_times times;
    std::string host;
    std::string zone;
    std::string region;
    std::string address;
    std::string client_address;
    /// Addresses (inner protocol) of peers that the node contacts at its start, and while it knows
    /// no other member. With these peers, a node can start while the store is down.
    std::vector<std::string> join_peers;
    std::size_t fanout = 8; ///< random peers that receive each new gossip item
    /// With at most this many peers, all of them receive each new gossip item.
    std::size_t broadcast_limit = 32;
    unsafe_switches unsafe;
};

/// Announcement of the target on this node's host.
struct target_info {
    std::string service;
    std::uint32_t slots = 0;
    bool checks_fences = false;
    auto operator<=>(const target_info&) const = default;
};

/// A service of the accepted rules, keyed or balanced.
struct service_config {
    std::string name;
    std::uint32_t ranges = 0; ///< 0 for a balanced service
    /// Upper bound on the range moves per hour that are made to balance load. Moves caused by the
    /// end or the leave of a member are not counted.
    std::uint32_t moves_per_hour = 60;
    /// Availability zone of each pinned range. A pin has no effect while its zone has no live
    /// member.
    std::map<range_id, std::string> pinned_zones{};
};

/// Request rate of a range as counted by this node, used to choose load moves.
struct range_load {
    range_id range;
    double requests_per_second = 0;
};

// Effects, which the caller carries out in order.

/// `to` is 0 if only the address is known, as for the peers in `engine_settings::join_peers`.
struct send {
    incarnation_id to;
    std::string address;
    message body;
};

/// The caller passes the reply to `engine::on_store_reply` with the same id.
struct store_call {
    std::uint64_t id = 0;
    store::request request;
};

/// Ranges that this node starts (`grants`) or stops (`releases`) serving.
struct serving_changed {
    std::string service;
    struct granted {
        range_id range;
        fence token;
    };
    std::vector<granted> grants;
    std::vector<range_id> releases;
};

/// This incarnation ended. The node cancels requests in flight, creates an engine with a new
/// incarnation and announces the target to the new engine. The effect may follow the release of the
/// ranges by some seconds, or by more than 30 s on a node that receives no message from a peer.
/// During this time, the engine first waits for a proof of its end, and then remains a witness
/// until the holders that it watches have replaced it. The caller must continue to pass messages
/// and ticks until this effect.
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
    incarnation_id subject; ///< the member that the event is about
    std::string cause;
};

using effect =
    std::variant<send, store_call, serving_changed, incarnation_ended, left, audit_event>;

enum class serve_refusal {
    lease_over,        ///< this node has no valid lease
    not_owner,         ///< not the first live candidate, or the target has another service
    previous_owner,    ///< the owner in the previous version may still serve the range
    not_adopted,       ///< no witness has acknowledged this node's first adoption yet
    unknown_service,   ///< neither the rules nor the target name the service
    leaving,           ///< this node is leaving and no longer takes requests for the service
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
    incarnation_id owner; ///< 0 when no live member is known
    placement_version version;
    std::size_t position = 0; ///< of the owner in the candidate list
    std::string reason;       ///< e.g. "first candidate", "2 earlier candidates ended"
};

/// Not thread-safe: all calls come from the node's event loop.
class engine {
public:
    /// The incarnation id and all random delays are derived from `seed`, so two engines must not
    /// use the same seed. Throws `error` if the lease times are inconsistent.
    engine(engine_settings settings, std::uint64_t seed, time_point now);
    ~engine();
    engine(engine&&) noexcept;
    engine& operator=(engine&&) noexcept;
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;

    /// Replaces the services, which come from the accepted rules.
    void set_services(time_point now, std::vector<service_config> services);
    /// Announces the newest rules version of this node to its peers.
    void set_rules(time_point now, rules_stamp stamp);
    /// The target announced itself or changed its announcement.
    void on_target(time_point now, const target_info& target);
    /// Ends this incarnation, e.g. because the target stopped answering or restarted. This node
    /// stops serving at once, and successors may serve from `idle_from` on. From that time on, it
    /// must be certain that the target runs no request of this incarnation. Pass `now` if the
    /// target process has exited, or the latest expiry of the target's grants if the target may be
    /// frozen. The default is the end of the lease.
    void end(time_point now, const std::string& cause,
             std::optional<time_point> idle_from = std::nullopt);
    /// Starts a planned stop or drain: hands over all ranges, then emits `left`.
    void leave(time_point now);
    /// Records the end of a member in the store, on behalf of the named operator. The result is an
    /// `end` or a `refusal` audit event. Precondition: the hosts of the member and of each of its
    /// lost witnesses are switched off.
    void assert_ended(time_point now, incarnation_id id, const std::string& operator_name);
    void on_message(time_point now, incarnation_id from, const message& body);
    void on_store_reply(time_point now, std::uint64_t id, const store::reply& reply);
    /// Call at least every `times.tick`.
    void on_tick(time_point now);
    /// Sets the number of requests in flight for a range. A released range drains until the number
    /// is 0. Call before the first byte of a request goes to the target, in the same event loop
    /// iteration as `may_serve`. If this node adopted a new placement version between the two
    /// calls, it would not announce the range as draining, and the next owner would not wait for
    /// the request.
    void on_in_flight(time_point now, const std::string& service, range_id range,
                      std::size_t count);
    /// Sets the request rates of this node's ranges.
    void on_load(time_point now, const std::string& service, std::vector<range_load> loads);

    /// Returns the effects since the last call, in order.
    std::vector<effect> take_effects();

    [[nodiscard]] serve_decision may_serve(time_point now, const std::string& service,
                                           range_id range) const;
    [[nodiscard]] owner_view owner_of(const std::string& service, range_id range) const;
    [[nodiscard]] incarnation_id self() const;
    /// None without a valid lease.
    [[nodiscard]] std::optional<time_point> lease_end(time_point now) const;
    [[nodiscard]] std::vector<member_row> members() const;
    [[nodiscard]] const member_row* find_member(incarnation_id id) const;
    /// Members of the newest placement of a service that have neither ended nor begun to leave.
    [[nodiscard]] std::vector<incarnation_id> live_members(const std::string& service) const;
    [[nodiscard]] std::optional<placement> placement_of(const std::string& service) const;
    /// Version of the newest placement, 0 if none is known. Cheaper than `placement_of`, which
    /// copies the record.
    [[nodiscard]] placement_version version_of(const std::string& service) const;
    [[nodiscard]] std::vector<certificate> certificates() const;
    [[nodiscard]] std::size_t certificate_count() const;
    [[nodiscard]] rules_stamp newest_rules() const;
    /// True if the store answered, or a message from a peer arrived, within the last 30 s.
    [[nodiscard]] bool has_recent_contact(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bulrushgw::ownership
