#pragma once

/// Who owns which range under one policy, with the gaps of each change.

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
    bool load_moves = false; ///< with the shipped choice and budget
    bool hysteresis = true;  ///< false: every second, any gain, no budget
    bool retry_budget = true;
};

/// All policies of one run; the baselines first.
std::vector<policy> all_policies();

/// Times of recovery, from the constants of section 4 of the design. The lease
/// protocol itself is measured elsewhere.
struct recovery_times {
    milliseconds promise{1225};
    milliseconds renewal{200};
    milliseconds tick{20};
    milliseconds spread{50};   ///< at most, uniformly distributed
    milliseconds activate{50}; ///< at most, uniformly distributed
    milliseconds handover{40}; ///< gap of a planned move
    milliseconds holder_seal{100};
    milliseconds store_lease{3000};
    milliseconds store_renewal{1000};
};

struct ownership_figures {
    std::uint64_t member_moves = 0; ///< ranges that changed owner with the members
    std::uint64_t load_moves = 0;
    std::uint64_t member_events = 0;
    double moved_keys = 0;
    double unavailable_key_seconds = 0;
    double worst_key_seconds = 0; ///< sum over the run for the worst key
    double longest_gap_seconds = 0;
};

/// Deterministic. `no_host` stands for "no owner".
class ownership_model {
public:
    static constexpr std::size_t no_host = static_cast<std::size_t>(-1);

    ownership_model(const policy& rules, const deployment& sizes, time_point start);

    /// Hosts that left or were found dead, or that came back.
    void remove(time_point now, std::size_t host, bool planned);
    void add(time_point now, std::size_t host);
    /// The host stopped serving without having been replaced yet.
    void lose(time_point now, std::size_t host);
    /// Ends a planned gap: the new owner serves.
    void activate(time_point now, std::size_t range, std::size_t host, std::uint64_t version);
    /// Moves by load, with requests per second of each range. Call once a second.
    void balance(time_point now, const std::vector<double>& rates);
    /// All ranges stop, or start again, with the leases in the store.
    void suspend(time_point now);
    void resume(time_point now);
    void finish(time_point now);

    struct pending {
        std::size_t range;
        std::size_t host;
        std::uint64_t version;
    };
    /// Planned moves that start a gap now; `activate` ends it.
    std::vector<pending> take_pending();

    [[nodiscard]] std::size_t serving(std::size_t range) const { return serving_[range]; }
    [[nodiscard]] std::size_t assigned(std::size_t range) const { return assigned_[range]; }
    [[nodiscard]] const std::vector<std::size_t>& assignment() const { return assigned_; }
    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] const std::vector<std::size_t>& members() const { return members_; }
    [[nodiscard]] const ownership_figures& figures() const { return figures_; }

private:
    [[nodiscard]] std::vector<std::size_t> wanted();
    void reassign(time_point now, bool by_load);
    [[nodiscard]] std::vector<ownership::member_load>
    member_loads(const std::vector<double>& rates) const;
    [[nodiscard]] std::vector<ownership::range_load>
    own_loads(std::size_t host, const std::vector<double>& rates) const;
    void set_serving(time_point now, std::size_t range, std::size_t host);

    policy rules_;
    const deployment& sizes_;
    std::vector<std::size_t> members_;
    std::map<range_id, incarnation_id> overrides_;
    std::optional<ownership::candidate_table> table_;
    /// What the engine of each host keeps about its own moves.
    struct mover {
        ownership::move_budget budget;
        std::optional<time_point> overloaded_since;
        time_point next_move;
    };
    std::vector<mover> movers_;
    std::vector<std::size_t> assigned_;
    std::vector<std::size_t> serving_;
    std::vector<bool> lost_; ///< by host
    std::vector<std::optional<time_point>> gap_since_;
    std::vector<double> unavailable_;
    std::vector<double> keys_in_range_;
    std::uint64_t version_ = 1;
    bool suspended_ = false;
    std::vector<pending> pending_;
    ownership_figures figures_;
};

/// The text of a key, as it is hashed.
std::string key_text(std::size_t key);

} // namespace bulrushgw::bench
