#pragma once

/// Model of range ownership under one policy, including the unavailable time at each change.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bench/policy_scenario.h"
#include "ownership/candidates.h"
#include "ownership/load_moves.h"

namespace bulrushgw::bench {

enum class assignment_kind { rendezvous, modulo, fixed };
enum class recovery_kind { quorum, store, none };

struct policy {
    std::string name;
    assignment_kind assignment = assignment_kind::rendezvous;
    recovery_kind recovery = recovery_kind::quorum;
    bool load_moves = false; ///< moves ranges away from overloaded hosts
    /// If true, load moves use the shipped choice, pauses and budget. If false, they may happen
    /// every second, for any gain and without a budget.
    bool hysteresis = true;
    bool retry_budget = true;
};

/// All policies that are compared. The baselines come first, the shipped policy last.
std::vector<policy> all_policies();

/// Recovery times, from the constants in section 4 of the design. The lease protocol itself is not
/// simulated here; ownership_main.cpp measures it.
struct recovery_times {
    milliseconds promise{1225};
    milliseconds renewal{200};
    milliseconds tick{20};
    /// A change reaches the other nodes after a uniformly distributed time of at most this value.
    milliseconds spread{50};
    /// A new owner starts to serve after a uniformly distributed time of at most this value.
    milliseconds activate{50};
    milliseconds handover{40}; ///< unavailable time of a planned move
    milliseconds holder_seal{100};
    milliseconds store_lease{3000};
    milliseconds store_renewal{1000};
};

struct ownership_figures {
    std::uint64_t member_moves = 0; ///< ranges that changed owner because a member joined or left
    std::uint64_t load_moves = 0;
    std::uint64_t member_events = 0;
    double moved_keys = 0;
    double unavailable_key_seconds = 0;
    double worst_key_seconds = 0; ///< unavailable time of the worst key over the run
    double longest_gap_seconds = 0;
};

/// Deterministic. `no_host` in place of a host means "no owner".
class ownership_model {
public:
    static constexpr std::size_t no_host = static_cast<std::size_t>(-1);

    ownership_model(const policy& selected_policy, const deployment& sizes, time_point start);

    /// Removes a host. `planned` is true if the host leaves, false if it is lost.
    void remove(time_point now, std::size_t host, bool planned);
    /// Adds a host that returns.
    void add(time_point now, std::size_t host);
    /// The host stopped serving, but its ranges have no new owner yet.
    void stop_serving(time_point now, std::size_t host);
    /// Completes a planned move: the new owner starts to serve.
    void activate(time_point now, std::size_t range, std::size_t host, std::uint64_t version);
    /// Moves ranges by load; `rates` has the requests per second of each range. Must be called once
    /// a second.
    void move_by_load(time_point now, const std::vector<double>& rates);
    /// For policies that keep the leases in the store: `suspend` stops serving all ranges when the
    /// leases expire during an outage of the store. `resume` restarts serving when the leases are
    /// renewed after the outage.
    void suspend(time_point now);
    void resume(time_point now);
    /// Ends the open unavailable periods and completes the figures. Must be called last.
    void finish(time_point now);

    struct pending_move {
        std::size_t range;
        std::size_t host;
        std::uint64_t version;
    };
    /// Returns the planned moves started since the last call. Their ranges are unavailable until
    /// `activate` is called.
    std::vector<pending_move> take_pending_moves();

    [[nodiscard]] std::size_t serving(std::size_t range) const { return serving_[range]; }
    [[nodiscard]] std::size_t assigned(std::size_t range) const { return assigned_[range]; }
    [[nodiscard]] const std::vector<std::size_t>& assignment() const { return assigned_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const std::vector<std::size_t>& members() const { return members_; }
    [[nodiscard]] const ownership_figures& figures() const { return figures_; }

private:
    [[nodiscard]] std::vector<std::size_t> compute_owners();
    void reassign(time_point now, bool by_load);
    [[nodiscard]] std::vector<ownership::member_load>
    member_loads(const std::vector<double>& rates) const;
    [[nodiscard]] std::vector<ownership::range_load>
    own_loads(std::size_t host, const std::vector<double>& rates) const;
    void set_serving(time_point now, std::size_t range, std::size_t host);

    policy policy_;
    const deployment& sizes_;
    std::vector<std::size_t> members_;
    std::map<range_id, incarnation_id> overrides_;
    std::optional<ownership::candidate_table> table_;
    /// State that the engine of each host keeps for its own load moves.
    struct move_state {
        ownership::move_budget budget;
        std::optional<time_point> overloaded_since;
        time_point next_move;
    };
    std::vector<move_state> move_states_;
    std::vector<std::size_t> assigned_;
    std::vector<std::size_t> serving_;
    std::vector<bool> lost_; ///< by host
    std::vector<std::optional<time_point>> gap_since_;
    std::vector<double> unavailable_;
    std::vector<double> keys_in_range_;
    std::uint64_t version_ = 1;
    bool suspended_ = false;
    std::vector<pending_move> pending_;
    ownership_figures figures_;
};

/// The text of a key, which is hashed to find its range.
std::string key_text(std::size_t key);

} // namespace bulrushgw::bench
