#include "assignment/directory_log.h"

#include <algorithm>
#include <utility>

namespace bulrushgw::assignment {

namespace {

/// Number of removals kept for members with an old directory. A member whose version is older than
/// the kept removals gets the complete directory.
constexpr std::size_t max_kept_removals = 2048;

incarnation_id key_of(const node_record& node)
{
    return node.node;
}

segment_start key_of(const segment& item)
{
    return {item.service, item.first};
}

template <typename Record>
void merge_records(std::vector<Record>& present, const std::vector<Record>& changed)
{
    for (const auto& record : changed) {
        const auto key = key_of(record);
        const auto at = std::lower_bound(
            present.begin(), present.end(), key,
            [](const Record& item, const auto& wanted) { return key_of(item) < wanted; });
        if (at != present.end() && key_of(*at) == key) {
            *at = record;
        }
        else {
            present.insert(at, record);
        }
    }
}

template <typename Record, typename Key>
void erase_records(std::vector<Record>& present, const std::vector<Key>& gone)
{
    std::erase_if(present, [&](const Record& item) {
        return std::find(gone.begin(), gone.end(), key_of(item)) != gone.end();
    });
}

} // namespace

template <typename Key, typename Record>
bool directory_log::record_all(std::map<Key, entry<Record>>& known, std::deque<removal<Key>>& gone,
                               const std::vector<Record>& present, std::uint64_t version)
{
    bool any_changed = false;
    for (auto& [key, item] : known) {
        item.is_present = false;
    }
    for (const auto& record : present) {
        auto [at, is_new] = known.try_emplace(key_of(record));
        auto& item = at->second;
        item.is_present = true;
        if (is_new || item.content != record) {
            item.content = record;
            item.version = version;
            any_changed = true;
        }
    }
    for (auto at = known.begin(); at != known.end();) {
        if (at->second.is_present) {
            ++at;
            continue;
        }
        gone.push_back({version, at->first});
        at = known.erase(at);
        any_changed = true;
    }
    return any_changed;
}

void directory_log::continue_after(std::uint64_t version)
{
    version_ = version;
    oldest_base_ = version + 1;
}

bool directory_log::record(directory& content)
{
    const std::uint64_t next = version_ + 1;
    const bool nodes = record_all(nodes_, gone_nodes_, content.nodes, next);
    const bool segments = record_all(segments_, gone_segments_, content.segments, next);
    term_ = content.term;
    leader_ = content.leader;
    if (nodes || segments || version_ == 0) {
        version_ = next;
        forget_old_removals();
    }
    const bool changed = content.version != version_;
    content.version = version_;
    return changed;
}

void directory_log::forget_old_removals()
{
    const auto trim_to_limit = [this](auto& gone) {
        while (gone.size() > max_kept_removals) {
            oldest_base_ = std::max(oldest_base_, gone.front().version);
            gone.pop_front();
        }
    };
    trim_to_limit(gone_nodes_);
    trim_to_limit(gone_segments_);
}

directory_change directory_log::since(std::uint64_t base) const
{
    directory_change result;
    result.term = term_;
    result.leader = leader_;
    result.version = version_;
    result.base = base < oldest_base_ || base > version_ ? 0 : base;
    if (result.base != 0 && result.base == version_) {
        return result;
    }
    const auto collect = [&result](const auto& known, const auto& gone, auto& changed,
                                   auto& removed) {
        for (const auto& [key, item] : known) {
            if (item.version > result.base) {
                changed.push_back(item.content);
            }
        }
        for (const auto& item : gone) {
            if (result.base != 0 && item.version > result.base && !known.contains(item.key)) {
                removed.push_back(item.key);
            }
        }
    };
    collect(nodes_, gone_nodes_, result.nodes, result.gone_nodes);
    collect(segments_, gone_segments_, result.segments, result.gone_segments);
    return result;
}

bool apply(directory& content, const directory_change& change)
{
    const bool same_term = content.term == change.term;
    if (same_term && content.version >= change.version) {
        return true;
    }
    if (change.base == 0) {
        content = {};
        content.term = change.term;
    }
    else if (!same_term || content.version < change.base) {
        return false;
    }
    content.leader = change.leader;
    content.version = change.version;
    erase_records(content.nodes, change.gone_nodes);
    erase_records(content.segments, change.gone_segments);
    merge_records(content.nodes, change.nodes);
    merge_records(content.segments, change.segments);
    return true;
}

} // namespace bulrushgw::assignment
