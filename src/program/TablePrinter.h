#pragma once

#include <string>
#include <vector>

namespace banyanlock
{

/// Prints rows of text in aligned columns.
class TablePrinter
{
public:
    /// @param headings Heading of each column.
    explicit TablePrinter(std::vector<std::string> headings);

    /// Adds a row.
    /// @param cells One text for each column.
    void addRow(std::vector<std::string> cells);

    /// @return The table as text.
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace banyanlock
