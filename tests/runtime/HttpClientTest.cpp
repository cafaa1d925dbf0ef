#include "runtime/HttpClient.h"
#include "support/RawServer.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

HttpRequest makeRequest(const RawServer &server, bool idempotent)
{
    HttpRequest request;
    request.method = "POST";
    request.url = server.url();
    request.body = "quote";
    request.ownConnection = !idempotent;
    request.mayResend = idempotent;
    request.timeoutMilliseconds = 2000;
    return request;
}

HttpReply sendAndWait(HttpClient &client, HttpRequest request)
{
    std::promise<HttpReply> reply;
    client.send(std::move(request), [&](HttpReply received) {
        reply.set_value(std::move(received));
    });
    return reply.get_future().get();
}

const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNotSentAgainWhenAConnectionClosesBeforeTheAnswer)
{
    // The server answers the first request, then reads the second and closes the connection without a response, as after a crash during
    // execution. A resent request would be executed twice.
    RawServer server({completeResponse, ""});
    HttpClient client(4);
    BOOST_TEST(sendAndWait(client, makeRequest(server, false)).status == 200);
    const HttpReply second = sendAndWait(client, makeRequest(server, false));
    BOOST_TEST((second.delivery == HttpDelivery::Lost));
    BOOST_TEST(server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(requestOnReusedConnectionIsNotSentAgainUnlessAllowed)
{
    RawServer server({completeResponse, "", completeResponse});
    HttpClient client(4);
    HttpRequest request = makeRequest(server, false);
    request.ownConnection = false;
    sendAndWait(client, request);
    BOOST_TEST((sendAndWait(client, request).delivery == HttpDelivery::Lost));
    BOOST_TEST(server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(idempotentRequestMayBeSentAgainByTheLibrary)
{
    RawServer server({completeResponse, "", completeResponse});
    HttpClient client(4);
    sendAndWait(client, makeRequest(server, true));
    const HttpReply second = sendAndWait(client, makeRequest(server, true));
    BOOST_TEST(second.status == 200);
    BOOST_TEST(server.requests() == 3);
}

BOOST_AUTO_TEST_CASE(refusedLibraryRetryDoesNotProveRequestWasNotSent)
{
    // The server reads the second request and then stops listening, so libcurl's retry is refused. The refusal must not be reported as
    // NotSent, since the server may have executed the request.
    RawServer server({completeResponse, RawServer::stopServer});
    HttpClient client(4);
    sendAndWait(client, makeRequest(server, true));
    const HttpReply second = sendAndWait(client, makeRequest(server, true));
    BOOST_TEST((second.delivery == HttpDelivery::Lost));
    BOOST_TEST(server.requests() == 2);
}

BOOST_AUTO_TEST_CASE(truncatedResponseIsNotComplete)
{
    RawServer server({"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nok"});
    HttpClient client(4);
    BOOST_TEST((sendAndWait(client, makeRequest(server, false)).delivery == HttpDelivery::Truncated));
}

BOOST_AUTO_TEST_CASE(refusedConnectionProvesThatNothingWasSent)
{
    std::string url;
    {
        const RawServer server({});
        url = server.url();
    }
    HttpRequest request;
    request.url = url;
    HttpClient client(4);
    BOOST_TEST((sendAndWait(client, request).delivery == HttpDelivery::NotSent));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
