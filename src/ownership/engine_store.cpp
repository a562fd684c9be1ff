#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"

namespace bulrushgw::ownership {

namespace {

/// A call without a reply for this long is treated as lost.
constexpr std::chrono::seconds call_timeout{10};
/// A node reads all rows at an interval of this duration times the number of known nodes, but of at
/// least `min_read_interval`. All nodes together thus make at most about 5 readings per second. The
/// total size of the readings therefore does not grow with the square of the number of nodes.
constexpr milliseconds read_interval_per_node{200};
constexpr milliseconds min_read_interval{5000};
/// Rows of ended members that are in no open version stay in the store for this long, so that every
/// node reads the end.
constexpr std::chrono::seconds ended_row_age{30};
/// A new node delays its first write by a random time of at most this duration times the number of
/// known nodes. If all nodes start at the same time, this spreads their writes to a mean of 250 per
/// second.
constexpr milliseconds first_write_delay_per_node{4};
constexpr std::size_t max_erased_rows = 16;
constexpr std::size_t max_reported_bad_rows = 64;

} // namespace

std::string engine::state::next_writer()
{
    return to_string(self) + "-" + std::to_string(++last_writer);
}

bool engine::state::call(time_point now, store::request request, continuation done)
{
    const bool is_write = store::is_write(request);
    if (!schedule.try_spend(now, is_write)) {
        return false;
    }
    const std::uint64_t id = ++last_call;
    calls.emplace(id, pending_call{std::move(done), now, is_write});
    effects.emplace_back(store_call{id, std::move(request)});
    return true;
}

void engine::state::on_store_reply(time_point now, std::uint64_t id, const store::reply& reply)
{
    const auto found = calls.find(id);
    if (found == calls.end() || stopped) {
        return;
    }
    const continuation done = std::move(found->second.done);
    const bool is_write = found->second.is_write;
    calls.erase(found);
    schedule.on_result(now, is_write, reply.result, random);
    done(now, reply);
}

void engine::state::expire_calls(time_point now)
{
    std::vector<std::pair<std::uint64_t, bool>> expired;
    for (const auto& [id, each] : calls) {
        if (now - each.sent > call_timeout) {
            expired.emplace_back(id, each.is_write);
        }
    }
    for (const auto& [id, is_write] : expired) {
        store::reply lost;
        lost.result = is_write ? store::status::unknown : store::status::unavailable;
        on_store_reply(now, id, lost);
    }
}

void engine::state::advance_store_reads(time_point now)
{
    const auto nodes = static_cast<std::int64_t>(shared.members().size());
    const milliseconds regular = std::max(min_read_interval, read_interval_per_node * nodes);
    const milliseconds interval = random.between(regular * 3 / 4, regular);
    if (!members_read_pending && now >= next_members_read) {
        members_read_pending = call(now, store::read_prefix{member_prefix},
                                    [this, began = now](time_point at, const store::reply& reply) {
                                        on_members_read(at, began, reply);
                                    });
        if (members_read_pending) {
            next_members_read = now + interval;
        }
    }
    if (!placements_read_pending && now >= next_placements_read) {
        placements_read_pending = call(
            now, store::read_prefix{placement_prefix},
            [this](time_point at, const store::reply& reply) { on_placements_read(at, reply); });
        if (placements_read_pending) {
            next_placements_read = now + interval;
        }
    }
}

void engine::state::report_bad_row(const std::string& key, const std::string& problem)
{
    if (reported_rows.size() < max_reported_bad_rows && reported_rows.insert(key).second) {
        audit(audit_kind::refusal, {}, problem);
    }
}

std::optional<member_row> engine::state::read_member(const store::row& row)
{
    try {
        return parse_member(row.key, row.value);
    }
    catch (const row_error& problem) {
        report_bad_row(row.key, problem.what());
        return std::nullopt;
    }
}

std::optional<placement> engine::state::read_placement(const store::row& row)
{
    try {
        return parse_placement(row.key, row.value);
    }
    catch (const row_error& problem) {
        report_bad_row(row.key, problem.what());
        return std::nullopt;
    }
}

void engine::state::on_members_read(time_point now, time_point began, const store::reply& reply)
{
    members_read_pending = false;
    if (reply.result != store::status::ok) {
        next_members_read = schedule.blocked_until(false);
        return;
    }
    if (!members_known) {
        // Spreads the first writes of nodes that start at the same time in a large system.
        const auto nodes = static_cast<std::int64_t>(reply.rows.size());
        first_write_time =
            now + random.between(milliseconds{0}, first_write_delay_per_node * nodes);
    }
    members_known = true;
    std::vector<incarnation_id> present;
    std::vector<store::row> old;
    for (const store::row& row : reply.rows) {
        const auto parsed = read_member(row);
        if (!parsed) {
            continue;
        }
        present.push_back(parsed->incarnation);
        accept_member(now, *parsed);
        const auto closed = shared.closed_since(parsed->incarnation);
        const bool is_closed = closed && now - *closed > ended_row_age;
        const bool is_silent = !closed && parsed->incarnation != self &&
                               shared.probe_unplaced(now, parsed->incarnation);
        if ((is_closed || is_silent) && old.size() < max_erased_rows) {
            old.push_back(row);
        }
        const known_member* known = shared.find_known(parsed->incarnation);
        if (known != nullptr && known->probes > 0) {
            send_to(parsed->incarnation, own_digest(true));
        }
    }
    shared.on_store_members(now, began, present, self);
    erase_rows(now, old);
}

void engine::state::on_placements_read(time_point now, const store::reply& reply)
{
    placements_read_pending = false;
    if (reply.result != store::status::ok) {
        next_placements_read = schedule.blocked_until(false);
        return;
    }
    placements_known = true;
    for (const store::row& row : reply.rows) {
        if (const auto record = read_placement(row)) {
            accept_placement(now, *record);
        }
    }
}

void engine::state::erase_rows(time_point now, const std::vector<store::row>& rows)
{
    // At each reading, about one node in three erases the rows. The others then find them gone.
    constexpr std::size_t erase_one_in = 3;
    if (rows.empty() || erase_pending || random.below(erase_one_in) != 0) {
        return;
    }
    store::transact change;
    for (const store::row& row : rows) {
        change.conditions.push_back({row.key, row.version});
        change.writes.push_back({row.key, {}, true});
    }
    erase_pending = call(now, std::move(change),
                         [this](time_point, const store::reply&) { erase_pending = false; });
}

} // namespace bulrushgw::ownership
