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

/// A change of the configuration.
struct ConfigurationChange {
    std::string key; ///< Row that it writes.
    std::string value; ///< Text of the row.
    std::optional<Contract> contract; ///< The contract, when it is one.
    std::optional<std::uint64_t> expectedVersion; ///< Version that the row must have; nothing for any.
};

/// Commits changes of the configuration. Each change writes the version row too, so that two operators can't pass each other unseen; a lost
/// answer is settled by the change ids that the version row lists.
class ConfigurationWriter
{
public:
    /// Called once with the new version of the row, or the error.
    using Callback = std::function<void(Result<std::uint64_t>)>;

    /// @param mirror Copy of the tables.
    /// @param table Table service.
    /// @param counters Counters.
    /// @param entry Name of the entry.
    /// @param incarnation Process of the entry, for unique change ids.
    ConfigurationWriter(StoreMirror &mirror, TableClient &table, Counters &counters, std::string entry, std::uint64_t incarnation);

    /// Commits a change.
    /// @param change The change.
    /// @param callback Called once.
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
