#include "ownership/witness.h"

#include <algorithm>

namespace bulrushgw::ownership {

witness_table::witness_table(incarnation_id self, const lease_times& times,
                             bool skip_seal_permanence)
    : self_{self}, promise_{promise_duration(times)}, pause_threshold_{times.pause_threshold},
      skip_seal_permanence_{skip_seal_permanence}
{
}

witness_table::watch* witness_table::find_or_add(time_point now, incarnation_id holder)
{
    const auto found = watches_.find(holder);
    if (found != watches_.end()) {
        return &found->second;
    }
    if (watches_.size() >= limit) {
        return nullptr;
    }
    watch& added = watches_[holder];
    added.promise_end = now + promise_;
    return &added;
}

std::optional<message> witness_table::on_renew(time_point now, incarnation_id holder,
                                               const renew& body)
{
    watch* entry = find_or_add(now, holder);
    if (entry == nullptr) {
        return std::nullopt;
    }
    if (entry->sealed && !skip_seal_permanence_) {
        return renew_refused{*entry->sealed};
    }
    if (entry->ended && !skip_seal_permanence_) {
        return std::nullopt;
    }
    entry->promise_end = std::max(entry->promise_end, now + promise_);
    entry->adopted = std::max(entry->adopted, body.adopted);
    return renew_ack{body.set_version, body.sequence, entry->adopted};
}

std::optional<seal> witness_table::on_holder_seal(incarnation_id holder, const holder_seal& body)
{
    const auto found = watches_.find(holder);
    if (found == watches_.end()) {
        return std::nullopt;
    }
    watch& entry = found->second;
    if (entry.sealed) {
        return entry.sealed;
    }
    if (!entry.in_set) {
        return std::nullopt;
    }
    entry.adopted = std::max(entry.adopted, body.adopted);
    entry.sealed = seal{holder, self_, entry.set_version, entry.adopted, true};
    return entry.sealed;
}

bool witness_table::update_witness_set(time_point now, const member_row& row)
{
    const bool in_set =
        std::find(row.witnesses.begin(), row.witnesses.end(), self_) != row.witnesses.end();
    if (!in_set && !watches_.contains(row.incarnation)) {
        return false;
    }
    watch* entry = find_or_add(now, row.incarnation);
    if (entry == nullptr || entry->sealed || entry->ended) {
        return false;
    }
    if (row.set_version > entry->set_version) {
        entry->set_version = row.set_version;
        entry->in_set = in_set;
        entry->adopted = std::max(entry->adopted, row.adopted);
        entry->promise_end = std::max(entry->promise_end, now + promise_);
    }
    return entry->in_set && entry->set_version >= row.set_version;
}

void witness_table::on_certificate(incarnation_id holder)
{
    if (const auto found = watches_.find(holder); found != watches_.end()) {
        found->second.ended = true;
    }
}

std::vector<seal> witness_table::on_tick(time_point now)
{
    const bool paused = last_tick_ && now - *last_tick_ > pause_threshold_;
    last_tick_ = now;
    std::vector<seal> made;
    for (auto& [holder, entry] : watches_) {
        if (entry.sealed || entry.ended || !entry.in_set) {
            continue;
        }
        if (paused) {
            entry.promise_end = now + promise_;
        }
        if (now >= entry.promise_end) {
            entry.sealed = seal{holder, self_, entry.set_version, entry.adopted, false};
            made.push_back(*entry.sealed);
        }
    }
    return made;
}

std::size_t witness_table::active_holders() const
{
    return static_cast<std::size_t>(
        std::count_if(watches_.begin(), watches_.end(), [](const auto& item) {
            return item.second.in_set && !item.second.sealed && !item.second.ended;
        }));
}

const seal* witness_table::seal_of(incarnation_id holder) const
{
    const auto found = watches_.find(holder);
    return found == watches_.end() || !found->second.sealed ? nullptr : &*found->second.sealed;
}

std::uint32_t witness_table::set_version_of(incarnation_id holder) const
{
    const auto found = watches_.find(holder);
    return found == watches_.end() ? 0 : found->second.set_version;
}

} // namespace bulrushgw::ownership
