#include "pool/AnnouncementTable.h"
#include "SupervisorMessages.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

const WorkerIncarnation current{"worker", 1000};

std::string chosenService(const AnnouncementTable &table, const std::string &currentService)
{
    const WorkerAnnouncement *chosen = table.choose(current, currentService);
    return chosen == nullptr ? "none" : chosen->service;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnnouncementTableTest)

// Guards against a foreign sequence number that makes the worker's own announcements outdated.
BOOST_AUTO_TEST_CASE(sequenceNumbersOfTwoServicesAreIndependent)
{
    AnnouncementTable table;
    BOOST_TEST(table.add(makeAnnouncement(current, "quote", 4), nullptr));
    BOOST_TEST(table.add(makeAnnouncement(current, "other", 0xffffffff), nullptr));
    BOOST_TEST(table.add(makeAnnouncement(current, "quote", 5), nullptr));
    BOOST_TEST(!table.add(makeAnnouncement(current, "quote", 5), nullptr));
}

BOOST_AUTO_TEST_CASE(serviceInUseIsKeptUntilAnotherOneIsNamed)
{
    AnnouncementTable table;
    table.add(makeAnnouncement(current, "quote", 1), nullptr);
    table.add(makeAnnouncement(current, "other", 1), nullptr);
    BOOST_TEST(chosenService(table, "quote") == "quote");
    BOOST_TEST(table.setNamedServices({"other"}));
    BOOST_TEST(chosenService(table, "quote") == "other");
    BOOST_TEST(table.setNamedServices({"audit", "quote"}));
    BOOST_TEST(chosenService(table, "other") == "quote");
    BOOST_TEST(!table.setNamedServices({})); // an owner without a configuration
    BOOST_TEST(chosenService(table, "other") == "quote");
}

// Guards against a worker that is lost since a foreign announcement for its incarnation came before its own first one.
BOOST_AUTO_TEST_CASE(announcedServiceReplacesOneThatIsNoLongerAnnounced)
{
    AnnouncementTable table;
    table.add(makeAnnouncement(current, "other", 1), nullptr);
    for (std::uint64_t sequence = 1; sequence <= AnnouncementTable::maxMissed; ++sequence) {
        BOOST_TEST(chosenService(table, "other") == "other");
        table.add(makeAnnouncement(current, "quote", sequence), nullptr);
    }
    BOOST_TEST(chosenService(table, "other") == "quote");
}

BOOST_AUTO_TEST_CASE(announcementInUseIsNotEvicted)
{
    AnnouncementTable table;
    const WorkerAnnouncement own = makeAnnouncement(current, "quote", 1);
    table.add(own, nullptr);
    for (std::int64_t foreign = 0; foreign < 100; ++foreign) {
        table.add(makeAnnouncement({"foreign", foreign}, "quote", 1), &own);
    }
    BOOST_TEST(table.size() == AnnouncementTable::maxEntries);
    BOOST_TEST(chosenService(table, "quote") == "quote");
}

BOOST_AUTO_TEST_CASE(incarnationIsForgottenAfterManyUnansweredQueries)
{
    AnnouncementTable table;
    const WorkerIncarnation foreign{"foreign", 1};
    table.add(makeAnnouncement(current, "quote", 1), nullptr);
    table.add(makeAnnouncement(foreign, "quote", 1), nullptr);
    for (std::uint32_t query = 0; query < AnnouncementTable::maxUnansweredQueries; ++query) {
        BOOST_TEST((table.nextUnconfirmed(current) == foreign));
        table.noteUnanswered(foreign);
    }
    BOOST_TEST(!table.nextUnconfirmed(current).has_value());
}

// Guards against foreign incarnations that nobody answers for and that keep a new incarnation of the worker from being asked.
BOOST_AUTO_TEST_CASE(newIncarnationIsAskedBeforeThoseThatWereNotAnswered)
{
    AnnouncementTable table;
    table.add(makeAnnouncement({"foreign", 1}, "quote", 1), nullptr);
    table.add(makeAnnouncement({"foreign", 2}, "quote", 1), nullptr);
    table.noteUnanswered({"foreign", 1});
    table.noteUnanswered({"foreign", 2});
    const WorkerIncarnation next{"worker", 2000};
    table.add(makeAnnouncement(next, "quote", 1), nullptr);
    BOOST_TEST((table.nextUnconfirmed(current) == next));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
