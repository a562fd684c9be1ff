#include "net/memory_budget.h"

#include <algorithm>
#include <limits>

namespace bulrushgw::net {

bool memory_budget::try_reserve(std::size_t bytes, std::size_t overdraft)
{
    const auto limit =
        limit_ + std::min(overdraft, std::numeric_limits<std::size_t>::max() - limit_);
    if (bytes > limit - std::min(used_, limit)) {
        return false;
    }
    used_ += bytes;
    return true;
}

void memory_budget::release(std::size_t bytes)
{
    used_ -= std::min(bytes, used_);
}

bool memory_charge::try_resize(std::size_t bytes, std::size_t overdraft)
{
    if (budget_ != nullptr) {
        if (bytes > bytes_ && !budget_->try_reserve(bytes - bytes_, overdraft)) {
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
