#include "entry/EntryApi.h"

#include "contract/ContractCodec.h"
#include "http/Problem.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace banyanlock
{
namespace
{

using Json = nlohmann::json;

constexpr int statusUnavailable = 503;

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return segments;
}

ServerResponse textResponse(int status, std::string text)
{
    ServerResponse response;
    response.status = status;
    response.contentType = "text/plain; charset=utf-8";
    response.body = std::make_shared<const std::string>(std::move(text));
    return response;
}

std::string makeETag(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

/// Parses `If-Match`; returns no version for an asterisk or a missing header, which match every version.
Result<std::optional<std::uint64_t>> parseIfMatch(const ServerRequest &request)
{
    std::string text = request.header("If-Match").value_or("*");
    if (text == "*") {
        return std::optional<std::uint64_t>();
    }
    std::erase(text, '"');
    std::int64_t version = 0;
    if (!parseSettingNumber(text, version) || version < 0) {
        return Error{ResultCode::MalformedRequest, "If-Match: must be the version from an ETag"};
    }
    return std::optional(static_cast<std::uint64_t>(version));
}

Json describeCell(const std::string &failureDomain, const StoreMirror &mirror, const CellHost &host)
{
    const CellRow row = mirror.cell(failureDomain);
    Json json = {{"failure_domain", failureDomain},
                 {"out", mirror.configuration().isOut(failureDomain)},
                 {"owner", row.entry},
                 {"epoch", row.version}};
    json["workers"] = mirror.fleet().workersOf(failureDomain).size();
    json["live_jobs"] = mirror.jobs().liveJobsIn(failureDomain).size();
    for (const std::unique_ptr<Cell> &cell : host.cells()) {
        if (cell->isOwned() && cell->epoch() == row.version) {
            json["learned"] = cell->isRecovered();
            json["gangs"] = cell->gangs().size();
        }
    }
    return json;
}

Json describeMember(const Member &member, TimePoint now)
{
    return {{"agent", member.announced.agent},
            {"service", member.announced.service},
            {"failure_domain", member.announced.failureDomain},
            {"slots", member.announced.slots},
            {"load", member.load()},
            {"age_ms", toMilliseconds(now - member.lastAnnouncedAt)},
            {"leaving", member.announced.leaving},
            {"healthy", member.announced.healthy}};
}

} // namespace

void EntryApi::handle(const ServerRequest &request, const HttpServer::Responder &respond)
{
    const std::vector<std::string> path = splitPath(request.path);
    const std::string resource = path.size() >= 2 && path[0] == "v1" ? path[1] : "";
    if (resource == "services" && path.size() == 4 && path[3] == "requests" && request.method == "POST") {
        m_components.requests.handle(path[2], request, respond);
    } else if (resource == "jobs") {
        handleJobs(path, request, respond);
    } else if (resource == "workspaces") {
        handleWorkspaces(path, request, respond);
    } else if (resource == "failure-domains") {
        handleFailureDomains(path, request, respond);
    } else if (resource == "status" && request.method == "GET") {
        respond(jsonResponse(statusJson()));
    } else if (request.path == "/metrics" && request.method == "GET") {
        respond(textResponse(200, m_components.counters.toPrometheus()));
    } else if (request.path == "/healthz" && request.method == "GET") {
        respond(textResponse(200, "ok\n"));
    } else if (request.path == "/readyz" && request.method == "GET") {
        const bool ready = !m_components.draining && m_components.mirror.configuration().isReady();
        respond(textResponse(ready ? 200 : statusUnavailable, ready ? "ready\n" : "not ready\n"));
    } else {
        respondUnknownRoute(respond);
    }
}

void EntryApi::respondUnknownRoute(const HttpServer::Responder &respond)
{
    m_components.counters.add(Counter::RefusedMalformed);
    respond(problemResponse({ResultCode::UnknownRoute, ""}));
}

void EntryApi::handleJobs(const std::vector<std::string> &path, const ServerRequest &request, const HttpServer::Responder &respond)
{
    if (path.size() == 2 && request.method == "POST") {
        m_components.jobs.submit(request, respond);
    } else if (path.size() == 2 && request.method == "GET") {
        m_components.jobs.list(request, respond);
    } else if (path.size() == 3 && request.method == "GET") {
        m_components.jobs.show(path[2], respond);
    } else if (path.size() == 3 && request.method == "DELETE") {
        m_components.jobs.cancel(path[2], respond);
    } else {
        respondUnknownRoute(respond);
    }
}

// ---- contracts

void EntryApi::handleWorkspaces(const std::vector<std::string> &path, const ServerRequest &request, const HttpServer::Responder &respond)
{
    if (path.size() == 2 && request.method == "GET") {
        respond(jsonResponse(contractListJson()));
        return;
    }
    const bool isContract = path.size() == 4 && path[3] == "contract";
    if (isContract && request.method == "PUT") {
        putContract(path[2], request, respond);
    } else if (isContract && request.method == "GET") {
        const ContractRecord *record = m_components.mirror.configuration().findContract(path[2]);
        if (record == nullptr) {
            respond(problemResponse({ResultCode::UnknownWorkspace, "workspace " + path[2] + " has no contract"}));
            return;
        }
        ServerResponse response = jsonResponse(encodeContract(record->contract));
        response.headers.push_back({"ETag", makeETag(record->version)});
        respond(std::move(response));
    } else {
        respondUnknownRoute(respond);
    }
}

void EntryApi::putContract(const std::string &workspace, const ServerRequest &request, const HttpServer::Responder &respond)
{
    const Result<Contract> contract = decodeContract(request.body);
    if (!isOk(contract)) {
        respond(problemResponse(errorOf(contract)));
        return;
    }
    if (valueOf(contract).workspace != workspace) {
        respond(problemResponse({ResultCode::InvalidContract, "workspace: differs from the path's " + workspace}));
        return;
    }
    const Result<std::optional<std::uint64_t>> expected = parseIfMatch(request);
    if (!isOk(expected)) {
        respond(problemResponse(errorOf(expected)));
        return;
    }
    const std::string text = encodeContract(valueOf(contract));
    ConfigurationChange change{ConfigurationRows::contractKey(workspace), text, valueOf(contract), valueOf(expected)};
    m_components.writer.commit(std::move(change), [text, respond](const Result<std::uint64_t> &result) {
        if (!isOk(result)) {
            respond(problemResponse(errorOf(result)));
            return;
        }
        ServerResponse response = jsonResponse(text);
        response.headers.push_back({"ETag", makeETag(valueOf(result))});
        respond(std::move(response));
    });
}

std::string EntryApi::contractListJson() const
{
    Json list = Json::array();
    for (const ContractRecord &record : m_components.mirror.configuration().contracts()) {
        Json json = Json::parse(encodeContract(record.contract));
        json["version"] = record.version;
        json["accelerators_running"] = m_components.mirror.jobs().runningAccelerators(record.contract.workspace);
        list.push_back(std::move(json));
    }
    return Json{{"contracts", list}}.dump();
}

// ---- failure domains

bool EntryApi::isKnownFailureDomain(const std::string &failureDomain) const
{
    const std::vector<std::string> known = m_components.mirror.fleet().failureDomains();
    return std::ranges::find(known, failureDomain) != known.end() || failureDomain == m_components.identity.failureDomain;
}

void EntryApi::handleFailureDomains(const std::vector<std::string> &path, const ServerRequest &request,
                                    const HttpServer::Responder &respond)
{
    const bool isStateChange = path.size() == 4 && (path[3] == "out" || path[3] == "in");
    if (path.size() == 2 && request.method == "GET") {
        respond(jsonResponse(failureDomainListJson()));
    } else if (isStateChange && request.method == "POST") {
        setFailureDomain(path[2], path[3] == "out", respond);
    } else {
        respondUnknownRoute(respond);
    }
}

void EntryApi::setFailureDomain(const std::string &failureDomain, bool out, const HttpServer::Responder &respond)
{
    if (!isKnownFailureDomain(failureDomain)) {
        respond(problemResponse({ResultCode::UnknownFailureDomain, failureDomain}));
        return;
    }
    const std::string state = out ? "out" : "in";
    ConfigurationChange change{ConfigurationRows::failureDomainKey(failureDomain), state, std::nullopt, std::nullopt};
    m_components.writer.commit(std::move(change), [failureDomain, state, respond](const Result<std::uint64_t> &result) {
        if (!isOk(result)) {
            respond(problemResponse(errorOf(result)));
            return;
        }
        respond(jsonResponse(Json{{"failure_domain", failureDomain}, {"state", state}, {"version", valueOf(result)}}.dump()));
    });
}

std::string EntryApi::failureDomainListJson() const
{
    Json list = Json::array();
    for (const std::string &name : m_components.mirror.fleet().failureDomains()) {
        list.push_back(describeCell(name, m_components.mirror, m_components.cells));
    }
    return Json{{"failure_domains", list}}.dump();
}

// ---- status

std::string EntryApi::statusJson() const
{
    const TimePoint now = EventLoop::now();
    Json json = Json::parse(failureDomainListJson());
    json["entry"] = m_components.identity.name;
    json["incarnation"] = m_components.identity.incarnation;
    json["configuration_version"] = m_components.mirror.configuration().version();
    json["store_version"] = m_components.mirror.version();
    json["store_contact_age_ms"] = toMilliseconds(now - m_components.mirror.lastContact());
    json["draining"] = m_components.draining;
    json["requests_in_flight"] = m_components.requests.pipeline().inFlight();
    json["members"] = Json::array();
    for (const Member &member : m_components.requests.pipeline().members().members()) {
        json["members"].push_back(describeMember(member, now));
    }
    json["peers"] = Json::array();
    for (const PeerHeartbeat &peer : m_components.peers.servingPeers(now)) {
        json["peers"].push_back(
            {{"entry", peer.entry}, {"failure_domain", peer.failureDomain}, {"configuration_version", peer.configurationVersion}});
    }
    json["guarantee_shortfalls"] = Json::array();
    for (const Shortfall &shortfall : m_components.mirror.plan().shortfalls()) {
        json["guarantee_shortfalls"].push_back(
            {{"workspace", shortfall.workspace}, {"shape", shortfall.shape}, {"missing", shortfall.missing}});
    }
    return json.dump();
}

} // namespace banyanlock
