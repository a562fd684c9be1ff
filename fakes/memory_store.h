#pragma once

/// An in-memory platform store that applies each request atomically.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "store/types.h"

namespace bulrushgw::fakes {

struct store_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t conflicts = 0;
};

/// Not thread-safe. The driver simulates outages, delays and lost answers; this class holds only
/// the content.
class memory_store {
public:
    /// Called after each row that a transaction writes or erases.
    using write_hook = std::function<void(const store::row& row, bool erased)>;

    void on_write(write_hook hook) { hook_ = std::move(hook); }
    store::reply apply(const store::request& request);
    [[nodiscard]] const store::row* find(const std::string& key) const;
    [[nodiscard]] const store_counters& counters() const { return counters_; }

private:
    store::reply run(const store::transact& transaction);

    std::map<std::string, store::row> rows_;
    std::map<std::string, std::string> objects_;
    /// Versions keep increasing after a row is deleted, so that a condition on an old version never
    /// holds for a new row with the same key.
    std::map<std::string, std::uint64_t> last_versions_;
    write_hook hook_;
    store_counters counters_;
};

} // namespace bulrushgw::fakes
