#include "tests/sidecar/simulated_cluster.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::sidecar::test {

namespace {

constexpr std::int64_t us_per_ms = 1000;
constexpr std::size_t max_violations = 5;
/// Bound on the time from the order of an evacuation until no request reaches a target of the zone.
constexpr std::int64_t evacuation_bound_us = 5000 * us_per_ms;
/// Time in which a node that reaches the store again has read it.
constexpr std::int64_t store_retry_us = 800 * us_per_ms;
constexpr std::int64_t store_answer_us = 4 * us_per_ms;

} // namespace

std::string zone_of_host(const cluster_settings& settings, std::size_t host)
{
    return "zone-" + std::to_string(host % settings.zones);
}

void simulated_cluster::set_evacuated(const std::string& zone, bool evacuated)
{
    change_store([](store_content& content) { ++content.version; });
    const auto version = version_in_era(store_era_, store_.version);
    if (!evacuated) {
        evacuated_zones_.erase(zone);
    }
    else if (!evacuated_zones_.contains(zone)) {
        evacuated_zones_[zone] = {version, now_us_};
    }
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i].in_contact && hosts_[i].has_read && reaches_store(i)) {
            const routing::evacuation_rows rows{version, {{zone, version, evacuated}}, true};
            schedule_at_node(i, hosts_[i].process, store_answer_us,
                             [this, i, rows] { hosts_[i].node->on_evacuation_rows(rows, false); });
        }
    }
}

void simulated_cluster::set_watch_silent(std::size_t host_index, bool silent)
{
    hosts_[host_index].watch_silent = silent;
}

bool simulated_cluster::reaches_store(std::size_t host_index) const
{
    const host& each = hosts_[host_index];
    return each.node != nullptr && store_answers() && !each.isolated_from_store &&
           !each.watch_silent;
}

void simulated_cluster::read_evacuations(std::size_t host_index)
{
    routing::evacuation_rows rows{version_in_era(store_era_, store_.version), {}, true};
    for (const auto& [zone, order] : evacuated_zones_) {
        rows.changes.push_back({zone, order.first, true});
    }
    accept_era(host_index, store_era_);
    hosts_[host_index].has_read = true;
    hosts_[host_index].node->on_evacuation_rows(rows, true);
}

// A node that reaches the store reads all orders, and then hears of each change.
void simulated_cluster::update_contacts()
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        host& each = hosts_[i];
        const bool reaches = reaches_store(i);
        if (std::exchange(each.in_contact, reaches) == reaches) {
            continue;
        }
        each.contact_since_us = now_us_;
        each.has_read = false;
        if (reaches) {
            const auto delay_us = each.process_reads++ == 0 ? store_answer_us : store_retry_us;
            schedule_at_node(i, each.process, delay_us, [this, i] {
                if (reaches_store(i)) {
                    read_evacuations(i);
                }
            });
        }
    }
}

bool simulated_cluster::admits_requests(std::size_t host_index) const
{
    const host& each = hosts_[host_index];
    if (each.node == nullptr || !each.local_target.alive) {
        return false;
    }
    const auto ordered = each.node->evacuations().ordered_at(zone_of_host(settings_, host_index));
    return !ordered || clock_of(host_index) < *ordered + assignment::timing{}.evacuation_grace;
}

std::size_t simulated_cluster::evacuated_holders() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto& holds = hosts_[i].local_target.holds;
        const bool holds_keys = std::any_of(
            holds.begin(), holds.end(), [&](const hold& item) { return item.until_us > now_us_; });
        count += evacuated_zones_.contains(zone_of_host(settings_, i)) && holds_keys ? 1 : 0;
    }
    return count;
}

void simulated_cluster::check_evacuations()
{
    update_contacts();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const host& each = hosts_[i];
        const auto order = evacuated_zones_.find(zone_of_host(settings_, i));
        if (order == evacuated_zones_.end() || !each.in_contact || now_us_ < each.frozen_until_us ||
            now_us_ - each.contact_since_us < store_retry_us * 2 ||
            now_us_ - order->second.second < evacuation_bound_us) {
            continue;
        }
        if (admits_requests(i) && violations_.size() < max_violations) {
            violations_.push_back("host " + std::to_string(i) +
                                  " admits requests to an evacuated target at " +
                                  std::to_string(now_us_ / us_per_ms) + " ms");
        }
    }
}

} // namespace bulrushgw::sidecar::test
