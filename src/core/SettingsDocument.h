#pragma once

#include "core/Result.h"

#include <string>
#include <vector>

namespace banyanlock
{

/// One key of a settings file with its values and position.
struct SettingsEntry {
    std::string key; ///< Name of the key.
    std::vector<std::string> values; ///< One value for a scalar, any number of values for a list.
    bool isList = false; ///< Whether the value was written as a list.
    int line = 0; ///< Line of the key, from 1.
};

/// A settings file that has been parsed as YAML but not yet checked against a role's keys.
struct SettingsDocument {
    std::string path; ///< Path as given.
    std::vector<SettingsEntry> entries; ///< Keys in file order.

    /// Reads and parses a file: one mapping of scalars and lists of scalars.
    /// @param path File to read.
    /// @return The document, or `InvalidSettings` with path, line and reason.
    static Result<SettingsDocument> load(const std::string &path);

    /// Formats the message of an error in this document.
    /// @param line Line, from 1; zero when no line applies.
    /// @param key Key concerned.
    /// @param reason Description of the error.
    /// @return `path:line: key: reason`.
    std::string describe(int line, const std::string &key, const std::string &reason) const;
};

} // namespace banyanlock
