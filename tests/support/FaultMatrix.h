#pragma once

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace banyanlock
{

/// A table of faults by steps, written as Markdown where BANYANLOCK_FAULT_MATRIX names a folder.
class FaultMatrix
{
public:
    /// @param title Heading of the table.
    /// @param steps Names of the columns.
    FaultMatrix(std::string title, const std::vector<std::string> &steps)
        : m_text("## " + std::move(title) + "\n\n| fault |")
    {
        std::string rule = "\n|---|";
        for (const std::string &step : steps) {
            m_text += " " + step + " |";
            rule += "---|";
        }
        m_text += rule + "\n";
    }

    /// Adds a row.
    /// @param fault Name of the fault.
    /// @param cells What was seen at each step.
    void addRow(const std::string &fault, const std::vector<std::string> &cells)
    {
        m_text += "| " + fault + " |";
        for (const std::string &cell : cells) {
            m_text += " " + cell + " |";
        }
        m_text += "\n";
    }

    /// Writes the table.
    /// @param name Name of the file in the folder.
    void write(const std::string &name) const
    {
        if (const char *folder = std::getenv("BANYANLOCK_FAULT_MATRIX")) {
            std::ofstream(std::string(folder) + "/" + name) << m_text;
        }
    }

private:
    std::string m_text;
};

} // namespace banyanlock
