#include "ownership/directory.h"

#include <algorithm>
#include <tuple>

#include "common/hash.h"
#include "ownership/rows.h"

namespace bulrushgw::ownership {

namespace {

/// A row that was never seen in the store is dropped only after this many readings of the store
/// without it. It may be missing because the store was down when its node started.
constexpr unsigned absences_before_drop = 3;
/// A row that was never seen in the store is also kept while the last message from its node is at
/// most this old.
constexpr std::chrono::seconds recent_message_age{30};
/// The row of an ended member is dropped after the member has been in no open version for this
/// long.
constexpr std::chrono::seconds closed_row_age{60};
/// A member in no open version is probed if no message from it arrived for this long. Its row is
/// removed after `probes_before_removal` unanswered probes. If the member is alive after all, it
/// writes its row again. No range depends on the row.
constexpr std::chrono::minutes unplaced_age{5};
constexpr unsigned probes_before_removal = 3;

auto rank_of(const member_row& row)
{
    return std::tuple{row.state == member_state::ended, row.set_version, row.state};
}

std::uint64_t mix(std::uint64_t seed, std::uint64_t value)
{
    return hash_pair(seed, value);
}

} // namespace

bool supersedes(const member_row& left, const member_row& right)
{
    const auto left_rank = rank_of(left);
    const auto right_rank = rank_of(right);
    return left_rank != right_rank ? left_rank > right_rank : left > right;
}

bool directory::merge(time_point now, const member_row& row)
{
    if (!row.incarnation) {
        return false;
    }
    const auto found = members_.find(row.incarnation);
    if (found != members_.end()) {
        if (!supersedes(row, found->second.row)) {
            return false;
        }
        found->second.row = row;
        found->second.hash = hash_bytes(encode_member(row, {}));
        return true;
    }
    if (certificates_.contains(row.incarnation) && !is_in_open_version(row.incarnation)) {
        return false;
    }
    known_member added;
    added.row = row;
    added.hash = hash_bytes(encode_member(row, {}));
    added.first_seen = now;
    members_.emplace(row.incarnation, std::move(added));
    return true;
}

bool directory::merge(const placement& record)
{
    auto& known = placements_[record.service];
    if (known && known->record.current.version >= record.current.version) {
        return false;
    }
    known = std::make_shared<const placement_view>(record);
    return true;
}

bool directory::merge(const adoption& item)
{
    const auto found = adoptions_.find(item.member);
    if (found == adoptions_.end()) {
        const auto view = placement_of(item.service);
        if (view && view->record.current.version >= item.version &&
            !is_in_open_version(item.member)) {
            return false;
        }
        if (!is_in_open_version(item.member) &&
            adoptions_.size() >= early_adoption_limit + members_.size()) {
            return false;
        }
        adoptions_.emplace(item.member, item);
        return true;
    }
    adoption& known = found->second;
    if (item.version != known.version) {
        if (item.version < known.version) {
            return false;
        }
        known = item;
        return true;
    }
    std::vector<range_id> intersection;
    std::set_intersection(known.draining.begin(), known.draining.end(), item.draining.begin(),
                          item.draining.end(), std::back_inserter(intersection));
    if (intersection == known.draining) {
        return false;
    }
    known.draining = std::move(intersection);
    return true;
}

bool directory::merge(const certificate& item)
{
    const auto [place, added] = certificates_.try_emplace(item.holder, item);
    seals_.remove(item.holder);
    if (added || place->second.adopted >= item.adopted) {
        return added;
    }
    place->second = item;
    return true;
}

bool directory::merge(const seal& item)
{
    if (certificates_.contains(item.holder) ||
        (seals_.of(item.holder) == nullptr && seals_.holders() >= seal_holder_limit)) {
        return false;
    }
    return seals_.add(item);
}

void directory::on_message_from(time_point now, incarnation_id from)
{
    if (const auto found = members_.find(from); found != members_.end()) {
        found->second.last_message_time = now;
        found->second.probes = 0;
    }
}

bool directory::heard_within(time_point now, incarnation_id id, std::chrono::nanoseconds age) const
{
    const known_member* known = find_known(id);
    return known != nullptr && known->last_message_time != time_point{} &&
           now - known->last_message_time <= age;
}

bool directory::probe_unplaced(time_point now, incarnation_id id)
{
    const auto found = members_.find(id);
    if (found == members_.end() || is_in_open_version(id) ||
        now - found->second.first_seen < unplaced_age || heard_within(now, id, unplaced_age)) {
        return false;
    }
    return ++found->second.probes > probes_before_removal;
}

void directory::on_store_members(time_point now, time_point began,
                                 const std::vector<incarnation_id>& present, incarnation_id self)
{
    for (const incarnation_id id : present) {
        if (const auto found = members_.find(id); found != members_.end()) {
            found->second.in_store = true;
            found->second.store_absences = 0;
        }
    }
    for (auto entry = members_.begin(); entry != members_.end();) {
        known_member& member = entry->second;
        const bool absent =
            std::find(present.begin(), present.end(), entry->first) == present.end() &&
            entry->first != self && member.first_seen < began && !is_in_open_version(entry->first);
        member.store_absences += absent ? 1 : 0;
        const bool never_stored = !member.in_store && member.row.set_version == 0;
        const bool drop =
            absent && (!never_stored || (member.store_absences >= absences_before_drop &&
                                         now - member.last_message_time > recent_message_age));
        entry = drop ? members_.erase(entry) : std::next(entry);
    }
}

void directory::prune(time_point now, incarnation_id self)
{
    std::erase_if(adoptions_, [&](const auto& entry) {
        const auto view = placement_of(entry.second.service);
        return entry.first != self && !is_in_open_version(entry.first) && view &&
               entry.second.version <= view->record.current.version;
    });
    std::vector<std::pair<time_point, incarnation_id>> closed;
    for (const auto& [id, item] : certificates_) {
        if (is_in_open_version(id)) {
            closed_since_.erase(id);
        }
        else {
            closed.emplace_back(closed_since_.try_emplace(id, now).first->second, id);
        }
    }
    std::sort(closed.begin(), closed.end());
    const std::size_t excess =
        closed.size() > closed_certificate_limit ? closed.size() - closed_certificate_limit : 0;
    for (std::size_t i = 0; i < closed.size(); ++i) {
        const auto& [since, id] = closed[i];
        if (i < excess || now - since > closed_row_age) {
            members_.erase(id);
        }
        if (i < excess || now - since > closed_certificate_age) {
            certificates_.erase(id);
            closed_since_.erase(id);
        }
    }
}

const member_row* directory::find(incarnation_id id) const
{
    const known_member* known = find_known(id);
    return known == nullptr ? nullptr : &known->row;
}

const known_member* directory::find_known(incarnation_id id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

const certificate* directory::certificate_of(incarnation_id id) const
{
    const auto found = certificates_.find(id);
    return found == certificates_.end() ? nullptr : &found->second;
}

const adoption* directory::adoption_of(incarnation_id id) const
{
    const auto found = adoptions_.find(id);
    return found == adoptions_.end() ? nullptr : &found->second;
}

std::shared_ptr<const placement_view> directory::placement_of(const std::string& service) const
{
    const auto found = placements_.find(service);
    return found == placements_.end() ? nullptr : found->second;
}

bool directory::is_in_open_version(incarnation_id id) const
{
    return std::any_of(placements_.begin(), placements_.end(),
                       [&](const auto& entry) { return entry.second->has_member(id); });
}

std::optional<time_point> directory::closed_since(incarnation_id id) const
{
    const auto found = closed_since_.find(id);
    if (found == closed_since_.end() || is_in_open_version(id)) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<certificate> directory::prove(incarnation_id holder) const
{
    return seals_.prove(holder);
}

std::vector<const member_row*> directory::live_rows(incarnation_id self) const
{
    std::vector<const member_row*> rows;
    for (const auto& [id, member] : members_) {
        if (id != self && !certificates_.contains(id) && member.row.state != member_state::ended) {
            rows.push_back(&member.row);
        }
    }
    return rows;
}

digest directory::summary() const
{
    digest result;
    for (const auto& [id, member] : members_) {
        if (!certificates_.contains(id)) {
            result.members += member.hash;
        }
    }
    for (const auto& [service, view] : placements_) {
        result.placements += mix(hash_bytes(service), view->record.current.version.value);
    }
    for (const auto& [id, item] : certificates_) {
        if (is_in_open_version(id)) {
            result.certificates += mix(id.value, item.adopted.value);
        }
    }
    for (const seal& item : seals_.all()) {
        result.certificates += mix(mix(item.holder.value, item.witness.value), item.set_version);
    }
    for (const auto& [id, item] : adoptions_) {
        if (!is_in_open_version(id)) {
            continue;
        }
        std::uint64_t hash = mix(id.value, item.version.value);
        for (const range_id range : item.draining) {
            hash = mix(hash, range.value);
        }
        result.adoptions += hash;
    }
    return result;
}

} // namespace bulrushgw::ownership
