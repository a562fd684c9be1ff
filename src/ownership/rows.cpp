#include "ownership/rows.h"

#include <algorithm>
#include <array>
#include <limits>

#include <nlohmann/json.hpp>

namespace bulrushgw::ownership {

namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> state_names{"joining", "active", "leaving", "ended"};
/// `candidate_table` holds positions of members in 16 bits.
constexpr std::size_t member_limit = std::numeric_limits<std::uint16_t>::max();

std::string state_text(member_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

member_state parse_state(const std::string& text)
{
    for (std::size_t i = 0; i < state_names.size(); ++i) {
        if (text == state_names.at(i)) {
            return static_cast<member_state>(i);
        }
    }
    throw parse_error("unknown state \"" + text + "\"");
}

/// Serializes without throwing: replaces invalid UTF-8, which settings may contain.
std::string dump(const json& object)
{
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

json list_json(const placement_list& list)
{
    json members = json::array();
    for (const weighted_member& member : list.members) {
        members.push_back(
            {{"incarnation", to_string(member.incarnation)}, {"weight", member.weight}});
    }
    json overrides = json::object();
    for (const auto& [range, id] : list.overrides) {
        overrides[std::to_string(range.value)] = to_string(id);
    }
    return {{"version", list.version.value}, {"members", members}, {"overrides", overrides}};
}

std::uint32_t parse_range(const std::string& text)
{
    std::size_t used = 0;
    const unsigned long value = std::stoul(text, &used);
    if (used != text.size() || value > std::numeric_limits<std::uint32_t>::max()) {
        throw parse_error("\"" + text + "\" is no range");
    }
    return static_cast<std::uint32_t>(value);
}

/// Reads an unsigned number. `json::get` alone would silently convert a negative or too large one.
template <typename Number>
Number number_at(const json& object, const char* field)
{
    const json& value = object.at(field);
    if (!value.is_number_unsigned() ||
        value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        throw parse_error(std::string{"field "} + field + " is no unsigned number in range");
    }
    return value.get<Number>();
}

placement_list parse_list(const json& object)
{
    placement_list list;
    list.version.value = number_at<std::uint64_t>(object, "version");
    for (const json& item : object.at("members")) {
        weighted_member member;
        member.incarnation = parse_incarnation(item.at("incarnation").get<std::string>());
        member.weight = number_at<std::uint32_t>(item, "weight");
        if (!member.incarnation || member.weight == 0) {
            throw parse_error("member without incarnation or weight");
        }
        list.members.push_back(member);
    }
    const auto not_ascending = [](const weighted_member& left, const weighted_member& right) {
        return left.incarnation >= right.incarnation;
    };
    if (list.members.size() > member_limit ||
        std::adjacent_find(list.members.begin(), list.members.end(), not_ascending) !=
            list.members.end()) {
        throw parse_error("members are too many or not ascending");
    }
    for (const auto& [range, id] : object.at("overrides").items()) {
        list.overrides[range_id{parse_range(range)}] = parse_incarnation(id.get<std::string>());
    }
    return list;
}

/// Runs `parse` and converts each of its exceptions to a `row_error` that names the row.
template <typename Parse>
auto parse_row(const std::string& key, const std::string& text, Parse parse)
{
    try {
        return parse(json::parse(text));
    }
    catch (const json::exception& problem) {
        throw row_error(key, problem.what());
    }
    catch (const parse_error& problem) {
        throw row_error(key, problem.what());
    }
    catch (const std::logic_error& problem) { // thrown by std::stoul
        throw row_error(key, problem.what());
    }
}

} // namespace

std::string member_key(incarnation_id id)
{
    return member_prefix + to_string(id);
}

std::string placement_key(const std::string& service)
{
    return placement_prefix + service;
}

std::string encode_member(const member_row& row, const std::string& writer)
{
    json witnesses = json::array();
    for (const incarnation_id id : row.witnesses) {
        witnesses.push_back(to_string(id));
    }
    const json object{{"incarnation", to_string(row.incarnation)},
                      {"host", row.host},
                      {"zone", row.zone},
                      {"region", row.region},
                      {"address", row.address},
                      {"client_address", row.client_address},
                      {"service", row.service},
                      {"slots", row.slots},
                      {"checks_fences", row.checks_fences},
                      {"set_version", row.set_version},
                      {"witnesses", witnesses},
                      {"adopted", row.adopted.value},
                      {"state", state_text(row.state)},
                      {"ended_by", row.ended_by},
                      {"writer", writer}};
    return dump(object);
}

std::string encode_placement(const placement& record, const std::string& writer)
{
    const json object{{"service", record.service},
                      {"ranges", record.ranges},
                      {"current", list_json(record.current)},
                      {"previous", list_json(record.previous)},
                      {"proposer", to_string(record.proposer)},
                      {"reason", record.reason},
                      {"writer", writer}};
    return dump(object);
}

member_row parse_member(const std::string& key, const std::string& text)
{
    return parse_row(key, text, [&](const json& object) {
        member_row row;
        row.incarnation = parse_incarnation(object.at("incarnation").get<std::string>());
        if (!row.incarnation || member_key(row.incarnation) != key) {
            throw parse_error("incarnation does not match the key");
        }
        object.at("host").get_to(row.host);
        object.at("zone").get_to(row.zone);
        object.at("region").get_to(row.region);
        object.at("address").get_to(row.address);
        object.at("client_address").get_to(row.client_address);
        object.at("service").get_to(row.service);
        row.slots = number_at<std::uint32_t>(object, "slots");
        object.at("checks_fences").get_to(row.checks_fences);
        row.set_version = number_at<std::uint32_t>(object, "set_version");
        for (const json& id : object.at("witnesses")) {
            row.witnesses.push_back(parse_incarnation(id.get<std::string>()));
        }
        row.adopted.value = number_at<std::uint64_t>(object, "adopted");
        row.state = parse_state(object.at("state").get<std::string>());
        object.at("ended_by").get_to(row.ended_by);
        return row;
    });
}

placement parse_placement(const std::string& key, const std::string& text)
{
    return parse_row(key, text, [&](const json& object) {
        placement record;
        object.at("service").get_to(record.service);
        if (placement_key(record.service) != key) {
            throw parse_error("service does not match the key");
        }
        record.ranges = number_at<std::uint32_t>(object, "ranges");
        record.current = parse_list(object.at("current"));
        record.previous = parse_list(object.at("previous"));
        if (record.current.version.value != record.previous.version.value + 1) {
            throw parse_error("versions do not follow each other");
        }
        record.proposer = parse_incarnation(object.at("proposer").get<std::string>());
        object.at("reason").get_to(record.reason);
        return record;
    });
}

std::string writer_of(const std::string& text)
{
    const json object = json::parse(text, nullptr, false);
    const bool has_writer = object.is_object() && object.contains("writer");
    return has_writer && object["writer"].is_string() ? object["writer"].get<std::string>()
                                                      : std::string{};
}

} // namespace bulrushgw::ownership
