#include "pool/GraphTable.h"

#include "core/Log.h"
#include "graph/GraphCodec.h"
#include "pool/PoolRows.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

void reportUnreadable(const TableRow &row, const std::string &reason)
{
    Log::warning("job_row_unreadable", {{"row", row.key}, {"version", static_cast<std::int64_t>(row.version)}, {"reason", reason}});
}

/// @return Texts of the continuation rows that belong to the progress row, in order; fewer than it names if any is missing.
std::vector<std::string> takeContinuations(GraphRecord &record)
{
    std::vector<std::string> texts;
    for (auto &[number, row] : std::exchange(record.continuations, {})) {
        if (number == texts.size() && number < record.continuationCount && row.version == record.progressVersion) {
            texts.push_back(std::move(row.text));
        }
    }
    return texts;
}

} // namespace

bool GraphTable::adoptSpec(GraphRecord &record, const TableRow &row)
{
    if (record.specVersion != 0) {
        return false; // the specification row is written only once
    }
    if (!decodeGraphSpec(row.value, record)) {
        reportUnreadable(row, "not a valid specification");
        return false;
    }
    if (record.progressVersion != 0 && !matches(record.progress, record.spec)) {
        reportUnreadable(row, "earlier progress names units that are not in it");
        record.progress = {};
        record.progressVersion = 0;
    }
    record.specVersion = row.version;
    return true;
}

bool GraphTable::adoptProgress(GraphRecord &record, const TableRow &row, bool ownsProgress)
{
    if (row.version <= record.progressVersion || (ownsProgress && record.progressVersion != 0)) {
        return false;
    }
    // An entry that only watches needs the state, not the units.
    std::optional<GraphProgress> progress = ownsProgress ? decodeGraphProgress(row.value) : decodeGraphProgressHead(row.value);
    if (!progress || (record.specVersion != 0 && !matches(*progress, record.spec))) {
        reportUnreadable(row, progress ? "names units that are not in the specification" : "not valid progress");
        return false;
    }
    record.encodedProgress = ownsProgress ? std::string() : row.value;
    record.continuationCount = continuationCountOf(row.value);
    std::erase_if(record.continuations, [&](const auto &entry) {
        return entry.second.version < row.version;
    });
    record.recordedState = progress->state;
    record.progress = std::move(*progress);
    record.progressVersion = row.version;
    return true;
}

void GraphTable::adoptContinuation(const TableRow &row, const std::string &job, std::uint32_t number)
{
    if (row.erased) {
        if (const auto record = m_records.find(job); record != m_records.end()) {
            record->second.continuations.erase(number);
        }
        return;
    }
    GraphRecord &record = m_records[job];
    record.id = job;
    ContinuationRow &continuation = record.continuations[number];
    if (row.version > continuation.version) {
        continuation = {row.version, row.value};
    }
}

std::string GraphTable::adopt(const TableRow &row, bool ownsProgress)
{
    if (m_earlyCancellations.adopt(row)) {
        return {};
    }
    if (const auto continuation = PoolRows::continuationIn(row.key)) {
        if (!ownsProgress) { // the owner has written it, and knows the units
            adoptContinuation(row, continuation->first, continuation->second);
        }
        return {};
    }
    std::optional<std::string> id = PoolRows::nameIn(row.key, PoolRows::specPrefix);
    const bool isSpec = id.has_value();
    if (!id) {
        id = PoolRows::nameIn(row.key, PoolRows::progressPrefix);
    }
    const bool isProgress = !isSpec && id.has_value();
    if (!id) {
        id = PoolRows::nameIn(row.key, PoolRows::cancelPrefix);
    }
    if (!id) {
        return {};
    }
    if (!PoolRows::isJobId(*id)) {
        reportUnreadable(row, "not the id of a job");
        return {};
    }
    if (row.erased) {
        if (!isSpec) {
            return {};
        }
        if (ownsProgress && m_open.contains(*id)) {
            reportUnreadable(row, "erased by another writer although the job has not ended");
            return {};
        }
        const bool known = m_records.contains(*id);
        erase(*id);
        return known ? *id : std::string();
    }
    GraphRecord &record = m_records[*id];
    record.id = *id;
    bool changed = false;
    if (isSpec) {
        changed = adoptSpec(record, row);
    } else if (isProgress) {
        changed = adoptProgress(record, row, ownsProgress);
    } else {
        changed = !record.cancelled;
        record.cancelled = true;
    }
    if (changed && record.isComplete()) {
        if (hasEnded(record.progress.state)) {
            close(*id);
        } else {
            m_open[*id] = &record;
            if (record.cancelled) {
                m_cancelledOpen.insert(*id);
            }
        }
    }
    return changed && record.isComplete() ? *id : std::string();
}

void GraphTable::clear()
{
    m_records.clear();
    m_open.clear();
    m_cancelledOpen.clear();
    m_ended.clear();
    m_earlyCancellations.clear();
}

bool GraphTable::decodeUnits(GraphRecord &record)
{
    if (record.encodedProgress.empty()) {
        return true;
    }
    std::string text = std::exchange(record.encodedProgress, {});
    if (record.continuationCount > 0) {
        text = joinProgressRows(text, takeContinuations(record));
    }
    std::optional<GraphProgress> progress = decodeGraphProgress(text);
    if (progress && matches(*progress, record.spec)) {
        record.progress = std::move(*progress);
        return true;
    }
    reportUnreadable({std::string(PoolRows::table), PoolRows::keyOf(PoolRows::progressPrefix, record.id), record.progressVersion, text},
                     progress ? "names units that are not in the specification" : "not valid progress");
    record.progress = {};
    record.progressVersion = 0; // as if the row had not been read: a later one is taken
    m_open.erase(record.id);
    m_cancelledOpen.erase(record.id);
    return false;
}

void GraphTable::decodeOpen()
{
    const std::map<std::string, GraphRecord *> open = m_open; // unreadable jobs are removed from it
    for (const auto &[id, record] : open) {
        decodeUnits(*record);
    }
}

GraphRecord *GraphTable::find(const std::string &id)
{
    const auto found = m_records.find(id);
    const bool isUsable = found != m_records.end() && found->second.isComplete() && decodeUnits(found->second);
    return isUsable ? &found->second : nullptr;
}

const GraphRecord *GraphTable::find(const std::string &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() || !found->second.isComplete() ? nullptr : &found->second;
}

std::uint32_t GraphTable::countPending(const std::string &queue) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(m_open, [&](const auto &entry) {
        const GraphRecord &record = *entry.second;
        return record.terms.queue == queue && record.publicState() == GraphState::Queued;
    }));
}

} // namespace banyanlock
