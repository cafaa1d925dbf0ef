#pragma once

#include "core/TableTypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Identifies a job as its callers do: an id is unique only among the submissions of one workspace to one queue address.
struct SubmissionScope {
    std::string host; ///< Host name of the queue.
    std::string pathPrefix; ///< Path prefix of the queue.
    std::string workspace; ///< Workspace of the caller; empty for callers of an open queue without a key.
};

/// @param scope Where the job would be submitted.
/// @param job Job id.
/// @return Key of the row that records an early cancellation.
std::string earlyCancellationKey(const SubmissionScope &scope, std::string_view job);

/// @param workspace Workspace of the caller.
/// @return JSON text of the row that records an early cancellation.
std::string encodeEarlyCancellation(const std::string &workspace);

/// A recorded cancellation of a job that did not exist.
struct EarlyCancellation {
    std::uint64_t version = 0; ///< Version of its row; a repeated cancellation writes it anew.
    std::string workspace; ///< Workspace of the caller; empty if the row is unreadable.
};

/// Cancellations of jobs that did not exist, as recorded in the table service.
///
/// Such a cancellation is answered with `CallOutcome::NoSuchJob`, although a transaction that records the job may still be on its way. Each
/// submission checks that there is no such row in its scope, so the answer remains true. The owner erases the rows after the retention
/// period.
class EarlyCancellations
{
public:
    /// Maximum number of rows of a workspace, which bounds the table and the memory of the entries.
    static constexpr std::size_t maxPerWorkspace = 256;

    /// Applies a row.
    /// @param row The row.
    /// @return Whether the row records an early cancellation, or did so before it was erased.
    bool adopt(const TableRow &row);

    /// Removes all rows, before all rows are read again.
    void clear();

    /// @param workspace Name of a workspace.
    /// @return Whether it has as many rows as it may have.
    bool isFull(const std::string &workspace) const;

    /// @return The rows, by key.
    const std::map<std::string, EarlyCancellation> &rows() const
    {
        return m_rows;
    }

private:
    void remove(const std::string &key);

    std::map<std::string, EarlyCancellation> m_rows; // by key
    std::map<std::string, std::size_t> m_counts; // rows by workspace
};

} // namespace banyanlock
