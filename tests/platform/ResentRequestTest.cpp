#include "platform/RowStore.h"
#include "platform/WorkerPort.h"
#include "support/RawServer.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock::platform
{
namespace
{

const std::string emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}";
const std::string closedWithoutAnswer;

/// Clients of a server that reads the second request on a connection, executes it, and closes the connection without an answer.
struct Fixture {
    Counters counters;
    EventLoop loop;
    HttpClient http{4};

    OrderOutcome startAt(WorkerPort &worker)
    {
        OrderOutcome received = OrderOutcome::Done;
        worker.start(StartTask(), [&](OrderOutcome outcome, const std::string &) {
            received = outcome;
            loop.stop();
        });
        loop.run();
        return received;
    }

    CommitState commitTo(RowStore &store)
    {
        CommitState received = CommitState::Committed;
        TableTransaction transaction;
        transaction.writes = {{"pool", "owner", "value"}};
        store.commit(transaction, [&](const CommitResult &result) {
            received = result.state;
            loop.stop();
        });
        loop.run();
        return received;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResentRequestTest, Fixture)

BOOST_AUTO_TEST_CASE(startWithLostAnswerIsNotReportedAsRefused)
{
    RawServer server({emptyAnswer, closedWithoutAnswer, unavailable});
    WorkerPort worker(server.url(), loop, http);
    BOOST_TEST((startAt(worker) == OrderOutcome::Done));
    BOOST_TEST((startAt(worker) == OrderOutcome::Unknown));
}

BOOST_AUTO_TEST_CASE(transactionWithLostAnswerIsNotReportedAsNotSent)
{
    RawServer server({emptyAnswer, closedWithoutAnswer, unavailable});
    RowStore store(server.url(), loop, http, counters);
    commitTo(store);
    BOOST_TEST((commitTo(store) == CommitState::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock::platform
