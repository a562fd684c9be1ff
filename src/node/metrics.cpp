#include "node/metrics.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "node/accumulators_library.h"

namespace bulrushgw::node {

namespace {

namespace acc = boost::accumulators;

/// Number of values up to which quantiles are computed exactly. The P-square algorithm needs 11
/// values before it can estimate 4 quantiles.
constexpr std::size_t max_exact_values = 64;

/// Separates the label values in the key of a series. Label values can't contain it, because their
/// control characters are replaced.
constexpr char key_separator = '\x1f';

constexpr bool is_table_in_order()
{
    for (std::size_t i = 0; i < metric_table.size(); ++i) {
        if (static_cast<std::size_t>(metric_table.at(i).id) != i) {
            return false;
        }
    }
    return true;
}
static_assert(is_table_in_order(), "metric_table must be in the order of metric");

const metric_info& info_of(metric id)
{
    return metric_table.at(static_cast<std::size_t>(id));
}

std::size_t label_count(const metric_info& info)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(info.labels, [](std::string_view name) { return !name.empty(); }));
}

std::string_view type_name(metric_kind kind)
{
    switch (kind) {
    case metric_kind::counter:
        return "counter";
    case metric_kind::gauge:
        return "gauge";
    case metric_kind::summary:
        return "summary";
    }
    return {};
}

std::string number_text(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

std::string escape_label(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

std::string key_of(metrics::labels values)
{
    std::string key;
    for (const std::string_view value : values) {
        if (!key.empty()) {
            key += key_separator;
        }
        std::ranges::replace_copy_if(
            value, std::back_inserter(key),
            [](char character) { return static_cast<unsigned char>(character) < 0x20; }, '?');
    }
    return key;
}

/// Formats labels as `{a="x",b="y"}`. Adds a label for `quantile` if it is not empty. Returns an
/// empty string if there are no labels.
std::string label_text(const metric_info& info, std::string_view key, std::string_view quantile)
{
    std::string text;
    const auto add = [&text](std::string_view name, std::string_view value) {
        text += text.empty() ? "{" : ",";
        text.append(name).append("=\"").append(escape_label(value)).append("\"");
    };
    for (const std::string_view name : info.labels) {
        if (!name.empty()) {
            const std::size_t end = std::min(key.find(key_separator), key.size());
            add(name, key.substr(0, end));
            key.remove_prefix(std::min(end + 1, key.size()));
        }
    }
    if (!quantile.empty()) {
        add("quantile", quantile);
    }
    return text.empty() ? text : text + "}";
}

} // namespace

struct metric_summary::state {
    using accumulator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

    accumulator estimate{acc::tag::extended_p_square::probabilities = summary_quantiles};
    std::vector<double> first_values;
    std::uint64_t count = 0;
    double sum = 0;
};

metric_summary::metric_summary() : state_(std::make_unique<state>()) {}
metric_summary::~metric_summary() = default;

void metric_summary::observe(double value)
{
    if (std::isnan(value)) {
        return;
    }
    state_->estimate(value);
    if (state_->first_values.size() < max_exact_values) {
        state_->first_values.push_back(value);
    }
    ++state_->count;
    state_->sum += value;
}

std::uint64_t metric_summary::count() const
{
    return state_->count;
}

double metric_summary::sum() const
{
    return state_->sum;
}

double metric_summary::quantile(std::size_t index) const
{
    if (state_->count == 0) {
        return std::numeric_limits<double>::quiet_NaN();
    }
    if (state_->count > max_exact_values) {
        return acc::extended_p_square(state_->estimate)[static_cast<std::ptrdiff_t>(index)];
    }
    auto values = state_->first_values;
    std::ranges::sort(values);
    const double rank = std::ceil(summary_quantiles.at(index) * static_cast<double>(values.size()));
    return values.at(static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
}

struct metrics::state {
    std::array<std::map<std::string, metric_value, std::less<>>, metric_table.size()> values;
    std::array<std::map<std::string, metric_summary, std::less<>>, metric_table.size()> summaries;

    /// Finds or creates a series. Returns the series "other" when there are too many.
    template <typename Series>
    Series& find_or_create(std::map<std::string, Series, std::less<>>& all, const metric_info& info,
                           labels labels)
    {
        if (labels.size() != label_count(info)) {
            throw metric_error("metric " + std::string(info.name) + " has " +
                               std::to_string(label_count(info)) + " labels, not " +
                               std::to_string(labels.size()));
        }
        std::string key = key_of(labels);
        const auto place = all.find(key);
        if (place != all.end()) {
            return place->second;
        }
        if (all.size() >= max_series) {
            values.at(static_cast<std::size_t>(metric::series_dropped))[""].add();
            key = labels.size() == 2 ? std::string("other") + key_separator + "other" : "other";
        }
        return all[key];
    }
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

metric_value& metrics::value(metric id, labels values)
{
    const metric_info& info = info_of(id);
    if (info.kind == metric_kind::summary) {
        throw metric_error("metric " + std::string(info.name) + " is a summary");
    }
    return state_->find_or_create(state_->values.at(static_cast<std::size_t>(id)), info, values);
}

metric_summary& metrics::summary(metric id, labels values)
{
    const metric_info& info = info_of(id);
    if (info.kind != metric_kind::summary) {
        throw metric_error("metric " + std::string(info.name) + " is not a summary");
    }
    return state_->find_or_create(state_->summaries.at(static_cast<std::size_t>(id)), info, values);
}

std::string metrics::text() const
{
    std::string text;
    const auto append_line = [&text](std::string_view name, std::string_view labels, double value) {
        text.append(name).append(labels).append(" ").append(number_text(value)).append("\n");
    };
    for (const metric_info& info : metric_table) {
        const auto& values = state_->values.at(static_cast<std::size_t>(info.id));
        const auto& summaries = state_->summaries.at(static_cast<std::size_t>(info.id));
        if (values.empty() && summaries.empty()) {
            continue;
        }
        const std::string name(info.name);
        text += "# HELP " + name + " " + std::string(info.help) + "\n";
        text += "# TYPE " + name + " " + std::string(type_name(info.kind)) + "\n";
        for (const auto& [key, series] : values) {
            append_line(name, label_text(info, key, {}), series.value());
        }
        for (const auto& [key, series] : summaries) {
            for (std::size_t i = 0; i < summary_quantiles.size(); ++i) {
                const std::string quantile = number_text(summary_quantiles.at(i));
                append_line(name, label_text(info, key, quantile), series.quantile(i));
            }
            append_line(name + "_sum", label_text(info, key, {}), series.sum());
            append_line(name + "_count", label_text(info, key, {}),
                        static_cast<double>(series.count()));
        }
    }
    return text;
}

std::string metrics_markdown()
{
    std::string text = "| metric | type | labels | meaning |\n|---|---|---|---|\n";
    for (const metric_info& info : metric_table) {
        std::string labels;
        for (const std::string_view name : info.labels) {
            labels += (labels.empty() || name.empty() ? "" : ", ") + std::string(name);
        }
        text += "| `" + std::string(info.name) + "` | " + std::string(type_name(info.kind)) +
                " | " + labels + " | " + std::string(info.help) + " |\n";
    }
    return text;
}

} // namespace bulrushgw::node
