#include "tests/assignment/balance_trial.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace bulrushgw::assignment::test {

namespace {

constexpr const char* service = "ladder";
constexpr std::uint32_t keys_per_block = 256;
constexpr std::int64_t tick_ms = 50;
/// From a decision of the leader until the members act on it.
constexpr std::int64_t directory_delay_ms = 40;
constexpr std::int64_t message_delay_ms = 2;
/// A request waits for a moving key for at most this time.
constexpr std::int64_t longest_wait_ms = 950;
/// Weight of the latest run in the mean time of a target, see `dispatch::work_estimates`.
constexpr double latest_run_weight = 0.04;
/// Others have room if this share of all slots is free.
constexpr double room_share = 0.1;
/// The queue of a target is as long as its slots divided by this.
constexpr std::size_t queue_divisor = 2;

term_start first_term(time_point now)
{
    term_start result;
    result.term = 1;
    result.claimed = now;
    result.claim_sent = now;
    return result;
}

std::string host_of(std::size_t index)
{
    return "h" + std::to_string(index);
}

incarnation_id node_of(std::size_t index)
{
    return incarnation_id{index + 1};
}

} // namespace

double trial_figures::full_share() const
{
    return requests == 0 ? 0 : static_cast<double>(found_full) / static_cast<double>(requests);
}

double trial_figures::mean_wait_ms() const
{
    return waited == 0 ? 0 : total_wait_ms / static_cast<double>(waited);
}

double trial_figures::mean_move_ms() const
{
    return keys_moved == 0 ? 0 : total_move_ms / static_cast<double>(keys_moved);
}

double trial_figures::moved_per_s() const
{
    return time_s == 0 ? 0 : static_cast<double>(keys_moved) / key_count / time_s;
}

trial_figures& trial_figures::operator+=(const trial_figures& other)
{
    time_s += other.time_s;
    requests += other.requests;
    found_full += other.found_full;
    refused_moving += other.refused_moving;
    waited += other.waited;
    total_wait_ms += other.total_wait_ms;
    longest_wait_ms = std::max(longest_wait_ms, other.longest_wait_ms);
    keys_moved += other.keys_moved;
    total_move_ms += other.total_move_ms;
    longest_move_ms = std::max(longest_move_ms, other.longest_move_ms);
    keys_returned += other.keys_returned;
    moves += other.moves;
    return *this;
}

std::string trial_figures::text() const
{
    std::array<char, 300> line{};
    const double per_mille =
        1000 * static_cast<double>(refused_moving) / static_cast<double>(requests);
    std::snprintf(line.data(), line.size(),
                  "full %5.2f %%, refused while moving %4.1f per mille, wait of requests %4.0f ms, "
                  "wait of keys %4.0f (longest %4.0f) ms, moved keys %4.2f %%/s, returned %4.2f "
                  "%%/s, ranges %4.1f/s",
                  100 * full_share(), per_mille, mean_wait_ms(), mean_move_ms(), longest_move_ms,
                  100 * moved_per_s(),
                  100 * static_cast<double>(keys_returned) / key_count / time_s,
                  static_cast<double>(moves) / time_s);
    return line.data();
}

balance_trial::balance_trial(std::uint64_t seed, trial_settings settings)
    : settings_(settings), random_(seed),
      leader_(timing{}, {node_of(0), host_of(0), host_of(0)}, first_term(now())),
      targets_(settings.targets + settings.joining), owner_(key_count, no_owner),
      last_owner_(key_count, no_owner), moving_since_ms_(key_count, 0),
      previous_owner_(key_count, no_owner)
{
    leader_.set_sharded({service});
    double capacity = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        targets_[i].speed =
            settings_.slowest + (settings_.fastest - settings_.slowest) * fraction();
        targets_[i].ready = i < settings_.targets;
        capacity += targets_[i].ready ? targets_[i].speed * settings_.slots : 0;
    }
    const double usual_run =
        static_cast<double>((settings_.shortest_run + settings_.longest_usual_run).count()) / 2;
    const double mean_run =
        usual_run * (1 + settings_.share_of_long_runs * (settings_.long_run_factor - 1));
    requests_per_ms_ = settings_.utilisation * capacity / mean_run;
    std::lognormal_distribution<double> block_weight(0, settings_.skew);
    double sum = 0;
    double weight = 1;
    for (std::uint32_t key = 0; key < key_count; ++key) {
        if (key % keys_per_block == 0) {
            weight = block_weight(random_);
        }
        sum += weight;
        weight_sums_.push_back(sum);
    }
}

void balance_trial::run(milliseconds time)
{
    for (std::int64_t i = 0; i < time.count(); ++i) {
        step();
    }
}

void balance_trial::join()
{
    for (auto& each : targets_) {
        each.ready = true;
    }
    joined_ms_ = now_ms_;
}

void balance_trial::set_hot_key(std::uint32_t key, double share)
{
    hot_key_ = key;
    hot_share_ = share;
}

trial_figures balance_trial::take_figures()
{
    return std::exchange(figures_, {});
}

std::vector<milliseconds> balance_trial::times_to_half_share() const
{
    std::vector<milliseconds> result;
    for (std::size_t i = settings_.targets; i < targets_.size(); ++i) {
        const auto at = targets_[i].half_share_ms;
        result.emplace_back((at < 0 ? now_ms_ : at) - joined_ms_);
    }
    return result;
}

void balance_trial::step()
{
    ++now_ms_;
    figures_.time_s += 0.001;
    while (!events_.empty() && events_.begin()->first <= now_ms_) {
        const auto action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    if (leader_.take_record(now())) {
        leader_.on_record_result(now(), true);
    }
    const auto report_interval_ms = timing{}.report_interval.count();
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        finish_runs(targets_[i]);
        const auto phase = static_cast<std::int64_t>(i) * report_interval_ms /
                           static_cast<std::int64_t>(targets_.size());
        const bool is_due = (now_ms_ + phase) % report_interval_ms == 0;
        if (targets_[i].ready && (is_due || !targets_[i].released.empty())) {
            send_report(i);
        }
    }
    if (now_ms_ % tick_ms == 0) {
        leader_.on_tick(now());
        publish_directory();
    }
    if (has_traffic_) {
        for (auto arrivals = std::poisson_distribution<int>(requests_per_ms_)(random_);
             arrivals > 0; --arrivals) {
            const auto key = draw_key();
            ++figures_.requests;
            ++targets_[random_() % settings_.targets].counts[key];
            if (owner_[key] == no_owner) {
                ++figures_.waited;
                waiting_.push_back({key, now_ms_});
            }
            else {
                arrive(key);
            }
        }
    }
    serve_waiting();
}

void balance_trial::finish_runs(target& at)
{
    std::erase_if(at.runs, [&](const request_run& run) {
        if (run.end_ms > now_ms_) {
            return false;
        }
        const auto work_ms = static_cast<double>(run.end_ms - run.started_ms);
        at.ended_runs += 1;
        at.mean_work_ms +=
            std::max(latest_run_weight, 1 / at.ended_runs) * (work_ms - at.mean_work_ms);
        return true;
    });
    while (!at.queue.empty() && at.runs.size() < settings_.slots) {
        start_run(at, at.queue.front());
        at.queue.pop_front();
    }
}

void balance_trial::send_report(std::size_t index)
{
    auto& from = targets_[index];
    report body;
    body.term = 1;
    body.sequence = ++from.sequence;
    body.echo = from.echo;
    body.host = body.address = host_of(index);
    body.target = {"t" + std::to_string(index), 1, service, settings_.slots, target_phase::ready};
    body.directory_version = leader_.view().version;
    constexpr double us_per_ms = 1000;
    body.mean_work_us = static_cast<std::uint32_t>(from.mean_work_ms * us_per_ms);
    body.released = std::exchange(from.released, {});
    body.loads.push_back({service, {from.counts.begin(), from.counts.end()}});
    from.counts.clear();
    from.echo = leader_.on_report(now(), node_of(index), body).leader_time_ms;
}

void balance_trial::publish_directory()
{
    leader_.change_since(published_version_);
    if (leader_.view().version != published_version_) {
        published_version_ = leader_.view().version;
        events_.emplace(now_ms_ + directory_delay_ms,
                        [this, segments = leader_.view().segments] { apply_directory(segments); });
    }
}

void balance_trial::apply_directory(const std::vector<segment>& segments)
{
    for (const auto& item : segments) {
        if (item.releasing) {
            begin_release(item);
            continue;
        }
        if (!item.owner) {
            continue;
        }
        const auto next = static_cast<std::uint32_t>(item.owner.value - 1);
        bool is_move = false;
        for (std::uint32_t key = item.first; key <= item.last; ++key) {
            if (owner_[key] == no_owner && last_owner_[key] != no_owner) {
                is_move = true;
                const auto moved_ms = static_cast<double>(now_ms_ - moving_since_ms_[key]);
                figures_.keys_moved += 1;
                figures_.total_move_ms += moved_ms;
                figures_.longest_move_ms = std::max(figures_.longest_move_ms, moved_ms);
                figures_.keys_returned +=
                    previous_owner_[key] == next && last_owner_[key] != next ? 1 : 0;
                previous_owner_[key] = std::exchange(last_owner_[key], no_owner);
            }
            owner_[key] = next;
        }
        figures_.moves += is_move ? 1 : 0;
        releasing_.erase(item.first);
    }
    note_shares();
}

// The target confirms the release once its last run for the keys has ended.
void balance_trial::begin_release(const segment& item)
{
    if (releasing_[item.first] == item.range_fence) {
        return;
    }
    releasing_[item.first] = item.range_fence;
    const auto index = static_cast<std::size_t>(item.owner.value - 1);
    std::int64_t end_ms = now_ms_ + message_delay_ms;
    for (const auto& run : targets_[index].runs) {
        if (item.first <= run.key && run.key <= item.last) {
            end_ms = std::max(end_ms, run.end_ms);
        }
    }
    for (std::uint32_t key = item.first; key <= item.last; ++key) {
        last_owner_[key] = std::exchange(owner_[key], no_owner);
        moving_since_ms_[key] = now_ms_;
    }
    std::erase_if(targets_[index].queue, [&](std::uint32_t key) {
        const bool is_moving = item.first <= key && key <= item.last;
        if (is_moving) {
            ++figures_.waited;
            waiting_.push_back({key, now_ms_});
        }
        return is_moving;
    });
    events_.emplace(end_ms + message_delay_ms, [this, index, item] {
        targets_[index].released.push_back({item.service, item.first, item.last, item.range_fence,
                                            "token", release_evidence::confirmed});
    });
}

void balance_trial::serve_waiting()
{
    std::erase_if(waiting_, [&](const waiting_request& each) {
        const auto waited_ms = now_ms_ - each.since_ms;
        const bool is_owned = owner_[each.key] != no_owner;
        if (!is_owned && waited_ms < longest_wait_ms) {
            return false;
        }
        figures_.total_wait_ms += static_cast<double>(waited_ms);
        figures_.longest_wait_ms =
            std::max(figures_.longest_wait_ms, static_cast<double>(waited_ms));
        if (is_owned) {
            arrive(each.key);
        }
        else {
            ++figures_.refused_moving;
        }
        return true;
    });
}

void balance_trial::arrive(std::uint32_t key)
{
    auto& at = targets_[owner_[key]];
    if (at.runs.size() < settings_.slots) {
        start_run(at, key);
        return;
    }
    if (at.queue.size() < settings_.slots / queue_divisor) {
        at.queue.push_back(key);
        return;
    }
    std::size_t free = 0;
    std::size_t all = 0;
    for (const auto& each : targets_) {
        free += each.ready ? settings_.slots - each.runs.size() : 0;
        all += each.ready ? settings_.slots : 0;
    }
    const bool others_have_room =
        static_cast<double>(free) >= room_share * static_cast<double>(all);
    figures_.found_full += others_have_room ? 1 : 0;
}

void balance_trial::start_run(target& at, std::uint32_t key)
{
    const auto range =
        static_cast<double>((settings_.longest_usual_run - settings_.shortest_run).count());
    double work_ms = static_cast<double>(settings_.shortest_run.count()) + range * fraction();
    if (fraction() < settings_.share_of_long_runs) {
        work_ms *= settings_.long_run_factor;
    }
    const auto run_ms = std::min(static_cast<std::int64_t>(work_ms / at.speed),
                                 static_cast<std::int64_t>(settings_.longest_run.count()));
    at.runs.push_back({key, now_ms_, now_ms_ + run_ms});
}

void balance_trial::note_shares()
{
    if (joined_ms_ < 0) {
        return;
    }
    std::vector<double> loads(targets_.size(), 0);
    double total_load = 0;
    double total_speed = 0;
    for (std::uint32_t key = 0; key < key_count; ++key) {
        const double load = weight_sums_[key] - (key == 0 ? 0 : weight_sums_[key - 1]);
        total_load += load;
        if (owner_[key] != no_owner) {
            loads[owner_[key]] += load;
        }
    }
    for (const auto& each : targets_) {
        total_speed += each.speed;
    }
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        const double share = total_load * targets_[i].speed / total_speed;
        if (targets_[i].half_share_ms < 0 && loads[i] >= share / 2) {
            targets_[i].half_share_ms = now_ms_;
        }
    }
}

std::uint32_t balance_trial::draw_key()
{
    if (hot_share_ > 0 && fraction() < hot_share_) {
        return hot_key_;
    }
    const auto found = std::upper_bound(weight_sums_.begin(), weight_sums_.end(),
                                        fraction() * weight_sums_.back());
    return static_cast<std::uint32_t>(
        std::min<std::ptrdiff_t>(found - weight_sums_.begin(), key_count - 1));
}

} // namespace bulrushgw::assignment::test
