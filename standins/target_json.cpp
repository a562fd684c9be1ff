#include <array>
#include <string>

#include "standins/target_model.h"

namespace bulrushgw::standin {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> outcome_names = {"running", "done", "cancelled", "deadline"};

json to_json(const run_record& entry)
{
    json result = {{"run", entry.run},
                   {"request_id", entry.request_id},
                   {"key", entry.key},
                   {"method", entry.method},
                   {"path", entry.path},
                   {"fence", entry.fence},
                   {"started_ms", entry.started_ms},
                   {"outcome", outcome_names.at(static_cast<std::size_t>(entry.outcome))}};
    result["range"] = entry.range ? json(*entry.range) : json(nullptr);
    return result;
}

json to_json(const target_counters& counters)
{
    return {{"started", counters.started},
            {"done", counters.done},
            {"cancelled", counters.cancelled},
            {"deadline_passed", counters.deadline_passed},
            {"stale_fence", counters.stale_fence},
            {"no_grant", counters.no_grant},
            {"grant_expired", counters.grant_expired},
            {"shed", counters.shed},
            {"draining", counters.draining},
            {"grant_messages", counters.grant_messages},
            {"grants_refused", counters.grants_refused},
            {"runs_dropped", counters.runs_dropped}};
}

} // namespace

json target_model::announcement() const
{
    json result = {{"service", settings_.service},
                   {"address", settings_.address},
                   {"slots", settings_.slots},
                   {"connections", settings_.connections},
                   {"checks_fences", settings_.checks_fences},
                   {"run_id", std::to_string(run_id_)},
                   {"in_flight", active_.size()},
                   {"ready", true},
                   {"draining", draining_}};
    // Tests override fields to announce a wrong state of the target.
    result.update(report_override_);
    return result;
}

json target_model::dump(bool with_runs, time_point now) const
{
    json result = {{"name", settings_.name},
                   {"service", settings_.service},
                   {"run_id", std::to_string(run_id_)},
                   {"clock_ms", clock_ms(now)},
                   {"checks_fences", settings_.checks_fences},
                   {"slots", settings_.slots},
                   {"delay_ms", settings_.delay.count()},
                   {"draining", draining_},
                   {"frozen", frozen_},
                   {"hanging", hanging_},
                   {"report", report_override_},
                   {"in_flight", active_.size()},
                   {"incarnation", incarnation_},
                   {"expires_at_ms", expires_at_ms_},
                   {"grants", json::array()},
                   {"double_runs", double_runs_},
                   {"counters", to_json(counters_)}};
    for (const auto& [range, fence] : grants_) {
        result["grants"].push_back({{"range", range}, {"fence", fence}});
    }
    if (with_runs) {
        auto& runs = result["runs"] = json::array();
        for (const auto& entry : runs_) {
            runs.push_back(to_json(entry));
        }
    }
    return result;
}

} // namespace bulrushgw::standin
