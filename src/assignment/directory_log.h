#pragma once

/// Records the changes of a leader's directory, so that members get only what they lack. The
/// complete directory of many nodes, sent to all of them on each change, would exceed a host's link
/// and processor.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "assignment/types.h"

namespace bulrushgw::assignment {

/// Not thread-safe.
class directory_log {
public:
    /// Continues the versions of another leader of the same term. A directory of `version` or
    /// earlier lacks the complete directory. Precondition: nothing was recorded yet.
    void continue_after(std::uint64_t version);
    /// Compares `content` with the directory recorded last and assigns it the next version if they
    /// differ. Returns whether the version of `content` changed. Precondition: all calls have the
    /// same term and leader.
    bool record(directory& content);
    /// Returns what a directory of version `base` lacks of the directory recorded last. Returns the
    /// complete directory if `base` is 0, older than the kept removals, or not a recorded version.
    [[nodiscard]] directory_change since(std::uint64_t base) const;

private:
    template <typename Record>
    struct entry {
        Record content;
        std::uint64_t version = 0; ///< version of the last change
        bool is_present = false;   ///< in the directory that is being recorded
    };
    template <typename Key>
    struct removal {
        std::uint64_t version = 0;
        Key key;
    };

    template <typename Key, typename Record>
    static bool record_all(std::map<Key, entry<Record>>& known, std::deque<removal<Key>>& gone,
                           const std::vector<Record>& present, std::uint64_t version);
    void forget_old_removals();

    std::uint64_t term_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t oldest_base_ = 0; ///< all removals in later versions are kept
    incarnation_id leader_;
    std::map<incarnation_id, entry<node_record>> nodes_;
    std::map<segment_start, entry<segment>> segments_;
    std::deque<removal<incarnation_id>> gone_nodes_;
    std::deque<removal<segment_start>> gone_segments_;
};

/// Updates `content` to the version of `change`. Returns false and leaves `content` unchanged if
/// `content` lacks versions before `change.base`, or if `content` has another term and the change
/// is not a complete directory. Ignores a change of the same term that is not newer, and returns
/// true. A complete directory of another term replaces `content`, whichever term is higher.
/// Thread-safe for different directories.
bool apply(directory& content, const directory_change& change);

} // namespace bulrushgw::assignment
