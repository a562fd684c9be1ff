#include "store/protocol.h"

#include <array>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::store {

namespace {

using nlohmann::json;

constexpr std::string_view writer_prefix = R"({"writer":")";
constexpr std::string_view value_prefix = R"(","value":)";

http_message transact_message(const transact& transaction, std::string_view writer)
{
    json body{{"conditions", json::array()}, {"writes", json::array()}};
    for (const condition& expected : transaction.conditions) {
        body["conditions"].push_back({{"key", expected.key}, {"version", expected.version}});
    }
    for (const write& change : transaction.writes) {
        json value = change.erase ? json(nullptr) : json(wrap(writer, change.value));
        body["writes"].push_back({{"key", change.key}, {"value", std::move(value)}});
    }
    return {"POST", "/v1/transact", body.dump()};
}

struct message_builder {
    std::string_view writer;

    http_message operator()(const transact& request) const
    {
        return transact_message(request, writer);
    }
    http_message operator()(const read_row& request) const { return row_query(request.key); }
    http_message operator()(const read_prefix& request) const
    {
        return {"GET", "/v1/rows?prefix=" + encode_component(request.prefix), ""};
    }
    http_message operator()(const put_object& request) const
    {
        return {"PUT", "/v1/objects/" + encode_component(request.name), request.bytes};
    }
    http_message operator()(const get_object& request) const
    {
        return {"GET", "/v1/objects/" + encode_component(request.name), ""};
    }
};

stored_row row_from(const json& item)
{
    stored_row result;
    result.content.key = item.at("key").get<std::string>();
    result.content.version = item.at("version").get<std::uint64_t>();
    const json& value = item.at("value");
    result.content.value = value.is_string() ? value.get<std::string>() : value.dump();
    unwrap(result);
    return result;
}

/// Calls `read` with the parsed body. Throws `protocol_error` when the body is not valid JSON or
/// lacks a field that `read` needs.
template <typename Read>
auto parse_body(const std::string& body, const Read& read)
{
    try {
        return read(json::parse(body));
    }
    catch (const json::exception& failure) {
        throw protocol_error(std::string("invalid response from the store: ") + failure.what());
    }
}

} // namespace

http_message to_http(const request& request, std::string_view writer)
{
    return std::visit(message_builder{writer}, request);
}

http_message row_query(std::string_view key)
{
    return {"GET", "/v1/row?key=" + encode_component(key), ""};
}

stored_row parse_row(const std::string& body)
{
    return parse_body(body, [](const json& root) { return row_from(root); });
}

std::vector<row> parse_rows(const std::string& body)
{
    return parse_body(body, [](const json& root) {
        std::vector<row> rows;
        for (const json& item : root.at("rows")) {
            rows.push_back(row_from(item).content);
        }
        return rows;
    });
}

std::vector<row> parse_versions(const std::string& body)
{
    return parse_body(body, [](const json& root) {
        std::vector<row> rows;
        for (const auto& [key, version] : root.at("versions").items()) {
            if (version.is_null()) {
                continue;
            }
            rows.push_back({key, version.get<std::uint64_t>(), {}});
        }
        return rows;
    });
}

std::string wrap(std::string_view writer, std::string_view value)
{
    std::string text;
    text.reserve(writer_prefix.size() + writer.size() + value_prefix.size() + value.size() + 1);
    text.append(writer_prefix).append(writer).append(value_prefix).append(value).append("}");
    return text;
}

void unwrap(stored_row& row)
{
    const std::string& text = row.content.value;
    if (!text.starts_with(writer_prefix) || !text.ends_with('}')) {
        return;
    }
    const std::size_t end = text.find('"', writer_prefix.size());
    if (end == std::string::npos || text.compare(end, value_prefix.size(), value_prefix) != 0) {
        return;
    }
    row.writer = text.substr(writer_prefix.size(), end - writer_prefix.size());
    const std::size_t start = end + value_prefix.size();
    row.content.value = text.substr(start, text.size() - 1 - start);
}

std::string encode_component(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = (byte < 0x80 && std::isalnum(byte) != 0) ||
                                std::string_view("-._~/").find(character) != std::string_view::npos;
        if (unreserved) {
            encoded += character;
        }
        else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xfU];
        }
    }
    return encoded;
}

} // namespace bulrushgw::store
