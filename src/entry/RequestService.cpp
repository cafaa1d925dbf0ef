#include "entry/RequestService.h"

#include "core/Log.h"
#include "http/Problem.h"

#include <algorithm>
#include <utility>

namespace banyanlock
{
namespace
{

constexpr Duration replyMargin = fromMilliseconds(500); // time beyond the request's deadline in which a revocation can complete
constexpr Duration revokeTimeout = fromMilliseconds(1000);
constexpr std::size_t maxKeyLength = 200;
constexpr const char *workspaceHeader = "Banyanlock-Workspace";
constexpr const char *idempotentHeader = "Banyanlock-Idempotent";
constexpr const char *timeoutHeader = "Banyanlock-Timeout-Ms";
constexpr const char *keyHeader = "Idempotency-Key";

PipelineLimits makeLimits(const EntrySettings &settings, std::uint64_t incarnation)
{
    PipelineLimits limits;
    limits.failureDomain = settings.failureDomain;
    limits.region = settings.region;
    limits.entryIncarnation = incarnation;
    limits.queueLimit = static_cast<std::size_t>(settings.queueLimit);
    return limits;
}

Error malformed(const std::string &detail)
{
    return {ResultCode::MalformedRequest, detail};
}

bool isPrintable(const std::string &text)
{
    return std::ranges::all_of(text, [](char character) {
        return character > ' ' && character <= '~';
    });
}

} // namespace

RequestService::RequestService(const EntrySettings &settings, std::uint64_t incarnation, AnyRoutingPolicy policy, EventLoop &loop,
                               RpcNode &rpc, ClaimStore &claims, Counters &counters)
    : m_settings(settings)
    , m_loop(loop)
    , m_rpc(rpc)
    , m_claims(claims)
    , m_counters(counters)
    , m_pipeline(makeLimits(settings, incarnation), policy, loop.timers(), counters)
{
}

Result<CallerRequest> RequestService::parse(const std::string &service, const ServerRequest &request) const
{
    CallerRequest parsed;
    parsed.service = service;
    parsed.workspace = request.header(workspaceHeader).value_or("");
    if (parsed.workspace.empty()) {
        return malformed(std::string(workspaceHeader) + ": missing");
    }
    const std::string idempotent = request.header(idempotentHeader).value_or("false");
    if (idempotent != "true" && idempotent != "false") {
        return malformed(std::string(idempotentHeader) + ": must be true or false");
    }
    parsed.idempotent = idempotent == "true";
    parsed.idempotencyKey = request.header(keyHeader).value_or("");
    if (parsed.idempotencyKey.size() > maxKeyLength || !isPrintable(parsed.idempotencyKey)) {
        return malformed(std::string(keyHeader) + ": must have at most 200 printable characters and no spaces");
    }
    std::int64_t timeout = m_settings.defaultTimeoutMilliseconds;
    if (const std::optional<std::string> text = request.header(timeoutHeader)) {
        if (!parseSettingNumber(*text, timeout) || timeout < 1 || timeout > m_settings.maxTimeoutMilliseconds) {
            const std::string maxTimeout = std::to_string(m_settings.maxTimeoutMilliseconds);
            return Error{ResultCode::InvalidTimeout, std::string(timeoutHeader) + ": must be a whole number from 1 to " + maxTimeout};
        }
    }
    parsed.timeout = fromMilliseconds(timeout);
    if (request.body.size() > static_cast<std::size_t>(m_settings.bodyLimitBytes)) {
        return Error{ResultCode::BodyTooLarge, "the limit is " + std::to_string(m_settings.bodyLimitBytes) + " bytes"};
    }
    parsed.contentType = request.header("Content-Type").value_or("application/octet-stream");
    parsed.body = std::make_shared<const std::string>(request.body);
    return parsed;
}

void RequestService::handle(const std::string &service, const ServerRequest &request, HttpServer::Responder respond)
{
    Result<CallerRequest> parsed = parse(service, request);
    if (!isOk(parsed)) {
        const bool tooLarge = errorOf(parsed).code == ResultCode::BodyTooLarge;
        m_counters.add(tooLarge ? Counter::RefusedBodyTooLarge : Counter::RefusedMalformed);
        respond(problemResponse(errorOf(parsed)));
        return;
    }
    const RequestHandle handle = m_pipeline.start(std::move(valueOf(parsed)), EventLoop::now());
    m_responders.emplace(handle, std::move(respond));
}

void RequestService::flush()
{
    for (std::vector<PipelineAction> actions = m_pipeline.takeActions(); !actions.empty(); actions = m_pipeline.takeActions()) {
        for (PipelineAction &action : actions) {
            std::visit(
                [this](auto &item) {
                    execute(item);
                },
                action);
        }
    }
}

void RequestService::execute(SendAttempt &action)
{
    const AttemptId id = action.message.id;
    const Duration replyTimeout = action.message.timeout + replyMargin;
    m_rpc.forward(action.address, std::move(action.message), replyTimeout, [this, id](RpcResult<AttemptReply> result) {
        m_loop.post([this, id, result = std::move(result)] {
            if (const AttemptReply *reply = std::get_if<AttemptReply>(&result)) {
                m_pipeline.onReply(*reply, EventLoop::now());
            } else {
                m_pipeline.onAttemptFailed(id, std::get<TransportFailure>(result), EventLoop::now());
            }
        });
    });
}

void RequestService::execute(SendRevocation &action)
{
    const AttemptId id = action.revocation.id;
    m_rpc.revoke(action.address, action.revocation, revokeTimeout, [this, id](RpcResult<RevocationState> result) {
        m_loop.post([this, id, result] {
            const RevocationState *state = std::get_if<RevocationState>(&result);
            m_pipeline.onRevocation(id, state == nullptr ? RevocationState::Started : *state, EventLoop::now());
        });
    });
}

void RequestService::execute(AnswerCaller &action)
{
    const auto responder = m_responders.find(action.request);
    if (responder == m_responders.end()) {
        return;
    }
    const HttpServer::Responder respond = std::move(responder->second);
    m_responders.erase(responder);
    const CallerAnswer &answer = action.answer;
    const std::string attempt = answer.attempt.sequence == 0 ? "" : answer.attempt.toString();
    if (answer.outcome != Outcome::Answered) {
        const bool unknown = answer.outcome == Outcome::Unknown;
        Log::write(unknown ? LogLevel::Warning : LogLevel::Debug, unknown ? "request_unknown" : "request_refused",
                   {{"code", std::int64_t(answer.code)}, {"attempt", attempt}});
        respond(problemResponse({answer.code, ""}, answer.outcome, attempt));
        return;
    }
    ServerResponse response;
    response.status = answer.status;
    response.contentType = answer.contentType;
    response.body = answer.body;
    response.headers.push_back({"Banyanlock-Outcome", "answered"});
    if (!attempt.empty()) {
        response.headers.push_back({"Banyanlock-Attempt", attempt});
    }
    if (answer.replayed) {
        response.headers.push_back({"Banyanlock-Replayed", "true"});
    }
    respond(std::move(response));
}

void RequestService::execute(ClaimKey &action)
{
    m_claims.claim(action.claim, [this, request = action.request, claim = action.claim](const ClaimResult &result) {
        m_pipeline.onClaimResult(request, claim, result, EventLoop::now());
    });
}

void RequestService::execute(SettleClaim &action)
{
    m_claims.settle(action.claim, action.answer);
}

void RequestService::execute(ReleaseClaim &action)
{
    m_claims.release(action.claim);
}

} // namespace banyanlock
