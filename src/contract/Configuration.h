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

/// Contract with the version of its row.
struct ContractRecord {
    Contract contract; ///< The contract.
    std::uint64_t version = 0; ///< Version of the row.
};

/// Administrative state of a failure domain: nothing new is started in a domain that is out.
struct FailureDomainRecord {
    std::string failureDomain; ///< Name of the failure domain.
    bool out = false; ///< Whether an operator has taken the domain out.
    std::uint64_t version = 0; ///< Version of the row.
};

/// Names of the configuration's table and row keys.
struct ConfigurationRows {
    static constexpr const char *table = "configuration"; ///< Name of the configuration's table.
    static constexpr const char *versionKey = "version"; ///< Key of the row that every change writes.

    /// @param workspace Name of a workspace.
    /// @return Key of the row with the workspace's contract.
    static std::string contractKey(const std::string &workspace)
    {
        return "contract/" + workspace;
    }

    /// @param failureDomain Name of a failure domain.
    /// @return Key of the row with the failure domain's state.
    static std::string failureDomainKey(const std::string &failureDomain)
    {
        return "failure-domain/" + failureDomain;
    }
};

/// Configuration that a process has adopted. Its version and the version of each row never decrease, so that a stale read has no effect.
class Configuration
{
public:
    /// @param counters Counters of adopted and stale configurations.
    explicit Configuration(Counters &counters)
        : m_counters(counters)
    {
    }

    /// Applies rows read from the configuration's table. Stale rows and contracts that can't be decoded are ignored.
    /// @param rows Rows read; rows of other tables are ignored.
    /// @return Whether anything changed.
    bool adopt(std::span<const TableRow> rows);

    /// @return Version of the configuration, which is that of the latest change.
    std::uint64_t version() const
    {
        return m_version;
    }

    /// @return Whether at least one read has been applied.
    bool isReady() const
    {
        return m_ready;
    }

    /// @return All contracts, ordered by workspace.
    std::span<const ContractRecord> contracts() const
    {
        return m_contracts;
    }

    /// @return All failure domains with a recorded state, ordered by name.
    std::span<const FailureDomainRecord> failureDomains() const
    {
        return m_failureDomains;
    }

    /// @param workspace Workspace to look up.
    /// @return Contract of the workspace, or null if there is none.
    const ContractRecord *findContract(std::string_view workspace) const;

    /// @param failureDomain Failure domain to look up.
    /// @return Whether the failure domain is out.
    bool isOut(std::string_view failureDomain) const;

    /// @param failureDomain Failure domain to look up.
    /// @return Version of the failure domain's row; 0 if there is none.
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
