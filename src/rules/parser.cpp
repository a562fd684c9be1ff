#include "rules/parser.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <optional>

#include "rules/percent.h"
#include "rules/text.h"

namespace bulrushgw::rules {

namespace {

constexpr std::array<std::string_view, 6> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
constexpr std::string_view methods_text = "GET, HEAD, POST, PUT, PATCH or DELETE";
constexpr std::string_view name_text =
    "a name of at most 64 lower-case letters, digits and \"-\" that starts with a letter";
constexpr std::string_view zone_text =
    "a zone of at most 64 letters, digits, \".\", \"_\" and \"-\"";
constexpr std::string_view pattern_text =
    "a path like /ladders/{key}/standings with at most one {key}";
constexpr std::string_view key_text =
    "a key of 1 to 256 bytes, other characters than letters, digits and \"-._~\" as %XX";
constexpr std::size_t max_key_bytes = 256;
/// Maximum number of bytes of the input that a problem quotes.
constexpr std::size_t max_found_bytes = 80;

bool is_lower(char byte)
{
    return byte >= 'a' && byte <= 'z';
}
bool is_upper(char byte)
{
    return byte >= 'A' && byte <= 'Z';
}
bool is_digit(char byte)
{
    return byte >= '0' && byte <= '9';
}
bool is_blank(char byte)
{
    return byte == ' ' || byte == '\t';
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes && is_lower(text.front()) &&
           std::all_of(text.begin(), text.end(),
                       [](char byte) { return is_lower(byte) || is_digit(byte) || byte == '-'; });
}

bool is_unreserved(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char byte) {
        return is_lower(byte) || is_upper(byte) || is_digit(byte) || byte == '.' || byte == '_' ||
               byte == '~' || byte == '-';
    });
}

bool is_zone(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes && is_unreserved(text) &&
           text.find('~') == std::string_view::npos;
}

bool is_pattern(std::string_view text)
{
    if (text.empty() || text.front() != '/') {
        return false;
    }
    std::size_t keys = 0;
    for (const auto segment : split_path(text)) {
        if (segment == "{key}") {
            ++keys;
        }
        else if (segment.empty() || segment == "." || segment == ".." || !is_unreserved(segment)) {
            return false;
        }
    }
    return keys <= 1;
}

std::optional<std::uint64_t> read_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<milliseconds> read_duration(std::string_view text)
{
    std::uint64_t factor = 1;
    if (text.ends_with("ms")) {
        text.remove_suffix(2);
    }
    else if (text.ends_with("s")) {
        text.remove_suffix(1);
        factor = 1000;
    }
    else {
        return std::nullopt;
    }
    const auto value = read_number(text);
    const auto largest = static_cast<std::uint64_t>(max_service_deadline.count());
    if (!value || *value == 0 || *value > largest / factor) {
        return std::nullopt;
    }
    return milliseconds{static_cast<std::int64_t>(*value * factor)};
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && is_blank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (is_blank(text.back()) || text.back() == '\r')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Quotes input in a problem. Truncates it to `max_found_bytes` and replaces control characters
/// with "?".
std::string quote_for_message(std::string_view text)
{
    std::string result = "\"";
    for (const char byte : text.substr(0, max_found_bytes)) {
        const auto value = static_cast<unsigned char>(byte);
        result.push_back(value < 0x20 || value == 0x7f ? '?' : byte);
    }
    result += text.size() > max_found_bytes ? "...\"" : "\"";
    return result;
}

std::vector<token> split_words(std::string_view text)
{
    std::vector<token> words;
    std::size_t at = 0;
    while (at < text.size()) {
        if (is_blank(text[at]) || text[at] == '\r') {
            ++at;
            continue;
        }
        const std::size_t begin = at;
        while (at < text.size() && !is_blank(text[at]) && text[at] != '\r') {
            ++at;
        }
        words.push_back({std::string(text.substr(begin, at - begin)), begin + 1});
    }
    return words;
}

/// Reads the words of one line in order and collects the problems of the line.
class line_reader {
public:
    line_reader(std::size_t line_number, const std::vector<token>& words, std::size_t end_column,
                std::vector<rule_problem>& problems)
        : line_number_(line_number), words_(words), end_column_(end_column), problems_(problems)
    {
    }

    [[nodiscard]] const token* next() { return at_ < words_.size() ? &words_[at_++] : nullptr; }

    [[nodiscard]] bool at_end() const { return at_ == words_.size(); }

    /// Reports a problem at a word, or at the end of the rule if `where` is null.
    void problem(const token* where, std::string_view expected)
    {
        problems_.push_back(
            {line_number_, where != nullptr ? where->column : end_column_,
             where != nullptr ? quote_for_message(where->text) : "the end of the rule",
             std::string(expected)});
    }

    /// Returns the next word if `accepts` returns true for it. Otherwise reports a problem.
    std::optional<std::string> word(bool (*accepts)(std::string_view), std::string_view expected)
    {
        const auto* found = next();
        if (found == nullptr || !accepts(found->text)) {
            problem(found, expected);
            return std::nullopt;
        }
        return found->text;
    }

    std::optional<std::string> service_name() { return word(is_name, name_text); }

    struct option {
        std::string_view name;
        std::string_view expected; ///< description of valid values
        /// Stores the value. Returns false if the value is invalid.
        std::function<bool(std::string_view value)> set;
        bool required = false;
        bool seen = false;
    };

    /// Reads all remaining words as NAME=VALUE.
    void options(std::vector<option> allowed)
    {
        while (const auto* found = next()) {
            read_option(*found, allowed);
        }
        for (const auto& entry : allowed) {
            if (entry.required && !entry.seen) {
                problem(nullptr, std::string(entry.name) + "= with " + std::string(entry.expected));
            }
        }
    }

private:
    void read_option(const token& found, std::vector<option>& allowed)
    {
        const auto equals = found.text.find('=');
        const auto name = std::string_view(found.text).substr(0, equals);
        const auto entry =
            std::find_if(allowed.begin(), allowed.end(),
                         [name](const option& candidate) { return candidate.name == name; });
        if (equals == std::string::npos || entry == allowed.end()) {
            problem(&found, option_list(allowed));
            return;
        }
        if (entry->seen) {
            problem(&found, std::string(name) + "= only once");
            return;
        }
        entry->seen = true;
        const token value{found.text.substr(equals + 1), found.column + equals + 1};
        if (!entry->set(value.text)) {
            problem(&value, entry->expected);
        }
    }

    static std::string option_list(const std::vector<option>& allowed)
    {
        std::string names;
        for (const auto& entry : allowed) {
            names += (names.empty() ? "" : ", ") + std::string(entry.name) + "=VALUE";
        }
        return names + " or the end of the rule";
    }

    std::size_t line_number_;
    const std::vector<token>& words_;
    std::size_t end_column_;
    std::vector<rule_problem>& problems_;
    std::size_t at_ = 1; ///< index of the next word; word 0 is the keyword
};

line_reader::option number_option(std::string_view name, std::string_view expected,
                                  std::uint64_t min_value, std::uint64_t max_value,
                                  std::function<void(std::uint32_t)> set)
{
    return {name, expected, [min_value, max_value, set = std::move(set)](std::string_view text) {
                const auto value = read_number(text);
                if (!value || *value < min_value || *value > max_value) {
                    return false;
                }
                set(static_cast<std::uint32_t>(*value));
                return true;
            }};
}

std::optional<service_kind> read_kind(line_reader& line)
{
    const auto kind =
        line.word([](std::string_view text) { return text == "keyed" || text == "balanced"; },
                  "\"keyed\" or \"balanced\"");
    if (!kind) {
        return std::nullopt;
    }
    return *kind == "keyed" ? service_kind::keyed : service_kind::balanced;
}

void read_service(line_reader& line, const requester& by, std::size_t line_number, rule_set& rules)
{
    service_rule rule;
    rule.asked_by = by;
    rule.line = line_number;
    const auto name = line.service_name();
    const auto kind = read_kind(line);
    std::vector<line_reader::option> allowed;
    if (!kind || *kind == service_kind::keyed) {
        allowed.push_back(number_option("ranges", "a number from 1 to 65536", 1, max_ranges,
                                        [&rule](std::uint32_t value) { rule.ranges = value; }));
        allowed.back().required = kind.has_value();
    }
    allowed.push_back({"deadline", "a time from 1ms to 60s with the unit ms or s",
                       [&rule](std::string_view text) {
                           const auto value = read_duration(text);
                           rule.deadline = value.value_or(rule.deadline);
                           return value.has_value();
                       }});
    line.options(std::move(allowed));
    if (name) {
        rule.name = *name;
        rule.kind = kind.value_or(rule.ranges > 0 ? service_kind::keyed : service_kind::balanced);
        rules.services.push_back(std::move(rule));
    }
}

void read_route(line_reader& line, const requester& by, std::size_t line_number, rule_set& rules)
{
    const auto method = line.word(
        [](std::string_view text) {
            return std::find(methods.begin(), methods.end(), text) != methods.end();
        },
        methods_text);
    const auto pattern = line.word(is_pattern, pattern_text);
    line.word([](std::string_view text) { return text == "to"; }, "\"to\"");
    const auto service = line.service_name();
    const auto repeat =
        line.word([](std::string_view text) { return text == "idempotent" || text == "once"; },
                  "\"idempotent\" or \"once\"");
    route_rule rule;
    rule.repeat = repeat == "idempotent" ? repeat_kind::idempotent : repeat_kind::once;
    rule.asked_by = by;
    rule.line = line_number;
    line.options({number_option("worth", "a number from 1 to 1000", 1, max_worth,
                                [&rule](std::uint32_t value) { rule.worth = value; })});
    if (method && pattern && service) {
        rule.method = *method;
        rule.pattern = *pattern;
        rule.service = *service;
        rules.routes.push_back(std::move(rule));
    }
}

void read_limit(line_reader& line, const requester& by, std::size_t line_number, rule_set& rules)
{
    limit_rule rule;
    rule.asked_by = by;
    rule.line = line_number;
    const auto service = line.service_name();
    bool any_limit = false;
    const auto setter_for = [&any_limit](std::optional<std::uint32_t>& field) {
        return [&any_limit, &field](std::uint32_t value) {
            any_limit = true;
            field = value;
        };
    };
    if (line.at_end()) {
        line.problem(nullptr, "queue=, retry-percent= or moves-per-hour=");
    }
    else {
        line.options({number_option("queue", "a number from 0 to 10000", 0, max_queue,
                                    setter_for(rule.queue)),
                      number_option("retry-percent", "a number from 0 to 100", 0, 100,
                                    setter_for(rule.retry_percent)),
                      number_option("moves-per-hour", "a number from 0 to 10000", 0,
                                    max_moves_per_hour, setter_for(rule.moves_per_hour))});
    }
    if (service && any_limit) {
        rule.service = *service;
        rules.limits.push_back(std::move(rule));
    }
}

void read_pin(line_reader& line, const requester& by, std::size_t line_number, rule_set& rules)
{
    pin_rule rule;
    rule.asked_by = by;
    rule.line = line_number;
    const auto service = line.service_name();
    const auto set_key = [&rule](std::string_view text) {
        const auto key = percent_decode(text);
        if (!key || key->size() > max_key_bytes) {
            return false;
        }
        rule.key = *key;
        return true;
    };
    const auto set_zone = [&rule](std::string_view text) {
        if (!is_zone(text)) {
            return false;
        }
        rule.zone = text;
        return true;
    };
    line.options({{"key", key_text, set_key, true}, {"zone", zone_text, set_zone, true}});
    if (service && !rule.key.empty() && !rule.zone.empty()) {
        rule.service = *service;
        rules.pins.push_back(std::move(rule));
    }
}

struct keyword {
    std::string_view name;
    void (*read)(line_reader&, const requester&, std::size_t, rule_set&);
};

constexpr std::array keywords{keyword{"service", read_service}, keyword{"route", read_route},
                              keyword{"limit", read_limit}, keyword{"pin", read_pin}};

requester read_requester(std::string_view comment)
{
    const auto colon = comment.find(':');
    requester by;
    by.name = trim(comment.substr(0, colon));
    if (colon != std::string_view::npos) {
        by.reason = trim(comment.substr(colon + 1));
    }
    return by;
}

/// Reports the first forbidden control character of a line and returns false. Allowed are tabs
/// anywhere in the line, and one carriage return as its last character.
bool check_bytes(std::string_view line, std::size_t line_number,
                 std::vector<rule_problem>& problems)
{
    for (std::size_t i = 0; i < line.size(); ++i) {
        const auto value = static_cast<unsigned char>(line[i]);
        const bool line_end = line[i] == '\r' && i + 1 == line.size();
        if ((value < 0x20 && line[i] != '\t' && !line_end) || value == 0x7f) {
            problems.push_back({line_number, i + 1, "a control character", "printable text"});
            return false;
        }
    }
    return true;
}

void read_line(std::string_view line, std::size_t line_number, parsed_file& file)
{
    if (!check_bytes(line, line_number, file.problems)) {
        return;
    }
    const auto hash = line.find('#');
    const auto rule_text = line.substr(0, hash);
    auto words = split_words(rule_text);
    if (words.empty()) {
        return;
    }
    requester by;
    if (hash != std::string_view::npos) {
        by = read_requester(line.substr(hash + 1));
    }
    const std::size_t end_column = words.back().column + words.back().text.size();
    line_reader reader(line_number, words, end_column, file.problems);
    const auto found =
        std::find_if(keywords.begin(), keywords.end(), [&words](const keyword& candidate) {
            return candidate.name == words.front().text;
        });
    if (found == keywords.end()) {
        reader.problem(&words.front(), "\"service\", \"route\", \"limit\" or \"pin\"");
    }
    else {
        found->read(reader, by, line_number, file.rules);
    }
    if (by.name.empty()) {
        const bool has_hash = hash != std::string_view::npos;
        file.problems.push_back({line_number, has_hash ? hash + 1 : end_column,
                                 has_hash ? "a comment without a name" : "no requester",
                                 "\"# NAME: REASON\" with who asked for the rule"});
    }
    file.tokens.emplace(line_number, std::move(words));
}

} // namespace

std::vector<std::string_view> split_path(std::string_view path)
{
    std::vector<std::string_view> segments;
    if (path.size() <= 1) {
        return segments;
    }
    path.remove_prefix(1);
    while (true) {
        const auto slash = path.find('/');
        segments.push_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return segments;
        }
        path.remove_prefix(slash + 1);
    }
}

parsed_file parse(std::string_view text)
{
    parsed_file file;
    if (text.size() > max_file_bytes) {
        file.problems.push_back({1, 1, "a file of " + std::to_string(text.size()) + " bytes",
                                 "at most " + std::to_string(max_file_bytes) + " bytes"});
        return file;
    }
    std::size_t line_number = 0;
    for (const auto line : split_lines(text)) {
        read_line(line, ++line_number, file);
    }
    return file;
}

parsed_file parse_and_check(std::string_view text)
{
    auto file = parse(text);
    auto semantic_problems = check(file);
    file.problems.insert(file.problems.end(), semantic_problems.begin(), semantic_problems.end());
    std::sort(file.problems.begin(), file.problems.end());
    return file;
}

std::string format_problem(std::string_view file, const rule_problem& problem)
{
    return std::string(file) + ":" + std::to_string(problem.line) + ":" +
           std::to_string(problem.column) + ": found " + problem.found + ", expected " +
           problem.expected;
}

} // namespace bulrushgw::rules
