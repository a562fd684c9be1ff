// Health checks of the target, and what follows from its identity and its warm-up.

#include <chrono>
#include <optional>

#include "sidecar/process.h"

namespace bulrushgw::sidecar {

namespace {

constexpr milliseconds target_check_timeout{1000};
/// Pause between two health checks of a target that has not confirmed that it is ready.
constexpr milliseconds target_check_interval{300};
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

milliseconds unix_time()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

/// Time since the start of the target; none if its start time is not known.
std::optional<milliseconds> age_of(const assignment::target_status& target)
{
    if (target.start_time_ms == 0) {
        return std::nullopt;
    }
    return unix_time() - milliseconds{static_cast<milliseconds::rep>(target.start_time_ms)};
}

} // namespace

// Checks the health of a target that may have been started before this process, that may be another
// run than the known one, or that may be warm. The answer tells the target's id and slots sooner
// than its next heartbeat, and whether it leaves or warms up.
void process::check_target()
{
    const auto now = loop_.now();
    const auto* service = routes_ ? routes_->find_service(settings_.service) : nullptr;
    if (service == nullptr || check_under_way_) {
        return;
    }
    const bool readiness_due =
        !first_check_sent_ ||
        ((watch_.needs_check(now) || is_identity_check_due(*service)) && now >= next_check_);
    if (!readiness_due && !warm_up_.needs_check(now, gate_.is_rate_critical())) {
        return;
    }
    first_check_sent_ = true;
    check_under_way_ = true;
    warm_up_.on_check_sent(now);
    gate_.check({"GET", service->health_path, {}, ""}, target_check_timeout,
                [this, readiness_due](const net::http_result& result) {
                    check_under_way_ = false;
                    on_target_health(result, readiness_due);
                });
}

void process::on_target_health(const net::http_result& result, bool is_readiness_check)
{
    const auto now = loop_.now();
    next_check_ = now + target_check_interval;
    if (!result.response) {
        return;
    }
    const auto& headers = result.response->headers;
    const int status = result.response->status;
    target_health health;
    health.target_id = net::find_header(headers, protocol_.names.target_id).value_or("");
    health.is_ready = status == status_ok;
    if (const auto load =
            protocol_.parse_load(net::find_header(headers, protocol_.names.load).value_or(""))) {
        health.slots = load->slots;
    }
    // A target that is full refuses the check like any other request.
    const bool refused = net::find_header(headers, protocol_.names.not_run).has_value();
    // Warm-up checks repeat several times a second. The lines "target_cold" and "target_warm" tell
    // what came of them.
    if (is_readiness_check) {
        log("target_checked", {{"target", health.target_id},
                               {"status", status},
                               {"refused", refused},
                               {"slots", health.slots}});
    }
    if (health.is_ready || (status == status_unavailable && !refused)) {
        watch_.on_health(now, health);
    }
    warm_up_.on_target(now, watch_.status());
    const auto left =
        warm_up_left(net::find_header(headers, protocol_.names.warm_up), protocol_.parse_warm_up);
    if (left && !refused) {
        warm_up_.on_check_answer(now, health.target_id, *left);
    }
    on_target_changed();
}

void process::on_identified(std::uint64_t session, const std::string& target_id)
{
    identified_session_ = session;
    identified_target_ = target_id;
    if (session == gate_.target_session() && target_id != watch_.status().id) {
        watch_.on_other_target(loop_.now());
    }
}

bool process::is_target_confirmed() const
{
    return identity_.is_confirmed(gate_.target_session(), watch_.status());
}

bool process::is_identity_check_due(const routing::service& service) const
{
    return service.sharded && watch_.status().phase != assignment::target_phase::absent &&
           identity_.needs_answer(gate_.target_session(), watch_.status());
}

void process::update_identity()
{
    identity_.on_answer(identified_session_, identified_target_, watch_.status(),
                        gate_.last_broken_session());
    const bool confirmed = is_target_confirmed();
    if (confirmed == target_confirmed_) {
        return;
    }
    target_confirmed_ = confirmed;
    const auto* service = routes_ ? routes_->find_service(settings_.service) : nullptr;
    if (service != nullptr && service->sharded) {
        log(confirmed ? "target_confirmed" : "target_unconfirmed",
            {{"target", watch_.status().id},
             {"born", watch_.status().start_time_ms},
             {"session", gate_.target_session()},
             {"broken", gate_.last_broken_session()}});
    }
    coordination_.set_target_confirmed(confirmed);
}

// Takes over what the manifest and the settings say about cold targets of this host's service.
void process::set_start_bound()
{
    const auto* service = routes_ ? routes_->find_service(settings_.service) : nullptr;
    if (service == nullptr) {
        return;
    }
    gate_.set_start_bound({service->cold_requests_per_s, settings_.bounds.warm_up_overage,
                           settings_.bounds.warm_up_slack});
    warm_up_.set_service(service->cold_requests_per_s > 0, service->cold_time);
    on_target_changed();
}

// Precondition: `target_watch` accepted the heartbeat.
void process::observe_warmth(const heartbeat& beat)
{
    const auto now = loop_.now();
    warm_up_.on_target(now, watch_.status());
    const bool is_known = beat.target.is_same_instance(watch_.status());
    if (is_known && beat.warm_up_left) {
        warm_up_.on_heartbeat(now, *beat.warm_up_left, age_of(beat.target));
    }
}

// Tells the gate whether the target counts as cold.
void process::update_warmth()
{
    const auto now = loop_.now();
    warm_up_.on_target(now, watch_.status());
    if (warm_up_.is_cold() == counts_as_cold_) {
        return;
    }
    counts_as_cold_ = warm_up_.is_cold();
    log(counts_as_cold_ ? "target_cold" : "target_warm", {{"target", watch_.status().id},
                                                          {"delayed", gate_.warm_up_delays()},
                                                          {"refused", gate_.warm_up_refusals()}});
    gate_.set_cold(counts_as_cold_);
}

} // namespace bulrushgw::sidecar
