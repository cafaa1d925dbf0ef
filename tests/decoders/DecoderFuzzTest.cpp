#include "contract/ContractCodec.h"
#include "core/JsonInput.h"
#include "core/Random.h"
#include "graph/GraphCodec.h"
#include "platform/PlatformAdapter.h"
#include "platform/RowStore.h"
#include "platform/WorkerPort.h"
#include "pool/PoolScheduler.h"
#include "poolhost/PoolMirror.h"
#include "schedule/JobCodec.h"
#include "schedule/WorkerCodec.h"
#include "store/TableCodec.h"
#include "support/AnnouncementRequest.h"
#include "support/ScriptedServer.h"
#include "support/Seeds.h"

#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

using platform::PlatformAdapter;

constexpr std::uint64_t documentSeedCount = 10'000;
constexpr std::uint64_t poolSeedCount = 1'000;
constexpr std::uint64_t answerSeedCount = 500;

const std::string submission = R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,"gpu":1,"estimateMs":900,"affinity":"r1-3"},)"
                               R"({"count":2,"cpu":7.5,"antiAffinity":1,"after":[0],"gang":true,"sameRack":true,"requirements":"a"}],)"
                               R"("repeatCount":3,"firstRunMs":1700000000000,"intervalMs":4500})";

const std::string configuration
    = R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/q/","service":"s","priority":0,"maxAttempts":3,"slackFactor":3.5,)"
      R"("targetLatencyMs":3000}],"services":[],"tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpu":16}}]})";

const std::string announcement = R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,"state":"ready",)"
                                 R"("remainingMs":7000,"capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"seq":4,)"
                                 R"("born":1700000000000})";

const std::string lists = R"({"clockMs":482113,"born":1700000000000,"running":[["5c0e.0.1.17",2,"bb",41]],)"
                          R"("finished":[[58,"5c0e.0.1.9",1,"done",""]]})";

const std::string feed
    = R"({"rows":[{"table":"op","part":"","key":"config","rowVersion":6,"value":"e30="},)"
      R"({"table":"op","part":"","key":"evacuate/z","rowVersion":7,"deleted":true}],"rowVersion":9,"nowMs":12,"hasMore":false})";

const std::string agent = "10.0.0.1:7000";

/// Replaces one number by an odd one, or wraps it in lists.
void replaceNumber(std::string &text, Random &random)
{
    static const std::vector<std::string> odd{"0",
                                              "-1",
                                              "1",
                                              "2",
                                              "70000",
                                              "65535",
                                              "4294967295",
                                              "4294967296",
                                              "9007199254740993",
                                              "9223372036854775807",
                                              "9223372036854775808",
                                              "18446744073709551615",
                                              "18446744073709551616",
                                              "-9223372036854775808",
                                              "1e18",
                                              "1e300",
                                              "-1e300",
                                              "1e400",
                                              "1.5",
                                              "NaN",
                                              "null",
                                              "true",
                                              "\"7\"",
                                              "[]",
                                              "{}"};
    const auto isDigit = [](char character) {
        return character >= '0' && character <= '9';
    };
    std::size_t begin = random.below(static_cast<std::uint32_t>(text.size()));
    while (begin < text.size() && !isDigit(text[begin])) {
        ++begin;
    }
    std::size_t end = begin;
    while (end < text.size() && isDigit(text[end])) {
        ++end;
    }
    if (begin == end) {
        return;
    }
    std::string replacement = odd[random.below(static_cast<std::uint32_t>(odd.size()))];
    if (random.chance(0.1)) {
        static const std::vector<std::size_t> depths{1, 3, maxJsonLevels, 20'000};
        const std::size_t depth = depths[random.below(4)];
        replacement = std::string(depth, '[') + replacement + std::string(depth, ']');
    }
    text.replace(begin, end - begin, replacement);
}

std::string mutated(std::string text, Random &random)
{
    for (std::uint32_t change = random.below(3); change < 3 && !text.empty(); ++change) {
        const std::size_t position = random.below(static_cast<std::uint32_t>(text.size()));
        const std::size_t length = 1 + random.below(20);
        switch (random.below(8)) {
        case 0: // another byte
            text[position] = static_cast<char>(random.below(256));
            break;
        case 1: // a flipped bit
            text[position] = static_cast<char>(static_cast<unsigned char>(text[position]) ^ (1U << random.below(8)));
            break;
        case 2:
            text.erase(position, length);
            break;
        case 3:
            text.insert(position, text.substr(position, length));
            break;
        case 4:
            text.resize(position);
            break;
        default:
            replaceNumber(text, random);
        }
    }
    return text;
}

GraphRecord makeRecord()
{
    GraphRecord record;
    const Result<GraphSpec> spec = PlatformAdapter::decodeSubmission(submission);
    BOOST_REQUIRE(isOk(spec));
    record.spec = valueOf(spec);
    record.terms = {"r", "t", "s", 0, 3, 1.5, fromMilliseconds(500)};
    record.acceptedUnixMilliseconds = 1'700'000'000'001;
    return record;
}

GraphProgress makeProgress()
{
    GraphProgress progress;
    progress.state = GraphState::Running;
    progress.units[{0, 0, 1}] = {false, 1, 2, "bb", {{{"i-1", 1'700'000'000'000}, agent}}};
    progress.units[{0, 0, 2}] = {true, 0, 1, "", {}};
    progress.units[{0, 1, 0}] = {false, 0, 1, "", {{{"i-1", 1'700'000'000'000}, agent}, {{"i-2", 17}, "10.0.0.2:7000"}}};
    return progress;
}

/// Decodes a text with every decoder; what is accepted must be encodable and decodable again.
void decodeEverything(const std::string &text)
{
    GraphRecord record;
    if (decodeGraphSpec(text, record)) {
        BOOST_TEST(checkGraphSpec(record.spec).empty());
        GraphRecord again;
        BOOST_TEST(decodeGraphSpec(encodeGraphSpec(record), again));
    }
    if (const std::optional<GraphProgress> progress = decodeGraphProgress(text)) {
        BOOST_TEST(decodeGraphProgress(encodeGraphProgress(*progress)).has_value());
        (void)matches(*progress, makeRecord().spec);
    }
    constexpr std::uint64_t version = 50;
    if (const std::optional<OwnerRow> owner = decodeOwnerRow(text, version)) {
        BOOST_TEST(owner->epoch <= version);
        BOOST_TEST((decodeOwnerRow(encodeOwnerRow(*owner), version) == owner));
    }
    if (const std::optional<OwnerCandidate> candidate = decodeOwnerCandidate(text)) {
        BOOST_TEST((decodeOwnerCandidate(encodeOwnerCandidate(*candidate)) == candidate));
    }
    (void)PlatformAdapter::decodeOperatorRow({"op", "config", version, text, false});
    const Result<WorkerAnnouncement> worker = PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", text));
    if (isOk(worker)) {
        BOOST_TEST(valueOf(worker).capacity.fits({}));
        BOOST_TEST((valueOf(worker).minTimeUntilExit >= Duration::zero()));
    }
    const Result<GraphSpec> spec = PlatformAdapter::decodeSubmission(text);
    CallAnswer refusal;
    refusal.outcome = CallOutcome::Malformed;
    refusal.reason = isOk(spec) ? checkGraphSpec(valueOf(spec)) : errorOf(spec).detail;
    BOOST_TEST(nlohmann::json::accept(*PlatformAdapter::encodeAnswer(PoolCall(), refusal).body));
    ServerRequest call;
    call.method = "GET";
    call.path = text;
    call.headers = {{"Host", text}, {"Deadline-Ms", text}};
    (void)PlatformAdapter::decodeCall(call);
    (void)decodeScan(text);
    (void)decodeTransaction(text);
    (void)decodeJobRecord({"jobs", "job", version, text, false});
    (void)decodeJobSpec(text);
    (void)decodeWorkerMessage(text);
    (void)decodeWorkerReport(text);
    (void)decodeWorkerInfo(text);
    (void)decodeContract(text);
}

/// A scheduler on a mirror of foreign rows, without processes around it.
struct ForeignPool {
    Counters counters;
    EventLoop loop;
    HttpClient http{1};
    platform::RowStore store{"http://127.0.0.1:1", loop, http, counters};
    PoolMirror<PlatformAdapter> mirror{store, loop, counters};
    PoolScheduler scheduler{mirror.jobs(), mirror.operators(), PlatformAdapter::operatorRows(), PoolTiming(), PlannerPolicy(), counters};
    std::uint64_t version = 1;

    void adopt(const std::string &table, const std::string &key, const std::string &value)
    {
        mirror.adopt({{table, key, ++version, value, false}});
    }

    void report(std::uint64_t epoch, const WorkerAnnouncement &worker, TimePoint now)
    {
        WorkerStatus status;
        status.agentIncarnation = 1;
        status.number = version;
        status.highestEpoch = epoch;
        status.runsKnown = true;
        status.answering = true;
        status.worker = worker;
        scheduler.onCallAnswered(agent, 0, &status, now, now);
    }

    void step(TimePoint now)
    {
        scheduler.step(now, 1'700'000'100'000);
        if (scheduler.takeBatch(now)) {
            scheduler.onCommitted(now);
        }
        (void)scheduler.takeCalls();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderFuzz)

BOOST_AUTO_TEST_CASE(mutatedDocumentsEndNoDecoder)
{
    const GraphRecord record = makeRecord();
    JobRecord job;
    job.id = "job-1";
    job.spec.workspace = "w";
    job.spec.name = "n";
    job.tasks = {{"w1", 0xF}};
    WorkerMessage message;
    message.commands = {{TaskCommandKind::Checkpoint, {"j", 2, 3}, 0xF, 1, 2, 3, true}};
    Contract contract;
    contract.workspace = "w";
    contract.guarantees = {{1, 2, 4, Adjacency::Rack}};
    const std::vector<std::string> documents{
        submission,
        configuration,
        announcement,
        lists,
        feed,
        encodeGraphSpec(record),
        encodeGraphProgress(makeProgress()),
        encodeOwnerRow({"entry", 17, 5, true, 300, 4, 0, 0, {}}),
        encodeOwnerCandidate({"entry", 17, 5, 500}),
        encodeJobRecord(job),
        encodeWorkerMessage(message),
        encodeWorkerReport({3, TimePoint(Duration(4)), 5, true, 6, false, {{{"j", 2, 3}, TaskState::Stopped, 0xF}}}),
        encodeWorkerInfo({"w", "10.0.0.1:7000", "fd", "rack", 8, 64, 1024}),
        encodeContract(contract),
        encodeScan({true, 9, {{"t", "k", 8, "v"}}}),
    };
    for (const std::string &document : documents) {
        decodeEverything(document);
    }
    const SeedRange seeds = seedRange(documentSeedCount);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST_CHECKPOINT("seed " << seed);
            Random random(seed);
            decodeEverything(mutated(documents[seed % documents.size()], random));
        }
    }
    BOOST_TEST_MESSAGE(seeds.count << " documents");
}

BOOST_AUTO_TEST_CASE(mutatedRowsAndHeartbeatsEndNoOwner)
{
    const std::string spec = encodeGraphSpec(makeRecord());
    const std::string progress = encodeGraphProgress(makeProgress());
    const std::string ownerRow = encodeOwnerRow({"entry", 17, 1, true, 300, 4, 0, 0, {}});
    const SeedRange seeds = seedRange(poolSeedCount);
    std::uint64_t open = 0;
    std::uint64_t placed = 0;
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST_CHECKPOINT("seed " << seed);
            Random random(seed);
            const auto perhaps = [&](const std::string &text) {
                return random.chance(0.3) ? mutated(text, random) : text;
            };
            ForeignPool pool;
            pool.adopt("op", "config", perhaps(configuration));
            pool.adopt("op", perhaps("evacuate/y"), "{}");
            pool.adopt("pool", perhaps("worker/" + agent), perhaps("{}"));
            for (const std::string id : {"job1", "job2", "job3"}) {
                pool.adopt("pool", perhaps("spec/" + id), perhaps(spec));
                pool.adopt("pool", perhaps("job/" + id), perhaps(progress));
            }
            pool.adopt("pool", perhaps("cancel/job3"), "{}");
            pool.adopt("pool", "owner", perhaps(ownerRow));
            pool.adopt("pool", "candidate", perhaps(encodeOwnerCandidate({"entry", 17, 1, 500})));
            const std::uint64_t epoch = pool.mirror.ownerVersion() + 1;
            BOOST_TEST(pool.mirror.owner().epoch < epoch);
            open += pool.mirror.jobs().open().size();
            TimePoint now(std::chrono::hours(1));
            pool.scheduler.acquireOwnership(epoch, random.chance(0.5), now);
            for (const std::string &address : pool.mirror.agents()) {
                pool.scheduler.addAgent(address);
            }
            pool.scheduler.setRenewalsAllowed(true);
            for (int round = 0; round < 6; ++round) {
                const Result<WorkerAnnouncement> worker
                    = PlatformAdapter::decodeAnnouncement(announcementRequest("i-1", perhaps(announcement)));
                if (isOk(worker)) {
                    pool.report(epoch, valueOf(worker), now);
                }
                pool.step(now);
                now += fromMilliseconds(600);
            }
            placed += pool.counters.value(Counter::PoolRunsRecorded);
        }
    }
    BOOST_TEST_MESSAGE(seeds.count << " pools, " << open << " open jobs, " << placed << " recorded runs");
    BOOST_TEST(placed > 0U); // else the mutations left nothing to plan
}

BOOST_AUTO_TEST_CASE(mutatedAnswersEndNoClient)
{
    constexpr std::uint16_t port = 18739;
    Counters counters;
    EventLoop loop;
    HttpClient http{4};
    ScriptedServer server{loop, counters, port};
    const std::string url = "http://127.0.0.1:" + std::to_string(port);
    platform::WorkerPort worker{url, loop, http};
    platform::RowStore store{url, loop, http, counters};
    const SeedRange seeds = seedRange(answerSeedCount);
    for (std::uint64_t seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        BOOST_TEST_CHECKPOINT("seed " << seed);
        Random random(seed);
        int pending = 5;
        const auto done = [&] {
            if (--pending == 0) {
                loop.stop();
            }
        };
        server.status = random.chance(0.2) ? 412 : 200;
        server.bodies = {mutated(random.chance(0.5) ? feed : lists, random)};
        worker.renew({}, [&](const RenewalAnswer &) {
            done();
        });
        worker.start({}, [&](OrderOutcome, const std::string &) {
            done();
        });
        store.commit({}, [&](const CommitResult &) {
            done();
        });
        store.read("op", "config", [&](const RowResult &) {
            done();
        });
        store.follow("op", 3, fromMilliseconds(1), [&](const FollowResult &) {
            done();
        });
        loop.run();
        BOOST_TEST(pending == 0, "seed " << seed);
    }
    BOOST_TEST_MESSAGE(seeds.count << " answers");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
