#pragma once

#include "core/TableTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyanlock
{

/// Names of the pool's rows in the table service.
struct PoolRows {
    static constexpr std::string_view table = "pool"; ///< Table of all rows of the pool.
    static constexpr std::string_view ownerKey = "owner"; ///< Row of the owner: name, epoch, renewals.
    static constexpr std::string_view specPrefix = "spec/"; ///< Rows of what was asked for, by job.
    static constexpr std::string_view progressPrefix = "job/"; ///< Rows of progress, by job; only the owner writes them after submission.
    static constexpr std::string_view cancelPrefix = "cancel/"; ///< Rows of cancellations, by job.
    static constexpr std::string_view workerPrefix = "worker/"; ///< Rows of agents, by their RPC address.

    /// @param prefix Kind of row.
    /// @param name Job or address.
    /// @return The row's key.
    static std::string keyOf(std::string_view prefix, std::string_view name)
    {
        return std::string(prefix) + std::string(name);
    }

    /// @param key Key of a row.
    /// @param prefix Kind of row.
    /// @return Job or address, or nothing if the row is of another kind.
    static std::optional<std::string> nameIn(std::string_view key, std::string_view prefix)
    {
        return key.starts_with(prefix) ? std::optional(std::string(key.substr(prefix.size()))) : std::nullopt;
    }
};

/// Names of the operators' rows: the platform's adapter fills them in.
struct OperatorRows {
    std::string table; ///< Their table.
    std::string configurationKey; ///< Row of the configuration.
    std::string outDomainPrefix; ///< Beginning of the rows of failure domains that are out, by failure domain.
};

} // namespace banyanlock
