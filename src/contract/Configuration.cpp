#include "contract/Configuration.h"

#include "contract/ContractCodec.h"
#include "core/Assert.h"
#include "core/Guard.h"

#include <algorithm>

namespace banyanlock
{
namespace
{

constexpr std::string_view contractPrefix = "contract/";
constexpr std::string_view failureDomainPrefix = "failure-domain/";
constexpr std::string_view outState = "out";

/// Returns the record with the given name in a sorted list; inserts an empty one if there is none.
template <typename Record, typename Name> Record &findOrInsert(std::vector<Record> &records, const std::string &name, Name nameOf)
{
    const auto position = std::ranges::lower_bound(records, name, {}, nameOf);
    if (position != records.end() && nameOf(*position) == name) {
        return *position;
    }
    return *records.insert(position, Record());
}

const std::string &workspaceOf(const ContractRecord &record)
{
    return record.contract.workspace;
}

const std::string &failureDomainOf(const FailureDomainRecord &record)
{
    return record.failureDomain;
}

} // namespace

bool Configuration::adoptContract(const TableRow &row)
{
    Result<Contract> decoded = decodeContract(row.value);
    if (!isOk(decoded)) {
        return false;
    }
    ContractRecord &record = findOrInsert(m_contracts, valueOf(decoded).workspace, workspaceOf);
    if (row.version <= record.version && isEnabled(Guard::ConfigurationRises)) {
        return false;
    }
    record = {std::move(valueOf(decoded)), row.version};
    return true;
}

bool Configuration::adoptFailureDomain(const TableRow &row)
{
    const std::string name = row.key.substr(failureDomainPrefix.size());
    FailureDomainRecord &record = findOrInsert(m_failureDomains, name, failureDomainOf);
    if (row.version <= record.version && isEnabled(Guard::ConfigurationRises)) {
        return false;
    }
    record = {name, row.value == outState, row.version};
    return true;
}

bool Configuration::adoptRow(const TableRow &row)
{
    if (row.table != ConfigurationRows::table) {
        return false;
    }
    bool changed = false;
    if (row.key.starts_with(contractPrefix)) {
        changed = adoptContract(row);
    } else if (row.key.starts_with(failureDomainPrefix)) {
        changed = adoptFailureDomain(row);
    }
    if (changed) {
        const std::uint64_t before = m_version;
        m_version = isEnabled(Guard::ConfigurationRises) ? std::max(m_version, row.version) : row.version;
        BANYANLOCK_ASSERT(m_version >= before || !isEnabled(Guard::ConfigurationRises));
    } else if (row.version < m_version) {
        m_counters.add(Counter::ConfigurationStaleIgnored);
    }
    return changed;
}

bool Configuration::adopt(std::span<const TableRow> rows)
{
    bool changed = !m_ready;
    m_ready = true;
    for (const TableRow &row : rows) {
        changed = adoptRow(row) || changed;
    }

    if (changed) {
        m_counters.add(Counter::ConfigurationAdopted);
    }
    return changed;
}

const ContractRecord *Configuration::findContract(std::string_view workspace) const
{
    const auto position = std::ranges::lower_bound(m_contracts, workspace, {}, workspaceOf);
    return position != m_contracts.end() && position->contract.workspace == workspace ? &*position : nullptr;
}

bool Configuration::isOut(std::string_view failureDomain) const
{
    const auto position = std::ranges::lower_bound(m_failureDomains, failureDomain, {}, failureDomainOf);
    return position != m_failureDomains.end() && position->failureDomain == failureDomain && position->out;
}

std::uint64_t Configuration::failureDomainVersion(std::string_view failureDomain) const
{
    const auto position = std::ranges::lower_bound(m_failureDomains, failureDomain, {}, failureDomainOf);
    return position != m_failureDomains.end() && position->failureDomain == failureDomain ? position->version : 0;
}

std::vector<std::string> Configuration::outDomains() const
{
    std::vector<std::string> names;
    for (const FailureDomainRecord &record : m_failureDomains) {
        if (record.out) {
            names.push_back(record.failureDomain);
        }
    }
    return names;
}

} // namespace banyanlock
