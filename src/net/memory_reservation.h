#pragma once

/// A part of a memory budget with an owner.

#include <cstddef>
#include <optional>
#include <utility>

#include "net/memory_budget.h"

namespace bulrushgw::net {

/// Bytes of a budget, which are released when this object is destroyed. The budget must outlive it.
/// Not thread-safe.
class memory_reservation {
public:
    /// Reserves `bytes`, or returns none if the budget has no room for them.
    static std::optional<memory_reservation> take(memory_budget& budget, std::size_t bytes)
    {
        if (!budget.try_reserve(bytes)) {
            return std::nullopt;
        }
        return memory_reservation(budget, bytes);
    }

    ~memory_reservation() { release(); }
    memory_reservation(memory_reservation&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0))
    {
    }
    memory_reservation& operator=(memory_reservation&& other) noexcept
    {
        if (this != &other) {
            release();
            budget_ = std::exchange(other.budget_, nullptr);
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }
    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    memory_reservation(memory_budget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes)
    {
    }
    void release()
    {
        if (budget_ != nullptr) {
            budget_->release(bytes_);
        }
    }

    memory_budget* budget_;
    std::size_t bytes_;
};

} // namespace bulrushgw::net
