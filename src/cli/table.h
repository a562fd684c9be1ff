#pragma once

/// Tables with aligned columns.

#include <string>
#include <vector>

namespace bulrushgw::cli {

/// Rows of text below a header. Each column is as wide as its widest cell, counted in UTF-8
/// characters; the last column is not padded.
class table {
public:
    explicit table(std::vector<std::string> header);

    /// Adds a row. Precondition: `cells` has as many cells as the header.
    void add(std::vector<std::string> cells);
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Replaces control characters by "?", since they could hide or change text on a terminal.
std::string printable(const std::string& text);

} // namespace bulrushgw::cli
