#include "rules/text.h"

#include <algorithm>

#include "rules/percent.h"

namespace bulrushgw::rules {

namespace {

/// Maximum number of changed lines for which a minimal diff is computed. The memory for computing
/// it grows with the square of this number.
constexpr std::ptrdiff_t max_minimal_changes = 2000;

std::string comment_of(const requester& by)
{
    return " # " + by.name + (by.reason.empty() ? "" : ": " + by.reason) + "\n";
}

std::string duration_text(milliseconds value)
{
    constexpr std::int64_t per_second = 1000;
    return value.count() % per_second == 0 ? std::to_string(value.count() / per_second) + "s"
                                           : std::to_string(value.count()) + "ms";
}

std::string line_of(const service_rule& rule)
{
    std::string text = "service " + rule.name;
    text += rule.kind == service_kind::keyed ? " keyed ranges=" + std::to_string(rule.ranges)
                                             : " balanced";
    if (rule.deadline != service_rule{}.deadline) {
        text += " deadline=" + duration_text(rule.deadline);
    }
    return text;
}

std::string line_of(const route_rule& rule)
{
    std::string text = "route " + rule.method + " " + rule.pattern + " to " + rule.service;
    text += rule.repeat == repeat_kind::once ? " once" : " idempotent";
    if (rule.worth != route_rule{}.worth) {
        text += " worth=" + std::to_string(rule.worth);
    }
    return text;
}

std::string line_of(const limit_rule& rule)
{
    std::string text = "limit " + rule.service;
    const auto add = [&text](const char* name, const std::optional<std::uint32_t>& value) {
        if (value) {
            text += std::string(" ") + name + "=" + std::to_string(*value);
        }
    };
    add("queue", rule.queue);
    add("retry-percent", rule.retry_percent);
    add("moves-per-hour", rule.moves_per_hour);
    return text;
}

std::string line_of(const pin_rule& rule)
{
    return "pin " + rule.service + " key=" + percent_encode(rule.key) + " zone=" + rule.zone;
}

template <typename Rules>
void append(std::string& text, const Rules& rules)
{
    for (const auto& rule : rules) {
        text += line_of(rule) + comment_of(rule.asked_by);
    }
}

using lines = std::vector<std::string_view>;

changed_line make_changed_line(change_kind kind, std::size_t index, std::string_view text)
{
    changed_line result{kind, index + 1, std::string(text), {}};
    const auto hash = text.find('#');
    if (hash != std::string_view::npos) {
        auto name = text.substr(hash + 1);
        name = name.substr(0, name.find(':'));
        const auto begin = name.find_first_not_of(" \t");
        const auto end = name.find_last_not_of(" \t\r");
        if (begin != std::string_view::npos) {
            result.asked_by = name.substr(begin, end - begin + 1);
        }
    }
    return result;
}

/// The lines of two texts between their common prefix and their common suffix.
struct changed_region {
    const lines& before;
    const lines& after;
    std::ptrdiff_t first = 0; ///< index of the first differing line, the same in both texts
    std::ptrdiff_t before_end = 0;
    std::ptrdiff_t after_end = 0;

    changed_region(const lines& old_lines, const lines& new_lines)
        : before(old_lines), after(new_lines), before_end(std::ssize(old_lines)),
          after_end(std::ssize(new_lines))
    {
        while (first < before_end && first < after_end && before[first] == after[first]) {
            ++first;
        }
        while (before_end > first && after_end > first &&
               before[before_end - 1] == after[after_end - 1]) {
            --before_end;
            --after_end;
        }
    }
};

std::vector<changed_line> replace_all(const changed_region& region)
{
    std::vector<changed_line> changes;
    for (auto i = region.first; i < region.before_end; ++i) {
        changes.push_back(make_changed_line(change_kind::removed, i, region.before[i]));
    }
    for (auto i = region.first; i < region.after_end; ++i) {
        changes.push_back(make_changed_line(change_kind::added, i, region.after[i]));
    }
    return changes;
}

/// Myers' O(ND) difference algorithm. `reach_[d][k + d]` is the old position of the
/// furthest-reaching path with d changes on diagonal k = old position - new position.
class shortest_edit {
public:
    explicit shortest_edit(const changed_region& region)
        : region_(region), old_count_(region.before_end - region.first),
          new_count_(region.after_end - region.first)
    {
    }

    std::vector<changed_line> run()
    {
        for (std::ptrdiff_t d = 0; d <= std::min(old_count_ + new_count_, max_minimal_changes);
             ++d) {
            reach_.emplace_back(2 * d + 1);
            for (std::ptrdiff_t k = -d; k <= d; k += 2) {
                if (extend(d, k)) {
                    return backtrack(d);
                }
            }
        }
        return replace_all(region_);
    }

private:
    [[nodiscard]] std::ptrdiff_t reach(std::ptrdiff_t d, std::ptrdiff_t k) const
    {
        return d < 0 || k < -d || k > d ? -1 : reach_[d][k + d];
    }

    /// True when the last change of the furthest-reaching d-path on diagonal k is an added line.
    [[nodiscard]] bool ends_with_addition(std::ptrdiff_t d, std::ptrdiff_t k) const
    {
        return k == -d || (k != d && reach(d - 1, k - 1) < reach(d - 1, k + 1));
    }

    /// Computes the furthest-reaching d-path on diagonal k. Returns true when the path reaches the
    /// end of both texts.
    bool extend(std::ptrdiff_t d, std::ptrdiff_t k)
    {
        std::ptrdiff_t x = 0;
        if (d > 0) {
            x = ends_with_addition(d, k) ? reach(d - 1, k + 1) : reach(d - 1, k - 1) + 1;
        }
        while (x < old_count_ && x - k < new_count_ &&
               region_.before[region_.first + x] == region_.after[region_.first + x - k]) {
            ++x;
        }
        reach_[d][k + d] = x;
        return x >= old_count_ && x - k >= new_count_;
    }

    [[nodiscard]] std::vector<changed_line> backtrack(std::ptrdiff_t d) const
    {
        std::vector<changed_line> changes;
        std::ptrdiff_t k = old_count_ - new_count_;
        for (; d > 0; --d) {
            if (ends_with_addition(d, k)) {
                ++k;
                const auto index = region_.first + reach(d - 1, k) - k;
                changes.push_back(
                    make_changed_line(change_kind::added, index, region_.after[index]));
            }
            else {
                --k;
                const auto index = region_.first + reach(d - 1, k);
                changes.push_back(
                    make_changed_line(change_kind::removed, index, region_.before[index]));
            }
        }
        std::reverse(changes.begin(), changes.end());
        return changes;
    }

    const changed_region& region_;
    std::ptrdiff_t old_count_;
    std::ptrdiff_t new_count_;
    std::vector<std::vector<std::ptrdiff_t>> reach_;
};

} // namespace

std::vector<std::string_view> split_lines(std::string_view text)
{
    std::vector<std::string_view> result;
    while (!text.empty()) {
        const auto end = text.find('\n');
        result.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            break;
        }
        text.remove_prefix(end + 1);
    }
    return result;
}

std::string canonical_text(const rule_set& rules)
{
    std::string text;
    append(text, rules.services);
    append(text, rules.routes);
    append(text, rules.limits);
    append(text, rules.pins);
    return text;
}

std::vector<changed_line> diff_lines(std::string_view before, std::string_view after)
{
    return detail::diff_split(split_lines(before), split_lines(after));
}

std::vector<changed_line> detail::diff_split(const lines& before, const lines& after)
{
    const changed_region region(before, after);
    return shortest_edit(region).run();
}

std::string format_diff(const std::vector<changed_line>& changes)
{
    std::string text;
    for (const auto& entry : changes) {
        text += (entry.kind == change_kind::added ? "+" : "-") + std::to_string(entry.line) + " " +
                entry.text + "\n";
    }
    return text;
}

} // namespace bulrushgw::rules
