#include "rpc/RpcNode.h"
#include "rpc/SupervisionCodec.h"

#include <boost/test/unit_test.hpp>
#include <capnp/message.h>
#include <future>
#include <limits>
#include <thread>

namespace banyanlock
{
namespace
{

constexpr Duration callTimeout = fromMilliseconds(2000);
const Endpoint agentEndpoint{"127.0.0.1", 23811};

AttemptMessage makeAttempt(const std::string &body)
{
    AttemptMessage message;
    message.id = {5, 6};
    message.agentIncarnation = 7;
    message.startBy = TimePoint(Duration(8));
    message.timeout = Duration(9);
    message.idempotent = true;
    message.workspace = "w";
    message.service = "s";
    message.contentType = "c";
    message.body = std::make_shared<const std::string>(body);
    return message;
}

AgentHandlers echoHandlers()
{
    AgentHandlers handlers;
    handlers.forward = [](const AttemptMessage &message, const std::function<void(AttemptReply)> &reply) {
        AttemptReply answer;
        answer.id = message.id;
        answer.agentIncarnation = message.agentIncarnation;
        answer.status = 201;
        answer.contentType = message.contentType + message.workspace + message.service;
        answer.body = message.body;
        answer.declaredBytes = message.body->size();
        answer.load = {3, 4, message.startBy + message.timeout};
        reply(answer);
    };
    handlers.revoke = [](const Revocation &revocation, const std::function<void(RevocationState)> &reply) {
        reply(revocation.agentIncarnation == 7 ? RevocationState::Revoked : RevocationState::WrongIncarnation);
    };
    return handlers;
}

RpcResult<AttemptReply> forwardAndWait(RpcNode &client, const std::string &body, Duration timeout = callTimeout)
{
    std::promise<RpcResult<AttemptReply>> result;
    client.forward(agentEndpoint.toString(), makeAttempt(body), timeout, [&](RpcResult<AttemptReply> received) {
        result.set_value(std::move(received));
    });
    return result.get_future().get();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RpcNodeTest)

BOOST_AUTO_TEST_CASE(allFieldsRoundTrip)
{
    RpcNode server;
    RpcNode client;
    BOOST_REQUIRE(isOk(server.serveAgent(agentEndpoint, echoHandlers())));
    const std::string body(100000, '\0');
    const RpcResult<AttemptReply> result = forwardAndWait(client, body);
    const AttemptReply *reply = std::get_if<AttemptReply>(&result);
    BOOST_REQUIRE(reply != nullptr);
    BOOST_TEST((reply->id == AttemptId{5, 6}));
    BOOST_TEST(reply->status == 201);
    BOOST_TEST(reply->contentType == "cws");
    BOOST_TEST(*reply->body == body);
    BOOST_TEST(isComplete(*reply));
    BOOST_TEST((reply->load.clock == TimePoint(Duration(17))));
}

// A refused connection proves that the attempt was not sent, so that the entry may offer it to another agent.
BOOST_AUTO_TEST_CASE(missingServerIsReportedAsNotSent)
{
    RpcNode client;
    const RpcResult<AttemptReply> result = forwardAndWait(client, "x");
    BOOST_REQUIRE(std::holds_alternative<TransportFailure>(result));
    BOOST_TEST((std::get<TransportFailure>(result) == TransportFailure::NotSent));
}

// A timeout after sending leaves the outcome unknown: the attempt may have run.
BOOST_AUTO_TEST_CASE(unresponsiveServerIsReportedAsLost)
{
    RpcNode server;
    RpcNode client;
    AgentHandlers handlers = echoHandlers();
    std::vector<std::function<void(AttemptReply)>> pendingReplies;
    handlers.forward = [&](const AttemptMessage &, const std::function<void(AttemptReply)> &reply) {
        pendingReplies.push_back(reply);
    };
    BOOST_REQUIRE(isOk(server.serveAgent(agentEndpoint, handlers)));
    const RpcResult<AttemptReply> result = forwardAndWait(client, "x", fromMilliseconds(50));
    BOOST_REQUIRE(std::holds_alternative<TransportFailure>(result));
    BOOST_TEST((std::get<TransportFailure>(result) == TransportFailure::Lost));
}

// Guards against calls on a connection that has shut down, and against connections that are not reopened.
BOOST_AUTO_TEST_CASE(clientReconnectsAfterServerRestarts)
{
    RpcNode client;
    for (int round = 0; round < 5; ++round) {
        RpcNode server;
        BOOST_REQUIRE(isOk(server.serveAgent(agentEndpoint, echoHandlers())));
        bool answered = false;
        for (int attempt = 0; attempt < 100 && !answered; ++attempt) {
            answered = std::holds_alternative<AttemptReply>(forwardAndWait(client, "x"));
        }
        BOOST_TEST(answered);
    }
}

BOOST_AUTO_TEST_CASE(revocationReachesTheAgent)
{
    RpcNode server;
    RpcNode client;
    BOOST_REQUIRE(isOk(server.serveAgent(agentEndpoint, echoHandlers())));
    std::promise<RpcResult<RevocationState>> result;
    client.revoke(agentEndpoint.toString(), {{5, 6}, 7, TimePoint()}, callTimeout, [&](RpcResult<RevocationState> received) {
        result.set_value(received);
    });
    const RpcResult<RevocationState> state = result.get_future().get();
    BOOST_REQUIRE(std::holds_alternative<RevocationState>(state));
    BOOST_TEST((std::get<RevocationState>(state) == RevocationState::Revoked));
}

BOOST_AUTO_TEST_CASE(impossibleAddressesAreReportedAsNotSent)
{
    RpcNode client;
    for (const std::string &address : {std::string(), std::string("127.0.0.1:70000"), std::string("127.0.0.1:-1"), std::string("unix:"),
                                       std::string("127.0.0.1:23811\0x", 17), std::string(193, '9'), std::string("\xff:1")}) {
        std::promise<RpcResult<WorkerStatus>> result;
        client.supervise(address, SuperviseRequest(), callTimeout, [&](RpcResult<WorkerStatus> received) {
            result.set_value(std::move(received));
        });
        const RpcResult<WorkerStatus> answer = result.get_future().get();
        BOOST_REQUIRE_MESSAGE(std::holds_alternative<TransportFailure>(answer), address);
        BOOST_TEST((std::get<TransportFailure>(answer) == TransportFailure::NotSent), address);
    }
}

BOOST_AUTO_TEST_CASE(statusWithImpossibleNumbersNamesNoWorkerToUse)
{
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    const auto roundTrip = [](const WorkerStatus &status) {
        capnp::MallocMessageBuilder message;
        auto builder = message.initRoot<wire::WorkerStatus>();
        encode(status, builder);
        return decode(builder.asReader());
    };
    WorkerStatus good;
    good.clock = TimePoint(Duration(17));
    good.unixMilliseconds = 1'700'000'000'000;
    good.worker.incarnation = {"w", 5};
    good.worker.capacity = {16000, 32768, 8};
    good.worker.failureDomain = "z";
    good.worker.minTimeUntilExit = fromMilliseconds(3000);
    BOOST_TEST((roundTrip(good).worker == good.worker));
    BOOST_TEST((roundTrip(good).clock == good.clock));
    for (const std::int64_t odd : {highest, lowest, std::int64_t{-1}}) {
        for (int field = 0; field < 4; ++field) {
            WorkerStatus status = good;
            status.worker.capacity.processors = field == 0 ? odd : 1;
            status.worker.capacity.memory = field == 1 ? odd : 1;
            status.worker.capacity.accelerators = field == 2 ? odd : 1;
            status.worker.minTimeUntilExit = field == 3 ? Duration(odd) : Duration(1);
            const WorkerStatus decoded = roundTrip(status);
            BOOST_TEST(decoded.worker.draining, field << " " << odd);
            BOOST_TEST((decoded.worker.capacity == Resources()), field << " " << odd);
        }
    }
    WorkerStatus odd = good;
    odd.clock = TimePoint(Duration(highest));
    odd.unixMilliseconds = lowest;
    odd.worker.failureDomain.assign(300, 'z'); // the key of its row would be too long
    const WorkerStatus decoded = roundTrip(odd);
    BOOST_TEST((decoded.clock < TimePoint(Duration(highest / 4))));
    BOOST_TEST(decoded.unixMilliseconds == 0);
    BOOST_TEST(decoded.worker.draining);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
