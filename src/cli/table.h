#pragma once

/// Aligned tables for people.

#include <string>
#include <vector>

namespace bulrushgw::cli {

/// Rows of text under a header. Columns are as wide as their widest cell in
/// characters of UTF-8; the last column is not padded.
class table {
public:
    explicit table(std::vector<std::string> header);

    /// Precondition: as many cells as the header has.
    void add(std::vector<std::string> cells);
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Replaces control characters, which could hide or change text on a terminal.
std::string printable(const std::string& text);

} // namespace bulrushgw::cli
