#pragma once

/// The recorded events of a run, in true time, and the checker that searches them for violations.

#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.h"
#include "fakes/clock.h"

namespace bulrushgw::fakes {

/// A period in which one incarnation was allowed to start requests of a range. It ends at the
/// latest when the process is paused or ends. It does not outlast the lease either, unless the run
/// disables the engine's lease check.
struct serve_span {
    std::size_t host = 0;
    incarnation_id node;
    range_id range;
    fence token;
    true_time begin;
    true_time end;
    bool target_responds = true; ///< false while the target is frozen
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
    bool completed = true; ///< false if cancelled or past its deadline
};

enum class client_outcome { answered, not_run, unknown };

struct client_answer {
    true_time at;
    std::uint64_t request = 0;
    client_outcome outcome = client_outcome::unknown;
    std::uint64_t answer_to = 0; ///< request number in the answer's content
};

/// A version of a record that the store accepted or that a node adopted.
struct version_event {
    true_time at;
    incarnation_id node; ///< empty for the store
    std::uint64_t version = 0;
    std::uint64_t content = 0; ///< hash of the record
};

/// The start of a planned leave.
struct departure {
    true_time at;
    std::size_t host = 0;
    incarnation_id node;
};

/// A time window in which no single unavailable period of a range may be longer than `bound`.
struct availability_span {
    true_time begin;
    true_time end;
    milliseconds bound{0};
};

/// The node must have adopted this rules version, or a later one, by `at`.
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
    two_executions, ///< two targets execute requests of one range at the same time
    fence_decreased,
    assignment_lost,
    ran_twice,      ///< a request that is not idempotent was executed twice
    untrue_not_run, ///< the client was told "not run" but a target executed the request
    wrong_answer,   ///< the client got the answer to another request
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

/// A leaving member must not serve any range after this time (P6).
inline constexpr milliseconds leave_bound{3000};
/// Accepted rules are in force everywhere within this time (P8).
inline constexpr milliseconds rules_bound{5000};

/// Returns every violation in the history, in unspecified order.
std::vector<violation> check(const history& history);

/// Longest period within [begin, end] in which no owner with a responding target served the range.
milliseconds longest_gap(const history& history, range_id range, true_time begin, true_time end);
/// The largest `longest_gap` of any range.
milliseconds longest_gap(const history& history, true_time begin, true_time end);

} // namespace bulrushgw::fakes
