#pragma once

/// Audit events of a node: kept in a ring buffer in memory, and written in batches to the rows
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

/// Kinds of audit events: first those of the ownership engine, then those of the node itself.
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

inline constexpr std::size_t audit_kind_count = 14;

std::string_view to_string(audit_kind kind);
/// Reverses `to_string`. Returns none if no kind has this name.
std::optional<audit_kind> parse_audit_kind(std::string_view name);
audit_kind from_engine(ownership::audit_kind kind);

struct audit_record {
    std::uint64_t number = 0; ///< sequence number, from 1 in each process
    /// Wall-clock time; informational only, never compared.
    std::chrono::system_clock::time_point at{};
    audit_kind kind = audit_kind::grant;
    std::string service{};
    std::optional<range_id> range{};
    fence token{};            ///< 0 for none
    incarnation_id subject{}; ///< incarnation that the event is about
    incarnation_id seen_by{}; ///< incarnation that recorded the event
    std::string who{};        ///< operator who caused a rules change, drain or asserted end
    std::string cause{};
};

/// Filter for audit records. Members without a value match every record.
struct audit_query {
    std::string service{};
    std::optional<range_id> range{};
    std::optional<incarnation_id> subject{}; ///< matches `subject` or `seen_by` of a record
    std::optional<audit_kind> kind{};
    std::size_t most = 200; ///< maximum number of records; the newest are returned
};

struct audit_settings {
    std::size_t ring_capacity = 4096; ///< records kept in memory
    std::size_t rows_per_minute = 6;  ///< 0 disables writing
    std::size_t events_per_row = 256;
    std::size_t rows_kept = 64; ///< rows kept in the store per process; older rows are erased
};

/// Records events and passes batches of them to the store hook. Not thread-safe.
class audit_trail {
public:
    /// Submits the transaction and calls `on_result` exactly once.
    using store_hook =
        std::function<void(store::transact, std::function<void(store::status)> on_result)>;

    /// If `write` is empty, nothing is written to the store.
    audit_trail(audit_settings settings, store_hook write);
    ~audit_trail();
    audit_trail(const audit_trail&) = delete;
    audit_trail& operator=(const audit_trail&) = delete;
    audit_trail(audit_trail&&) = delete;
    audit_trail& operator=(audit_trail&&) = delete;

    /// Sets the incarnation of all further records and rows.
    void set_incarnation(incarnation_id self);
    /// Sets `number` and `seen_by` of the record.
    void record(audit_record record);
    /// Converts an event of the ownership engine.
    void record(std::chrono::system_clock::time_point at, const ownership::audit_event& event);
    /// Writes a batch if the rate limit allows it and no write is in progress.
    void on_tick(time_point now);

    /// Matching records, oldest first.
    [[nodiscard]] std::vector<audit_record> query(const audit_query& wanted) const;
    /// Number of records that were overwritten in the ring buffer before they were stored.
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }
    [[nodiscard]] std::uint64_t recorded() const { return next_number_ - 1; }

private:
    void on_written(std::uint64_t last, const std::string& key, store::status result);

    audit_settings settings_;
    store_hook write_;
    /// Set to false by the destructor, because a store reply may arrive after the destruction.
    std::shared_ptr<bool> alive_;
    incarnation_id self_;
    std::deque<audit_record> ring_;
    std::uint64_t next_number_ = 1;
    std::uint64_t stored_ = 0; ///< number of the last record in the store
    std::uint64_t next_row_ = 0;
    std::deque<std::string> rows_; ///< keys of the rows in the store, oldest first
    std::uint64_t dropped_ = 0;
    bool writing_ = false;
    std::optional<time_point> last_write_;
};

/// Formats a record as a JSON object, for the rows in the store and the operator interface.
std::string to_json(const audit_record& record);

} // namespace bulrushgw::node
