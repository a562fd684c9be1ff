#include <algorithm>
#include <map>
#include <string>

#include "common/hash.h"
#include "rules/parser.h"

namespace bulrushgw::rules {

namespace {

class checker {
public:
    explicit checker(const parsed_file& file) : file_(file) {}

    std::vector<rule_problem> run()
    {
        check_services();
        check_routes();
        check_limits();
        check_pins();
        std::sort(problems_.begin(), problems_.end());
        return std::move(problems_);
    }

private:
    /// Column of the word with index `word` in a rule, counting from 0. Returns 1 if the line has
    /// no such word.
    [[nodiscard]] std::size_t column(std::size_t line, std::size_t word) const
    {
        const auto words = file_.tokens.find(line);
        return words != file_.tokens.end() && word < words->second.size()
                   ? words->second[word].column
                   : 1;
    }

    /// Column of the first word that starts with `prefix`. Returns 1 if the line has no such word.
    [[nodiscard]] std::size_t option_column(std::size_t line, std::string_view prefix) const
    {
        const auto words = file_.tokens.find(line);
        if (words != file_.tokens.end()) {
            for (const auto& word : words->second) {
                if (word.text.starts_with(prefix)) {
                    return word.column;
                }
            }
        }
        return 1;
    }

    void report(std::size_t line, std::size_t column_number, std::string found,
                std::string expected)
    {
        problems_.push_back({line, column_number, std::move(found), std::move(expected)});
    }

    void check_services()
    {
        for (const auto& service : file_.rules.services) {
            const auto [earlier, added] = services_.emplace(service.name, &service);
            if (!added) {
                report(service.line, column(service.line, 1), "a second service " + service.name,
                       "one rule for the service, as in line " +
                           std::to_string(earlier->second->line));
            }
        }
    }

    const service_rule* service_of(const std::string& name, std::size_t line, std::size_t word)
    {
        const auto found = services_.find(name);
        if (found != services_.end()) {
            return found->second;
        }
        std::string known;
        for (const auto& [service, rule] : services_) {
            known += (known.empty() ? "" : ", ") + service;
        }
        report(line, column(line, word), "the unknown service " + name,
               known.empty() ? "a service rule for it" : "one of " + known);
        return nullptr;
    }

    void check_routes()
    {
        // Only routes with the same method and number of path segments can overlap.
        std::map<std::pair<std::string, std::size_t>, std::vector<const route_rule*>> groups;
        for (const auto& route : file_.rules.routes) {
            constexpr std::size_t service_word = 4;
            const auto* service = service_of(route.service, route.line, service_word);
            if (service != nullptr && service->kind == service_kind::keyed &&
                route.pattern.find("{key}") == std::string::npos) {
                report(route.line, column(route.line, 2), "a path without a key",
                       "a {key} segment, because " + route.service + " is keyed");
            }
            auto& group = groups[{route.method, split_path(route.pattern).size()}];
            check_overlap(route, group);
            group.push_back(&route);
        }
    }

    void check_overlap(const route_rule& route, const std::vector<const route_rule*>& earlier)
    {
        for (const auto* other : earlier) {
            if (patterns_overlap(route.pattern, other->pattern)) {
                report(route.line, column(route.line, 2),
                       route.method + " " + route.pattern + ", which matches the same paths as " +
                           other->pattern,
                       "a path that the route in line " + std::to_string(other->line) +
                           " does not match");
                return;
            }
        }
    }

    void check_limits()
    {
        std::map<std::string, std::size_t> lines;
        for (const auto& limit : file_.rules.limits) {
            const auto* service = service_of(limit.service, limit.line, 1);
            const auto [earlier, added] = lines.emplace(limit.service, limit.line);
            if (!added) {
                report(limit.line, column(limit.line, 1), "a second limit for " + limit.service,
                       "one rule with all limits, as in line " + std::to_string(earlier->second));
            }
            if (service != nullptr && service->kind == service_kind::balanced &&
                limit.moves_per_hour) {
                report(limit.line, option_column(limit.line, "moves-per-hour="),
                       "moves-per-hour on a balanced service",
                       "queue= or retry-percent=, because no key of it has an owner");
            }
        }
    }

    void check_pins()
    {
        std::map<std::pair<std::string, range_id>, const pin_rule*> ranges;
        for (const auto& pin : file_.rules.pins) {
            const auto* service = service_of(pin.service, pin.line, 1);
            if (service == nullptr) {
                continue;
            }
            if (service->kind == service_kind::balanced) {
                report(pin.line, column(pin.line, 1),
                       "a pin on the balanced service " + pin.service, "a keyed service");
                continue;
            }
            if (service->ranges == 0) {
                continue; // already reported as a problem of the service rule
            }
            const auto range = range_of(pin.key, service->ranges);
            const auto [earlier, added] = ranges.emplace(std::pair{pin.service, range}, &pin);
            if (!added) {
                check_same_range(pin, *earlier->second);
            }
        }
    }

    /// All keys of a range have the same owner, so they cannot be pinned to different zones.
    void check_same_range(const pin_rule& pin, const pin_rule& earlier)
    {
        if (pin.key == earlier.key) {
            report(pin.line, option_column(pin.line, "key="), "a second pin of the key " + pin.key,
                   "one pin, as in line " + std::to_string(earlier.line));
        }
        else if (pin.zone != earlier.zone) {
            report(pin.line, option_column(pin.line, "zone="), "zone " + pin.zone,
                   "zone " + earlier.zone + " as in line " + std::to_string(earlier.line) +
                       ", because both keys are in one range and move together");
        }
    }

    const parsed_file& file_;
    std::map<std::string, const service_rule*> services_;
    std::vector<rule_problem> problems_;
};

} // namespace

bool patterns_overlap(std::string_view first, std::string_view second)
{
    const auto left = split_path(first);
    const auto right = split_path(second);
    if (left.size() != right.size()) {
        return false;
    }
    for (std::size_t i = 0; i < left.size(); ++i) {
        if (left[i] != right[i] && left[i] != "{key}" && right[i] != "{key}") {
            return false;
        }
    }
    return true;
}

std::vector<rule_problem> check(const parsed_file& file)
{
    return checker(file).run();
}

} // namespace bulrushgw::rules
