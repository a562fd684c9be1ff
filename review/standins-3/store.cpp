#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace bulrushgw::review {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_conflict = 412;
constexpr int status_unavailable = 503;
/// Time that the store takes for a read or a transaction.
constexpr milliseconds answer_time{4};

std::string to_base64(const std::string& bytes)
{
    std::string result((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(result.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    result.resize(static_cast<std::size_t>(size));
    return result;
}

/// Value of a query parameter with its percent-encodings decoded, or empty text.
std::string query_parameter(const std::string& path, const std::string& name)
{
    auto at = path.find("?" + name + "=");
    at = at == std::string::npos ? path.find("&" + name + "=") : at;
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 2;
    const std::string text = path.substr(begin, path.find('&', begin) - begin);
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        else {
            result += text[i];
        }
    }
    return result;
}

json to_json(const std::pair<std::string, std::string>& key, const std::string& value,
             std::uint64_t version)
{
    return {{"table", key.first},
            {"part", ""},
            {"key", key.second},
            {"value", value},
            {"ver", version}};
}

} // namespace

store::store(net::loop& loop, const net::endpoint& address, const std::string& manifest,
             record& log)
    : loop_(loop), log_(log), manifest_(to_base64(manifest)),
      server_(loop, address, [this](const net::http_exchange& exchange) { handle(exchange); })
{
    put({"op", "config"}, manifest_);
}

void store::take_copy()
{
    copy_ = content_;
    log_.write("store: copy taken at version " + std::to_string(copy_.version));
}

void store::set_away(bool away)
{
    away_ = away;
    log_.write(away ? "store: away" : "store: back");
    if (!away) {
        return;
    }
    while (!watchers_.empty()) {
        const auto waiting = watchers_.extract(watchers_.begin());
        respond(waiting.mapped().exchange, status_unavailable, "{}");
    }
}

void store::restore_copy()
{
    log_.write("store: version " + std::to_string(content_.version) + " replaced by the copy of " +
               std::to_string(copy_.version) + ", era " + std::to_string(era_ + 1));
    content_ = copy_;
    ++era_;
    put({"op", "config"}, manifest_);
}

void store::respond(const net::http_exchange& exchange, int status, std::string body) const
{
    exchange.respond({status,
                      {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}},
                      std::move(body)});
}

void store::put(const row_key& key, const std::string& value)
{
    content_.rows[key] = {value, ++content_.version};
}

void store::handle(const net::http_exchange& exchange)
{
    loop_.after(answer_time, [this, exchange] {
        const std::string& path = exchange.request.path;
        if (away_) {
            respond(exchange, status_unavailable, "{}");
        }
        else if (path.starts_with("/v1/rows-tx")) {
            transact(exchange);
        }
        else if (path.starts_with("/v1/rows-get")) {
            read(exchange);
        }
        else if (path.starts_with("/v1/rows-feed")) {
            watch(exchange);
        }
        else {
            respond(exchange, status_not_found, "{}");
        }
    });
}

void store::transact(const net::http_exchange& exchange)
{
    const json root = json::parse(exchange.request.body);
    json conflicts = json::array();
    bool holds = true;
    for (const json& item : root.at("precondition")) {
        const row_key key{item.at("table"), item.at("key")};
        const auto found = content_.rows.find(key);
        const std::uint64_t version = found == content_.rows.end() ? 0 : found->second.version;
        holds = holds && version == item.at("ver").get<std::uint64_t>();
        if (version != 0) {
            conflicts.push_back(to_json(key, found->second.value, version));
        }
    }
    if (!holds) {
        respond(exchange, status_conflict,
                json{{"rows", conflicts}, {"ver", content_.version}, {"nowMs", 1}}.dump());
        return;
    }
    for (const json& item : root.at("puts")) {
        put({item.at("table"), item.at("key")}, item.at("value"));
    }
    respond(exchange, status_ok, json{{"ver", content_.version}, {"nowMs", 1}}.dump());
    answer_watchers();
}

void store::read(const net::http_exchange& exchange)
{
    const std::string& path = exchange.request.path;
    const std::string table = query_parameter(path, "table");
    const std::string from = query_parameter(path, "from");
    const std::string end = query_parameter(path, "target");
    json rows = json::array();
    for (const auto& [key, item] : content_.rows) {
        if (key.first == table && key.second >= from && (end.empty() || key.second < end)) {
            rows.push_back(to_json(key, item.value, item.version));
        }
    }
    respond(
        exchange, status_ok,
        json{{"rows", rows}, {"morePages", false}, {"ver", content_.version}, {"nowMs", 1}}.dump());
}

std::string store::rows_after(const std::string& table, std::uint64_t after) const
{
    json rows = json::array();
    for (const auto& [key, item] : content_.rows) {
        if (key.first == table && item.version > after) {
            rows.push_back(to_json(key, item.value, item.version));
        }
    }
    return rows.empty() ? std::string{}
                        : json{{"rows", rows}, {"ver", content_.version}, {"nowMs", 1}}.dump();
}

void store::watch(const net::http_exchange& exchange)
{
    const std::string& path = exchange.request.path;
    const auto after = std::strtoull(query_parameter(path, "after").c_str(), nullptr, 10);
    if (after > content_.version) {
        respond(exchange, status_gone, "{}");
        return;
    }
    const milliseconds wait{std::strtol(query_parameter(path, "waitMs").c_str(), nullptr, 10)};
    const auto number = next_watcher_++;
    watchers_[number] = {exchange, query_parameter(path, "table"), after};
    if (!rows_after(watchers_[number].table, after).empty()) {
        end_watch(number);
        return;
    }
    loop_.after(wait, [this, number] { end_watch(number); });
}

void store::end_watch(std::uint64_t number)
{
    const auto waiting = watchers_.extract(number);
    if (waiting.empty()) {
        return;
    }
    const auto& [exchange, table, after] = waiting.mapped();
    const std::string rows = rows_after(table, after);
    const json none{{"rows", json::array()}, {"ver", content_.version}, {"nowMs", 1}};
    respond(exchange, status_ok, rows.empty() ? none.dump() : rows);
}

void store::answer_watchers()
{
    std::vector<std::uint64_t> due;
    for (const auto& [number, waiting] : watchers_) {
        if (!rows_after(waiting.table, waiting.after).empty()) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        end_watch(number);
    }
}

} // namespace bulrushgw::review
