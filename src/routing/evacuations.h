#pragma once

/// The availability zones that are under evacuation, to the knowledge of this host. Operators order
/// and revoke evacuations by rows of the store. The news reaches a host from the store and from
/// other hosts, late, repeated and in any order. A state is the exact set of orders as of one
/// version of the store, so of two states the one with the higher version is in force. When the
/// store comes back from an older copy, orders may be missing until the operator has written them
/// again; they stay in force meanwhile.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/store_version.h"

namespace bulrushgw::routing {

/// An order for one zone that was given or revoked at a version of the store.
struct evacuation_change {
    std::string zone;
    store_version version;
    bool evacuated = false; ///< false: the order was revoked
    bool operator==(const evacuation_change&) const = default;
};

/// The orders in one answer of the store.
struct evacuation_rows {
    store_version version; ///< of the store
    std::vector<evacuation_change> changes;
    /// False if the answer may lack orders, because a row is unreadable or the answer continues on
    /// another page.
    bool complete = true;
};

/// An order in force, as one host tells another.
struct evacuated_zone {
    std::string name;
    store_version version; ///< of the store when the order was given
    milliseconds age{0};   ///< time since the order was given, to the knowledge of the sender
    bool operator==(const evacuated_zone&) const = default;
};

/// All orders in force as of a version of the store. Version 0: nothing is known.
struct evacuation_snapshot {
    store_version version;
    std::vector<evacuated_zone> zones; ///< sorted by name
    bool operator==(const evacuation_snapshot&) const = default;
};

/// Deterministic; not thread-safe. The methods that take news return the zones whose state changed,
/// sorted by name.
class evacuations {
public:
    using changes = std::vector<evacuation_change>;

    /// Time within which the operator writes its orders again after a return of the store. As long
    /// as the copy from which the store comes back may be old.
    static constexpr milliseconds rewrite_time{10000};

    /// Takes over a read of all orders. It replaces older knowledge, so that an order that was
    /// revoked while the store could not be reached ends. Orders that are new were given at some
    /// time after the store last confirmed this host's knowledge. Orders of earlier eras that are
    /// missing stay in force for `rewrite_time` after this host learned of the era.
    changes on_read(time_point now, const evacuation_rows& rows);
    /// Takes over the orders that changed since the previous answer of the store. The answer
    /// arrived at some time after `heard_since`.
    changes on_feed(time_point now, time_point heard_since, const evacuation_rows& rows);
    /// Takes over the knowledge of another host if it is newer. `heard_since`: as in `on_feed`.
    changes on_peer(time_point heard_since, const evacuation_snapshot& news);

    [[nodiscard]] evacuation_snapshot snapshot(time_point now) const;
    /// Version of the store as of which the orders are known; 0: nothing is known.
    [[nodiscard]] store_version version() const { return version_; }
    [[nodiscard]] bool is_evacuated(const std::string& zone) const { return zones_.contains(zone); }
    [[nodiscard]] std::set<std::string> zones() const;
    [[nodiscard]] bool empty() const { return zones_.empty(); }
    [[nodiscard]] std::size_t size() const { return zones_.size(); }
    /// Earliest time at which the evacuation of the zone was ordered, on this host's clock. None if
    /// the zone is not under evacuation.
    [[nodiscard]] std::optional<time_point> ordered_at(const std::string& zone) const;
    /// Latest time at which the store confirmed the state. The knowledge of a peer may be old.
    [[nodiscard]] std::optional<time_point> confirmed_at() const { return confirmed_at_; }

private:
    struct order {
        store_version version;
        time_point given; ///< see `ordered_at`
    };
    using orders = std::map<std::string, order, std::less<>>;

    changes apply_changes(time_point now, const evacuation_rows& rows, time_point given);
    void note_version(time_point now, store_version version);
    void keep_lost_orders(time_point now, orders& next) const;
    changes replace(orders next);
    [[nodiscard]] time_point earliest_order(time_point now) const;

    orders zones_;
    store_version version_;
    time_point era_began_{}; ///< when this host learned of the era of `version_`
    std::optional<time_point> confirmed_at_;
};

} // namespace bulrushgw::routing
