#include "http/HttpServer.h"
#include "http/Problem.h"
#include "runtime/HttpClient.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace banyanlock
{
namespace
{

const Endpoint endpoint{"127.0.0.1", 23851};

/// HTTP server on its own thread that echoes the request body.
class EchoServer
{
public:
    EchoServer()
        : m_server(m_loop, makeLimits(), m_counters, [](const ServerRequest &request, const HttpServer::Responder &respond) {
            ServerResponse response;
            response.contentType = request.header("content-TYPE").value_or("none");
            response.body = std::make_shared<const std::string>(request.body + request.parameter("q"));
            respond(response);
        })
    {
        BOOST_REQUIRE(isOk(m_server.listen(endpoint)));
        m_thread = std::thread([this] {
            m_loop.run();
        });
    }

    ~EchoServer()
    {
        m_loop.post([this] {
            m_server.stopListening();
            m_loop.stop();
        });
        m_thread.join();
    }

    static HttpServerLimits makeLimits()
    {
        HttpServerLimits limits;
        limits.bodyBytes = 1000;
        limits.headerTimeout = fromMilliseconds(200);
        limits.connections = 30;
        return limits;
    }

    /// Blocks the loop until clients have connected, then stops listening before the loop has accepted them.
    /// @param callers Called on the loop's thread; returns once the clients have sent their requests.
    void stopListeningAfter(const std::function<void()> &callers)
    {
        std::promise<void> stopped;
        m_loop.post([&] {
            callers();
            m_server.stopListening();
            stopped.set_value();
        });
        stopped.get_future().wait();
    }

    /// @param counter Counter to read.
    /// @return Its value.
    std::uint64_t value(Counter counter) const
    {
        return m_counters.value(counter);
    }

    /// Waits for a counter, since clients see a connection close before the server's loop has counted it.
    /// @param counter Counter to read.
    /// @param expected Value to wait for.
    /// @return Its value once it has reached the expected one, or after two seconds.
    std::uint64_t waitForValue(Counter counter, std::uint64_t expected) const
    {
        for (int poll = 0; poll < 200 && value(counter) < expected; ++poll) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return value(counter);
    }

private:
    EventLoop m_loop;
    Counters m_counters;
    HttpServer m_server;
    std::thread m_thread;
};

HttpReply post(const std::string &path, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "http://" + endpoint.toString() + path;
    request.headers = {{"Content-Type", "text/x"}};
    request.body = std::move(body);
    return HttpClient::exchange(request);
}

/// @return A connection to the server.
int connectToServer()
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(connection, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0);
    return connection;
}

/// Sends bytes and reads until the server closes the connection.
std::string sendRaw(const std::string &bytes)
{
    const int connection = connectToServer();
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string received;
    char buffer[1024];
    for (ssize_t count = recv(connection, buffer, sizeof(buffer), 0); count > 0; count = recv(connection, buffer, sizeof(buffer), 0)) {
        received.append(buffer, static_cast<std::size_t>(count));
    }
    close(connection);
    return received;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerTest, EchoServer)

BOOST_AUTO_TEST_CASE(bodyHeadersAndQueryArrive)
{
    const HttpReply reply = post("/x?q=a%20b", "body ");
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body == "body a b");
    BOOST_TEST(reply.contentType == "text/x");
}

BOOST_AUTO_TEST_CASE(oversizeBodyClosesTheConnectionAndOthersGoOn)
{
    BOOST_TEST((post("/", std::string(5000, 'x')).delivery != HttpDelivery::Complete));
    BOOST_TEST(post("/", "fine").body == "fine");
}

BOOST_AUTO_TEST_CASE(malformedAndHalfSentRequestsCloseTheConnectionAndOthersGoOn)
{
    BOOST_TEST(sendRaw("what is this\r\n\r\n").find("200") == std::string::npos);
    BOOST_TEST(sendRaw("GET / HTTP/1.1\r\nHost: x\r\n").find("200") == std::string::npos);
    BOOST_TEST(sendRaw("GET /" + std::string(20000, 'a') + " HTTP/1.1\r\n\r\n").find("200") == std::string::npos);
    BOOST_TEST(post("/", "fine").body == "fine");
}

BOOST_AUTO_TEST_CASE(connectionsWithoutWholeRequestAreCounted)
{
    post("/", "whole");
    BOOST_TEST(value(Counter::ConnectionsWithoutRequest) == 0U);
    sendRaw("GET / HTTP/1.1\r\nHost: x\r\n");
    BOOST_TEST(waitForValue(Counter::ConnectionsWithoutRequest, 1) == 1U);
    BOOST_TEST(value(Counter::ConnectionErrors) == 0U);
    sendRaw("what is this\r\n\r\n");
    BOOST_TEST(waitForValue(Counter::ConnectionsWithoutRequest, 2) == 2U);
    BOOST_TEST(waitForValue(Counter::ConnectionErrors, 1) == 1U);
}

BOOST_AUTO_TEST_CASE(pendingConnectionsAreServedAfterStopListening)
{
    // Guards against lost requests in a planned stop (seen in planned_stop_test): when a listening socket is closed, the kernel resets the
    // connections that wait to be accepted on it.
    constexpr std::size_t callers = 20;
    const std::string request = "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
    std::vector<int> connections;
    stopListeningAfter([&] {
        for (std::size_t caller = 0; caller < callers; ++caller) {
            connections.push_back(connectToServer());
            send(connections.back(), request.data(), request.size(), MSG_NOSIGNAL);
        }
    });
    std::size_t served = 0;
    for (const int connection : connections) {
        char buffer[1024];
        const ssize_t count = recv(connection, buffer, sizeof(buffer), 0);
        served += count > 0 && std::string(buffer, static_cast<std::size_t>(count)).find("200") != std::string::npos ? 1 : 0;
        close(connection);
    }
    BOOST_TEST(served == callers);
    BOOST_TEST((post("/", "late").delivery == HttpDelivery::NotSent));
}

BOOST_AUTO_TEST_CASE(upgradeRequestIsAnsweredOnceAndItsConnectionCloses)
{
    // RESTinio handles such a request again if its connection stays open. Some clients ask for HTTP/2 in this way and expect an ordinary
    // answer.
    const std::string received = sendRaw("GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n");
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.find("HTTP/1.1", 1) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(idleConnectionsOverTheLimitAreClosedForNewOnes)
{
    // Guards against idle connections that shut others out until they time out.
    constexpr int connections = 60;
    std::vector<int> idle;
    idle.reserve(connections);
    for (int index = 0; index < connections; ++index) {
        idle.push_back(connectToServer());
    }
    BOOST_TEST(post("/", "fine").body == "fine");
    BOOST_TEST(waitForValue(Counter::CallersOverConnections, 31) == 31U);
    for (const int connection : idle) {
        close(connection);
    }
}

BOOST_AUTO_TEST_CASE(requestOverTheMemoryForCallersIsRefusedAndNotHandled)
{
    // Guards against an untrue refusal.
    EventLoop loop;
    Counters counters;
    HttpServerLimits limits;
    limits.callers.heldBytes = 100000;
    int handled = 0;
    HttpServer server(loop, limits, counters, [&](const ServerRequest &, const HttpServer::Responder &respond) {
        ++handled;
        respond(ServerResponse());
    });
    BOOST_REQUIRE(isOk(server.listen({"127.0.0.1", 23852})));
    std::thread thread([&] {
        loop.run();
    });
    const auto send = [](std::size_t bytes) {
        HttpRequest request;
        request.method = "POST";
        request.url = "http://127.0.0.1:23852/";
        request.body = std::string(bytes, 'x');
        return HttpClient::exchange(request).status;
    };
    const int refused = send(60000);
    const int accepted = send(1000);
    loop.post([&] {
        server.stopListening();
        loop.stop();
    });
    thread.join();
    BOOST_TEST(refused == 503);
    BOOST_TEST(accepted == 200);
    BOOST_TEST(handled == 1);
    BOOST_TEST(counters.value(Counter::CallersOverHeldBytes) == 1U);
}

BOOST_AUTO_TEST_CASE(problemContainsCodeNameAndOutcome)
{
    const ServerResponse response = problemResponse({ResultCode::RateLimited, "too \xFF many"});
    BOOST_TEST(response.status == 429);
    BOOST_TEST(response.contentType == "application/problem+json");
    BOOST_TEST(response.body->find("\"code\":2001,\"name\":\"rate_limited\",\"outcome\":\"not_run\"") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
