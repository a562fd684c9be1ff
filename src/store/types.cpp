#include "store/types.h"

namespace bulrushgw::store {

bool is_write(const request& request)
{
    return std::holds_alternative<transact>(request) || std::holds_alternative<put_object>(request);
}

} // namespace bulrushgw::store
