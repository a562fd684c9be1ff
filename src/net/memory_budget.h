#pragma once

/// The memory that clients and peers can make a process hold.

#include <cstddef>
#include <memory>
#include <utility>

namespace bulrushgw::net {

/// Counts reserved bytes against a limit. It allocates nothing: each user reserves what it is about
/// to hold and releases what it has let go. Not thread-safe.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit) : limit_(limit) {}

    /// Reserves `bytes`, or returns false and reserves nothing if they would exceed the limit by
    /// more than `overdraft`. While the limit is exceeded, reservations without an overdraft fail.
    bool try_reserve(std::size_t bytes, std::size_t overdraft = 0);
    /// Precondition: at least `bytes` are reserved.
    void release(std::size_t bytes);
    [[nodiscard]] std::size_t used() const { return used_; }
    [[nodiscard]] std::size_t limit() const { return limit_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// Bytes reserved in a budget by one user, released by the destructor. Without a budget, each
/// reservation succeeds. Not thread-safe.
class memory_charge {
public:
    memory_charge() = default;
    explicit memory_charge(std::shared_ptr<memory_budget> budget) : budget_(std::move(budget)) {}
    ~memory_charge() { reset(); }
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    memory_charge(memory_charge&& from) noexcept
        : budget_(std::move(from.budget_)), bytes_(std::exchange(from.bytes_, 0))
    {
    }
    memory_charge& operator=(memory_charge&& from) noexcept
    {
        if (this != &from) {
            reset();
            budget_ = std::move(from.budget_);
            bytes_ = std::exchange(from.bytes_, 0);
        }
        return *this;
    }

    /// Changes the reservation to `bytes`. Returns false and changes nothing if the budget has no
    /// room, see `memory_budget::try_reserve`. A reduction always succeeds.
    bool try_resize(std::size_t bytes, std::size_t overdraft = 0);
    void reset() { try_resize(0); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }

private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace bulrushgw::net
