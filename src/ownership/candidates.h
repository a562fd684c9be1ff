#pragma once

/// Candidate lists of the ranges of a placement, computed on first use.

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "ownership/types.h"

namespace bulrushgw::ownership {

/// Candidate lists of one placement list: for each range, the members in the order of precedence.
/// The lists contain 16-bit positions of members instead of ids, so that 4096 ranges with 128
/// members take 1 MiB. Not thread-safe: const functions compute and cache a list on first use.
class candidate_table {
public:
    candidate_table(placement_list list, std::string service);

    [[nodiscard]] const placement_list& list() const { return list_; }
    [[nodiscard]] std::size_t member_count() const { return list_.members.size(); }
    /// Positions in `list().members`, in the order of precedence for `range`.
    [[nodiscard]] std::span<const std::uint16_t> of(range_id range) const;
    [[nodiscard]] incarnation_id member(std::uint16_t position) const
    {
        return list_.members[position].incarnation;
    }
    [[nodiscard]] bool contains(incarnation_id id) const;

private:
    placement_list list_;
    std::string service_;
    mutable std::vector<std::vector<std::uint16_t>> lists_;
};

/// A placement record with the candidate lists of its current and its previous version.
struct placement_view {
    explicit placement_view(placement record_in);

    placement record;
    candidate_table current;
    candidate_table previous;

    /// True if the incarnation is a member of the current or the previous version.
    [[nodiscard]] bool has_member(incarnation_id id) const
    {
        return current.contains(id) || previous.contains(id);
    }
};

} // namespace bulrushgw::ownership
