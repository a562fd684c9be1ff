#include "rules/delta.h"

#include <charconv>

#include "common/hash.h"
#include "rules/text.h"

namespace bulrushgw::rules {

namespace {

constexpr std::size_t digest_characters = 32;

/// Splits a text into lines that include their line ends. The last line may have none.
std::vector<std::string_view> lines_with_ends(std::string_view text)
{
    std::vector<std::string_view> result;
    while (!text.empty()) {
        const auto end = text.find('\n');
        const auto size = end == std::string_view::npos ? text.size() : end + 1;
        result.push_back(text.substr(0, size));
        text.remove_prefix(size);
    }
    return result;
}

/// Sequential reader of an encoded delta.
class delta_reader {
public:
    explicit delta_reader(std::string_view bytes) : rest_(bytes) {}

    /// Reads a decimal number and the character `end` after it.
    std::size_t number(char end)
    {
        std::size_t value = 0;
        const auto [stop, code] = std::from_chars(rest_.data(), rest_.data() + rest_.size(), value);
        if (code != std::errc{} || stop == rest_.data() + rest_.size() || *stop != end) {
            throw delta_error("invalid delta: number or its delimiter is missing");
        }
        rest_.remove_prefix(static_cast<std::size_t>(stop - rest_.data()) + 1);
        return value;
    }

    std::string bytes(std::size_t count)
    {
        if (count > rest_.size()) {
            throw delta_error("invalid delta: unexpected end of input");
        }
        std::string result(rest_.substr(0, count));
        rest_.remove_prefix(count);
        return result;
    }

    [[nodiscard]] bool at_end() const { return rest_.empty(); }

private:
    std::string_view rest_;
};

} // namespace

delta make_delta(std::string_view base, std::string_view result)
{
    delta change{content_digest(base), content_digest(result), {}};
    const auto old_lines = lines_with_ends(base);
    const auto new_lines = lines_with_ends(result);
    const auto changes = detail::diff_split(old_lines, new_lines);
    std::size_t old_at = 0;
    std::size_t new_at = 0;
    for (const auto& entry : changes) {
        const bool added = entry.kind == change_kind::added;
        const std::size_t kept = entry.line - 1 - (added ? new_at : old_at);
        if (kept > 0 || change.hunks.empty()) {
            change.hunks.push_back({kept, 0, {}});
        }
        old_at += kept;
        new_at += kept;
        if (added) {
            change.hunks.back().added.emplace_back(new_lines[new_at++]);
        }
        else {
            ++change.hunks.back().removed;
            ++old_at;
        }
    }
    return change;
}

std::string apply_delta(std::string_view base, const delta& change)
{
    if (content_digest(base) != change.base_digest) {
        throw delta_error("delta does not apply: the digest of the base text differs");
    }
    const auto old_lines = lines_with_ends(base);
    std::string result;
    std::size_t at = 0;
    for (const auto& hunk : change.hunks) {
        const std::size_t rest = old_lines.size() - at;
        if (hunk.kept > rest || hunk.removed > rest - hunk.kept) {
            throw delta_error("delta does not apply: a hunk exceeds the base text");
        }
        for (std::size_t i = 0; i < hunk.kept; ++i) {
            result += old_lines[at++];
        }
        at += hunk.removed;
        for (const auto& line : hunk.added) {
            result += line;
        }
    }
    for (; at < old_lines.size(); ++at) {
        result += old_lines[at];
    }
    if (content_digest(result) != change.result_digest) {
        throw delta_error("delta does not apply: the digest of the result differs");
    }
    return result;
}

std::string encode_delta(const delta& change)
{
    std::string bytes = change.base_digest + change.result_digest;
    for (const auto& hunk : change.hunks) {
        bytes += std::to_string(hunk.kept) + "," + std::to_string(hunk.removed) + "," +
                 std::to_string(hunk.added.size()) + ":";
        for (const auto& line : hunk.added) {
            bytes += std::to_string(line.size()) + ":" + line;
        }
    }
    return bytes;
}

delta decode_delta(std::string_view bytes)
{
    delta_reader reader(bytes);
    delta change{reader.bytes(digest_characters), reader.bytes(digest_characters), {}};
    while (!reader.at_end()) {
        delta::hunk hunk;
        hunk.kept = reader.number(',');
        hunk.removed = reader.number(',');
        // The count may be damaged, so memory is not reserved for it in advance.
        for (auto left = reader.number(':'); left > 0; --left) {
            hunk.added.push_back(reader.bytes(reader.number(':')));
        }
        change.hunks.push_back(std::move(hunk));
    }
    return change;
}

} // namespace bulrushgw::rules
