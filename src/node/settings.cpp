#include "node/settings.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushgw::node {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;

struct unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array duration_units{unit{"ms", 1}, unit{"s", 1000}, unit{"min", 60000}};
constexpr std::array size_units{unit{"B", 1}, unit{"KiB", kibibyte}, unit{"MiB", mebibyte}};
constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warn", "error"};

/// Maximum number of bytes of an invalid value that a problem quotes.
constexpr std::size_t max_found_bytes = 60;

template <std::size_t Count>
std::optional<std::int64_t> parse_with_unit(const std::string& text,
                                            const std::array<unit, Count>& units)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc{} || number < 0) {
        return std::nullopt;
    }
    const std::string_view suffix(stop, static_cast<std::size_t>(end - stop));
    for (const unit& candidate : units) {
        if (suffix == candidate.name) {
            std::int64_t product = 0;
            if (__builtin_mul_overflow(number, candidate.factor, &product)) {
                return std::nullopt;
            }
            return product;
        }
    }
    return std::nullopt;
}

/// Formats a value in the largest unit in which it is an integer.
template <std::size_t Count>
std::string text_with_unit(std::int64_t value, const std::array<unit, Count>& units)
{
    const unit* best = &units.front();
    for (const unit& candidate : units) {
        if (value != 0 && value % candidate.factor == 0) {
            best = &candidate;
        }
    }
    return std::to_string(value / best->factor) + std::string(best->name);
}

std::string text_in_unit(const settings_field& field, std::int64_t value)
{
    switch (field.kind) {
    case field_kind::duration:
        return text_with_unit(value, duration_units);
    case field_kind::size:
        return text_with_unit(value, size_units);
    default:
        return std::to_string(value);
    }
}

std::string range_text(const settings_field& field)
{
    return text_in_unit(field, field.min_value) + " to " + text_in_unit(field, field.max_value);
}

std::string expected_text(const settings_field& field)
{
    switch (field.kind) {
    case field_kind::text:
        return "non-empty string of at most " + std::to_string(field.max_value) + " bytes";
    case field_kind::address:
        return R"(address "IP:port" with a port from 1 to 65535, such as "127.0.0.1:8080")";
    case field_kind::address_list:
        return "array of at most " + std::to_string(field.max_value) + R"( addresses "IP:port")";
    case field_kind::duration:
        return "duration string with the unit ms, s or min, from " + range_text(field);
    case field_kind::size:
        return "size string with the unit B, KiB or MiB, from " + range_text(field);
    case field_kind::count:
        return "integer without a unit, from " + range_text(field);
    case field_kind::level:
        return R"("debug", "info", "warn" or "error")";
    }
    return {};
}

std::string shorten(std::string text)
{
    if (text.size() > max_found_bytes) {
        text.resize(max_found_bytes);
        text += "...";
    }
    return text;
}

std::string found_text(const json& value)
{
    return shorten(value.dump(-1, ' ', true, json::error_handler_t::replace));
}

std::optional<net::endpoint> parse_address(const json& value)
{
    if (!value.is_string()) {
        return std::nullopt;
    }
    try {
        net::endpoint address = net::parse_endpoint(value.get<std::string>());
        if (address.port == 0) {
            return std::nullopt;
        }
        return address;
    }
    catch (const net::address_error&) {
        return std::nullopt;
    }
}

std::optional<std::int64_t> parse_number(const settings_field& field, const json& value)
{
    std::optional<std::int64_t> number;
    if (field.kind == field_kind::count) {
        if (value.is_number_unsigned() && value.get<std::uint64_t>() <= INT64_MAX) {
            number = value.get<std::int64_t>();
        }
    }
    else if (value.is_string()) {
        const auto& text = value.get_ref<const std::string&>();
        number = field.kind == field_kind::duration ? parse_with_unit(text, duration_units)
                                                    : parse_with_unit(text, size_units);
    }
    if (!number || *number < field.min_value || *number > field.max_value) {
        return std::nullopt;
    }
    return number;
}

/// Stores a value in a member of the settings. Returns false if the field doesn't allow the value.
struct value_parser {
    const settings_field& field;
    const json& value;

    bool operator()(std::string* member) const
    {
        if (!value.is_string()) {
            return false;
        }
        *member = value.get<std::string>();
        return !member->empty() && std::cmp_less_equal(member->size(), field.max_value);
    }
    bool operator()(net::endpoint* member) const
    {
        const auto address = parse_address(value);
        if (address) {
            *member = *address;
        }
        return address.has_value();
    }
    bool operator()(std::vector<net::endpoint>* member) const
    {
        if (!value.is_array() || std::cmp_greater(value.size(), field.max_value)) {
            return false;
        }
        member->clear();
        for (const json& item : value) {
            const auto address = parse_address(item);
            if (!address) {
                return false;
            }
            member->push_back(*address);
        }
        return true;
    }
    bool operator()(milliseconds* member) const
    {
        const auto number = parse_number(field, value);
        *member = milliseconds{number.value_or(0)};
        return number.has_value();
    }
    bool operator()(std::size_t* member) const
    {
        const auto number = parse_number(field, value);
        *member = static_cast<std::size_t>(number.value_or(0));
        return number.has_value();
    }
    bool operator()(unsigned* member) const
    {
        const auto number = parse_number(field, value);
        *member = static_cast<unsigned>(number.value_or(0));
        return number.has_value();
    }
    bool operator()(log_level* member) const
    {
        if (!value.is_string()) {
            return false;
        }
        const auto* name = std::ranges::find(level_names, value.get_ref<const std::string&>());
        if (name == level_names.end()) {
            return false;
        }
        *member = static_cast<log_level>(name - level_names.begin());
        return true;
    }
};

struct value_printer {
    const settings_field& field;

    json operator()(const std::string* member) const { return *member; }
    json operator()(const net::endpoint* member) const { return net::to_string(*member); }
    json operator()(const std::vector<net::endpoint>* member) const
    {
        json list = json::array();
        for (const net::endpoint& address : *member) {
            list.push_back(net::to_string(address));
        }
        return list;
    }
    json operator()(const milliseconds* member) const
    {
        return text_in_unit(field, member->count());
    }
    json operator()(const std::size_t* member) const
    {
        if (field.kind == field_kind::size) {
            return text_in_unit(field, static_cast<std::int64_t>(*member));
        }
        return *member;
    }
    json operator()(const unsigned* member) const { return *member; }
    json operator()(const log_level* member) const
    {
        return level_names.at(static_cast<std::size_t>(*member));
    }
};

const settings_field* find_field(const std::string& path)
{
    const auto* field = std::ranges::find(settings_fields, path, &settings_field::path);
    return field == settings_fields.end() ? nullptr : field;
}

bool is_section(const std::string& path)
{
    return std::ranges::any_of(settings_fields, [&](const settings_field& field) {
        return field.path.starts_with(path + ".");
    });
}

json::json_pointer pointer_of(std::string_view path)
{
    std::string text = "/" + std::string(path);
    std::ranges::replace(text, '.', '/');
    return json::json_pointer(text);
}

/// Reads a settings object and collects its problems.
class settings_reader {
public:
    explicit settings_reader(const std::string& file) : file_(file) {}

    settings read(const std::string& text)
    {
        settings result;
        const json root = parse_json(text);
        if (problems_.empty() && !root.is_object()) {
            report("", found_text(root), "one JSON object");
        }
        if (problems_.empty()) {
            report_unknown_fields(root, "");
            for (const settings_field& field : settings_fields) {
                read_field(root, field, result);
            }
            check_relations(result);
        }
        if (!problems_.empty()) {
            throw settings_error(std::move(problems_));
        }
        return result;
    }

private:
    void report(const std::string& field, const std::string& found, const std::string& expected)
    {
        problems_.push_back({file_, field, found, expected});
        invalid_fields_.insert(field);
    }

    /// Parses JSON and reports duplicate names in an object, because nlohmann::json silently keeps
    /// only the last value.
    json parse_json(const std::string& text)
    {
        std::vector<std::set<std::string>> names;
        const auto check_duplicate_names = [&](int, json::parse_event_t event, json& value) {
            if (event == json::parse_event_t::object_start) {
                names.emplace_back();
            }
            else if (event == json::parse_event_t::object_end) {
                names.pop_back();
            }
            else if (event == json::parse_event_t::key &&
                     !names.back().insert(value.get<std::string>()).second) {
                report(value.get<std::string>(), "the same name twice", "each field once");
            }
            return true;
        };
        try {
            return json::parse(text, check_duplicate_names);
        }
        catch (const json::parse_error& failure) {
            report("", shorten_reason(failure.what()), "one JSON object");
            return {};
        }
    }

    static std::string shorten_reason(const std::string& text)
    {
        const std::size_t place = text.find("parse error");
        return place == std::string::npos ? text : text.substr(place);
    }

    void report_unknown_fields(const json& object, const std::string& prefix)
    {
        for (const auto& [name, value] : object.items()) {
            const std::string path = prefix + name;
            if (find_field(path) != nullptr && name.find('.') == std::string::npos) {
                continue;
            }
            if (!is_section(path) || name.find('.') != std::string::npos) {
                report(path, "unknown field", "one of the fields in docs/operators.md");
            }
            else if (value.is_object()) {
                report_unknown_fields(value, path + ".");
            }
            else {
                report(path, found_text(value), "object");
                invalid_sections_.insert(path + ".");
            }
        }
    }

    void read_field(const json& root, const settings_field& field, settings& result)
    {
        const bool in_invalid_section =
            std::ranges::any_of(invalid_sections_, [&](const std::string& prefix) {
                return field.path.starts_with(prefix);
            });
        if (in_invalid_section) {
            return;
        }
        const auto pointer = pointer_of(field.path);
        if (root.contains(pointer)) {
            const json& value = root.at(pointer);
            if (!std::visit(value_parser{field, value}, field.member(result))) {
                report(std::string(field.path), found_text(value), expected_text(field));
            }
        }
        else if (field.default_json.empty()) {
            report(std::string(field.path), "nothing", expected_text(field));
        }
        else {
            const json value = json::parse(field.default_json);
            std::visit(value_parser{field, value}, field.member(result));
        }
    }

    [[nodiscard]] bool are_valid(std::initializer_list<const char*> fields) const
    {
        return std::ranges::none_of(
            fields, [&](const char* field) { return invalid_fields_.contains(field); });
    }

    /// Checks relations between fields, but only if each of these fields is valid by itself.
    void check_relations(const settings& values)
    {
        if (!invalid_sections_.empty()) {
            return;
        }
        const auto& lease = values.lease;
        if (are_valid({"lease.length", "lease.renewal"}) && lease.lease < 3 * lease.renewal) {
            report("lease.length", text_with_unit(lease.lease.count(), duration_units),
                   "at least 3 times lease.renewal, so that a lost renewal does not end the lease");
        }
        if (are_valid({"lease.tick", "lease.renewal"}) && 2 * lease.tick > lease.renewal) {
            report("lease.tick", text_with_unit(lease.tick.count(), duration_units),
                   "at most half of lease.renewal");
        }
        if (are_valid({"lease.pause_threshold", "lease.length"}) &&
            lease.pause_threshold >= lease.lease) {
            report("lease.pause_threshold",
                   text_with_unit(lease.pause_threshold.count(), duration_units),
                   "less than lease.length");
        }
        check_addresses(values.addresses);
    }

    void check_addresses(const node_addresses& all)
    {
        const std::array<std::pair<const char*, const net::endpoint*>, 4> listeners{
            {{"addresses.clients", &all.clients},
             {"addresses.operator", &all.operators},
             {"addresses.inner", &all.inner},
             {"addresses.announce", &all.announce}}};
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (are_valid({listeners.at(i).first, listeners.at(j).first}) &&
                    *listeners.at(i).second == *listeners.at(j).second) {
                    report(listeners.at(i).first, net::to_string(*listeners.at(i).second),
                           std::string("an address other than that of ") + listeners.at(j).first);
                }
            }
        }
        // The client and inner addresses are published in the node directory, and other hosts
        // connect to them.
        for (const auto& [name, address] : {listeners[0], listeners[2]}) {
            if (are_valid({name}) && (address->ip == "0.0.0.0" || address->ip == "::")) {
                report(name, net::to_string(*address),
                       "an address that other hosts can connect to, not the wildcard");
            }
        }
    }

    const std::string& file_;
    std::vector<settings_problem> problems_;
    std::set<std::string> invalid_fields_;
    std::set<std::string> invalid_sections_;
};

std::string join_problems(const std::vector<settings_problem>& problems)
{
    std::string text;
    for (const settings_problem& problem : problems) {
        text += text.empty() ? "" : "\n";
        text += problem.file + ": " + (problem.field.empty() ? "" : problem.field + ": ") +
                "found " + problem.found + ", expected " + problem.expected;
    }
    return text;
}

} // namespace

settings_error::settings_error(std::vector<settings_problem> all)
    : error(join_problems(all)), problems(std::move(all))
{
}

settings parse_settings(const std::string& text, const std::string& file)
{
    return settings_reader(file).read(text);
}

settings load_settings(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw settings_file_error("cannot read the settings file " + path);
    }
    return parse_settings(text.str(), path);
}

std::string print_settings(const settings& values)
{
    settings copy = values;
    ordered_json root = ordered_json::object();
    for (const settings_field& field : settings_fields) {
        const ordered_json::json_pointer pointer(pointer_of(field.path).to_string());
        root[pointer] = std::visit(value_printer{field}, field.member(copy));
    }
    return root.dump(2) + "\n";
}

std::string settings_markdown()
{
    std::string text = "| field | default | value | meaning |\n|---|---|---|---|\n";
    for (const settings_field& field : settings_fields) {
        const std::string default_json =
            field.default_json.empty() ? "required" : "`" + std::string(field.default_json) + "`";
        text += "| `" + std::string(field.path) + "` | " + default_json + " | " +
                expected_text(field) + " | " + std::string(field.help) + " |\n";
    }
    return text;
}

} // namespace bulrushgw::node
