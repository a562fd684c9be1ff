#include "sidecar/record_text.h"

#include <nlohmann/json.hpp>

namespace bulrushgw::sidecar {

using nlohmann::json;

std::string to_text(const assignment::leader_record& record)
{
    json members = json::array();
    for (const auto& member : record.members) {
        members.push_back({to_string(member.node), member.host, member.address});
    }
    return json{{"term", record.term},       {"beat", record.beat},
                {"leader", to_string(record.leader)}, {"host", record.host},
                {"address", record.address}, {"members", std::move(members)}}
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
        for (const json& member : root.at("members")) {
            record.members.push_back({parse_incarnation(member.at(0).get<std::string>()),
                                      member.at(1).get<std::string>(),
                                      member.at(2).get<std::string>()});
        }
        return record;
    }
    catch (const json::exception& failure) {
        throw parse_error(std::string("leader record: ") + failure.what());
    }
}

} // namespace bulrushgw::sidecar
