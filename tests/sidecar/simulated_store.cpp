#include "tests/sidecar/simulated_cluster.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::sidecar::test {

namespace {

constexpr std::int64_t us_per_ms = 1000;
constexpr std::int64_t store_timeout_us = 1000 * us_per_ms;

} // namespace

void simulated_cluster::change_store(const std::function<void(store_content&)>& change)
{
    earlier_contents_.emplace_back(now_us_, store_);
    while (earlier_contents_.front().first < now_us_ - max_copy_age.count() * us_per_ms) {
        earlier_contents_.pop_front();
    }
    change(store_);
}

void simulated_cluster::restore_older_copy(milliseconds age, milliseconds away)
{
    if (std::exchange(store_away_, true)) {
        return;
    }
    const std::int64_t copied_us = now_us_ - std::min(age, max_copy_age).count() * us_per_ms;
    store_content copy = store_;
    for (const auto& [until_us, content] : earlier_contents_) {
        if (until_us > copied_us) {
            copy = content;
            break;
        }
    }
    schedule(now_us_ + away.count() * us_per_ms, [this, copy] {
        replace_store(copy);
        store_away_ = false;
    });
}

void simulated_cluster::replace_store(const store_content& copy)
{
    change_store([&](store_content& content) { content = copy; });
    ++store_era_;
    if (settings_.trace) {
        settings_.trace(std::to_string(now_us_ / us_per_ms) +
                        " ms store: back from a copy of version " + std::to_string(copy.version));
    }
    for (auto& [zone, order] : evacuated_zones_) {
        order.first = version_in_era(store_era_, ++store_.version);
    }
}

std::uint64_t simulated_cluster::store_content::record_version(std::uint64_t era) const
{
    const auto found = records.find(era);
    return found == records.end() ? 0 : found->second.version;
}

std::string simulated_cluster::replace_record(std::string value)
{
    std::string previous = store_.records[store_era_].value;
    change_store([&](store_content& content) {
        content.records[store_era_] = {++content.version, std::move(value)};
    });
    return previous;
}

bool simulated_cluster::accept_era(std::size_t host_index, std::uint64_t era)
{
    if (!settings_.first_store_era) {
        return true;
    }
    host& each = hosts_[host_index];
    each.store_era = std::max(each.store_era, era);
    each.node->on_store_era(each.store_era);
    return each.store_era == era;
}

leader_rows simulated_cluster::read_rows() const
{
    leader_rows rows;
    rows.version = version_in_era(store_era_, store_.record_version(store_era_));
    for (const auto& [era, row] : store_.records) {
        if (era == store_era_) {
            rows.value = row.value;
        }
        else {
            rows.earlier.push_back({era, version_in_era(store_era_, row.version), row.value});
        }
    }
    return rows;
}

bool simulated_cluster::apply_write(const leader_write& content)
{
    const auto era = content.expected.era();
    bool holds = store_.record_version(era) == content.expected.number();
    for (const auto& row : content.earlier) {
        holds = holds && store_.record_version(row.record_era) == row.version.number();
    }
    if (holds) {
        change_store([&](store_content& store) {
            for (const auto& row : content.earlier) {
                store.records.erase(row.record_era);
            }
            store.records[era] = {++store.version, content.value};
        });
    }
    return holds;
}

void simulated_cluster::read(std::size_t from,
                             std::function<void(store_outcome, const leader_rows&)> done)
{
    const auto process = hosts_[from].process;
    if (!store_answers() || hosts_[from].isolated_from_store) {
        schedule_at_node(from, process, store_timeout_us,
                         [done = std::move(done)] { done(store_outcome::unknown, {}); });
        return;
    }
    schedule_at_node(from, process, 4 * us_per_ms,
                     [this, from, rows = read_rows(), done = std::move(done)] {
                         const bool is_latest = accept_era(from, rows.version.era());
                         done(is_latest ? store_outcome::done : store_outcome::unknown, rows);
                     });
}

void simulated_cluster::write(std::size_t from, const leader_write& content,
                              std::function<void(store_outcome, store_version)> done)
{
    store_writers_.insert(from);
    const auto process = hosts_[from].process;
    if (!store_answers() || hosts_[from].isolated_from_store) {
        schedule_at_node(from, process, store_timeout_us,
                         [done = std::move(done)] { done(store_outcome::unknown, {}); });
        return;
    }
    if (random_fraction() < lost_writes_) {
        const auto late_us = static_cast<std::int64_t>(random_fraction() * 6000) * us_per_ms;
        schedule(now_us_ + (random_fraction() < 0.5 ? 0 : late_us),
                 [this, content] { apply_write(content); });
        schedule_at_node(from, process, store_timeout_us,
                         [done = std::move(done)] { done(store_outcome::unknown, {}); });
        return;
    }
    const bool written = apply_write(content);
    const auto version = version_in_era(store_era_, store_.version);
    const bool in_expected_era = content.expected.era() == store_era_;
    schedule_at_node(from, process, 12 * us_per_ms,
                     [this, from, written, version, in_expected_era, done = std::move(done)] {
                         const bool is_latest = accept_era(from, version.era());
                         const auto outcome = !is_latest || (written && !in_expected_era)
                                                  ? store_outcome::unknown
                                              : written ? store_outcome::done
                                                        : store_outcome::conflict;
                         done(outcome, version);
                     });
}

} // namespace bulrushgw::sidecar::test
