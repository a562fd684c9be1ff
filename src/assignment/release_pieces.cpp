#include "assignment/release_pieces.h"

#include <algorithm>
#include <cmath>

namespace bulrushgw::assignment {

namespace {

constexpr double max_runs_per_piece = 1.5;
constexpr double max_pieces = 6;

} // namespace

std::vector<release_piece> release_pieces(const key_load_table& keys, std::uint32_t first,
                                          std::uint32_t last, double runs)
{
    const double count = std::clamp(std::ceil(runs / max_runs_per_piece), 1.0, max_pieces);
    const double piece_load = keys.sum(first, last) / count;
    std::vector<release_piece> result;
    while (static_cast<double>(result.size() + 1) < count && first < last) {
        const auto end = keys.key_at_load(first, last, piece_load);
        if (end >= last) {
            break;
        }
        result.push_back({first, end});
        first = end + 1;
    }
    result.push_back({first, last});
    return result;
}

} // namespace bulrushgw::assignment
