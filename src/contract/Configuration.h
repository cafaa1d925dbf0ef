#pragma once

#include "contract/Contract.h"
#include "core/Counters.h"
#include "core/TableTypes.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyanlock
{

/// A contract with the version of its row.
struct ContractRecord {
    Contract contract; ///< The contract.
    std::uint64_t version = 0; ///< Version of its row.
};

/// Whether work may start in a failure domain.
struct FailureDomainRecord {
    std::string failureDomain; ///< Name of the failure domain.
    bool out = false; ///< Whether operators have taken it out.
    std::uint64_t version = 0; ///< Version of its row.
};

/// Names of the configuration's table and rows.
struct ConfigurationRows {
    static constexpr const char *table = "configuration"; ///< Table of the configuration.
    static constexpr const char *versionKey = "version"; ///< Row that every change writes.

    /// @param workspace Name of a workspace.
    /// @return Key of its contract's row.
    static std::string contractKey(const std::string &workspace)
    {
        return "contract/" + workspace;
    }

    /// @param failureDomain Name of a failure domain.
    /// @return Key of its state's row.
    static std::string failureDomainKey(const std::string &failureDomain)
    {
        return "failure-domain/" + failureDomain;
    }
};

/// The configuration that a process has adopted. Its version only rises, and so does that of each row.
class Configuration
{
public:
    /// @param counters Where adoptions are counted.
    explicit Configuration(Counters &counters)
        : m_counters(counters)
    {
    }

    /// Takes in a read of the configuration's table.
    /// @param rows Rows that were read; rows of other tables are passed over.
    /// @return Whether anything changed.
    bool adopt(std::span<const TableRow> rows);

    /// @return Version of the configuration: that of the latest change.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @return Whether a read has been adopted.
    bool isReady() const
    {
        return m_ready;
    }

    /// @return All contracts, ordered by workspace.
    std::span<const ContractRecord> contracts() const
    {
        return m_contracts;
    }

    /// @return All failure domains that were ever taken out or in, ordered by name.
    std::span<const FailureDomainRecord> failureDomains() const
    {
        return m_failureDomains;
    }

    /// @param workspace Workspace to look up.
    /// @return Its contract, or null.
    const ContractRecord *findContract(std::string_view workspace) const;

    /// @param failureDomain Failure domain to look up.
    /// @return Whether it is out.
    bool isOut(std::string_view failureDomain) const;

    /// @param failureDomain Failure domain to look up.
    /// @return Version of its row; zero if it has none.
    std::uint64_t failureDomainVersion(std::string_view failureDomain) const;

    /// @return Names of the failure domains that are out.
    std::vector<std::string> outDomains() const;

private:
    bool adoptRow(const TableRow &row);
    bool adoptContract(const TableRow &row);
    bool adoptFailureDomain(const TableRow &row);

    Counters &m_counters;
    std::vector<ContractRecord> m_contracts;
    std::vector<FailureDomainRecord> m_failureDomains;
    std::uint64_t m_version = 0;
    bool m_ready = false;
};

} // namespace banyanlock
