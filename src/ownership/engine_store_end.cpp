#include <algorithm>

#include "ownership/engine_state.h"
#include "ownership/rows.h"

/// Records the end of members in the store, for holders whose witnesses are lost.

namespace bulrushgw::ownership {

namespace {

constexpr milliseconds attempt_pause{500};
constexpr unsigned attempt_limit = 10;
/// Bound on the ends that one transaction records.
constexpr std::size_t ends_per_write = 32;

bool contains(const std::vector<incarnation_id>& ids, incarnation_id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void engine::state::request_store_end(time_point now, incarnation_id subject,
                                      const std::string& requester)
{
    if (shared.certificate_of(subject) != nullptr) {
        return;
    }
    const member_row* row = shared.find(subject);
    if (row == nullptr || !shared.placement_of(row->service) ||
        requested_ends.size() >= ends_per_write) {
        audit(audit_kind::refusal, subject,
              "end through the store: the member or its placement is not known");
        return;
    }
    requested_ends.try_emplace(subject, requested_end{requester, 0});
    next_store_end = std::min(next_store_end, now);
}

void engine::state::advance_store_end(time_point now)
{
    std::erase_if(requested_ends,
                  [&](const auto& entry) { return shared.certificate_of(entry.first) != nullptr; });
    if (store_end || requested_ends.empty() || now < next_store_end) {
        return;
    }
    next_store_end = now + attempt_pause;
    for (auto entry = requested_ends.begin(); entry != requested_ends.end();) {
        if (++entry->second.attempts <= attempt_limit) {
            ++entry;
            continue;
        }
        audit(audit_kind::refusal, entry->first,
              "end through the store: another member is on an older version, or the store failed");
        entry = requested_ends.erase(entry);
    }
    const member_row* first =
        requested_ends.empty() ? nullptr : shared.find(requested_ends.begin()->first);
    const auto view = first == nullptr ? nullptr : shared.placement_of(first->service);
    if (!view) {
        return;
    }
    store_end_state job;
    job.service = first->service;
    job.version = view->record.current.version;
    for (const auto& [id, wanted] : requested_ends) {
        const member_row* row = shared.find(id);
        const bool offered_newer = id == self && lease.offered() > job.version;
        if (row != nullptr && row->service == job.service && !offered_newer) {
            job.subjects.push_back(id);
        }
    }
    if (job.subjects.empty() || !may_propose(*view, shared, job.subjects)) {
        return;
    }
    if (call(now, store::read_row{placement_key(job.service)},
             [this](time_point at, const store::reply& reply) {
                 on_end_placement_read(at, reply);
             })) {
        store_end = std::move(job);
    }
}

void engine::state::on_end_placement_read(time_point now, const store::reply& reply)
{
    const auto record = reply.result == store::status::ok && !reply.rows.empty()
                            ? read_placement(reply.rows.front())
                            : std::nullopt;
    if (record) {
        accept_placement(now, *record);
    }
    if (!record || stopped || record->current.version != store_end->version) {
        store_end.reset();
        return;
    }
    store_end->placement_row = reply.rows.front().version;
    if (!call(now, store::read_prefix{member_prefix},
              [this](time_point at, const store::reply& rows) { on_end_members_read(at, rows); })) {
        store_end.reset();
    }
}

void engine::state::on_end_members_read(time_point now, const store::reply& reply)
{
    const store_end_state job = *std::exchange(store_end, std::nullopt);
    const auto view = shared.placement_of(job.service);
    if (reply.result != store::status::ok || stopped || !view ||
        view->record.current.version != job.version || !may_propose(*view, shared, job.subjects)) {
        return;
    }
    store::transact change;
    change.conditions.push_back({placement_key(job.service), job.placement_row});
    std::vector<member_row> ended;
    for (const store::row& stored : reply.rows) {
        auto row = read_member(stored);
        if (!row || !contains(job.subjects, row->incarnation)) {
            continue;
        }
        if (row->state == member_state::ended) {
            accept_member(now, *row); // recorded by an earlier attempt whose reply was lost
            continue;
        }
        const auto wanted = requested_ends.find(row->incarnation);
        if (wanted == requested_ends.end()) {
            continue;
        }
        row->state = member_state::ended;
        row->ended_by = wanted->second.requester;
        row->adopted = job.version;
        change.conditions.push_back({stored.key, stored.version});
        change.writes.push_back({stored.key, encode_member(*row, next_writer()), false});
        ended.push_back(std::move(*row));
    }
    // `may_propose` did not check the subjects, so their ends are valid only if all of them are
    // recorded.
    const bool complete =
        std::all_of(job.subjects.begin(), job.subjects.end(), [&](incarnation_id id) {
            return shared.certificate_of(id) != nullptr ||
                   std::any_of(ended.begin(), ended.end(),
                               [&](const member_row& row) { return row.incarnation == id; });
        });
    if (!complete || ended.empty() || stopped) {
        return;
    }
    const bool sent =
        call(now, std::move(change), [this, ended](time_point at, const store::reply& written) {
            store_end.reset();
            if (written.result != store::status::ok) {
                return; // the next attempt reads the rows again
            }
            for (const member_row& row : ended) {
                accept_member(at, row);
            }
        });
    if (sent) {
        store_end = job;
    }
}

} // namespace bulrushgw::ownership
