#include "entry/ConfigurationWriter.h"

#include "core/Log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr int mostTries = 8;
constexpr std::size_t recentChanges = 64;

nlohmann::json readRecentChanges(const TableRow &row)
{
    nlohmann::json changes = nlohmann::json::parse(row.value, nullptr, false);
    return changes.is_array() ? changes : nlohmann::json::array();
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
    auto work = std::make_shared<Work>();
    work->change = std::move(change);
    work->callback = std::move(callback);
    work->changeId = m_entry + "/" + std::to_string(m_incarnation) + "/" + std::to_string(m_nextChange++);
    refreshThenTry(work);
}

void ConfigurationWriter::refreshThenTry(const WorkPointer &work)
{
    m_mirror.refresh([this, work](bool available) {
        if (available) {
            tryCommit(work);
            return;
        }
        const ResultCode code = work->mayHaveTakenEffect ? ResultCode::StoreOutcomeUnknown : ResultCode::StoreUnavailable;
        work->callback(Error{code, "the table service can't be reached"});
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

std::optional<Error> ConfigurationWriter::check(const ConfigurationChange &change) const
{
    if (change.expectedVersion && *change.expectedVersion != rowVersion(change)) {
        return Error{ResultCode::VersionConflict, "the current version is " + std::to_string(rowVersion(change))};
    }
    if (!change.contract) {
        return std::nullopt;
    }
    std::vector<Contract> contracts = m_mirror.contracts();
    const auto place = std::ranges::lower_bound(contracts, change.contract->workspace, {}, &Contract::workspace);
    if (place != contracts.end() && place->workspace == change.contract->workspace) {
        *place = *change.contract;
    } else {
        contracts.insert(place, *change.contract);
    }
    const std::string fault = findGuaranteeShortfall(m_mirror.fleet(), contracts);
    return fault.empty() ? std::nullopt : std::optional(Error{ResultCode::GuaranteesDoNotFit, fault});
}

TableTransaction ConfigurationWriter::makeTransaction(const Work &work) const
{
    const TableRow &versionRow = m_mirror.configurationVersionRow();
    nlohmann::json changes = readRecentChanges(versionRow);
    changes.push_back(work.changeId);
    while (changes.size() > recentChanges) {
        changes.erase(changes.begin());
    }
    TableTransaction transaction;
    transaction.changeId = work.changeId;
    transaction.checks.push_back({ConfigurationRows::table, ConfigurationRows::versionKey, versionRow.version});
    transaction.checks.push_back({ConfigurationRows::table, work.change.key, rowVersion(work.change)});
    transaction.writes.push_back({ConfigurationRows::table, ConfigurationRows::versionKey, changes.dump()});
    transaction.writes.push_back({ConfigurationRows::table, work.change.key, work.change.value});
    return transaction;
}

bool ConfigurationWriter::hasTakenEffect(const Work &work) const
{
    const nlohmann::json changes = readRecentChanges(m_mirror.configurationVersionRow());
    return std::ranges::find(changes, nlohmann::json(work.changeId)) != changes.end();
}

void ConfigurationWriter::tryCommit(const WorkPointer &work)
{
    if (work->mayHaveTakenEffect && hasTakenEffect(*work)) {
        m_counters.add(Counter::StoreUnknownSettled);
        work->callback(rowVersion(work->change));
        return;
    }
    if (std::optional<Error> error = check(work->change)) {
        work->callback(std::move(*error));
        return;
    }
    if (++work->tries > mostTries) {
        const ResultCode code = work->mayHaveTakenEffect ? ResultCode::StoreOutcomeUnknown : ResultCode::VersionConflict;
        work->callback(Error{code, "other changes came first, again and again"});
        return;
    }
    m_table.commit(makeTransaction(*work), [this, work](const CommitResult &result) {
        onResult(work, result);
    });
}

void ConfigurationWriter::onResult(const WorkPointer &work, const CommitResult &result)
{
    if (result.state == CommitState::Committed) {
        Log::info("configuration_changed", {{"key", work->change.key}, {"version", static_cast<std::int64_t>(result.version)}});
        m_mirror.refresh([work, version = result.version](bool) {
            work->callback(version);
        });
        return;
    }
    work->mayHaveTakenEffect = work->mayHaveTakenEffect || result.state == CommitState::Unknown;
    refreshThenTry(work);
}

} // namespace banyanlock
