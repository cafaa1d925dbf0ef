#include "InterferenceWorld.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace banyanlock;

namespace
{

constexpr std::uint32_t runsBefore = 12'000;

WorldTerms harmfulTerms()
{
    WorldTerms terms;
    terms.pairs = {{0, 2, 1.8}, {3, 5, 1.4}};
    return terms;
}

bool isEmpty(const InterferenceModel &model)
{
    return model.encode() == InterferenceModel().encode();
}

} // namespace

BOOST_AUTO_TEST_SUITE(InterferenceRecordTest)

// Guards against an owner that starts from nothing after each change of owner, and against a record that makes it see more than there is.
BOOST_AUTO_TEST_CASE(newOwnerKnowsThePairsOfTheEarlierOne)
{
    InterferenceWorld world(harmfulTerms(), 1);
    world.run(runsBefore);
    world.changeOwner();
    for (int part = 0; part < 2; ++part) {
        const std::vector<TruePair> found = world.found();
        BOOST_TEST_REQUIRE(found.size() == 2U);
        BOOST_TEST(found[0].kind == 0U);
        BOOST_TEST(found[0].neighbour == 2U);
        BOOST_TEST(found[1].kind == 3U);
        BOOST_TEST(found[1].neighbour == 5U);
        world.run(runsBefore);
    }
}

// Guards against a pair that is kept apart for ever because the record says so: a changed program must be noticed.
BOOST_AUTO_TEST_CASE(recordIsOverruledByWhatIsSeen)
{
    InterferenceWorld before(harmfulTerms(), 1);
    before.run(runsBefore);
    InterferenceWorld after({}, 2);
    after.model = InterferenceModel::decode(before.model.encode());
    after.changeOwner();
    BOOST_TEST(after.found().size() == 2U);
    after.run(4 * runsBefore);
    BOOST_TEST(after.found().empty());
}

// Guards against a row that the table service refuses, and against dropping the harmful pairs in favour of others.
BOOST_AUTO_TEST_CASE(recordIsBoundedAndKeepsHarmfulPairs)
{
    InterferenceModel model;
    std::vector<std::uint32_t> kinds;
    kinds.reserve(100);
    for (int index = 0; index < 100; ++index) {
        kinds.push_back(model.kindOf({std::string(100, 'q') + std::to_string(index), {1000, 1000, 1}, false}));
    }
    for (std::uint64_t run = 0; run < 40'000; ++run) {
        const std::uint32_t kind = kinds[run % kinds.size()];
        const std::uint32_t neighbour = kinds[run / 100 % 3];
        const bool beside = run / 1000 % 2 == 0;
        const bool slowed = beside && kind == kinds[50] && neighbour == kinds[0];
        const std::vector<Neighbour> neighbours{{neighbour, beside ? 1.0 : 0.0}};
        model.addRun(kind, kind, run % 37, slowed ? 0.6 : 0.0, neighbours);
    }
    BOOST_TEST_REQUIRE(model.isHarmful(kinds[50], kinds[0]));
    const std::string text = model.encode();
    BOOST_TEST(text.size() <= InterferenceModel::maxRecordBytes);
    BOOST_TEST(text.size() > InterferenceModel::maxRecordBytes / 2);
    InterferenceModel read = InterferenceModel::decode(text);
    const std::vector<HarmfulPair> pairs = read.harmfulPairs();
    BOOST_TEST_REQUIRE(pairs.size() == 1U);
    BOOST_TEST(read.findKind(pairs[0].kind)->queue == std::string(100, 'q') + "50");
    BOOST_TEST(read.findKind(pairs[0].neighbour)->queue == std::string(100, 'q') + "0");
}

// Guards against an owner that ends, or keeps tasks apart, because of a row that another writer has spoilt.
BOOST_AUTO_TEST_CASE(malformedRecordMeansAnEmptyModel)
{
    const std::string kind = R"(["q",1,1,1,false,10])";
    const std::string kinds = R"({"kinds":[)" + kind + R"(],"pairs":)";
    for (const std::string &text : {
             std::string(),
             std::string("{"),
             std::string("null"),
             std::string("[]"),
             std::string("{}"),
             std::string("\xff"),
             std::string(R"({"kinds":[],"pairs":[[0,0,1,1,1]]})"),
             std::string(R"({"kinds":{},"pairs":{}})"),
             kinds + "3}",
             kinds + "[3]}",
             kinds + "[[0,1,600,10,100]]}",
             kinds + "[[0,-1,600,10,100]]}",
             kinds + "[[0,0,1e300,10,100]]}",
             kinds + "[[0,0,600,0,100]]}",
             kinds + "[[0,0,600,-5,100]]}",
             kinds + "[[0,0,600,10]]}",
             kinds + "[[0,0,600,10,1e12]]}",
             kinds + R"([[0,0,"a",10,100]]})",
             std::string(R"({"kinds":[["q",-1,1,1,false,10]],"pairs":[[0,0,600,10,100]]})"),
             std::string(R"({"kinds":[["q",1,1,1,false,-1]],"pairs":[[0,0,600,10,100]]})"),
             R"({"kinds":[[")" + std::string(200, 'q') + R"(",1,1,1,false,10]],"pairs":[[0,0,600,10,100]]})",
             kinds + std::string(5000, ' ') + "[]}",
         }) {
        BOOST_TEST(isEmpty(InterferenceModel::decode(text)), "not empty: " << text.substr(0, 80));
    }
    BOOST_TEST(!isEmpty(InterferenceModel::decode(kinds + "[[0,0,600,10,100]]}")));
}

// Guards against text of an earlier record that ends early or was changed in a byte: the model must stay usable.
BOOST_AUTO_TEST_CASE(damagedRecordIsHarmless)
{
    InterferenceWorld world(harmfulTerms(), 3);
    world.run(runsBefore);
    const std::string text = world.model.encode();
    Random random(5);
    for (int trial = 0; trial < 2000; ++trial) {
        std::string damaged = text.substr(0, random.chance(0.5) ? text.size() : random.below(static_cast<std::uint32_t>(text.size())));
        if (!damaged.empty()) {
            damaged[random.below(static_cast<std::uint32_t>(damaged.size()))] = static_cast<char>(random.below(256));
        }
        InterferenceModel model = InterferenceModel::decode(damaged);
        BOOST_TEST_REQUIRE(model.encode().size() <= InterferenceModel::maxRecordBytes);
        for (const HarmfulPair &pair : model.harmfulPairs()) {
            BOOST_TEST_REQUIRE(std::isfinite(model.slowdownOf(pair.kind, pair.neighbour)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
