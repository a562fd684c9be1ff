#pragma once

/// Breadth-first search of the state space of a small model: visits every reachable state up to a
/// depth, each once.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <unordered_map>
#include <vector>

#include "common/hash.h"

namespace bulrushgw::fakes {

struct exploration {
    std::size_t states = 0;
    std::size_t transitions = 0;
    std::size_t depth = 0; ///< largest distance in steps from the initial state
    /// True if all reachable states were visited. False if a limit or a violation ended the search.
    bool complete = false;
    /// Labels of the steps to the first violation found; empty if there is none.
    std::vector<std::string> trace;
    std::string violation;
};

/// `Model` must have a type `state`, which is compared by its bytes, and the functions
///   state initial() const;
///   void steps(const state&, Emit) const, which calls emit(successor, label) for each successor,
///     where a label is a string literal;
///   std::string violation(const state&) const, which is empty for a correct state.
template <typename Model>
exploration explore(const Model& model, std::size_t max_depth, std::size_t max_states)
{
    using state = typename Model::state;
    static_assert(std::has_unique_object_representations_v<state>);
    struct bytes_hash {
        std::size_t operator()(const state& value) const
        {
            return hash_bytes({reinterpret_cast<const char*>(&value), sizeof value});
        }
    };
    struct origin {
        std::uint32_t parent = 0;
        const char* label = "";
    };
    std::unordered_map<state, std::uint32_t, bytes_hash> seen;
    std::vector<origin> origins;
    std::vector<const state*> order;
    exploration result;

    const auto add = [&](const state& next, std::uint32_t parent, const char* label) {
        const auto [position, inserted] =
            seen.try_emplace(next, static_cast<std::uint32_t>(order.size()));
        if (inserted) {
            order.push_back(&position->first);
            origins.push_back({parent, label});
        }
    };
    const auto fill_trace = [&](std::uint32_t last) {
        for (std::uint32_t at = last; at != 0; at = origins[at].parent) {
            result.trace.emplace_back(origins[at].label);
        }
        std::reverse(result.trace.begin(), result.trace.end());
    };

    add(model.initial(), 0, "");
    std::size_t level_end = 1;
    result.complete = true;
    for (std::uint32_t at = 0; at < order.size(); ++at) {
        if (at == level_end) {
            ++result.depth;
            level_end = order.size();
        }
        const state current = *order[at];
        result.violation = model.violation(current);
        if (!result.violation.empty()) {
            fill_trace(at);
            result.complete = false;
            break;
        }
        if (result.depth >= max_depth || order.size() >= max_states) {
            result.complete = false;
            continue;
        }
        model.steps(current, [&](const state& next, const char* label) {
            ++result.transitions;
            add(next, at, label);
        });
    }
    result.states = order.size();
    return result;
}

} // namespace bulrushgw::fakes
