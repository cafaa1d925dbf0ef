#include "program/TablePrinter.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{

TablePrinter::TablePrinter(std::vector<std::string> headings)
{
    m_rows.push_back(std::move(headings));
}

void TablePrinter::addRow(std::vector<std::string> cells)
{
    cells.resize(m_rows.front().size());
    m_rows.push_back(std::move(cells));
}

std::string TablePrinter::toString() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string> &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace banyanlock
