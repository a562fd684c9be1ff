#include "cli/table.h"

#include <algorithm>

namespace bulrushgw::cli {

namespace {

/// Number of UTF-8 characters: counts the bytes that are not continuation bytes.
std::size_t character_count(const std::string& text)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        text, [](char letter) { return (static_cast<unsigned char>(letter) & 0xc0U) != 0x80U; }));
}

} // namespace

table::table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void table::add(std::vector<std::string> cells)
{
    std::ranges::transform(cells, cells.begin(), printable);
    rows_.push_back(std::move(cells));
}

std::string table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], character_count(row.at(i)));
        }
    }
    std::string text;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < widths.size(); ++i) {
            line += row[i];
            line.append(widths[i] - character_count(row[i]) + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string printable(const std::string& text)
{
    std::string clean = text;
    std::ranges::replace_if(
        clean,
        [](char letter) {
            const auto byte = static_cast<unsigned char>(letter);
            return byte < 0x20 || byte == 0x7f;
        },
        '?');
    return clean;
}

} // namespace bulrushgw::cli
