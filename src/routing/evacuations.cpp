#include "routing/evacuations.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::routing {

namespace {

/// Age of an order that a process finds at its first read of the store. The order may have been in
/// force for any time, so the age is longer than every period that begins with an order.
constexpr milliseconds unknown_age{3'600'000};

} // namespace

time_point evacuations::earliest_order(time_point now) const
{
    return confirmed_at_.value_or(now - unknown_age);
}

// An order that is known already keeps its time. That includes an order whose row is written again
// while it is in force, which does not restart the time.
evacuations::changes evacuations::replace(orders next)
{
    changes result;
    for (auto& [zone, item] : next) {
        const auto known = zones_.find(zone);
        if (known == zones_.end()) {
            result.push_back({zone, item.version, true});
        }
        else {
            item.given = known->second.given;
        }
    }
    for (const auto& [zone, item] : zones_) {
        if (!next.contains(zone)) {
            result.push_back({zone, version_, false});
        }
    }
    std::sort(result.begin(), result.end(),
              [](const auto& a, const auto& b) { return a.zone < b.zone; });
    zones_ = std::move(next);
    return result;
}

void evacuations::note_version(time_point now, store_version version)
{
    if (version.era() > version_.era()) {
        era_began_ = now;
    }
    version_ = std::max(version_, version);
}

// Adds the orders that the store may have lost when it came back from an older copy.
void evacuations::keep_lost_orders(time_point now, orders& next) const
{
    if (now - era_began_ >= rewrite_time) {
        return;
    }
    for (const auto& [zone, item] : zones_) {
        if (item.version.era() < version_.era()) {
            next.emplace(zone, item);
        }
    }
}

// Rows of one answer belong together: the version of a removed row may be known only as an upper
// bound, so it must not hide another row of the same answer.
evacuations::changes evacuations::apply_changes(time_point now, const evacuation_rows& rows,
                                                time_point given)
{
    orders next = zones_;
    store_version latest = version_;
    for (const auto& change : rows.changes) {
        if (change.version <= version_) {
            continue;
        }
        latest = std::max(latest, change.version);
        if (!change.evacuated) {
            next.erase(change.zone);
        }
        else {
            next[change.zone] = {change.version, given};
        }
    }
    note_version(now, latest);
    if (now - era_began_ >= rewrite_time) {
        std::erase_if(next,
                      [&](const auto& item) { return item.second.version.era() < version_.era(); });
    }
    confirmed_at_ = now;
    return replace(std::move(next));
}

evacuations::changes evacuations::on_feed(time_point now, time_point heard_since,
                                          const evacuation_rows& rows)
{
    return apply_changes(now, rows, heard_since);
}

evacuations::changes evacuations::on_read(time_point now, const evacuation_rows& rows)
{
    if (!rows.complete) {
        return apply_changes(now, rows, earliest_order(now));
    }
    if (rows.version < version_) {
        return {};
    }
    orders next;
    for (const auto& change : rows.changes) {
        if (change.evacuated) {
            next[change.zone] = {change.version, earliest_order(now)};
        }
    }
    note_version(now, rows.version);
    keep_lost_orders(now, next);
    confirmed_at_ = now;
    return replace(std::move(next));
}

evacuations::changes evacuations::on_peer(time_point heard_since, const evacuation_snapshot& news)
{
    if (news.version <= version_) {
        return {};
    }
    orders next;
    for (const auto& zone : news.zones) {
        next[zone.name] = {zone.version,
                           heard_since - std::clamp(zone.age, milliseconds{0}, unknown_age)};
    }
    note_version(heard_since, news.version);
    keep_lost_orders(heard_since, next);
    return replace(std::move(next));
}

evacuation_snapshot evacuations::snapshot(time_point now) const
{
    evacuation_snapshot result;
    result.version = version_;
    for (const auto& [zone, item] : zones_) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.given);
        result.zones.push_back({zone, item.version, std::max(milliseconds{0}, age)});
    }
    return result;
}

std::set<std::string> evacuations::zones() const
{
    std::set<std::string> result;
    for (const auto& [zone, item] : zones_) {
        result.insert(zone);
    }
    return result;
}

std::optional<time_point> evacuations::ordered_at(const std::string& zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? std::nullopt : std::optional{found->second.given};
}

} // namespace bulrushgw::routing
