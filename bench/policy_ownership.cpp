#include "bench/policy_ownership.h"

#include <algorithm>
#include <utility>

#include "common/hash.h"

namespace bulrushgw::bench {

namespace {

constexpr const char* service_name = "keyed";

// The same values as in src/ownership.
constexpr std::chrono::seconds settle_time{10};
constexpr std::chrono::seconds move_pause{15};
constexpr double moves_per_hour = 60;

/// Chooses a move for the baseline without hysteresis. The destination is the member with the least
/// load. The range is the largest one with which this member stays below the current load of
/// `self`.
std::optional<ownership::range_move>
choose_move_without_hysteresis(incarnation_id self,
                               const std::vector<ownership::member_load>& loads,
                               const std::vector<ownership::range_load>& own)
{
    const auto less = [](const auto& left, const auto& right) { return left.rate < right.rate; };
    const auto least = std::min_element(loads.begin(), loads.end(), less);
    const auto own_load = std::find_if(loads.begin(), loads.end(),
                                       [self](const auto& load) { return load.member == self; });
    const ownership::range_load* best = nullptr;
    for (const auto& candidate : own) {
        const double rate = candidate.requests_per_second;
        if (rate > 0 && least->rate + rate < own_load->rate &&
            (best == nullptr || rate > best->requests_per_second)) {
            best = &candidate;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return ownership::range_move{best->range, least->member};
}

double seconds(boot_clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

std::string key_text(std::size_t key)
{
    return "key-" + std::to_string(key);
}

std::vector<policy> all_policies()
{
    using enum assignment_kind;
    using enum recovery_kind;
    return {
        {"static", fixed, none, false, true, true},
        {"modulo", modulo, quorum, false, true, true},
        {"store-leases", rendezvous, store, true, true, true},
        {"no-load-moves", rendezvous, quorum, false, true, true},
        {"no-hysteresis", rendezvous, quorum, true, false, true},
        {"no-retry-budget", rendezvous, quorum, true, true, false},
        {"shipped", rendezvous, quorum, true, true, true},
    };
}

ownership_model::ownership_model(const policy& selected_policy, const deployment& sizes,
                                 time_point start)
    : policy_(selected_policy), sizes_(sizes), move_states_(sizes.hosts()),
      assigned_(sizes.ranges, no_host), serving_(sizes.ranges, no_host),
      lost_(sizes.hosts(), false), gap_since_(sizes.ranges), unavailable_(sizes.ranges, 0),
      keys_in_range_(sizes.ranges, 0)
{
    for (std::size_t key = 0; key < sizes.keys; ++key) {
        keys_in_range_[range_of(key_text(key), sizes.ranges).value] += 1;
    }
    for (std::size_t host = 0; host < sizes.keyed_hosts; ++host) {
        members_.push_back(host);
    }
    assigned_ = compute_owners();
    for (std::size_t range = 0; range < sizes.ranges; ++range) {
        set_serving(start, range, assigned_[range]);
    }
}

std::vector<std::size_t> ownership_model::compute_owners()
{
    std::vector<std::size_t> owners(sizes_.ranges, no_host);
    if (policy_.assignment == assignment_kind::rendezvous) {
        ownership::placement_list list;
        for (const auto host : members_) {
            list.members.push_back({incarnation_id{host + 1}, sizes_.slots});
        }
        std::erase_if(overrides_, [&list](const auto& entry) {
            return std::none_of(list.members.begin(), list.members.end(), [&](const auto& member) {
                return member.incarnation == entry.second;
            });
        });
        list.overrides = overrides_;
        table_.emplace(std::move(list), service_name);
    }
    for (std::size_t range = 0; range < owners.size(); ++range) {
        const range_id id{static_cast<std::uint32_t>(range)};
        if (policy_.assignment == assignment_kind::fixed) {
            owners[range] = range % sizes_.keyed_hosts;
        }
        else if (members_.empty()) {
            continue;
        }
        else if (policy_.assignment == assignment_kind::modulo) {
            owners[range] = members_[range % members_.size()];
        }
        else {
            owners[range] = members_[table_->of(id).front()];
        }
    }
    return owners;
}

void ownership_model::set_serving(time_point now, std::size_t range, std::size_t host)
{
    serving_[range] = host;
    auto& since = gap_since_[range];
    if (host == no_host) {
        since = since.value_or(now);
    }
    else if (since) {
        const double gap = seconds(now - *since);
        unavailable_[range] += gap;
        figures_.longest_gap_seconds = std::max(figures_.longest_gap_seconds, gap);
        since.reset();
    }
}

void ownership_model::reassign(time_point now, bool by_load)
{
    const auto next = compute_owners();
    ++version_;
    for (std::size_t range = 0; range < next.size(); ++range) {
        if (next[range] == assigned_[range]) {
            continue;
        }
        const auto before = assigned_[range];
        assigned_[range] = next[range];
        figures_.moved_keys += keys_in_range_[range];
        ++(by_load ? figures_.load_moves : figures_.member_moves);
        const bool from_lost_host = before == no_host || lost_[before];
        if (suspended_) {
            continue;
        }
        if (from_lost_host || next[range] == no_host) {
            set_serving(now, range, next[range]);
            continue;
        }
        set_serving(now, range, no_host);
        pending_.push_back({range, next[range], version_});
    }
}

void ownership_model::stop_serving(time_point now, std::size_t host)
{
    lost_[host] = true;
    for (std::size_t range = 0; range < serving_.size(); ++range) {
        if (serving_[range] == host) {
            set_serving(now, range, no_host);
        }
    }
}

void ownership_model::remove(time_point now, std::size_t host, bool planned)
{
    if (!planned) {
        stop_serving(now, host);
    }
    if (std::erase(members_, host) == 0) {
        return;
    }
    ++figures_.member_events;
    reassign(now, false);
    if (policy_.assignment == assignment_kind::fixed) {
        stop_serving(now, host);
    }
    lost_[host] = true;
}

void ownership_model::add(time_point now, std::size_t host)
{
    lost_[host] = false;
    if (std::find(members_.begin(), members_.end(), host) == members_.end()) {
        members_.push_back(host);
        std::sort(members_.begin(), members_.end());
        ++figures_.member_events;
        reassign(now, false);
    }
    // The host serves those of its ranges again that no other host has taken over.
    for (std::size_t range = 0; range < serving_.size() && !suspended_; ++range) {
        if (assigned_[range] == host && serving_[range] == no_host &&
            std::none_of(pending_.begin(), pending_.end(),
                         [range](const pending_move& entry) { return entry.range == range; })) {
            set_serving(now, range, host);
        }
    }
}

void ownership_model::activate(time_point now, std::size_t range, std::size_t host,
                               std::uint64_t version)
{
    const bool current = assigned_[range] == host && version <= version_;
    if (current && !lost_[host] && !suspended_) {
        set_serving(now, range, host);
    }
}

std::vector<ownership::member_load>
ownership_model::member_loads(const std::vector<double>& rates) const
{
    std::vector<ownership::member_load> loads;
    for (const auto host : members_) {
        double rate = 0;
        for (std::size_t range = 0; range < rates.size(); ++range) {
            rate += assigned_[range] == host ? rates[range] : 0;
        }
        loads.push_back({incarnation_id{host + 1}, rate, sizes_.slots});
    }
    return loads;
}

std::vector<ownership::range_load>
ownership_model::own_loads(std::size_t host, const std::vector<double>& rates) const
{
    std::vector<ownership::range_load> loads;
    for (std::size_t range = 0; range < rates.size(); ++range) {
        if (serving_[range] == host) {
            loads.push_back({range_id{static_cast<std::uint32_t>(range)}, rates[range]});
        }
    }
    return loads;
}

void ownership_model::move_by_load(time_point now, const std::vector<double>& rates)
{
    if (!policy_.load_moves || suspended_ || members_.empty()) {
        return;
    }
    const double share = moves_per_hour / static_cast<double>(members_.size());
    for (const auto host : members_) {
        auto& move_state = move_states_[host];
        if (lost_[host] || now < move_state.next_move) {
            continue;
        }
        const incarnation_id self{host + 1};
        const auto loads = member_loads(rates);
        const auto own = own_loads(host, rates);
        const auto move = policy_.hysteresis ? ownership::choose_move(self, loads, own)
                                             : choose_move_without_hysteresis(self, loads, own);
        if (!move) {
            move_state.overloaded_since.reset();
            continue;
        }
        move_state.overloaded_since = move_state.overloaded_since.value_or(now);
        if (policy_.hysteresis) {
            if (now - *move_state.overloaded_since < settle_time ||
                !move_state.budget.try_spend(now, 1, share)) {
                continue;
            }
            move_state.overloaded_since.reset();
            move_state.next_move = now + move_pause;
        }
        overrides_[move->range] = move->to;
        reassign(now, true);
    }
}

void ownership_model::suspend(time_point now)
{
    suspended_ = true;
    for (std::size_t range = 0; range < serving_.size(); ++range) {
        set_serving(now, range, no_host);
    }
}

void ownership_model::resume(time_point now)
{
    suspended_ = false;
    for (std::size_t range = 0; range < serving_.size(); ++range) {
        if (assigned_[range] != no_host && !lost_[assigned_[range]]) {
            set_serving(now, range, assigned_[range]);
        }
    }
}

void ownership_model::finish(time_point now)
{
    for (std::size_t range = 0; range < serving_.size(); ++range) {
        if (gap_since_[range]) {
            // Ends the unavailable period. The figures do not depend on which host serves.
            set_serving(now, range, 0);
        }
        figures_.unavailable_key_seconds += unavailable_[range] * keys_in_range_[range];
        figures_.worst_key_seconds = std::max(figures_.worst_key_seconds, unavailable_[range]);
    }
}

std::vector<ownership_model::pending_move> ownership_model::take_pending_moves()
{
    return std::exchange(pending_, {});
}

} // namespace bulrushgw::bench
