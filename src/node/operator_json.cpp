#include "node/operator_json.h"

namespace bulrushgw::node {

namespace {

template <typename Item>
ordered_json optional_value(const std::optional<Item>& item)
{
    return item ? to_json_value(*item) : ordered_json(nullptr);
}

} // namespace

ordered_json to_json_value(incarnation_id id)
{
    return to_string(id);
}

ordered_json to_json_value(const rules::version_record& record)
{
    return {{"version", record.version},
            {"digest", record.digest},
            {"operator", record.who},
            {"when", record.when},
            {"submission_id", record.submission_id}};
}

ordered_json to_json_value(const rules::changed_line& change)
{
    return {{"kind", change.kind == rules::change_kind::added ? "added" : "removed"},
            {"line", change.line},
            {"text", change.text},
            {"asked_by", change.asked_by}};
}

ordered_json to_json_value(const rules::rule_problem& problem)
{
    return {{"line", problem.line},
            {"column", problem.column},
            {"found", problem.found},
            {"expected", problem.expected}};
}

ordered_json to_json_value(const rules_document& document)
{
    ordered_json object = to_json_value(document.record);
    object["possibly_stale"] = document.possibly_stale;
    object["text"] = document.text;
    return object;
}

ordered_json to_json_value(const key_owner& owner)
{
    ordered_json object{{"service", owner.service},
                        {"key", owner.key},
                        {"range", owner.range.value},
                        {"placement_version", owner.version.value}};
    object["owner"] = owner.owner ? to_json_value(owner.owner) : ordered_json(nullptr);
    object["host"] = owner.host;
    object["zone"] = owner.zone;
    object["address"] = owner.address;
    object["fence"] = owner.token.value;
    object["reason"] = owner.reason;
    object["candidates"] = to_json_value(owner.candidates);
    return object;
}

ordered_json to_json_value(const host_info& host)
{
    return {{"incarnation", to_string(host.incarnation)},
            {"host", host.host},
            {"zone", host.zone},
            {"region", host.region},
            {"address", host.address},
            {"service", host.service},
            {"state", host.state},
            {"slots", host.slots},
            {"checks_fences", host.checks_fences},
            {"adopted", host.adopted},
            {"witnesses", to_json_value(host.witnesses)},
            {"ended_by", host.ended_by}};
}

ordered_json to_json_value(const target_info_row& target)
{
    return {{"host", target.host},
            {"service", target.service},
            {"address", target.address},
            {"slots", target.slots},
            {"connections", target.connections},
            {"in_flight", target.in_flight},
            {"queued", target.queued},
            {"ready", target.ready},
            {"draining", target.draining},
            {"checks_fences", target.checks_fences},
            {"run_id", target.run_id}};
}

ordered_json to_json_value(const node_status& status)
{
    return {{"incarnation", to_string(status.incarnation)},
            {"host", status.host},
            {"zone", status.zone},
            {"region", status.region},
            {"service", status.service},
            {"state", status.state},
            {"reason", status.reason},
            {"lease_running", status.lease_running},
            {"lease_left_ms", status.lease_left.count()},
            {"store_up", status.store_up},
            {"rules_version", status.rules_version},
            {"rules_possibly_stale", status.rules_possibly_stale},
            {"ranges_served", status.ranges_served},
            {"in_flight", status.in_flight},
            {"queued", status.queued},
            {"members_alive", status.members_alive},
            {"members_ended", status.members_ended},
            {"uptime_ms", status.uptime.count()},
            {"build_version", status.build_version}};
}

ordered_json to_json_value(const audit_record& record)
{
    return ordered_json::parse(to_json(record));
}

ordered_json to_json_value(const done_message& done)
{
    return {{"message", done.message}};
}

net::http_response json_response(int status, const ordered_json& body)
{
    return {status,
            {{"Content-Type", "application/json"}},
            body.dump(-1, ' ', false, ordered_json::error_handler_t::replace) + "\n"};
}

net::http_response error_response(operator_failure failure, const std::string& message,
                                  const ordered_json& details)
{
    ordered_json inner{{"type", to_string(failure)}, {"message", message}};
    inner.update(details);
    return json_response(http_status(failure), {{"error", inner}});
}

net::http_response submission_response(const rules::submission_result& result)
{
    using rules::submission_status;
    switch (result.status) {
    case submission_status::accepted:
    case submission_status::repeated: {
        ordered_json body = result.record ? to_json_value(*result.record) : ordered_json::object();
        body["repeated"] = result.status == submission_status::repeated;
        return json_response(200, body);
    }
    case submission_status::invalid:
        return error_response(operator_failure::rules_invalid, "the rules file has problems",
                              {{"problems", to_json_value(result.problems)}});
    case submission_status::lost_race:
        return error_response(operator_failure::lost_race, result.message,
                              {{"winner", optional_value(result.winner)},
                               {"head", optional_value(result.head)},
                               {"their_changes", to_json_value(result.their_changes)},
                               {"differing", to_json_value(result.differing)}});
    case submission_status::id_reused:
        return error_response(operator_failure::refused, result.message);
    case submission_status::unavailable:
        return error_response(operator_failure::store_unavailable, result.message);
    case submission_status::undetermined:
        return error_response(operator_failure::outcome_unknown, result.message);
    }
    return error_response(operator_failure::outcome_unknown, result.message);
}

} // namespace bulrushgw::node
