#include "entry/ConfigurationWriter.h"

#include "core/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr int maxCommitAttempts = 8;
constexpr std::size_t maxRecentChangeIds = 64;

nlohmann::json readRecentChangeIds(const TableRow &row)
{
    nlohmann::json changeIds = nlohmann::json::parse(row.value, nullptr, false);
    return changeIds.is_array() ? changeIds : nlohmann::json::array();
}

} // namespace

ConfigurationWriter::ConfigurationWriter(StoreMirror &mirror, TableClient &table, Counters &counters, std::string entry,
                                         std::uint64_t incarnation)
    : m_mirror(mirror)
    , m_table(table)
    , m_counters(counters)
    , m_entry(std::move(entry))
    , m_incarnation(incarnation)
{
}

void ConfigurationWriter::commit(ConfigurationChange change, Callback callback)
{
    auto pending = std::make_shared<PendingChange>();
    pending->change = std::move(change);
    pending->callback = std::move(callback);
    pending->changeId = m_entry + "/" + std::to_string(m_incarnation) + "/" + std::to_string(m_nextChange++);
    refreshAndCommit(pending);
}

void ConfigurationWriter::refreshAndCommit(const PendingChangePointer &pending)
{
    m_mirror.refresh([this, pending](bool available) {
        if (available) {
            tryCommit(pending);
            return;
        }
        const ResultCode code = pending->mayBeCommitted ? ResultCode::StoreOutcomeUnknown : ResultCode::StoreUnavailable;
        pending->callback(Error{code, "the table service can't be reached"});
    });
}

std::uint64_t ConfigurationWriter::rowVersion(const ConfigurationChange &change) const
{
    const Configuration &configuration = m_mirror.configuration();
    if (change.contract) {
        const ContractRecord *record = configuration.findContract(change.contract->workspace);
        return record == nullptr ? 0 : record->version;
    }
    return configuration.failureDomainVersion(change.key.substr(change.key.find('/') + 1));
}

std::optional<Error> ConfigurationWriter::validate(const ConfigurationChange &change) const
{
    if (change.expectedVersion && *change.expectedVersion != rowVersion(change)) {
        return Error{ResultCode::VersionConflict, "the current version is " + std::to_string(rowVersion(change))};
    }
    if (!change.contract) {
        return std::nullopt;
    }
    std::vector<Contract> contracts = m_mirror.contracts();
    const auto position = std::ranges::lower_bound(contracts, change.contract->workspace, {}, &Contract::workspace);
    if (position != contracts.end() && position->workspace == change.contract->workspace) {
        *position = *change.contract;
    } else {
        contracts.insert(position, *change.contract);
    }
    const std::string shortfall = findGuaranteeShortfall(m_mirror.fleet(), contracts);
    return shortfall.empty() ? std::nullopt : std::optional(Error{ResultCode::GuaranteesDoNotFit, shortfall});
}

TableTransaction ConfigurationWriter::makeTransaction(const PendingChange &pending) const
{
    const TableRow &versionRow = m_mirror.configurationVersionRow();
    nlohmann::json changeIds = readRecentChangeIds(versionRow);
    changeIds.push_back(pending.changeId);
    while (changeIds.size() > maxRecentChangeIds) {
        changeIds.erase(changeIds.begin());
    }
    TableTransaction transaction;
    transaction.changeId = pending.changeId;
    transaction.checks.push_back({ConfigurationRows::table, ConfigurationRows::versionKey, versionRow.version});
    transaction.checks.push_back({ConfigurationRows::table, pending.change.key, rowVersion(pending.change)});
    transaction.writes.push_back({ConfigurationRows::table, ConfigurationRows::versionKey, changeIds.dump()});
    transaction.writes.push_back({ConfigurationRows::table, pending.change.key, pending.change.value});
    return transaction;
}

bool ConfigurationWriter::isCommitted(const PendingChange &pending) const
{
    const nlohmann::json changeIds = readRecentChangeIds(m_mirror.configurationVersionRow());
    return std::ranges::find(changeIds, nlohmann::json(pending.changeId)) != changeIds.end();
}

void ConfigurationWriter::tryCommit(const PendingChangePointer &pending)
{
    if (pending->mayBeCommitted && isCommitted(*pending)) {
        m_counters.add(Counter::StoreUnknownSettled);
        pending->callback(rowVersion(pending->change));
        return;
    }
    if (std::optional<Error> error = validate(pending->change)) {
        pending->callback(std::move(*error));
        return;
    }
    if (++pending->attempts > maxCommitAttempts) {
        const ResultCode code = pending->mayBeCommitted ? ResultCode::StoreOutcomeUnknown : ResultCode::VersionConflict;
        pending->callback(Error{code, "gave up after repeated conflicts with other changes"});
        return;
    }
    m_table.commit(makeTransaction(*pending), [this, pending](const CommitResult &result) {
        onCommitResult(pending, result);
    });
}

void ConfigurationWriter::onCommitResult(const PendingChangePointer &pending, const CommitResult &result)
{
    if (result.state == CommitState::Committed) {
        Log::info("configuration_changed", {{"key", pending->change.key}, {"version", static_cast<std::int64_t>(result.version)}});
        m_mirror.refresh([pending, version = result.version](bool) {
            pending->callback(version);
        });
        return;
    }
    pending->mayBeCommitted = pending->mayBeCommitted || result.state == CommitState::Unknown;
    refreshAndCommit(pending);
}

} // namespace banyanlock
