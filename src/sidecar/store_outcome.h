#pragma once

/// How a call to the store ended.

#include <string_view>

namespace bulrushgw::sidecar {

enum class store_outcome {
    done,
    conflict,    ///< the row has another version; nothing was written
    unavailable, ///< certainly not carried out
    unknown,     ///< no answer; a write may be carried out, also later
};

/// For logs.
std::string_view to_text(store_outcome outcome);

} // namespace bulrushgw::sidecar
