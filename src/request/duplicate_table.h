#pragma once

/// Request ids of non-idempotent requests with their outcome, kept by the owner.

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
    std::chrono::minutes retention{10};
    std::size_t max_bytes = std::size_t{16} * 1024 * 1024;
    /// A longer answer is remembered without its text.
    std::size_t max_answer_bytes = std::size_t{64} * 1024;
};

using header_pairs = std::vector<std::pair<std::string, std::string>>;

/// The end of a request as the client was or would have been told.
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
    run,          ///< not seen: recorded as in progress, the caller runs it
    in_progress,  ///< the first one still runs
    replay,       ///< known: `answer` is the outcome
    history_lost, ///< a repeat whose first attempt may be forgotten
    id_reused,    ///< the id belongs to a request with another content
    full,         ///< no room: everything kept is still in progress
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
    std::uint64_t stripped = 0; ///< answers removed for space, their ids kept
    std::uint64_t evicted = 0;  ///< ids removed for space
    std::uint64_t expired = 0;
};

/// Deterministic; not thread-safe.
class duplicate_table {
public:
    explicit duplicate_table(duplicate_settings settings = {});

    /// This node became the owner of a range. Call before `begin` for it.
    void on_acquired(time_point now, const std::string& service, range_id range);

    /// `fingerprint` is a hash of method, path and body. It keeps two clients
    /// that chose the same id from receiving each other's answers.
    duplicate_check begin(time_point now, const request_key& key, std::uint32_t attempt,
                          std::uint64_t fingerprint);
    /// Ends a request that `begin` allowed. A not-run outcome is forgotten, so
    /// that a repeat may run.
    void complete(time_point now, const request_key& key, final_answer answer);
    /// Removes what is older than the retention. Call about once a second.
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
        time_point acquired;
        std::optional<time_point> evicted;
    };
    struct entry {
        std::uint64_t fingerprint = 0;
        bool running = true;
        bool answer_kept = true; ///< valid when not running
        time_point ended;
        final_answer answer;
        std::size_t bytes = 0;
        std::list<request_key>::iterator position; ///< in `ended_`, when not running
        std::list<request_key>::iterator text;     ///< in `texts_`, when the answer is kept
    };

    [[nodiscard]] bool history_incomplete(time_point now, const request_key& key) const;
    /// Removes the oldest answers first and ids only when that is not enough,
    /// because a removed id makes repeats in its whole range unanswerable.
    bool make_room(time_point now, std::size_t needed);
    void strip(entry& stripped);
    void erase(std::map<request_key, entry>::iterator found);

    duplicate_settings settings_;
    std::map<request_key, entry> entries_;
    std::list<request_key> ended_; ///< oldest first
    std::list<request_key> texts_; ///< of these, those with their answer
    std::map<range_key, range_history> ranges_;
    std::size_t bytes_ = 0;
    duplicate_counters counters_;
};

} // namespace bulrushgw::request
