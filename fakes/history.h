#pragma once

/// What happened in a run, in true time, and the check of it.

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "fakes/clock.h"

namespace bulrushgw::fakes {

/// A span in which one incarnation would have started requests of a range. It
/// ends at the latest when the lease ends or the process is stopped.
struct serve_span {
    std::size_t host = 0;
    incarnation_id node;
    range_id range;
    fence token;
    true_time begin;
    true_time end;
    bool answers = true; ///< false while the target is frozen
};

/// A request that a target executed.
struct execution {
    std::size_t host = 0;
    range_id range;
    fence token;
    std::uint64_t request = 0;
    bool idempotent = true;
    true_time begin;
    true_time end;
    bool completed = true; ///< false: cancelled or past its deadline
};

enum class client_outcome { answered, not_run, unknown };

struct client_answer {
    true_time at;
    std::uint64_t request = 0;
    client_outcome outcome = client_outcome::unknown;
    std::uint64_t answer_to = 0; ///< request that the answer's content names
};

/// A version of a record that the store accepted or that a node holds.
struct version_event {
    true_time at;
    incarnation_id node; ///< none: the store
    std::uint64_t version = 0;
    std::uint64_t content = 0; ///< hash of the record
};

/// The start of a planned leave.
struct departure {
    true_time at;
    std::size_t host = 0;
    incarnation_id node;
};

/// A span in which every range must be served again after `bound` at most.
struct availability_span {
    true_time begin;
    true_time end;
    milliseconds bound{0};
};

/// By `at` the node must hold the rules version or a later one.
struct rules_deadline {
    true_time at;
    incarnation_id node;
    std::uint64_t version = 0;
};

struct history {
    std::vector<serve_span> served;
    std::vector<execution> executions;
    std::vector<client_answer> answers;
    std::vector<version_event> placements;
    std::vector<version_event> rules;
    std::vector<departure> departures;
    std::vector<availability_span> must_serve;
    std::vector<rules_deadline> must_know_rules;
    std::uint32_t ranges = 0;
};

enum class violation_kind {
    two_owners,
    two_executions, ///< two targets execute requests of one range at a time
    fence_decreased,
    assignment_lost,
    ran_twice,
    untrue_not_run,
    wrong_answer,
    rules_reverted,
    work_after_leave,
    unavailable,
    rules_late,
};

struct violation {
    violation_kind kind = violation_kind::two_owners;
    true_time at;
    std::string text;
};

std::string to_string(violation_kind kind);

/// A member that leaves gets no new work after this time (P6).
inline constexpr milliseconds leave_bound{3000};
/// Accepted rules are in force everywhere within this time (P8).
inline constexpr milliseconds rules_bound{5000};

/// Every violation of the promises in the history, in no particular order.
std::vector<violation> check(const history& history);

/// Longest time within [begin, end] in which the range had no owner.
milliseconds longest_gap(const history& history, range_id range, true_time begin, true_time end);
/// The longest such time of any range.
milliseconds longest_gap(const history& history, true_time begin, true_time end);

} // namespace bulrushgw::fakes
