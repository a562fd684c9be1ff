#pragma once

/// Bound on the memory that clients and peers can make a process hold.

#include <cstddef>

namespace bulrushgw::net {

/// Counts reserved bytes up to a limit. Not thread-safe.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit) : limit_(limit) {}

    /// Reserves `bytes` and returns true, or returns false and reserves nothing if the limit would
    /// be exceeded.
    bool try_reserve(std::size_t bytes)
    {
        if (bytes > limit_ - used_) {
            return false;
        }
        used_ += bytes;
        return true;
    }
    /// Precondition: at least `bytes` are reserved.
    void release(std::size_t bytes) { used_ -= bytes; }

    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t limit() const { return limit_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace bulrushgw::net
