#include "sidecar/sidecar_metrics.h"

#include <algorithm>
#include <sstream>

namespace bulrushgw::sidecar {

namespace {

template <typename Value>
void write_metric(std::ostream& out, const char* name, const char* kind, Value value)
{
    out << "# TYPE bulrushgw_" << name << ' ' << kind << "\nbulrushgw_" << name << ' ' << value
        << '\n';
}

} // namespace

void latency_histogram::observe(milliseconds time)
{
    const auto at = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), time.count());
    ++counts_[static_cast<std::size_t>(at - bounds_ms.begin())];
    sum_s_ += std::chrono::duration<double>(time).count();
}

std::string latency_histogram::text(const std::string& name) const
{
    constexpr double ms_per_s = 1000;
    std::ostringstream out;
    out << "# TYPE " << name << " histogram\n";
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        total += counts_[i];
        out << name << "_bucket{le=\"";
        if (i < bounds_ms.size()) {
            out << static_cast<double>(bounds_ms[i]) / ms_per_s;
        }
        else {
            out << "+Inf";
        }
        out << "\"} " << total << '\n';
    }
    out << name << "_sum " << sum_s_ << '\n' << name << "_count " << total << '\n';
    return out.str();
}

std::string sidecar_metrics::text(const entry_counters& requests,
                                  const sidecar_gauges& gauges) const
{
    std::ostringstream out;
    write_metric(out, "requests_total", "counter", requests.requests);
    write_metric(out, "requests_answered_total", "counter", requests.answered);
    write_metric(out, "requests_refused_total", "counter", requests.refused);
    write_metric(out, "requests_unknown_total", "counter", requests.unknown);
    write_metric(out, "requests_timed_out_total", "counter", requests.timed_out);
    write_metric(out, "requests_cancelled_not_run_total", "counter", requests.cancelled_not_run);
    write_metric(out, "requests_abandoned_total", "counter", requests.abandoned);
    write_metric(out, "requests_ignored_total", "counter", gauges.requests_ignored);
    write_metric(out, "request_repeats_total", "counter", requests.retries);
    write_metric(out, "foreign_replies_total", "counter", requests.foreign_replies);
    write_metric(out, "warm_up_delays_total", "counter", gauges.warm_up_delays);
    write_metric(out, "warm_up_refusals_total", "counter", gauges.warm_up_refusals);
    write_metric(out, "warm_up_refusals_received_total", "counter", requests.warm_up_refusals);
    write_metric(out, "store_calls_total", "counter", gauges.store_calls);
    write_metric(out, "log_lines_dropped_total", "counter", gauges.lines_dropped);
    write_metric(out, "unexpected_errors_total", "counter", gauges.errors);
    write_metric(out, "requests_refused_evacuated_total", "counter", requests.refused_evacuated);
    write_metric(out, "requests_refused_by_region_total", "counter", requests.refused_by_region);
    write_metric(out, "target_refusals_evacuated_total", "counter",
                 gauges.target_refusals_evacuated);
    write_metric(out, "evacuated_zones", "gauge", gauges.evacuated_zones);
    write_metric(out, "evacuation_keys_left", "gauge", gauges.keys_to_evacuate);
    out << "# TYPE bulrushgw_key_moves_total counter\n";
    for (std::size_t i = 0; i < gauges.key_moves.size(); ++i) {
        out << "bulrushgw_key_moves_total{cause=\"" << assignment::move_cause_names[i] << "\"} "
            << gauges.key_moves[i] << '\n';
    }
    write_metric(out, "key_load_in_motion_ratio", "gauge", gauges.key_load_in_motion);
    if (gauges.evacuations_age) {
        write_metric(out, "evacuations_age_seconds", "gauge",
                     std::chrono::duration<double>(*gauges.evacuations_age).count());
    }
    write_metric(out, "manifest_version", "gauge", gauges.manifest_version);
    write_metric(out, "term", "gauge", gauges.term);
    write_metric(out, "directory_version", "gauge", gauges.directory_version);
    write_metric(out, "target_load", "gauge", gauges.target_load);
    write_metric(out, "target_cold", "gauge", gauges.target_is_cold ? 1 : 0);
    write_metric(out, "lease_milliseconds", "gauge", gauges.lease_ms);
    write_metric(out, "renewal_waits_total", "counter", gauges.renewal_waits);
    write_metric(out, "holds_lease", "gauge", gauges.holds_lease ? 1 : 0);
    write_metric(out, "leads", "gauge", gauges.leads ? 1 : 0);
    write_metric(out, "store_up", "gauge", gauges.store_up ? 1 : 0);
    if (gauges.store_era) {
        write_metric(out, "store_era", "gauge", *gauges.store_era);
    }
    return out.str() + answer_time.text("bulrushgw_answer_seconds");
}

std::string intake_text(const forward_intake& intake)
{
    std::ostringstream out;
    const auto& counters = intake.counters();
    write_metric(out, "intake_refused_total", "counter", counters.refused);
    write_metric(out, "bodies_assembled_total", "counter", counters.assembled);
    write_metric(out, "bodies_dropped_total", "counter", counters.dropped);
    write_metric(out, "bodies_invalid_total", "counter", counters.invalid);
    write_metric(out, "bodies_incomplete", "gauge", intake.incomplete());
    const auto& schedule = intake.schedule();
    write_metric(out, "bodies_late_total", "counter", counters.late);
    write_metric(out, "bodies_crowded_total", "counter", counters.crowded);
    write_metric(out, "bodies_waiting", "gauge", schedule.waiting());
    write_metric(out, "body_bytes_credited_total", "counter", schedule.counters().bytes_credited);
    write_metric(out, "body_bytes_arrived_total", "counter", schedule.counters().bytes_arrived);
    write_metric(out, "body_credit_returned_bytes_total", "counter",
                 schedule.counters().bytes_returned);
    write_metric(out, "intake_cancelled_not_run_total", "counter", counters.cancelled_not_run);
    return out.str();
}

std::string traffic_text(const net::peer_counters& counters)
{
    std::ostringstream out;
    write_metric(out, "peer_bytes_sent_total", "counter", counters.bytes_sent);
    write_metric(out, "peer_connections_over_budget_total", "counter", counters.over_budget);
    write_metric(out, "peer_frames_over_budget_total", "counter", counters.frames_over_budget);
    write_metric(out, "peer_unfinished_closed_total", "counter", counters.unfinished_closed);
    const auto write_by_type = [&](const char* name, std::uint64_t net::frame_count::*member) {
        out << "# TYPE bulrushgw_" << name << " counter\n";
        for (std::size_t i = 0; i < counters.queued.size(); ++i) {
            out << "bulrushgw_" << name << "{type=\"" << wire::type_name(i) << "\"} "
                << counters.queued[i].*member << '\n';
        }
    };
    write_by_type("peer_frames_total", &net::frame_count::frames);
    write_by_type("peer_plain_bytes_total", &net::frame_count::bytes);
    return out.str();
}

} // namespace bulrushgw::sidecar
