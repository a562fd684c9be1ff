#pragma once

/// JSON responses of the operator interface. All functions are thread-safe.

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "node/operator_api.h"

namespace bulrushgw::node {

using nlohmann::ordered_json;

ordered_json to_json_value(const rules::version_record& record);
ordered_json to_json_value(const rules::changed_line& change);
ordered_json to_json_value(const rules::rule_problem& problem);
ordered_json to_json_value(const rules_document& document);
ordered_json to_json_value(const key_owner& owner);
ordered_json to_json_value(const host_info& host);
ordered_json to_json_value(const target_info_row& target);
ordered_json to_json_value(const node_status& status);
ordered_json to_json_value(const audit_record& record);
ordered_json to_json_value(const done_message& done);
ordered_json to_json_value(incarnation_id id);

template <typename Item>
ordered_json to_json_value(const std::vector<Item>& items)
{
    ordered_json list = ordered_json::array();
    for (const Item& item : items) {
        list.push_back(to_json_value(item));
    }
    return list;
}

/// Response with a JSON body. Invalid UTF-8 is replaced.
net::http_response json_response(int status, const ordered_json& body);

/// Response with the status of the failure and the body `{"error":{"type":...,"message":...}}`. The
/// fields of `details` are added to the inner object.
net::http_response error_response(operator_failure failure, const std::string& message,
                                  const ordered_json& details = ordered_json::object());

net::http_response submission_response(const rules::submission_result& result);

} // namespace bulrushgw::node
