#include "entry/StoreMirror.h"
#include "schedule/CellTable.h"
#include "store/TableCodec.h"
#include "support/ScriptedServer.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{

BOOST_AUTO_TEST_SUITE(StoreMirrorTest)

BOOST_AUTO_TEST_CASE(cellRowsOfAnotherWriterEndNoEntry)
{
    constexpr std::uint16_t port = 18737;
    Counters counters;
    EventLoop loop;
    HttpClient http{4};
    ScriptedServer server{loop, counters, port};
    TableClient table{"http://127.0.0.1:" + std::to_string(port), loop, http, counters};
    StoreMirror mirror{loop, table, counters, fromMilliseconds(1000)};
    ScanResult rows;
    const auto read = [&] {
        server.bodies = {encodeScan(rows)};
        mirror.refresh([&](bool) {
            loop.stop();
        });
        loop.run();
    };
    std::uint64_t version = 0;
    for (const std::string &value :
         {std::string("3"), std::string("[]"), std::string(R"({"entry":7})"), std::string(R"({"entry":"e","incarnation":-1})"),
          std::string(R"({"entry":"e","incarnation":1e300})"), std::string(100'000, '[')}) {
        ++version;
        rows = {true, version, {{cellTable, "odd", version, value}, {cellTable, "good", version, R"({"entry":"e","incarnation":7})"}}};
        read();
        BOOST_TEST(mirror.version() == version);
        BOOST_TEST(mirror.cell("odd").entry.empty());
        BOOST_TEST(mirror.cell("odd").version == version);
        BOOST_TEST(mirror.cell("good").incarnation == 7U);
    }
    ++version;
    rows = {true, version, {{cellTable, "odd", version, R"({"entry":"e","incarnation":7})"}}};
    read();
    BOOST_TEST(mirror.cell("odd").entry == "e");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
