#include "bench/policy_report.h"

#include <array>
#include <cmath>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace bulrushgw::bench {

namespace {

/// One column of the table and one field of the JSON.
struct column {
    const char* name;
    const char* title;
    int decimals;
    double (*value)(const simulation_figures&);
};

double per_key_hour(const simulation_figures& figures)
{
    return figures.ownership.moved_keys / (static_cast<double>(figures.keys) * figures.hours);
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

using figures_type = simulation_figures;

const std::vector<column>& columns()
{
    static const std::vector<column> all{
        {"imbalance_mean", "imbal", 2, [](const figures_type& f) { return f.imbalance_mean; }},
        {"imbalance_worst_minute", "worst", 2,
         [](const figures_type& f) { return f.imbalance_worst; }},
        {"moves_per_key_hour", "mv/key-h", 2, per_key_hour},
        {"moves_per_member_event", "mv/event", 1,
         [](const figures_type& f) {
             return ratio(static_cast<double>(f.ownership.member_moves),
                          static_cast<double>(f.ownership.member_events));
         }},
        {"load_moves", "ld-moves", 0,
         [](const figures_type& f) { return static_cast<double>(f.ownership.load_moves); }},
        {"unavailable_key_seconds", "unav-key-s", 0,
         [](const figures_type& f) { return f.ownership.unavailable_key_seconds; }},
        {"worst_key_unavailable_seconds", "key-s", 2,
         [](const figures_type& f) { return f.ownership.worst_key_seconds; }},
        {"longest_gap_seconds", "gap-s", 2,
         [](const figures_type& f) { return f.ownership.longest_gap_seconds; }},
        {"correct_once_by_worth_percent", "worth-%", 3,
         [](const figures_type& f) { return 100 * ratio(f.worth_correct_once, f.worth); }},
        {"unknown", "unknown", 0,
         [](const figures_type& f) { return static_cast<double>(f.unknown); }},
        {"not_run", "not-run", 0,
         [](const figures_type& f) { return static_cast<double>(f.not_run); }},
        {"lost_with_entry", "lost", 0,
         [](const figures_type& f) { return static_cast<double>(f.lost_with_entry); }},
        {"once_ran_twice", "twice", 0,
         [](const figures_type& f) { return static_cast<double>(f.ran_twice); }},
        {"not_run_but_ran", "false", 0,
         [](const figures_type& f) { return static_cast<double>(f.false_not_run); }},
        {"retries", "retries", 0,
         [](const figures_type& f) { return static_cast<double>(f.retried); }},
        {"forwards_per_request", "fwd/req", 3,
         [](const figures_type& f) {
             return ratio(static_cast<double>(f.sent), static_cast<double>(f.requests));
         }},
        {"p50_ms", "p50", 1, [](const figures_type& f) { return f.quantile(0.5); }},
        {"p99_ms", "p99", 1, [](const figures_type& f) { return f.quantile(0.99); }},
        {"p99_9_ms", "p99.9", 1, [](const figures_type& f) { return f.quantile(0.999); }},
        {"requests", "requests", 0,
         [](const figures_type& f) { return static_cast<double>(f.requests); }},
    };
    return all;
}

std::string format_number(double value, int decimals)
{
    if (std::isnan(value)) {
        return "-";
    }
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, value);
    return text.data();
}

/// Rounds as the table does, so that JSON and table show the same figures.
nlohmann::json rounded(double value, int decimals)
{
    return std::isnan(value) ? nlohmann::json()
                             : nlohmann::json(std::stod(format_number(value, decimals)));
}

std::string align_right(const std::string& text, std::size_t width)
{
    return text.size() >= width ? text : std::string(width - text.size(), ' ') + text;
}

std::string align_left(const std::string& text, std::size_t width)
{
    return text.size() >= width ? text : text + std::string(width - text.size(), ' ');
}

constexpr double overload_factor = 1.8;
constexpr std::size_t name_width = 16;
constexpr std::size_t number_width = 10;

std::string spread_table(const std::vector<spread_figures>& spread)
{
    std::string text = "\nSpread of rules at 9,400 changes a day, bytes for one node\n";
    for (const char* title :
         {"lines", "file", "whole", "delta", "10 vers.", "whole B/s", "delta B/s", "fallback"}) {
        text += align_right(title, number_width);
    }
    text += "\n";
    for (const auto& row : spread) {
        text += align_right(std::to_string(row.lines), number_width);
        text += align_right(std::to_string(row.file_bytes), number_width);
        for (const double value : {row.whole_bytes, row.delta_bytes, row.delta_after_10_bytes,
                                   row.whole_bytes_per_second, row.delta_bytes_per_second,
                                   row.fallback_bytes_per_second}) {
            text += align_right(format_number(value, 0), number_width);
        }
        text += "\n";
    }
    return text;
}

} // namespace

policy_report run_policies(const simulation_settings& settings, const std::string& deployment_name)
{
    policy_report report;
    report.settings = settings;
    for (const auto& sizes : {ladderdesk(), hima_kalapu()}) {
        if (!deployment_name.empty() && deployment_name != sizes.name) {
            continue;
        }
        for (const auto& tested_policy : all_policies()) {
            report.results.push_back(
                {sizes.name, tested_policy.name, simulation(tested_policy, sizes, settings).run()});
        }
    }
    // The retry budget matters only under overload. Two more short runs above the capacity
    // therefore compare the shipped policy with the one without a retry budget.
    if (deployment_name.empty()) {
        auto overload = settings;
        overload.length = std::chrono::minutes{6};
        overload.load_factor = settings.load_factor * overload_factor;
        for (const auto& tested_policy : all_policies()) {
            if (tested_policy.name == "shipped" || tested_policy.name == "no-retry-budget") {
                report.results.push_back({"ladderdesk-overload", tested_policy.name,
                                          simulation(tested_policy, ladderdesk(), overload).run()});
            }
        }
    }
    report.spread = measure_spread(settings.seed);
    return report;
}

std::string to_table(const policy_report& report)
{
    std::string text;
    std::string deployment;
    for (const auto& result : report.results) {
        if (result.deployment != deployment) {
            deployment = result.deployment;
            text += (text.empty() ? "" : "\n") + deployment + ", " +
                    format_number(result.figures.hours * 60, 0) + " virtual minutes, seed " +
                    std::to_string(report.settings.seed) + "\n" + align_left("policy", name_width);
            for (const auto& field : columns()) {
                text += align_right(field.title, number_width + 1);
            }
            text += "\n";
        }
        text += align_left(result.policy, name_width);
        for (const auto& field : columns()) {
            text += align_right(format_number(field.value(result.figures), field.decimals),
                                number_width + 1);
        }
        text += "\n";
    }
    return text + spread_table(report.spread);
}

std::string to_json(const policy_report& report)
{
    nlohmann::ordered_json document;
    document["seed"] = report.settings.seed;
    document["virtual_minutes"] = report.settings.length.count();
    document["load_factor"] = report.settings.load_factor;
    for (const auto& result : report.results) {
        nlohmann::ordered_json row;
        row["deployment"] = result.deployment;
        row["policy"] = result.policy;
        for (const auto& field : columns()) {
            row[field.name] = rounded(field.value(result.figures), field.decimals);
        }
        for (const auto& [why, count] : result.figures.reasons) {
            row["reasons"][std::string(request::to_text(why))] = count;
        }
        document["policies"].push_back(row);
    }
    for (const auto& row : report.spread) {
        document["spread"].push_back(
            {{"lines", row.lines},
             {"file_bytes", row.file_bytes},
             {"whole_bytes", rounded(row.whole_bytes, 0)},
             {"delta_bytes", rounded(row.delta_bytes, 0)},
             {"delta_after_10_bytes", rounded(row.delta_after_10_bytes, 0)},
             {"whole_bytes_per_second", rounded(row.whole_bytes_per_second, 0)},
             {"delta_bytes_per_second", rounded(row.delta_bytes_per_second, 0)},
             {"fallback_bytes_per_second", rounded(row.fallback_bytes_per_second, 0)}});
    }
    return document.dump(2) + "\n";
}

} // namespace bulrushgw::bench
