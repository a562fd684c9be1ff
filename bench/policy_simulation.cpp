#include "bench/policy_simulation.h"

#include <algorithm>
#include <cmath>

#include "bench/policy_hosts.h"
#include "common/hash.h"

namespace bulrushgw::bench {

namespace {

constexpr time_point origin{std::chrono::hours{1}};
constexpr double zipf_exponent = 0.9;
constexpr microseconds same_zone{250};
constexpr milliseconds tick_interval{20};
constexpr std::uint64_t workload_seed_mask = 0x9e3779b97f4a7c15ULL;

} // namespace

simulation::simulation(const policy& selected_policy, const deployment& sizes,
                       const simulation_settings& settings)
    : policy_(selected_policy), sizes_(sizes), settings_(settings), now_(origin),
      end_(origin + settings.length), random_(settings.seed),
      workload_(settings.seed ^ workload_seed_mask),
      key_generator_(sizes.keys, zipf_exponent, settings.seed),
      owners_(selected_policy, sizes, origin), known_assignment_(owners_.assignment()),
      known_up_(sizes.hosts(), true), range_counts_(sizes.ranges, 0), range_rates_(sizes.ranges, 0)
{
    for (std::size_t key = 0; key < sizes.keys; ++key) {
        key_ranges_.push_back(range_of(key_text(key), sizes.ranges).value);
    }
    for (std::size_t i = 0; i < sizes.hosts(); ++i) {
        hosts_.push_back(std::make_unique<host>());
        start_host(i);
        // The caches of hosts that are up from the start are warm.
        hosts_[i]->admission_queue.emplace(request::admission_settings{.slots = sizes.slots}, now_,
                                           false);
        hosts_[i]->started = now_ - std::chrono::minutes{1};
    }
}

simulation::~simulation() = default;

void simulation::schedule_after(boot_clock::duration delay, std::function<void()> action)
{
    events_.push({now_ + delay, next_order_++, std::move(action)});
}

double simulation::uniform()
{
    return static_cast<double>(random_() >> 11) / 9007199254740992.0;
}

boot_clock::duration simulation::random_duration(boot_clock::duration maximum)
{
    return boot_clock::duration{
        static_cast<std::int64_t>(uniform() * static_cast<double>(maximum.count()))};
}

boot_clock::duration simulation::network_delay(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return boot_clock::duration{0};
    }
    return sizes_.zone_of(from) == sizes_.zone_of(to) ? same_zone : sizes_.between_zones;
}

incarnation_id simulation::incarnation_of(std::size_t host) const
{
    return {host + 1 + hosts_[host]->generation * 1000};
}

bool simulation::is_current(std::size_t host, std::uint64_t generation) const
{
    return hosts_[host]->up && hosts_[host]->generation == generation;
}

simulation_figures simulation::run()
{
    const auto length = std::chrono::duration_cast<milliseconds>(settings_.length);
    for (const auto& change : disturbances_of(sizes_, length)) {
        schedule_after(change.at, [this, change] { apply_disturbance(change); });
    }
    const auto phase_length = length / static_cast<std::int64_t>(sizes_.phases.size());
    for (std::size_t i = 1; i < sizes_.phases.size(); ++i) {
        schedule_after(phase_length * static_cast<std::int64_t>(i), [this] {
            ++phase_;
            key_generator_.next_phase();
        });
    }
    schedule_after(tick_interval, [this] { tick(); });
    schedule_after(std::chrono::minutes{1}, [this] { record_imbalance(); });
    schedule_arrival();
    while (!events_.empty()) {
        // The event is copied because its action may add events to the queue.
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    return collect();
}

void simulation::schedule_arrival()
{
    double mean_service = 0;
    double keyed_share = 0;
    for (const auto& kind : sizes_.kinds) {
        if (kind.keyed) {
            mean_service += kind.share * std::chrono::duration<double>(kind.service_time).count();
            keyed_share += kind.share;
        }
    }
    const double capacity =
        static_cast<double>(sizes_.keyed_hosts * sizes_.slots) * keyed_share / mean_service;
    const double rate = capacity / keyed_share * sizes_.phases[phase_] * settings_.load_factor;
    const double uniform_sample = static_cast<double>(workload_() >> 11) / 9007199254740992.0;
    const double wait = -std::log(1.0 - uniform_sample) / rate;
    const auto delay =
        std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(wait));
    if (now_ + delay < end_) {
        schedule_after(delay, [this] { arrive(); });
    }
}

void simulation::arrive()
{
    client_request arrived;
    arrived.sent = now_;
    double uniform_sample = static_cast<double>(workload_() >> 11) / 9007199254740992.0;
    while (arrived.kind + 1 < sizes_.kinds.size() &&
           uniform_sample >= sizes_.kinds[arrived.kind].share) {
        uniform_sample -= sizes_.kinds[arrived.kind].share;
        ++arrived.kind;
    }
    arrived.range = key_ranges_[key_generator_.draw(workload_)];
    const std::uint64_t first = workload_() % sizes_.hosts();
    const auto request = requests_.size();
    requests_.push_back(arrived);
    ++figures_.requests;
    figures_.worth += sizes_.kinds[arrived.kind].worth;
    // Clients know from their connections which hosts are up.
    for (std::size_t i = 0; i < sizes_.hosts(); ++i) {
        const std::size_t entry = (first + i) % sizes_.hosts();
        if (hosts_[entry]->up) {
            const auto generation = hosts_[entry]->generation;
            schedule_after(sizes_.to_clients,
                           [=, this] { submit_forward(request, entry, generation); });
            break;
        }
    }
    schedule_arrival();
}

void simulation::submit_forward(std::size_t request, std::size_t entry, std::uint64_t generation)
{
    if (!is_current(entry, generation)) {
        return; // the request gets no result and is counted as lost with the entry node
    }
    const auto& kind = sizes_.kinds[requests_[request].kind];
    auto& node = *hosts_[entry];
    request::forward_request forward;
    forward.service = kind.keyed ? "keyed" : "balanced";
    forward.kind = kind.keyed ? rules::service_kind::keyed : rules::service_kind::balanced;
    forward.range = range_id{requests_[request].range};
    forward.request_id = std::to_string(request);
    forward.repeat = kind.repeat;
    forward.deadline = now_ + (kind.keyed ? sizes_.keyed_deadline : sizes_.balanced_deadline);
    node.budgets[forward.service].on_request(now_);
    range_counts_[forward.range.value] += kind.keyed ? 1 : 0;
    const auto id = node.tracker->submit(now_, std::move(forward));
    node.request_indexes.emplace(id, request);
    process_entry_effects(entry);
}

void simulation::apply_disturbance(const disturbance& change)
{
    auto& node = *hosts_[change.host];
    switch (change.kind) {
    case disturbance_kind::leave:
        node.draining = true;
        if (sizes_.is_keyed(change.host)) {
            owners_.remove(now_, change.host, true);
            start_moves();
        }
        known_up_[change.host] = false;
        members_changed_ = true;
        // The process ends after 5 s, so that the requests in flight can finish.
        schedule_after(std::chrono::seconds{5}, [this, host = change.host] { crash(host, false); });
        return;
    case disturbance_kind::crash:
        crash(change.host, false);
        return;
    case disturbance_kind::vanish:
        crash(change.host, true);
        return;
    case disturbance_kind::come_back:
        come_back(change.host);
        return;
    case disturbance_kind::freeze:
        node.frozen = true;
        if (sizes_.is_keyed(change.host)) {
            owners_.stop_serving(now_, change.host);
        }
        return;
    case disturbance_kind::unfreeze:
        node.frozen = false;
        come_back(change.host);
        return;
    case disturbance_kind::misreport:
    case disturbance_kind::report_truth:
        node.misreports = change.kind == disturbance_kind::misreport;
        return;
    case disturbance_kind::store_down:
    case disturbance_kind::store_up:
        set_store_up(change.kind == disturbance_kind::store_up);
        return;
    }
}

void simulation::crash(std::size_t host, bool silent)
{
    auto& node = *hosts_[host];
    const auto old_incarnation = incarnation_of(host);
    const auto generation = node.generation;
    const bool was_member = !node.draining;
    node.up = false;
    node.silent = silent;
    members_changed_ = true;
    if (was_member && sizes_.is_keyed(host)) {
        owners_.stop_serving(now_, host);
    }
    if (!silent) {
        for (std::size_t peer = 0; peer < hosts_.size(); ++peer) {
            schedule_after(network_delay(host, peer), [this, peer, old_incarnation] {
                if (hosts_[peer]->up) {
                    hosts_[peer]->tracker->on_disconnect(now_, old_incarnation);
                    process_entry_effects(peer);
                }
            });
        }
    }
    if (!was_member) {
        return;
    }
    boot_clock::duration delay = times_.promise - random_duration(times_.renewal) + times_.tick +
                                 random_duration(times_.spread) + random_duration(times_.activate);
    if (policy_.recovery == recovery_kind::store && sizes_.is_keyed(host)) {
        delay = times_.store_lease - random_duration(times_.store_renewal) +
                random_duration(times_.store_renewal) + random_duration(times_.activate);
    }
    schedule_after(delay, [this, host, generation] { on_loss_detected(host, generation); });
}

void simulation::on_loss_detected(std::size_t host, std::uint64_t generation)
{
    if (policy_.recovery == recovery_kind::store && sizes_.is_keyed(host) && !store_up_) {
        schedule_after(milliseconds{500},
                       [this, host, generation] { on_loss_detected(host, generation); });
        return;
    }
    known_up_[host] = false;
    const incarnation_id old_incarnation{host + 1 + generation * 1000};
    if (sizes_.is_keyed(host)) {
        owners_.remove(now_, host, false);
        start_moves();
    }
    for (std::size_t peer = 0; peer < hosts_.size(); ++peer) {
        if (hosts_[peer]->up) {
            hosts_[peer]->tracker->on_disconnect(now_, old_incarnation);
            process_entry_effects(peer);
        }
    }
}

/// The node of a silent target cancels its requests in flight and ends its incarnation with a
/// holder seal.
void simulation::end_silent_incarnation(std::size_t host)
{
    auto& node = *hosts_[host];
    std::vector<request::ticket> running;
    for (const auto& [id, work] : node.jobs) {
        running.push_back(id);
    }
    std::sort(running.begin(), running.end());
    for (const auto id : running) {
        abort(host, node.generation, id, request::reason::connection_lost);
    }
    members_changed_ = true;
    const auto seal = times_.holder_seal + random_duration(times_.activate);
    schedule_after(seal, [this, host] {
        known_up_[host] = false;
        if (sizes_.is_keyed(host)) {
            owners_.remove(now_, host, false);
            start_moves();
        }
    });
}

void simulation::add_counters(const host& node)
{
    const auto& counters = node.tracker->counters();
    figures_.sent += counters.sent;
    figures_.retried += counters.retried;
    figures_.not_owner += counters.not_owner;
}

void simulation::start_host(std::size_t host)
{
    auto& node = *hosts_[host];
    if (node.tracker) {
        add_counters(node); // adds the counters of the incarnation that ended
    }
    node.up = true;
    node.draining = false;
    node.started = now_;
    node.connections = 0;
    node.request_indexes.clear();
    node.jobs.clear();
    node.budgets.clear();
    node.admission_queue.emplace(request::admission_settings{.slots = sizes_.slots}, now_);
    request::forward_settings forwards;
    if (!policy_.retry_budget) {
        forwards.retry.max_attempts = 1000;
    }
    node.tracker.emplace(
        forwards,
        [this, host](const request::forward_request& wanted,
                     const std::vector<incarnation_id>& avoid) {
            return choose(host, wanted, avoid);
        },
        [this, host](time_point now, const std::string& service) {
            return try_spend_retry(now, host, service);
        });
}

void simulation::come_back(std::size_t host)
{
    auto& node = *hosts_[host];
    if (!node.up) {
        ++node.generation;
        start_host(host);
    }
    else {
        // The node is up; only its target was frozen.
        node.admission_queue.emplace(request::admission_settings{.slots = sizes_.slots}, now_);
        node.started = now_;
        node.connections = 0;
    }
    schedule_after(milliseconds{500},
                   [this, host, generation = node.generation] { join(host, generation); });
}

void simulation::join(std::size_t host, std::uint64_t generation)
{
    if (!is_current(host, generation)) {
        return;
    }
    if (!store_up_) {
        schedule_after(std::chrono::seconds{1},
                       [this, host, generation] { join(host, generation); });
        return;
    }
    members_changed_ = true;
    known_up_[host] = true;
    if (sizes_.is_keyed(host)) {
        owners_.add(now_, host);
        start_moves();
    }
}

void simulation::set_store_up(bool up)
{
    store_up_ = up;
    if (policy_.recovery != recovery_kind::store) {
        return;
    }
    if (!up) {
        schedule_after(times_.store_lease - random_duration(times_.store_renewal), [this] {
            if (!store_up_) {
                owners_.suspend(now_);
            }
        });
        return;
    }
    schedule_after(random_duration(times_.store_renewal), [this] {
        owners_.resume(now_);
        publish_assignment();
    });
}

void simulation::start_moves()
{
    for (const auto& move : owners_.take_pending_moves()) {
        schedule_after(times_.handover, [this, move] {
            owners_.activate(now_, move.range, move.host, move.version);
        });
    }
    publish_assignment();
}

void simulation::publish_assignment()
{
    // All entry nodes learn of a change after a random delay of at most the spreading time.
    schedule_after(random_duration(times_.spread),
                   [this, assigned = owners_.assignment(), version = owners_.version()] {
                       if (version < known_version_) {
                           return;
                       }
                       known_assignment_ = assigned;
                       known_version_ = version;
                       for (std::size_t entry = 0; entry < hosts_.size(); ++entry) {
                           if (hosts_[entry]->up) {
                               hosts_[entry]->tracker->on_placement(now_, "keyed");
                               process_entry_effects(entry);
                           }
                       }
                   });
}

void simulation::tick()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        auto& node = *hosts_[i];
        if (!node.up) {
            continue;
        }
        node.tracker->on_tick(now_);
        process_entry_effects(i);
        constexpr std::uint64_t ticks_per_probe = 10;
        if (++node.ticks % ticks_per_probe == 0) {
            node.admission_queue->on_probe_sent(now_);
            if (!node.frozen) {
                node.admission_queue->on_target_answer(now_);
            }
        }
        node.admission_queue->on_tick(now_);
        process_owner_effects(i);
    }
    constexpr std::uint64_t ticks_per_second = 50;
    if (++ticks_ % ticks_per_second == 0) {
        report_loads();
        each_second();
    }
    if (now_ < end_ + std::chrono::seconds{5}) {
        schedule_after(tick_interval, [this] { tick(); });
    }
}

void simulation::each_second()
{
    constexpr double smoothing_factor = 0.9;
    for (std::size_t range = 0; range < range_rates_.size(); ++range) {
        range_rates_[range] =
            smoothing_factor * range_rates_[range] + (1 - smoothing_factor) * range_counts_[range];
        range_counts_[range] = 0;
    }
    if (!store_up_ || now_ >= end_) {
        return;
    }
    const auto before = owners_.figures().load_moves;
    owners_.move_by_load(now_, range_rates_);
    if (owners_.figures().load_moves != before) {
        start_moves();
    }
}

void simulation::report_loads()
{
    constexpr std::uint32_t misreported_load = 50;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        auto& node = *hosts_[i];
        if (node.up && !node.frozen) {
            const auto actual_load = static_cast<std::uint32_t>(node.admission_queue->in_flight());
            node.admission_queue->on_report(
                now_, {.in_flight = node.misreports ? misreported_load : actual_load});
            process_owner_effects(i);
        }
    }
}

void simulation::record_imbalance()
{
    double maximum = 0;
    double sum = 0;
    for (const auto member : owners_.members()) {
        maximum = std::max(maximum, hosts_[member]->busy_seconds);
        sum += hosts_[member]->busy_seconds;
    }
    if (!members_changed_ && sum > 0) {
        imbalances_.push_back(maximum * static_cast<double>(owners_.members().size()) / sum);
    }
    members_changed_ = false;
    for (auto& node : hosts_) {
        node->busy_seconds = 0;
    }
    if (now_ + std::chrono::minutes{1} <= end_) {
        schedule_after(std::chrono::minutes{1}, [this] { record_imbalance(); });
    }
}

double simulation_figures::quantile(double fraction) const
{
    if (latency_ms.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(latency_ms.size()));
    return latency_ms[std::min(index, latency_ms.size() - 1)];
}

simulation_figures simulation::collect()
{
    owners_.finish(end_);
    figures_.ownership = owners_.figures();
    figures_.hours = std::chrono::duration<double, std::ratio<3600>>(settings_.length).count();
    figures_.keys = sizes_.keys;
    for (const auto& request : requests_) {
        const auto& kind = sizes_.kinds[request.kind];
        const bool once = kind.repeat == rules::repeat_kind::once;
        figures_.lost_with_entry += request.ended ? 0 : 1;
        figures_.ran_twice += once && request.runs > 1 ? 1 : 0;
    }
    for (const auto& node : hosts_) {
        add_counters(*node);
    }
    double sum = 0;
    for (const auto value : imbalances_) {
        sum += value;
        figures_.imbalance_worst = std::max(figures_.imbalance_worst, value);
    }
    figures_.imbalance_mean = sum / static_cast<double>(imbalances_.size());
    if (imbalances_.empty()) {
        figures_.imbalance_worst = figures_.imbalance_mean = std::nan("");
    }
    std::sort(figures_.latency_ms.begin(), figures_.latency_ms.end());
    return std::move(figures_);
}

} // namespace bulrushgw::bench
