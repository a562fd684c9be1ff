#include "sidecar/entry.h"

#include <algorithm>
#include <charconv>

#include "dispatch/body_transfer.h"
#include "sidecar/client_limits.h"

namespace bulrushgw::sidecar {

using request::reason;

namespace {

constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

explained_node node_of(const assignment::node_record& record)
{
    return {record.node,      record.host,         record.address,      record.zone,
            record.target.id, record.target.slots, record.target.phase, record.target.warming_up};
}

std::optional<explained_node> find_node(const assignment::directory& view, incarnation_id node)
{
    const auto found = std::find_if(view.nodes.begin(), view.nodes.end(),
                                    [&](const auto& item) { return item.node == node; });
    return found == view.nodes.end() ? std::nullopt : std::optional{node_of(*found)};
}

std::uint32_t key_of(const explain_query& query)
{
    if (!query.key) {
        throw explain_failure(status_bad_request, "key-missing",
                              "the service is divided by key, and the request names none");
    }
    std::uint32_t key = 0;
    const auto* end = query.key->data() + query.key->size();
    const auto parsed = std::from_chars(query.key->data(), end, key);
    if (parsed.ec != std::errc{} || parsed.ptr != end || key >= assignment::key_count) {
        throw explain_failure(status_bad_request, "key-out-of-range",
                              "found key \"" + *query.key + "\", expected a number from 0 to " +
                                  std::to_string(assignment::key_count - 1));
    }
    return key;
}

/// The message for the gate, as far as its decision depends on it.
wire::forward forward_of(const explanation& report)
{
    wire::forward result;
    result.service = report.service;
    result.route = report.route;
    result.key = report.key ? std::to_string(*report.key) : std::string{};
    result.worth = report.rank;
    result.deadline = report.limits.timeout;
    result.aim = report.limits.aim;
    result.has_alternative =
        std::count_if(report.candidates.begin(), report.candidates.end(),
                      [](const auto& item) { return item.figures.has_value(); }) > 1;
    return result;
}

const char* cause_text(dispatch::pick_cause cause)
{
    switch (cause) {
    case dispatch::pick_cause::lowest_cost:
        return "lowest cost in the zone that gets most of such requests";
    case dispatch::pick_cause::trial:
        return "the target warms up and is due to get a request";
    case dispatch::pick_cause::probe:
        return "the target does not answer and is due to get a request";
    case dispatch::pick_cause::own_zone_overflow:
        return "lowest cost; the own zone is much slower";
    }
    return "unknown";
}

} // namespace

void entry::set_step(explanation& report, const step& next) const
{
    auto& decision = report.decision;
    decision.action = next.action;
    decision.cause = next.cause;
    if (next.action == explained_action::send) {
        decision.node = find_node(hooks_.member().view(), next.owner.node);
        return;
    }
    decision.reason = request::to_text(next.why);
    decision.status = status_unavailable;
    decision.retry_after = next.retry_after.count() > 0 ? next.retry_after : default_retry_after;
    decision.longest_wait =
        next.action == explained_action::wait ? report.limits.owner_wait : milliseconds{0};
    decision.node.reset();
}

void entry::explain_owner(explanation& report, const routing::route& route) const
{
    const auto& member = hooks_.member();
    const auto key = key_of(report.query);
    report.key = key;
    auto& owner = report.owner.emplace();
    if (const auto* segment = member.segment_of(report.service, key)) {
        owner.node = find_node(member.view(), segment->owner);
        owner.first = segment->first;
        owner.last = segment->last;
        owner.range_fence = segment->range_fence;
        owner.moving = segment->releasing;
    }
    if (const auto hold = member.hold_of(report.service, key)) {
        owner.hold_left =
            std::max(milliseconds{0},
                     std::chrono::duration_cast<milliseconds>(hold->served_until - loop_.now()));
    }
    set_step(report, step_for_key(route, report.service, key));
}

void entry::explain_candidates(explanation& report, const routing::route& route) const
{
    const auto& view = hooks_.member().view();
    const auto candidates = candidates_for(route, report.service);
    const auto picked = picker_.explain(loop_.now(), candidates, report.limits.aim,
                                        {report.service, route.rank, report.query.body_bytes});
    for (const auto& node : view.nodes) {
        if (node.target.service != report.service) {
            continue;
        }
        if (report.candidates.size() == max_listed_candidates) {
            ++report.candidates_left_out;
            continue;
        }
        explained_candidate item{node_of(node), {}, {}};
        const auto found = std::find_if(candidates.begin(), candidates.end(),
                                        [&](const auto& other) { return other.node == node.node; });
        if (found != candidates.end()) {
            item.figures = picked->candidates[static_cast<std::size_t>(found - candidates.begin())];
        }
        else {
            const auto excluded = exclusion_of(route, node.zone);
            item.excluded = excluded ? request::to_text(*excluded) : "not-ready";
        }
        report.candidates.push_back(std::move(item));
    }
    if (!picked) {
        set_step(report, step_without_target(route, report.service));
        return;
    }
    report.zones = picked->zones;
    for (const auto& zone : picked->zones) {
        report.leaving_share += zone.own ? 0 : zone.share;
    }
    report.decision.action = explained_action::send;
    report.decision.cause = cause_text(picked->cause);
    report.decision.node = find_node(view, candidates[picked->chosen].node);
}

// Without a service in the query, explains the destination with the largest weight.
void entry::explain_destinations(explanation& report, const routing::route& route) const
{
    const auto eligible = routing::eligible_destinations(
        route, [&](const routing::destination& item) { return is_usable(route, item); });
    double total = 0;
    for (const auto* item : eligible) {
        total += item->weight;
    }
    const routing::destination* chosen = nullptr;
    for (const auto* item : eligible) {
        report.destinations.push_back({item->service, item->weight / total});
        const bool is_wanted = report.query.service.empty()
                                   ? chosen == nullptr || item->weight > chosen->weight
                                   : item->service == report.query.service;
        chosen = is_wanted ? item : chosen;
    }
    if (chosen == nullptr) {
        throw explain_failure(status_not_found, "no-destination",
                              "the route sends no requests to service \"" + report.query.service +
                                  "\" now");
    }
    report.service = chosen->service;
}

void entry::explain_limits(explanation& report, const routing::route& route) const
{
    const auto& query = report.query;
    const auto spent =
        query.deadline ? time_spent_.estimate(route.name, *query.deadline) : milliseconds{0};
    const auto times = limits_of(route, query.deadline, spent);
    auto& limits = report.limits;
    limits.timeout = times.deadline;
    limits.aim = times.aim;
    limits.owner_wait = times.owner_wait;
    limits.attempts = route.attempts;
    const auto found = retry_allowances_.find(report.service);
    const auto allowance =
        found == retry_allowances_.end() ? dispatch::retry_allowance{} : found->second;
    limits.retries_left = allowance.left(loop_.now());
    const auto& content = routes_->content();
    limits.max_body_bytes =
        content.limits.body_bytes > 0 ? content.limits.body_bytes : default_body_bytes;
    limits.body_in_parts = query.body_bytes > dispatch::direct_body_bytes;
    if (const auto* service = routes_->find_service(report.service)) {
        limits.cold_requests_per_s = service->cold_requests_per_s;
        report.sharded = service->sharded;
    }
}

void entry::apply_gate(explanation& report, const routing::route& route) const
{
    const auto& gate = *report.gate;
    if (gate.result != gate_explanation::verdict::refuse) {
        return;
    }
    if (report.sharded) {
        set_step(report,
                 step_after_owner_refused(route, report.service, gate.why, gate.retry_after));
    }
    else {
        report.decision.cause +=
            "; its queue would refuse the request, which then goes to another target";
    }
}

// The route, and the versions and ages of what the decision is based on.
void entry::explain_sources(explanation& report, const routing::route& route) const
{
    const auto now = loop_.now();
    const auto& member = hooks_.member();
    const auto age_of = [&](time_point then) {
        return std::chrono::duration_cast<milliseconds>(now - then);
    };
    report.manifest_version = routes_->content().version;
    report.route = route.name;
    report.rank = route.rank;
    report.idempotent = route.idempotent;
    report.directory_term = member.view().term;
    report.directory_version = member.view().version;
    if (member.leader_heard() != time_point{}) {
        report.view_age = age_of(member.leader_heard());
    }
    report.evacuations_version = hooks_.evacuations().version().number();
    if (const auto confirmed = hooks_.evacuations().confirmed_at()) {
        report.evacuations_age = age_of(*confirmed);
    }
}

explanation
entry::explain(const explain_query& query,
               const std::function<gate_explanation(const wire::forward&)>& ask_gate) const
{
    if (!routes_) {
        throw explain_failure(status_unavailable, "no-manifest", "no manifest is known yet");
    }
    const auto* route = routes_->find(query.host, query.path);
    if (route == nullptr) {
        throw explain_failure(status_not_found, "no-route",
                              "no route for host \"" + query.host + "\" and path \"" + query.path +
                                  "\"");
    }
    explanation report;
    report.query = query;
    explain_sources(report, *route);
    explain_destinations(report, *route);
    explain_limits(report, *route);
    if (report.sharded) {
        explain_owner(report, *route);
    }
    else {
        explain_candidates(report, *route);
    }
    if (report.decision.node && report.decision.node->node == hooks_.self()) {
        report.gate = ask_gate(forward_of(report));
        apply_gate(report, *route);
    }
    if (closed_) {
        set_step(report, {explained_action::refuse,
                          reason::shut_down,
                          "the node stops",
                          default_retry_after,
                          {}});
    }
    if (query.body_bytes > report.limits.max_body_bytes) {
        set_step(report, {explained_action::refuse,
                          reason::body_too_large,
                          "the body exceeds the limit of the manifest",
                          milliseconds{0},
                          {}});
        report.decision.status = request::info_of(reason::body_too_large).status;
        report.decision.retry_after = milliseconds{0};
    }
    return report;
}

} // namespace bulrushgw::sidecar
