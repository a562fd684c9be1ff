#pragma once

/// Detects repeated non-idempotent requests. The owner node keeps the ids of these requests with
/// their outcomes.

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "common/ids.h"
#include "request/outcomes.h"

namespace bulrushgw::request {

struct duplicate_settings {
    std::chrono::minutes retention{10}; ///< how long a record is kept after the end of the request
    std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
    /// If an answer is longer than this, only its request id is kept, without headers and body.
    std::size_t max_answer_bytes = std::size_t{64} * 1024;
};

using header_pairs = std::vector<std::pair<std::string, std::string>>;

/// The final result of a request, as sent to the client (or as it would have been sent if the
/// client had waited).
struct final_answer {
    reason why = reason::none;
    int status = 0;
    header_pairs headers;
    std::string body;
};

/// Identifies one request of one range.
struct request_key {
    std::string service;
    range_id range;
    std::string request_id;
    auto operator<=>(const request_key&) const = default;
};

enum class duplicate_verdict {
    run,          ///< new: recorded as in progress, the caller runs it
    in_progress,  ///< the first attempt is still running
    replay,       ///< already ended: `answer` is the result
    history_lost, ///< a repeat, but the record of its first attempt may have been lost
    id_reused,    ///< the id belongs to a request with a different fingerprint
    full,         ///< no space left: all records are of requests in progress
};

struct duplicate_check {
    duplicate_verdict verdict = duplicate_verdict::run;
    std::optional<final_answer> answer; ///< set with `replay`
};

struct duplicate_counters {
    std::uint64_t recorded = 0;
    std::uint64_t replayed = 0;
    std::uint64_t in_progress = 0;
    std::uint64_t history_lost = 0;
    std::uint64_t answers_dropped = 0; ///< answers removed to free memory while their ids are kept
    std::uint64_t evicted = 0;         ///< ids removed to free memory
    std::uint64_t expired = 0;
};

/// Deterministic; not thread-safe.
class duplicate_table {
public:
    explicit duplicate_table(duplicate_settings settings = {});

    /// This node became the owner of a range. Call before the first `begin` for the range.
    void on_acquired(time_point now, const std::string& service, range_id range);

    /// Checks a request before it runs. `attempt` is the client's count, from 1. `fingerprint` is a
    /// hash of method, path and body, so that two clients that chose the same id do not receive
    /// each other's answers.
    duplicate_check begin(time_point now, const request_key& key, std::uint32_t attempt,
                          std::uint64_t fingerprint);
    /// Records the result of a request for which `begin` returned `run`. If the request did not
    /// run, drops its record instead, so that a repeat of it may run.
    void complete(time_point now, const request_key& key, final_answer answer);
    /// Removes records older than the retention. Call about once a second.
    void on_tick(time_point now);

    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] const duplicate_counters& counters() const { return counters_; }

private:
    struct range_key {
        std::string service;
        range_id range;
        auto operator<=>(const range_key&) const = default;
    };
    struct range_history {
        time_point acquired;               ///< when this node became the owner
        std::optional<time_point> evicted; ///< when a record of the range was last evicted
    };
    struct entry {
        std::uint64_t fingerprint = 0;
        bool running = true;
        bool answer_kept = true; ///< valid if not running
        time_point ended;        ///< valid if not running
        final_answer answer;
        std::size_t bytes = 0;
        std::list<request_key>::iterator position; ///< in `ended_`, valid if not running
        /// In `kept_answers_`, valid if the answer is kept.
        std::list<request_key>::iterator answer_position;
    };

    /// True if this table may lack the record of a request for the key's range that ended within
    /// the retention time.
    [[nodiscard]] bool history_incomplete(time_point now, const request_key& key) const;
    /// Frees memory for `needed` bytes, or returns false if that is not possible. Removes the
    /// oldest answers first. Removes ids only if that is not enough, because after the eviction of
    /// an id, every repeat with an unknown id in the same range must be refused for the retention
    /// time.
    bool make_room(time_point now, std::size_t needed);
    /// Removes the answer of an ended request and keeps its id.
    void drop_answer(entry& record);
    void erase(std::map<request_key, entry>::iterator found);

    duplicate_settings settings_;
    std::map<request_key, entry> entries_;
    std::list<request_key> ended_;        ///< ended requests, oldest first
    std::list<request_key> kept_answers_; ///< ended requests whose answer is kept, oldest first
    std::map<range_key, range_history> ranges_;
    std::size_t bytes_ = 0;
    duplicate_counters counters_;
};

} // namespace bulrushgw::request
