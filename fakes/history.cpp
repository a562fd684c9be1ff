#include "fakes/history.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace bulrushgw::fakes {

namespace {

std::string format_ms(true_time at)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count()) +
           " ms";
}

template <typename Span>
std::map<range_id, std::vector<Span>> by_range(const std::vector<Span>& spans)
{
    std::map<range_id, std::vector<Span>> result;
    for (const Span& span : spans) {
        result[span.range].push_back(span);
    }
    for (auto& [range, list] : result) {
        std::stable_sort(list.begin(), list.end(),
                         [](const Span& a, const Span& b) { return a.begin < b.begin; });
    }
    return result;
}

template <typename Span>
std::string format_pair(const Span& first, const Span& second)
{
    const auto format_span = [](const Span& span) {
        return "host " + std::to_string(span.host) + " fence " + std::to_string(span.token.value) +
               " from " + format_ms(span.begin) + " to " + format_ms(span.end);
    };
    return "range " + std::to_string(first.range.value) + ": " + format_span(first) + " and " +
           format_span(second);
}

/// Reports overlapping spans of different hosts. `list` must be sorted by `begin`. It is therefore
/// enough to compare each span with one earlier span of each other host, the one that ends last.
template <typename Span>
void check_overlap(const std::vector<Span>& list, violation_kind kind,
                   std::vector<violation>& found)
{
    std::map<std::size_t, Span> latest;
    for (const Span& span : list) {
        for (const auto& [host, other] : latest) {
            if (host != span.host && other.end > span.begin && span.end > span.begin) {
                found.push_back({kind, span.begin, format_pair(other, span)});
            }
        }
        const auto position = latest.try_emplace(span.host, span).first;
        if (position->second.end < span.end) {
            position->second = span;
        }
    }
}

void check_fences(const std::vector<serve_span>& list, std::vector<violation>& found)
{
    for (std::size_t i = 1; i < list.size(); ++i) {
        const serve_span& before = list[i - 1];
        const serve_span& after = list[i];
        const bool owner_changed = before.node != after.node;
        if (after.token < before.token || (owner_changed && after.token == before.token)) {
            found.push_back(
                {violation_kind::fence_decreased, after.begin, format_pair(before, after)});
        }
    }
}

/// Checks that a record never reverts to an earlier version. In the store, the version must
/// increase by one with each write. At a node, it must never decrease. Each version must have the
/// same content everywhere.
void check_versions(const std::vector<version_event>& events, violation_kind kind,
                    std::vector<violation>& found)
{
    std::map<std::uint64_t, std::uint64_t> content;
    for (const version_event& event : events) {
        if (!event.node) {
            content.try_emplace(event.version, event.content);
        }
    }
    std::map<incarnation_id, std::uint64_t> latest;
    for (const version_event& event : events) {
        std::uint64_t& last = latest[event.node];
        const bool skipped = !event.node && event.version != last + 1;
        if (event.version < last || skipped) {
            found.push_back({kind, event.at,
                             "version " + std::to_string(event.version) + " after " +
                                 std::to_string(last) + " at " + to_string(event.node)});
        }
        const auto accepted = content.find(event.version);
        if (accepted == content.end() || accepted->second != event.content) {
            found.push_back({kind, event.at,
                             "version " + std::to_string(event.version) + " at " +
                                 to_string(event.node) +
                                 " differs from the version that the store accepted"});
        }
        last = std::max(last, event.version);
    }
}

void check_requests(const history& history, std::vector<violation>& found)
{
    std::map<std::uint64_t, std::vector<const execution*>> runs;
    for (const execution& run : history.executions) {
        runs[run.request].push_back(&run);
    }
    for (const auto& [request, list] : runs) {
        if (list.size() > 1 && !list.front()->idempotent) {
            found.push_back({violation_kind::ran_twice, list.back()->begin,
                             "request " + std::to_string(request) + ": " +
                                 format_pair(*list.front(), *list.back())});
        }
    }
    for (const client_answer& answer : history.answers) {
        if (answer.outcome == client_outcome::not_run && runs.contains(answer.request)) {
            found.push_back({violation_kind::untrue_not_run, answer.at,
                             "request " + std::to_string(answer.request)});
        }
        if (answer.outcome == client_outcome::answered && answer.answer_to != answer.request) {
            found.push_back({violation_kind::wrong_answer, answer.at,
                             "request " + std::to_string(answer.request) + " got the answer to " +
                                 std::to_string(answer.answer_to)});
        }
    }
}

/// A host that rejoins runs as a new incarnation, so its later work is not a violation.
void check_departures(const history& history, std::vector<violation>& found)
{
    for (const departure& left : history.departures) {
        for (const serve_span& span : history.served) {
            if (span.node == left.node && span.end > left.at + leave_bound) {
                found.push_back({violation_kind::work_after_leave, span.end,
                                 "host " + std::to_string(left.host) + " serves range " +
                                     std::to_string(span.range.value) + " until " +
                                     format_ms(span.end) + ", left at " + format_ms(left.at)});
            }
        }
    }
}

void check_rules_deadlines(const history& history, std::vector<violation>& found)
{
    for (const rules_deadline& deadline : history.must_know_rules) {
        const bool known = std::any_of(
            history.rules.begin(), history.rules.end(), [&](const version_event& event) {
                return event.node == deadline.node && event.at <= deadline.at &&
                       event.version >= deadline.version;
            });
        if (!known) {
            found.push_back({violation_kind::rules_late, deadline.at,
                             "version " + std::to_string(deadline.version) + " at " +
                                 to_string(deadline.node)});
        }
    }
}

} // namespace

std::string to_string(violation_kind kind)
{
    static constexpr std::array names{"two owners",      "two executions", "fence decreased",
                                      "assignment lost", "ran twice",      "untrue not-run",
                                      "wrong answer",    "rules reverted", "work after leave",
                                      "unavailable",     "rules late"};
    return names.at(static_cast<std::size_t>(kind));
}

milliseconds longest_gap(const history& history, range_id range, true_time begin, true_time end)
{
    std::vector<std::pair<true_time, true_time>> spans;
    for (const serve_span& span : history.served) {
        if (span.target_responds && span.range == range && span.end > begin && span.begin < end) {
            spans.emplace_back(span.begin, span.end);
        }
    }
    std::sort(spans.begin(), spans.end());
    true_time covered = begin;
    std::chrono::nanoseconds longest{0};
    for (const auto& [from, to] : spans) {
        longest = std::max(longest, from - covered);
        covered = std::max(covered, to);
    }
    longest = std::max(longest, end - covered);
    return std::chrono::duration_cast<milliseconds>(longest);
}

milliseconds longest_gap(const history& history, true_time begin, true_time end)
{
    milliseconds longest{0};
    for (std::uint32_t range = 0; range < history.ranges; ++range) {
        longest = std::max(longest, longest_gap(history, range_id{range}, begin, end));
    }
    return longest;
}

std::vector<violation> check(const history& history)
{
    std::vector<violation> found;
    for (const auto& [range, list] : by_range(history.served)) {
        check_overlap(list, violation_kind::two_owners, found);
        check_fences(list, found);
    }
    for (const auto& [range, list] : by_range(history.executions)) {
        check_overlap(list, violation_kind::two_executions, found);
    }
    check_versions(history.placements, violation_kind::assignment_lost, found);
    check_versions(history.rules, violation_kind::rules_reverted, found);
    check_requests(history, found);
    check_departures(history, found);
    check_rules_deadlines(history, found);
    for (const availability_span& span : history.must_serve) {
        for (std::uint32_t range = 0; range < history.ranges; ++range) {
            const milliseconds gap = longest_gap(history, range_id{range}, span.begin, span.end);
            if (gap > span.bound) {
                found.push_back({violation_kind::unavailable, span.begin,
                                 "range " + std::to_string(range) + " for " +
                                     std::to_string(gap.count()) + " ms between " +
                                     format_ms(span.begin) + " and " + format_ms(span.end) +
                                     ", allowed " + std::to_string(span.bound.count()) + " ms"});
            }
        }
    }
    return found;
}

} // namespace bulrushgw::fakes
