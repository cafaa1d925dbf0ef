#pragma once

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace banyanlock
{

/// Prints a Markdown table to standard output, row by row.
class BenchTable
{
public:
    /// @param headings Heading of each column.
    explicit BenchTable(const std::vector<std::string> &headings)
    {
        addRow(headings);
        std::printf("|");
        for (std::size_t column = 0; column < headings.size(); ++column) {
            std::printf("---|");
        }
        std::printf("\n");
    }

    /// Prints a row.
    /// @param cells One text for each column.
    static void addRow(const std::vector<std::string> &cells)
    {
        std::printf("|");
        for (const std::string &cell : cells) {
            std::printf(" %s |", cell.c_str());
        }
        std::printf("\n");
        std::fflush(stdout);
    }
};

/// @param value Number to write.
/// @param decimals Digits after the point.
/// @return Its text.
inline std::string formatNumber(double value, int decimals = 1)
{
    char text[40];
    std::snprintf(text, sizeof(text), "%.*f", decimals, value);
    return text;
}

/// @param values Values, in any order.
/// @param share Share of values below the result, 0 to 1.
/// @return That percentile; zero when there are no values.
inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

} // namespace banyanlock
