#include "net/memory_budget.h"

#include <algorithm>

namespace bulrushgw::net {

bool memory_budget::try_reserve(std::size_t bytes)
{
    if (bytes > limit_ - std::min(used_, limit_)) {
        return false;
    }
    used_ += bytes;
    return true;
}

void memory_budget::release(std::size_t bytes)
{
    used_ -= std::min(bytes, used_);
}

bool memory_charge::try_resize(std::size_t bytes)
{
    if (budget_ != nullptr) {
        if (bytes > bytes_ && !budget_->try_reserve(bytes - bytes_)) {
            return false;
        }
        if (bytes < bytes_) {
            budget_->release(bytes_ - bytes);
        }
    }
    bytes_ = bytes;
    return true;
}

} // namespace bulrushgw::net
