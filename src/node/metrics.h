#pragma once

/// Counters, gauges and quantiles of a node, in the Prometheus text format.

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "common/errors.h"

namespace bulrushgw::node {

/// A metric was used with a kind or number of labels that differs from its entry in `metric_table`.
struct metric_error : error {
    using error::error;
};

enum class metric_kind { counter, gauge, summary };

/// Kinds of metrics. The value of each is the index of its entry in `metric_table`.
enum class metric : std::uint8_t {
    requests,
    refusals,
    request_seconds,
    forward_seconds,
    target_seconds,
    forwards,
    retries,
    duplicates,
    stray_answers,
    in_flight,
    queued,
    client_connections,
    ranges_served,
    range_moves,
    lease_seconds,
    lease_lost,
    takeovers,
    seals,
    witness_replacements,
    incarnations,
    members,
    placement_version_known,
    target_ready,
    target_silences,
    pauses,
    rules_version,
    rules_stale,
    store_up,
    store_calls,
    store_failures,
    store_pending,
    peer_frames,
    peer_bytes,
    peer_refused,
    peer_broken,
    audit_events,
    audit_dropped,
    log_suppressed,
    loop_delay_seconds,
    series_dropped,
};

struct metric_info {
    metric id = metric::requests;
    std::string_view name;
    metric_kind kind = metric_kind::counter;
    std::array<std::string_view, 2> labels{}; ///< label names; unused elements are empty
    std::string_view help;
};

// clang-format off
inline constexpr std::array metric_table{
    metric_info{metric::requests, "bulrushgw_requests_total", metric_kind::counter, {"service", "outcome"},
        "client requests by outcome: answered, not-run or unknown"},
    metric_info{metric::refusals, "bulrushgw_refusals_total", metric_kind::counter, {"service", "reason"},
        "client requests with the outcome not-run or unknown, by reason"},
    metric_info{metric::request_seconds, "bulrushgw_request_seconds", metric_kind::summary, {"service"},
        "time from a client's request to its answer at the entry node"},
    metric_info{metric::forward_seconds, "bulrushgw_forward_seconds", metric_kind::summary, {},
        "time from a forward, to another node or to this one, until its reply"},
    metric_info{metric::target_seconds, "bulrushgw_target_seconds", metric_kind::summary, {},
        "time from sending a request to the target until its answer"},
    metric_info{metric::forwards, "bulrushgw_forwards_total", metric_kind::counter, {"result"},
        "forwards to other nodes and to this one: sent counts all of them, not-owner and broken those that failed in this way"},
    metric_info{metric::retries, "bulrushgw_retries_total", metric_kind::counter, {"service"},
        "retries that used the retry budget of the service"},
    metric_info{metric::duplicates, "bulrushgw_duplicates_total", metric_kind::counter, {"result"},
        "requests with a repeated id by result: record (the recorded answer was returned), in-progress or history-lost"},
    metric_info{metric::stray_answers, "bulrushgw_stray_answers_total", metric_kind::counter, {},
        "replies to forwards that were dropped: late, duplicate, or from another peer or with another request id than expected"},
    metric_info{metric::in_flight, "bulrushgw_in_flight", metric_kind::gauge, {},
        "requests in flight to the target"},
    metric_info{metric::queued, "bulrushgw_queued", metric_kind::gauge, {},
        "requests queued for the target"},
    metric_info{metric::client_connections, "bulrushgw_client_connections", metric_kind::gauge, {},
        "open client connections"},
    metric_info{metric::ranges_served, "bulrushgw_ranges_served", metric_kind::gauge, {"service"},
        "ranges that this node serves"},
    metric_info{metric::range_moves, "bulrushgw_range_moves_total", metric_kind::counter, {"service", "direction"},
        "ranges that this node started or stopped serving"},
    metric_info{metric::lease_seconds, "bulrushgw_lease_remaining_seconds", metric_kind::gauge, {},
        "remaining time of the lease; 0 while no lease is running"},
    metric_info{metric::lease_lost, "bulrushgw_lease_lost_total", metric_kind::counter, {},
        "number of times that the lease expired without a renewal or ended with its incarnation"},
    metric_info{metric::takeovers, "bulrushgw_takeovers_total", metric_kind::counter, {"service"},
        "ranges taken over from a member that ended"},
    metric_info{metric::seals, "bulrushgw_seals_total", metric_kind::counter, {},
        "incarnations that this node sealed as a witness"},
    metric_info{metric::witness_replacements, "bulrushgw_witness_replacements_total", metric_kind::counter, {},
        "witnesses that this node replaced"},
    metric_info{metric::incarnations, "bulrushgw_incarnations_total", metric_kind::counter, {"cause"},
        "incarnations of this process that ended, by cause"},
    metric_info{metric::members, "bulrushgw_members", metric_kind::gauge, {"state"},
        "members known to this node by state"},
    metric_info{metric::placement_version_known, "bulrushgw_placement_version", metric_kind::gauge, {"service"},
        "newest placement version known to this node"},
    metric_info{metric::target_ready, "bulrushgw_target_ready", metric_kind::gauge, {},
        "1 while the target on this node's host has announced itself and answers"},
    metric_info{metric::target_silences, "bulrushgw_target_silences_total", metric_kind::counter, {},
        "number of times that the target did not answer for 1 s"},
    metric_info{metric::pauses, "bulrushgw_pauses_total", metric_kind::counter, {},
        "ticks of the lease timer that were delayed by more than lease.pause_threshold"},
    metric_info{metric::rules_version, "bulrushgw_rules_version", metric_kind::gauge, {},
        "version of the rules in force"},
    metric_info{metric::rules_stale, "bulrushgw_rules_possibly_stale", metric_kind::gauge, {},
        "1 while this node has had no contact with the store or with another node for at least 30 s"},
    metric_info{metric::store_up, "bulrushgw_store_up", metric_kind::gauge, {},
        "1 from an answer of the store until the next failed message"},
    metric_info{metric::store_calls, "bulrushgw_store_calls_total", metric_kind::counter, {"kind"},
        "HTTP messages sent to the store by kind: read or write"},
    metric_info{metric::store_failures, "bulrushgw_store_failures_total", metric_kind::counter, {"kind"},
        "failed store messages by kind: lost, not-sent, server-error, malformed or unresolved"},
    metric_info{metric::store_pending, "bulrushgw_store_pending", metric_kind::gauge, {},
        "store requests that are queued or in progress"},
    metric_info{metric::peer_frames, "bulrushgw_peer_frames_total", metric_kind::counter, {"direction"},
        "frames of the protocol between nodes"},
    metric_info{metric::peer_bytes, "bulrushgw_peer_bytes_total", metric_kind::counter, {"direction"},
        "bytes of the protocol between nodes"},
    metric_info{metric::peer_refused, "bulrushgw_peer_refused_total", metric_kind::counter, {},
        "frames that were not sent because the queue was full or there was no connection"},
    metric_info{metric::peer_broken, "bulrushgw_peer_broken_total", metric_kind::counter, {},
        "received frames with an invalid length, version, type or body"},
    metric_info{metric::audit_events, "bulrushgw_audit_events_total", metric_kind::counter, {"kind"},
        "audit events recorded"},
    metric_info{metric::audit_dropped, "bulrushgw_audit_dropped_total", metric_kind::counter, {},
        "audit events overwritten in the ring buffer before they were stored"},
    metric_info{metric::log_suppressed, "bulrushgw_log_suppressed_total", metric_kind::counter, {},
        "log lines suppressed by the rate limit"},
    metric_info{metric::loop_delay_seconds, "bulrushgw_loop_delay_seconds", metric_kind::summary, {},
        "delay of the lease timer, which is high in a busy or paused process"},
    metric_info{metric::series_dropped, "bulrushgw_series_dropped_total", metric_kind::counter, {},
        "label values merged into \"other\" because a metric had too many series"},
};
// clang-format on

/// Quantiles that a summary reports.
inline constexpr std::array summary_quantiles{0.5, 0.9, 0.99, 0.999};

/// Maximum number of series per metric. Further label values are counted as "other", so that label
/// values taken from requests cannot exhaust the memory.
inline constexpr std::size_t max_series = 500;

/// A counter or gauge. References stay valid for the lifetime of the `metrics` object.
class metric_value {
public:
    void add(double amount = 1) { value_ += amount; }
    void set(double value) { value_ = value; }
    [[nodiscard]] double value() const { return value_; }

private:
    double value_ = 0;
};

/// Estimates quantiles by the extended P-square algorithm, in constant memory and without buckets.
/// The quantiles cover all values since the process started.
class metric_summary {
public:
    metric_summary();
    ~metric_summary();
    metric_summary(const metric_summary&) = delete;
    metric_summary& operator=(const metric_summary&) = delete;
    metric_summary(metric_summary&&) = delete;
    metric_summary& operator=(metric_summary&&) = delete;

    void observe(double value);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    /// Precondition: index < summary_quantiles.size(). NaN before the first value.
    [[nodiscard]] double quantile(std::size_t index) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// All metrics of a process. Not thread-safe.
class metrics {
public:
    using labels = std::initializer_list<std::string_view>;

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// Returns the counter or gauge with these label values, which is created on first use. Code on
    /// hot paths should keep the reference. Throws `metric_error` for a summary and for a wrong
    /// number of label values.
    metric_value& value(metric id, labels values = {});
    /// Like `value`, but for a summary.
    metric_summary& summary(metric id, labels values = {});

    /// All metrics in the Prometheus text format, version 0.0.4. Metrics without series are
    /// omitted.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Content type of `metrics::text`.
inline constexpr std::string_view metrics_content_type = "text/plain; version=0.0.4";

/// The Markdown table of metrics in docs/operators.md, with one row for each metric.
std::string metrics_markdown();

} // namespace bulrushgw::node
