#pragma once

/// In-memory model of the platform store's HTTP interface for tests of the client.

#include <map>
#include <optional>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "store/client.h"

struct http_store {
    struct stored {
        std::uint64_t version = 0;
        std::string value;
    };
    std::map<std::string, stored> rows;
    std::map<std::string, std::uint64_t> versions; ///< last version of each row, even if deleted
    std::uint64_t transactions = 0;

    /// Executes a request. Returns the status and the body of the response.
    std::pair<int, std::string> run(const bulrushgw::store::http_message& message)
    {
        using nlohmann::json;
        const std::string row_path = "/v1/row?key=";
        const std::string rows_path = "/v1/rows?prefix=";
        if (message.path.starts_with(row_path)) {
            const auto row = rows.find(message.path.substr(row_path.size()));
            return row == rows.end() ? std::pair{404, std::string()}
                                     : std::pair{200, to_json(*row).dump()};
        }
        if (message.path.starts_with(rows_path)) {
            json list = json::array();
            for (const auto& row : rows) {
                if (row.first.starts_with(message.path.substr(rows_path.size()))) {
                    list.push_back(to_json(row));
                }
            }
            return {200, json{{"rows", list}}.dump()};
        }
        return message.path == "/v1/transact" ? transact(json::parse(message.body))
                                              : std::pair{200, std::string()};
    }

private:
    static nlohmann::json to_json(const std::pair<const std::string, stored>& row)
    {
        return {{"key", row.first}, {"version", row.second.version}, {"value", row.second.value}};
    }

    std::pair<int, std::string> transact(const nlohmann::json& body)
    {
        ++transactions;
        nlohmann::json failed = nlohmann::json::array();
        for (const auto& condition : body["conditions"]) {
            const auto row = rows.find(condition["key"]);
            const std::uint64_t version = row == rows.end() ? 0 : row->second.version;
            if (version != condition["version"].get<std::uint64_t>()) {
                failed.push_back(condition["key"]);
            }
        }
        if (!failed.empty()) {
            return {409, nlohmann::json{{"failed", failed}}.dump()};
        }
        nlohmann::json written = nlohmann::json::object();
        for (const auto& write : body["writes"]) {
            const std::string key = write["key"];
            if (write["value"].is_null()) {
                rows.erase(key);
                continue;
            }
            rows[key] = {++versions[key], write["value"].get<std::string>()};
            written[key] = versions[key];
        }
        return {200, nlohmann::json{{"versions", written}}.dump()};
    }
};
