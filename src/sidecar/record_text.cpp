#include "sidecar/record_text.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <nlohmann/json.hpp>
#include <zlib.h>

namespace bulrushgw::sidecar {

using nlohmann::json;

namespace {

/// A compressed record begins with this prefix and the decimal size of the JSON, followed by
/// `size_end`.
constexpr std::string_view compressed_prefix = "z1:";
constexpr char size_end = ':';
/// Enough for records of some ten thousand members; a record with a larger declared size is
/// rejected.
constexpr std::size_t max_plain_bytes = std::size_t{8} * 1024 * 1024;

std::string compress_text(const std::string& plain)
{
    uLongf size = compressBound(static_cast<uLong>(plain.size()));
    std::string compressed(size, '\0');
    const int result = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                                 reinterpret_cast<const Bytef*>(plain.data()),
                                 static_cast<uLong>(plain.size()), Z_BEST_COMPRESSION);
    if (result != Z_OK) {
        throw error("leader record: zlib compression failed with code " + std::to_string(result));
    }
    compressed.resize(size);
    return std::string(compressed_prefix) + std::to_string(plain.size()) + size_end + compressed;
}

std::string decompress_text(const std::string& text)
{
    if (!text.starts_with(compressed_prefix)) {
        return text;
    }
    const auto end = text.find(size_end, compressed_prefix.size());
    std::size_t size = 0;
    const char* size_text_end = text.data() + std::min(end, text.size());
    const auto parsed =
        std::from_chars(text.data() + compressed_prefix.size(), size_text_end, size);
    if (end == std::string::npos || parsed.ec != std::errc{} || parsed.ptr != size_text_end ||
        size > max_plain_bytes) {
        throw parse_error("leader record: the declared size is invalid or too large");
    }
    std::string plain(size, '\0');
    uLongf plain_size = static_cast<uLongf>(size);
    const int result = uncompress(reinterpret_cast<Bytef*>(plain.data()), &plain_size,
                                  reinterpret_cast<const Bytef*>(text.data() + end + 1),
                                  static_cast<uLong>(text.size() - end - 1));
    if (result != Z_OK || plain_size != size) {
        throw parse_error("leader record: the compressed data is corrupt");
    }
    return plain;
}

using member_list = std::vector<assignment::leader_record::member>;

json to_json(const std::vector<incarnation_id>& nodes)
{
    json result = json::array();
    for (const auto node : nodes) {
        result.push_back(to_string(node));
    }
    return result;
}

std::vector<incarnation_id> parse_nodes(const json& from)
{
    std::vector<incarnation_id> result;
    for (const json& node : from) {
        result.push_back(parse_incarnation(node.get<std::string>()));
    }
    return result;
}

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

// Leaders of earlier versions do not name the longest lease, and give only leases of
// `timing::lease`.
milliseconds parse_lease(const json& from)
{
    const milliseconds result{from.value("longest_lease_ms", assignment::timing{}.lease.count())};
    if (result.count() < 0 || result > assignment::max_named_lease) {
        throw parse_error("leader record: the longest lease is out of range");
    }
    return result;
}

} // namespace

std::string to_text(const assignment::leader_record& record)
{
    json earlier = json::array();
    for (const auto& before : record.earlier) {
        earlier.push_back({{"host", before.host},
                           {"members", to_json(before.members)},
                           {"successors", before.successors},
                           {"longest_lease_ms", before.longest_lease.count()}});
    }
    const json root{{"term", record.term},
                    {"beat", record.beat},
                    {"leader", to_string(record.leader)},
                    {"host", record.host},
                    {"address", record.address},
                    {"members", to_json(record.members)},
                    {"successors", to_json(record.successors)},
                    {"longest_lease_ms", record.longest_lease.count()},
                    {"earlier", std::move(earlier)}};
    // Names of hosts come from their reports and may contain bytes that are not UTF-8.
    return compress_text(root.dump(-1, ' ', false, json::error_handler_t::replace));
}

assignment::leader_record parse_leader_record(const std::string& text)
{
    try {
        const json root = json::parse(decompress_text(text));
        assignment::leader_record record;
        record.term = root.at("term").get<std::uint64_t>();
        record.beat = root.at("beat").get<std::uint64_t>();
        record.leader = parse_incarnation(root.at("leader").get<std::string>());
        record.host = root.at("host").get<std::string>();
        record.address = root.at("address").get<std::string>();
        record.members = parse_members(root.at("members"));
        // Records of earlier versions name no successors, and those versions transfer no terms.
        record.successors = parse_nodes(root.value("successors", json::array()));
        record.longest_lease = parse_lease(root);
        for (const json& before : root.at("earlier")) {
            record.earlier.push_back(
                {before.at("host").get<std::string>(), parse_members(before.at("members")),
                 before.value("successors", std::vector<std::string>{}), parse_lease(before)});
        }
        return record;
    }
    catch (const json::exception& failure) {
        throw parse_error(std::string("leader record: ") + failure.what());
    }
}

} // namespace bulrushgw::sidecar
