#include <algorithm>
#include <string>
#include <utility>

#include "tests/sidecar/simulated_cluster.h"

namespace bulrushgw::sidecar::test {

namespace {

constexpr std::int64_t us_per_ms = 1000;
constexpr const char* service = "ladder";
/// Run times of requests, from the figures of docs/design/new-deployments.md section 3.
constexpr std::int64_t shortest_run_ms = 180;
constexpr std::int64_t longest_usual_run_ms = 480;
constexpr milliseconds expected_run{350};
constexpr double share_of_long_runs = 0.02;
constexpr double min_long_run_factor = 5;
constexpr double max_long_run_factor = 7;
constexpr std::size_t max_violations = 5;

} // namespace

void simulated_cluster::add_violation(std::string what)
{
    if (violations_.size() < max_violations) {
        violations_.push_back(std::move(what));
    }
}

void simulated_cluster::change_timeout(milliseconds timeout)
{
    ++manifest_version_;
    manifest_timeout_ = timeout;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        schedule_at_node(i, hosts_[i].process,
                         static_cast<std::int64_t>(random_fraction() * 500) * us_per_ms,
                         [this, i] { set_manifest(i); });
    }
}

void simulated_cluster::set_manifest(std::size_t host_index)
{
    std::map<std::string, milliseconds> longest_work;
    if (manifest_timeout_.count() > 0) {
        longest_work[service] = manifest_timeout_;
    }
    hosts_[host_index].node->set_manifest(manifest_version_, {service}, longest_work);
}

// Without requests no random number is drawn, so that the faults of a seed stay.
void simulated_cluster::run_requests()
{
    if (settings_.request_interval.count() == 0) {
        return;
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        finish_runs(i);
        const auto now_ms = now_us_ / us_per_ms + static_cast<std::int64_t>(i);
        if (now_ms % settings_.request_interval.count() == 0 && hosts_[i].node != nullptr &&
            now_us_ >= hosts_[i].frozen_until_us) {
            start_run(i);
        }
    }
}

// Starts a run for a random key that the target holds, if the node may let the target serve it.
void simulated_cluster::start_run(std::size_t host_index)
{
    host& each = hosts_[host_index];
    auto& local_target = each.local_target;
    if (!local_target.alive || local_target.holds.empty()) {
        return;
    }
    each.node->set_mean_work(expected_run);
    const hold& held = local_target.holds[random_() % local_target.holds.size()];
    const auto key =
        held.first + static_cast<std::uint32_t>(random_() % (held.last - held.first + 1));
    each.node->on_keyed_request(service, key);
    if (held.until_us <= now_us_ ||
        each.node->member().may_serve(clock_of(host_index), service, key) !=
            assignment::serve_verdict::serve) {
        return;
    }
    // Like the gate, which then waits for the renewal. The call may send it.
    const std::int64_t hold_end_us = held.until_us;
    if (!each.node->covers_work(service, key, expected_run)) {
        return;
    }
    const double usual_ms =
        shortest_run_ms +
        random_fraction() * static_cast<double>(longest_usual_run_ms - shortest_run_ms);
    const bool is_long = random_fraction() < share_of_long_runs;
    const double factor =
        is_long
            ? min_long_run_factor + random_fraction() * (max_long_run_factor - min_long_run_factor)
            : 1;
    const auto run_us = std::min(static_cast<std::int64_t>(usual_ms * factor) * us_per_ms,
                                 settings_.route_timeout.count() * us_per_ms);
    local_target.runs.push_back({key, now_us_, now_us_ + run_us, hold_end_us});
    ++run_counts_.started;
}

void simulated_cluster::finish_runs(std::size_t host_index)
{
    host& each = hosts_[host_index];
    std::erase_if(each.local_target.runs, [&](const key_run& run) {
        const bool is_cut = run.hold_end_us < run.end_us && run.hold_end_us <= now_us_;
        if (is_cut && each.node != nullptr) {
            ++run_counts_.cut;
            trace(host_index, "run for key " + std::to_string(run.key) + " cut after " +
                                  std::to_string((run.hold_end_us - run.started_us) / us_per_ms) +
                                  " ms");
        }
        return is_cut || run.end_us <= now_us_;
    });
}

// Returns the time until no run for these keys is left.
std::int64_t simulated_cluster::time_of_runs(const target& from, std::uint32_t first,
                                             std::uint32_t last) const
{
    std::int64_t result = 0;
    for (const key_run& run : from.runs) {
        if (first <= run.key && run.key <= last) {
            result = std::max(result, std::min(run.end_us, run.hold_end_us) - now_us_);
        }
    }
    return result;
}

// No target may hold a key for which another one runs a request.
void simulated_cluster::check_runs()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        for (const key_run& run : hosts_[i].local_target.runs) {
            if (std::min(run.end_us, run.hold_end_us) <= now_us_) {
                continue;
            }
            for (std::size_t j = 0; j < hosts_.size(); ++j) {
                const auto& holds = hosts_[j].local_target.holds;
                if (j != i && std::any_of(holds.begin(), holds.end(), [&](const hold& other) {
                        return other.first <= run.key && run.key <= other.last;
                    })) {
                    add_violation("host " + std::to_string(j) + " holds key " +
                                  std::to_string(run.key) + " while host " + std::to_string(i) +
                                  " runs a request for it at " +
                                  std::to_string(now_us_ / us_per_ms) + " ms");
                }
            }
        }
    }
}

} // namespace bulrushgw::sidecar::test
