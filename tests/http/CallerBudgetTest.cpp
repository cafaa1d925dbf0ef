#include "http/CallerBudget.h"
#include "http/AnnouncedLength.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>

namespace banyanlock
{
namespace
{

constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = kibibyte * 1024;

/// Budget of 4 MiB, with requests of at most 2 MiB and two connections at server 7.
struct BudgetFixture {
    BudgetFixture()
    {
        budget.setLimits({4 * mebibyte, 2 * mebibyte});
        budget.setConnectionLimit(7, 2);
    }

    CallerBudget::Connection openWith(std::uint64_t bytes, TimePoint at)
    {
        const CallerBudget::Connection connection = budget.open(1, at);
        budget.receive(connection, bytes, 0, at);
        return connection;
    }

    CallerBudget budget;
    TimePoint now = TimePoint() + fromMilliseconds(100000);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerBudgetTest, BudgetFixture)

BOOST_AUTO_TEST_CASE(nothingIsClosedInsideTheLimits)
{
    openWith(mebibyte, now);
    openWith(2 * mebibyte, now);
    BOOST_TEST(budget.takeClosings(now + fromMilliseconds(20000)).empty());
    BOOST_TEST(budget.heldBytes() == 3 * mebibyte);
}

BOOST_AUTO_TEST_CASE(largestIsClosedFirst)
{
    openWith(mebibyte, now);
    const auto largest = openWith(2 * mebibyte, now);
    openWith(mebibyte, now);
    const auto closings = budget.takeClosings(now);
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST(closings[0].connection == largest);
    BOOST_TEST((closings[0].limit == CallerLimit::HeldBytes));
    BOOST_TEST(budget.heldBytes() == 2 * mebibyte);
    BOOST_TEST(budget.takeClosings(now).empty());
}

BOOST_AUTO_TEST_CASE(longestStalledOfTheSameSizeIsClosedFirst)
{
    const auto active = openWith(mebibyte, now);
    const auto stalled = openWith(mebibyte, now);
    budget.receive(active, 0, 0, now + fromMilliseconds(5000));
    openWith(mebibyte, now + fromMilliseconds(5000));
    openWith(mebibyte, now + fromMilliseconds(5000));
    const auto closings = budget.takeClosings(now + fromMilliseconds(5000));
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST(closings[0].connection == stalled);
}

BOOST_AUTO_TEST_CASE(smallCallsFitWhenLargeOnesUseTheirShare)
{
    for (int index = 0; index < 20; ++index) {
        openWith(mebibyte, now);
    }
    budget.takeClosings(now);
    BOOST_TEST(budget.heldBytes() == 3 * mebibyte);
    const auto small = openWith(kibibyte, now);
    BOOST_TEST(budget.takeClosings(now).empty());
    BOOST_TEST(budget.beginRequest(small, 4 * kibibyte));
}

BOOST_AUTO_TEST_CASE(manySmallCallsStayInsideTheBudget)
{
    for (int index = 0; index < 400; ++index) {
        openWith(20 * kibibyte, now);
        budget.takeClosings(now);
    }
    BOOST_TEST(budget.heldBytes() <= 4 * mebibyte);
    BOOST_TEST(budget.heldBytes() > 3 * mebibyte);
}

BOOST_AUTO_TEST_CASE(requestInProgressIsNeverClosed)
{
    // Guards against an untrue refusal: the request may have taken effect.
    const auto running = openWith(mebibyte, now);
    BOOST_TEST(budget.beginRequest(running, 3 * mebibyte));
    const auto other = openWith(mebibyte, now);
    const auto closings = budget.takeClosings(now + fromMilliseconds(60000));
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST(closings[0].connection == other);
    budget.close(running);
    BOOST_TEST(budget.heldBytes() == 3 * mebibyte);
    budget.endRequest(3 * mebibyte);
    BOOST_TEST(budget.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(requestWithoutRoomIsRefused)
{
    const auto first = openWith(mebibyte, now);
    BOOST_TEST(budget.beginRequest(first, 3 * mebibyte));
    const auto second = openWith(mebibyte, now);
    BOOST_TEST(!budget.beginRequest(second, mebibyte));
    BOOST_TEST(budget.heldBytes() == 3 * mebibyte);
}

BOOST_AUTO_TEST_CASE(unsentAnswersAreChargedUntilTheyAreSent)
{
    const auto reader = budget.open(1, now);
    BOOST_TEST(budget.beginRequest(reader, kibibyte));
    budget.endRequest(kibibyte);
    budget.beginAnswer(reader, 5 * mebibyte, now);
    BOOST_TEST(budget.heldBytes() == 5 * mebibyte);
    const auto closings = budget.takeClosings(now);
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST(closings[0].connection == reader);
    budget.endAnswer(reader);
    BOOST_TEST(budget.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(tooManyBytesOfOneRequestCloseItsConnection)
{
    const auto connection = openWith(mebibyte, now);
    BOOST_TEST(budget.takeClosings(now).empty());
    budget.receive(connection, mebibyte + 1, 0, now);
    const auto closings = budget.takeClosings(now);
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST((closings[0].limit == CallerLimit::RequestBytes));
    BOOST_TEST(budget.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(requestsOnOneConnectionAreLimitedOneByOne)
{
    const auto connection = openWith(2 * mebibyte, now);
    BOOST_TEST(budget.beginRequest(connection, kibibyte));
    budget.endRequest(kibibyte);
    budget.beginAnswer(connection, kibibyte, now);
    budget.endAnswer(connection);
    budget.receive(connection, 2 * mebibyte, 0, now);
    BOOST_TEST(budget.takeClosings(now).empty());
}

BOOST_AUTO_TEST_CASE(chunkOverheadIsCharged)
{
    const auto connection = budget.open(1, now);
    budget.receive(connection, 6000, 2000, now);
    BOOST_TEST(budget.heldBytes() == 6000 + 2000 * CallerBudget::lineBytes);
}

BOOST_AUTO_TEST_CASE(announcedBodyIsChargedBeforeItArrives)
{
    // Guards against memory that RESTinio reserves for announced bodies, which may be resident from earlier use.
    const auto connection = openWith(kibibyte, now);
    budget.announce(connection, mebibyte);
    BOOST_TEST(budget.heldBytes() == mebibyte);
    budget.receive(connection, mebibyte, 0, now);
    BOOST_TEST(budget.heldBytes() == mebibyte + kibibyte);
    BOOST_TEST(budget.beginRequest(connection, 2 * kibibyte));
    BOOST_TEST(budget.heldBytes() == 2 * kibibyte);
    budget.announce(connection, std::uint64_t{1} << 40);
    BOOST_TEST(budget.heldBytes() == 2 * mebibyte + 2 * kibibyte);
    budget.close(connection);
    budget.endRequest(2 * kibibyte);
    BOOST_TEST(budget.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(announcedLengthIsFoundInPartsOfAnySize)
{
    const std::string text = "POST / HTTP/1.1\r\nHost: x\r\n\nConTent-Length: \t1048576\r\nX: 99\r\n\r\n";
    for (std::size_t part = 1; part <= text.size(); ++part) {
        AnnouncedLength length;
        for (std::size_t begin = 0; begin < text.size(); begin += part) {
            length.feed(std::string_view(text).substr(begin, part));
        }
        BOOST_TEST(length.value() == 1048576U);
    }
    AnnouncedLength huge;
    huge.feed("\nContent-Length: 99999999999999999999999999\r\n");
    BOOST_TEST(huge.value() > mebibyte);
    AnnouncedLength none;
    none.feed("\nContent-Lengths: 5\r\nX-Content-Length: 5\r\n");
    BOOST_TEST(none.value() == 0U);
}

BOOST_AUTO_TEST_CASE(longestIdleConnectionMakesRoomForANewOne)
{
    const auto idle = budget.open(7, now);
    budget.open(7, now + fromMilliseconds(1000));
    budget.open(7, now + fromMilliseconds(2000));
    const auto closings = budget.takeClosings(now + fromMilliseconds(2000));
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST(closings[0].connection == idle);
    BOOST_TEST((closings[0].limit == CallerLimit::Connections));
}

BOOST_AUTO_TEST_CASE(newConnectionIsClosedIfAllOthersHaveRequestsInProgress)
{
    for (int index = 0; index < 2; ++index) {
        const auto running = budget.open(7, now);
        BOOST_TEST(budget.beginRequest(running, kibibyte));
    }
    const auto last = budget.open(7, now);
    const auto closings = budget.takeClosings(now);
    BOOST_REQUIRE(closings.size() == 1U);
    BOOST_TEST(closings[0].connection == last);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
