#include "sidecar/record_text.h"

#include <nlohmann/json.hpp>

namespace bulrushgw::sidecar {

using nlohmann::json;

namespace {

using member_list = std::vector<assignment::leader_record::member>;

json to_json(const member_list& members)
{
    json result = json::array();
    for (const auto& member : members) {
        result.push_back({to_string(member.node), member.host, member.address});
    }
    return result;
}

member_list parse_members(const json& from)
{
    member_list result;
    for (const json& member : from) {
        result.push_back({parse_incarnation(member.at(0).get<std::string>()),
                          member.at(1).get<std::string>(), member.at(2).get<std::string>()});
    }
    return result;
}

} // namespace

std::string to_text(const assignment::leader_record& record)
{
    json earlier = json::array();
    for (const auto& before : record.earlier) {
        earlier.push_back({{"host", before.host}, {"members", to_json(before.members)}});
    }
    return json{{"term", record.term},
                {"beat", record.beat},
                {"leader", to_string(record.leader)},
                {"host", record.host},
                {"address", record.address},
                {"members", to_json(record.members)},
                {"earlier", std::move(earlier)}}
        .dump();
}

assignment::leader_record parse_leader_record(const std::string& text)
{
    try {
        const json root = json::parse(text);
        assignment::leader_record record;
        record.term = root.at("term").get<std::uint64_t>();
        record.beat = root.at("beat").get<std::uint64_t>();
        record.leader = parse_incarnation(root.at("leader").get<std::string>());
        record.host = root.at("host").get<std::string>();
        record.address = root.at("address").get<std::string>();
        record.members = parse_members(root.at("members"));
        for (const json& before : root.at("earlier")) {
            record.earlier.push_back(
                {before.at("host").get<std::string>(), parse_members(before.at("members"))});
        }
        return record;
    }
    catch (const json::exception& failure) {
        throw parse_error(std::string("leader record: ") + failure.what());
    }
}

} // namespace bulrushgw::sidecar
