#pragma once

#include "core/Result.h"
#include "entry/StoreMirror.h"
#include "store/TableClient.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace banyanlock
{

/// A change to one row of the configuration.
struct ConfigurationChange {
    std::string key; ///< Key of the row.
    std::string value; ///< New value of the row.
    std::optional<Contract> contract; ///< The decoded contract, if the row is a contract.
    std::optional<std::uint64_t> expectedVersion; ///< Version that the row must have; empty accepts any version.
};

/// Commits changes to the configuration. Each transaction also writes the version row, so that concurrent changes by two operators
/// conflict. When the answer to a commit is lost, the recent change ids in the version row show whether it took effect.
class ConfigurationWriter
{
public:
    /// Receives the new version of the row, or the error. Called once.
    using Callback = std::function<void(Result<std::uint64_t>)>;

    /// @param mirror Copy of the tables.
    /// @param table Table service.
    /// @param counters Counters.
    /// @param entry Name of the entry.
    /// @param incarnation Incarnation of the entry, for unique change ids.
    ConfigurationWriter(StoreMirror &mirror, TableClient &table, Counters &counters, std::string entry, std::uint64_t incarnation);

    /// Validates and commits a change, and retries it on conflicts.
    /// @param change The change.
    /// @param callback Receives the result.
    void commit(ConfigurationChange change, Callback callback);

private:
    struct PendingChange {
        ConfigurationChange change;
        Callback callback;
        std::string changeId;
        int attempts = 0;
        bool mayBeCommitted = false;
    };

    using PendingChangePointer = std::shared_ptr<PendingChange>;

    void refreshAndCommit(const PendingChangePointer &pending);
    void tryCommit(const PendingChangePointer &pending);
    std::optional<Error> validate(const ConfigurationChange &change) const;
    std::uint64_t rowVersion(const ConfigurationChange &change) const;
    TableTransaction makeTransaction(const PendingChange &pending) const;
    bool isCommitted(const PendingChange &pending) const;
    void onCommitResult(const PendingChangePointer &pending, const CommitResult &result);

    StoreMirror &m_mirror;
    TableClient &m_table;
    Counters &m_counters;
    std::string m_entry;
    std::uint64_t m_incarnation;
    std::uint64_t m_nextChange = 1;
};

} // namespace banyanlock
