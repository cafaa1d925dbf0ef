#pragma once

#include "core/TableTypes.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace banyanlock
{

/// Keys of the pool's rows in the table service.
struct PoolRows {
    static constexpr std::string_view table = "pool"; ///< Table that holds all rows of the pool.
    static constexpr std::string_view ownerKey = "owner"; ///< Key of the owner row; see `OwnerRow`.
    static constexpr std::string_view candidateKey
        = "candidate"; ///< Key of the row of an entry that asks for the pool; see `OwnerCandidate`.
    static constexpr std::string_view specPrefix = "spec/"; ///< Rows with the specification of each job.
    static constexpr std::string_view progressPrefix
        = "job/"; ///< Rows with the progress of each job; only the owner writes them after submission.
    static constexpr std::string_view continuationPrefix
        = "units/"; ///< Continuation rows of progress that exceeds one row, by job and number; see `ContinuationRow`.
    static constexpr std::string_view cancelPrefix = "cancel/"; ///< Rows that mark cancelled jobs, by job.
    static constexpr std::string_view earlyCancelPrefix
        = "early-cancel/"; ///< Rows that bar the submission of jobs whose cancellation came first; see `EarlyCancellations`.
    static constexpr std::string_view workerPrefix = "worker/"; ///< Rows of registered agents, by RPC address.

    /// @param prefix Prefix of the kind of row.
    /// @param name Job id or RPC address.
    /// @return The row's key.
    static std::string keyOf(std::string_view prefix, std::string_view name)
    {
        return std::string(prefix) + std::string(name);
    }

    /// @param job Job id.
    /// @param number Number of a continuation row, from zero.
    /// @return The row's key.
    static std::string continuationKey(std::string_view job, std::uint32_t number)
    {
        return keyOf(continuationPrefix, job) + "/" + std::to_string(number);
    }

    /// @param key Key of a row.
    /// @return Job id and number, or nothing if it is no continuation row.
    static std::optional<std::pair<std::string, std::uint32_t>> continuationIn(std::string_view key)
    {
        const std::optional<std::string> name = nameIn(key, continuationPrefix);
        const std::size_t slash = name ? name->find('/') : std::string::npos;
        if (slash == std::string::npos || !isJobId(std::string_view(*name).substr(0, slash))) {
            return std::nullopt;
        }
        std::uint32_t number = 0;
        const char *const end = name->data() + name->size();
        const auto [parsedTo, error] = std::from_chars(name->data() + slash + 1, end, number);
        return error == std::errc() && parsedTo == end ? std::optional(std::pair(name->substr(0, slash), number)) : std::nullopt;
    }

    /// @param key Key of a row.
    /// @param prefix Prefix of the kind of row.
    /// @return Job id or RPC address, or nothing if the row is of another kind.
    static std::optional<std::string> nameIn(std::string_view key, std::string_view prefix)
    {
        return key.starts_with(prefix) ? std::optional(std::string(key.substr(prefix.size()))) : std::nullopt;
    }

    /// @param id Name to check.
    /// @return Whether it is a job id: 1 to 64 letters and digits, so that each of the job's keys is valid in the table service.
    static bool isJobId(std::string_view id)
    {
        constexpr std::size_t maxLength = 64;
        return !id.empty() && id.size() <= maxLength && std::ranges::all_of(id, [](unsigned char character) {
            return std::isalnum(character) != 0;
        });
    }
};

/// Keys of the rows that operators write; the platform adapter provides them.
struct OperatorRows {
    std::string table; ///< Table that holds the rows.
    std::string configurationKey; ///< Key of the configuration row.
    std::string outDomainPrefix; ///< Key prefix of the rows that mark failure domains as out of service.
};

} // namespace banyanlock
