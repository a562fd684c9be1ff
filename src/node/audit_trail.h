#pragma once

/// Audit events of a node: a ring in memory, and batches in the rows
/// `audit/<incarnation>/<n>` of the store.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "ownership/engine.h"
#include "store/types.h"

namespace bulrushgw::node {

/// Kinds of the ownership engine and those that only the node knows.
enum class audit_kind : std::uint8_t {
    join,
    grant,
    release,
    takeover,
    refusal,
    seal,
    end,
    witness_replaced,
    leave,
    proposal,
    rules_change,
    rules_refused,
    drain,
    end_asserted,
};

inline constexpr std::size_t audit_kinds = 14;

std::string_view to_string(audit_kind kind);
/// None for a name that `to_string` does not return.
std::optional<audit_kind> parse_audit_kind(std::string_view name);
audit_kind from_engine(ownership::audit_kind kind);

struct audit_record {
    std::uint64_t number = 0; ///< counts from 1 in each process
    /// Wall-clock time for people. No decision compares it.
    std::chrono::system_clock::time_point at{};
    audit_kind kind = audit_kind::grant;
    std::string service{};
    std::optional<range_id> range{};
    fence token{};            ///< 0: none
    incarnation_id subject{}; ///< whom the event is about
    incarnation_id seen_by{}; ///< the incarnation that recorded it
    std::string who{};        ///< operator, for rules changes, drains and asserted ends
    std::string cause{};
};

/// Members without a value match every record.
struct audit_query {
    std::string service{};
    std::optional<range_id> range{};
    std::optional<incarnation_id> subject{}; ///< as subject or as witness of the event
    std::optional<audit_kind> kind{};
    std::size_t most = 200; ///< the newest ones
};

struct audit_settings {
    std::size_t ring = 4096;
    std::size_t rows_per_minute = 6; ///< 0: write none
    std::size_t events_per_row = 256;
    std::size_t rows_kept = 64; ///< by one process; older ones are erased
};

/// Records events and hands batches to the store hook. Not thread-safe.
class audit_trail {
public:
    /// Runs the transaction and calls back once with its result.
    using store_hook =
        std::function<void(store::transact, std::function<void(store::status)> on_result)>;

    /// `write` may be empty: nothing is stored then.
    audit_trail(audit_settings settings, store_hook write);
    ~audit_trail();
    audit_trail(const audit_trail&) = delete;
    audit_trail& operator=(const audit_trail&) = delete;
    audit_trail(audit_trail&&) = delete;
    audit_trail& operator=(audit_trail&&) = delete;

    /// Rows from now on belong to this incarnation.
    void set_incarnation(incarnation_id self);
    /// Sets `number` and `seen_by` of the record.
    void record(audit_record record);
    /// Converts an event of the ownership engine.
    void record(std::chrono::system_clock::time_point at, const ownership::audit_event& event);
    /// Writes a batch when the rate allows and none is on its way.
    void on_tick(time_point now);

    /// Matching records, oldest first.
    [[nodiscard]] std::vector<audit_record> query(const audit_query& wanted) const;
    /// Records that left the ring before they were stored.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
    [[nodiscard]] std::uint64_t recorded() const { return next_number_ - 1; }

private:
    void on_written(std::uint64_t last, const std::string& key, store::status result);

    audit_settings settings_;
    store_hook write_;
    /// Set to false by the destructor, because the store may answer later.
    std::shared_ptr<bool> alive_;
    incarnation_id self_;
    std::deque<audit_record> ring_;
    std::uint64_t next_number_ = 1;
    std::uint64_t stored_ = 0; ///< number of the last record in the store
    std::uint64_t next_row_ = 0;
    std::deque<std::string> rows_; ///< keys in the store, oldest first
    std::uint64_t dropped_ = 0;
    bool writing_ = false;
    std::optional<time_point> last_write_;
};

/// JSON object of a record, as rows and the operator interface show it.
std::string to_json(const audit_record& record);

} // namespace bulrushgw::node
