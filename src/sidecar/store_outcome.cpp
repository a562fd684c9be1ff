#include "sidecar/store_outcome.h"

namespace bulrushgw::sidecar {

std::string_view to_text(store_outcome outcome)
{
    switch (outcome) {
    case store_outcome::done:
        return "done";
    case store_outcome::conflict:
        return "conflict";
    case store_outcome::unavailable:
        return "unavailable";
    case store_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace bulrushgw::sidecar
