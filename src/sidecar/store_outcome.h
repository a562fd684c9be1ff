#pragma once

/// The result of a call to the store.

#include <string_view>

namespace bulrushgw::sidecar {

enum class store_outcome {
    done,
    conflict,    ///< the row has another version; nothing was written
    unavailable, ///< certainly not executed
    unknown,     ///< no valid answer; a write may have been executed or be executed later
};

/// The name of the outcome, for logs.
std::string_view to_text(store_outcome outcome);

} // namespace bulrushgw::sidecar
