#include "bench/spread_bytes.h"

#include <random>

#include "rules/delta.h"

namespace bulrushgw::bench {

namespace {

constexpr double seconds_per_day = 86400;
constexpr double missing_base_share = 0.02;
constexpr int changes = 200;
constexpr std::size_t versions_per_long_delta = 10;

using random_engine = std::mt19937_64;

std::string random_rule(random_engine& random)
{
    return "pin ladder-front key=club-" + std::to_string(random() % 1000000) + " zone=nbo-" +
           std::string(1, static_cast<char>('a' + random() % 3)) +
           " # Brian Kiptoo: the club's network is in this zone\n";
}

std::string join(const std::vector<std::string>& rules)
{
    std::string text;
    for (const auto& rule : rules) {
        text += rule;
    }
    return text;
}

/// Edits, adds or removes one rule. The file keeps `lines` lines or has one more.
void change_rule(std::vector<std::string>& rules, std::size_t lines, random_engine& random)
{
    const auto position = rules.begin() + static_cast<std::ptrdiff_t>(random() % rules.size());
    if (rules.size() > lines) {
        rules.erase(position);
    }
    else if (random() % 2 == 0) {
        rules.insert(position, random_rule(random));
    }
    else {
        *position = random_rule(random);
    }
}

spread_figures measure_size(std::size_t lines, random_engine& random)
{
    std::vector<std::string> rules;
    for (std::size_t i = 0; i < lines; ++i) {
        rules.push_back(random_rule(random));
    }
    spread_figures figures;
    figures.lines = lines;
    std::string text = join(rules);
    std::string long_delta_base = text;
    figures.file_bytes = text.size();
    for (int i = 1; i <= changes; ++i) {
        change_rule(rules, lines, random);
        const auto next = join(rules);
        const auto delta = rules::make_delta(text, next);
        const auto encoded = rules::encode_delta(delta);
        // Fails if the delta does not rebuild the text.
        rules::apply_delta(text, rules::decode_delta(encoded));
        figures.whole_bytes += static_cast<double>(next.size()) / changes;
        figures.delta_bytes += static_cast<double>(encoded.size()) / changes;
        if (i % static_cast<int>(versions_per_long_delta) == 0) {
            figures.delta_after_10_bytes +=
                static_cast<double>(
                    rules::encode_delta(rules::make_delta(long_delta_base, next)).size()) *
                versions_per_long_delta / changes;
            long_delta_base = next;
        }
        text = next;
    }
    const double per_second = changes_per_day / seconds_per_day;
    figures.whole_bytes_per_second = figures.whole_bytes * per_second;
    figures.delta_bytes_per_second = figures.delta_bytes * per_second;
    figures.fallback_bytes_per_second = (figures.delta_bytes * (1 - missing_base_share) +
                                         figures.whole_bytes * missing_base_share) *
                                        per_second;
    return figures;
}

} // namespace

std::vector<spread_figures> measure_spread(std::uint64_t seed)
{
    random_engine random(seed);
    std::vector<spread_figures> all;
    for (const std::size_t lines : {1, 2, 10, 100, 1000, 7000}) {
        all.push_back(measure_size(lines, random));
    }
    return all;
}

} // namespace bulrushgw::bench
