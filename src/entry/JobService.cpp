#include "entry/JobService.h"

#include "core/AttemptId.h"
#include "core/Log.h"
#include "http/Problem.h"
#include "schedule/JobCodec.h"
#include "schedule/JobRouter.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr int maxCancelRetries = 5;
constexpr int statusCreated = 201;
constexpr int statusAccepted = 202;
constexpr int statusOk = 200;

std::uint64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace

JobService::JobService(StoreMirror &mirror, TableClient &table, std::string entry, std::uint64_t incarnation)
    : m_mirror(mirror)
    , m_table(table)
    , m_entry(std::move(entry))
    , m_incarnation(incarnation)
{
}

Result<JobRecord> JobService::makeRecord(const std::string &body)
{
    if (!m_mirror.configuration().isReady()) {
        return Error{ResultCode::ConfigurationNotReady, ""};
    }
    Result<JobSpec> spec = decodeJobSpec(body);
    if (!isOk(spec)) {
        return errorOf(spec);
    }
    JobRecord record;
    record.spec = std::move(valueOf(spec));
    const ContractRecord *contract = m_mirror.configuration().findContract(record.spec.workspace);
    if (contract == nullptr) {
        return Error{ResultCode::UnknownWorkspace, "workspace " + record.spec.workspace + " has no contract"};
    }
    if (totalAccelerators(record.spec) > contract->contract.limits.accelerators) {
        return Error{ResultCode::AcceleratorLimit,
                     "the gang needs " + std::to_string(totalAccelerators(record.spec)) + " accelerators, the limit is "
                         + std::to_string(contract->contract.limits.accelerators)};
    }
    const JobRouter router(m_mirror.fleet(), m_mirror.configuration(), m_mirror.plan(), m_mirror.jobs());
    const std::optional<std::string> cell = router.chooseCell(record.spec, "");
    if (!cell) {
        return Error{ResultCode::JobNeverFits, "no failure domain has workers for this shape and adjacency"};
    }
    record.id = AttemptId{m_incarnation, m_nextJob++}.toString();
    record.cell = *cell;
    record.submitted = wallClockMilliseconds();
    record.reason = "submitted";
    return record;
}

void JobService::respondWithJob(const JobRecord &record, int status, const HttpServer::Responder &respond)
{
    ServerResponse response = jsonResponse(encodeJobRecord(record));
    response.status = status;
    respond(std::move(response));
}

void JobService::submit(const ServerRequest &request, HttpServer::Responder respond)
{
    Result<JobRecord> newRecord = makeRecord(request.body);
    if (!isOk(newRecord)) {
        respond(problemResponse(errorOf(newRecord)));
        return;
    }
    JobRecord record = std::move(valueOf(newRecord));
    TableTransaction transaction;
    transaction.changeId = m_entry + "/" + record.id + "/submit";
    transaction.checks.push_back({jobTable, record.id, 0});
    transaction.writes.push_back({jobTable, record.id, encodeJobRecord(record)});
    m_table.commit(transaction, [this, record, respond = std::move(respond)](const CommitResult &result) {
        if (result.state == CommitState::Committed) {
            Log::info("job_submitted", {{"job", record.id}, {"workspace", record.spec.workspace}, {"cell", record.cell}});
            m_mirror.refresh({});
            respondWithJob(record, statusCreated, respond);
        } else if (result.state == CommitState::Unknown) {
            resolveUnknownSubmission(record, respond);
        } else {
            respond(problemResponse({ResultCode::StoreUnavailable, ""}));
        }
    });
}

void JobService::resolveUnknownSubmission(const JobRecord &record, const HttpServer::Responder &respond)
{
    m_table.read(jobTable, record.id, [record, respond](const RowResult &result) {
        if (result.available && result.row) {
            respondWithJob(record, statusCreated, respond);
            return;
        }
        // The write may still be in flight, so an absent row does not prove that the job was not recorded.
        respond(problemResponse({ResultCode::StoreOutcomeUnknown, "job " + record.id + " may have been recorded"}));
    });
}

void JobService::list(const ServerRequest &request, const HttpServer::Responder &respond) const
{
    const std::string workspace = request.parameter("workspace");
    const std::string state = request.parameter("state");
    std::string text = "{\"jobs\":[";
    bool first = true;
    for (const auto &[id, record] : m_mirror.jobs().records()) {
        const bool matchesFilter
            = (workspace.empty() || record.spec.workspace == workspace) && (state.empty() || state == jobStateName(record.state));
        if (matchesFilter) {
            text += (first ? "" : ",") + encodeJobRecord(record);
            first = false;
        }
    }
    respond(jsonResponse(text + "]}"));
}

void JobService::withJobRecord(const std::string &id, const HttpServer::Responder &respond, std::function<void(const JobRecord &)> onFound)
{
    if (const JobRecord *record = m_mirror.jobs().find(id)) {
        onFound(*record);
        return;
    }
    // Another entry may have recorded the job since the last poll.
    m_mirror.refresh([this, id, respond, onFound = std::move(onFound)](bool available) {
        const JobRecord *record = m_mirror.jobs().find(id);
        if (record != nullptr) {
            onFound(*record);
        } else if (available) {
            respond(problemResponse({ResultCode::UnknownJob, "job " + id}));
        } else {
            respond(problemResponse({ResultCode::StoreUnavailable, "job " + id + " is not in this entry's copy of the tables"}));
        }
    });
}

void JobService::show(const std::string &id, const HttpServer::Responder &respond)
{
    withJobRecord(id, respond, [respond](const JobRecord &record) {
        respondWithJob(record, statusOk, respond);
    });
}

void JobService::cancel(const std::string &id, const HttpServer::Responder &respond)
{
    withJobRecord(id, respond, [this, id, respond](const JobRecord &) {
        tryCancel(id, 0, respond);
    });
}

void JobService::tryCancel(const std::string &id, int retries, HttpServer::Responder respond)
{
    const JobRecord *current = m_mirror.jobs().find(id);
    if (current == nullptr || (hasEnded(current->state) && current->state != JobState::Cancelled)) {
        const ResultCode code = current == nullptr ? ResultCode::UnknownJob : ResultCode::JobAlreadyEnded;
        respond(problemResponse({code, "job " + id}));
        return;
    }
    if (current->state == JobState::Cancelled || current->cancelRequested) {
        respondWithJob(*current, statusAccepted, respond);
        return;
    }
    JobRecord updated = *current;
    updated.cancelRequested = true;
    if (updated.state == JobState::Queued) {
        updated.state = JobState::Cancelled;
        updated.reason = "cancelled";
    }
    TableTransaction transaction;
    transaction.changeId = m_entry + "/" + id + "/cancel";
    transaction.checks.push_back({jobTable, id, current->version});
    transaction.writes.push_back({jobTable, id, encodeJobRecord(updated)});
    m_table.commit(transaction, [this, id, retries, respond = std::move(respond)](const CommitResult &result) {
        if (result.state == CommitState::NotSent || retries >= maxCancelRetries) {
            const bool notRun = result.state == CommitState::NotSent && retries == 0;
            respond(problemResponse({notRun ? ResultCode::StoreUnavailable : ResultCode::StoreOutcomeUnknown, ""}));
            return;
        }
        // The row shows which change took effect. After a conflict, the cancellation is retried on the new version.
        m_mirror.refresh([this, id, retries, respond](bool available) {
            if (available) {
                tryCancel(id, retries + 1, respond);
            } else {
                respond(problemResponse({ResultCode::StoreOutcomeUnknown, ""}));
            }
        });
    });
}

} // namespace banyanlock
