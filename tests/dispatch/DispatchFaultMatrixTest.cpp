#include "DispatchWorld.h"
#include "support/FaultMatrix.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace banyanlock
{
namespace
{

constexpr auto stepCount = static_cast<std::size_t>(RequestStep::Count);
constexpr std::array<const char *, stepCount> stepNames{"claim", "send", "run", "reply", "settle"};
constexpr Duration deadline = fromMilliseconds(400);
constexpr Duration longFreeze = fromMilliseconds(3000);

/// Expected outcomes at each step, first of a non-idempotent request, then of an idempotent one: A answered, N not run, U unknown, - no
/// answer because the caller's entry was killed, . step not reached. An idempotent request has no key to claim or settle and never reaches
/// these steps.
using ExpectedRow = std::array<const char *, stepCount>;

struct FaultRow {
    const char *name;
    void (*inject)(DispatchWorld &, int agent);
    ExpectedRow expected;
};

void setMessageFault(DispatchWorld &world, MessageFault fault)
{
    world.setMessageFault(fault);
}

int agentOrFirst(int agent)
{
    return agent < 0 ? 0 : agent;
}

constexpr std::array faultRows{
    FaultRow{"none",
             [](DispatchWorld &, int) {
             },
             {"A.", "AA", "AA", "AA", "A."}},
    FaultRow{"message lost",
             [](DispatchWorld &world, int) {
                 setMessageFault(world, MessageFault::Lose);
             },
             {"A.", "NN", "AA", "UU", "A."}},
    FaultRow{"message late beyond the deadline",
             [](DispatchWorld &world, int) {
                 setMessageFault(world, MessageFault::Delay);
             },
             {"A.", "NN", "AA", "UU", "A."}},
    FaultRow{"message doubled",
             [](DispatchWorld &world, int) {
                 setMessageFault(world, MessageFault::Duplicate);
             },
             {"A.", "AA", "AA", "AA", "A."}},
    FaultRow{"connection breaks",
             [](DispatchWorld &world, int) {
                 setMessageFault(world, MessageFault::Break);
             },
             {"A.", "AA", "AA", "UA", "A."}},
    FaultRow{"answer truncated",
             [](DispatchWorld &world, int) {
                 setMessageFault(world, MessageFault::Truncate);
             },
             {"A.", "AA", "AA", "UA", "A."}},
    FaultRow{"agent killed and replaced",
             [](DispatchWorld &world, int agent) {
                 world.defer([&world, agent] {
                     world.restartAgent(agentOrFirst(agent));
                 });
             },
             // When the agent is killed during the claim, the attempt is sent before the entry detects the broken connection.
             {"U.", "UA", "UA", "AA", "A."}},
    FaultRow{"agent frozen beyond the deadline",
             [](DispatchWorld &world, int agent) {
                 world.defer([&world, agent] {
                     world.freezeAgent(agentOrFirst(agent), longFreeze);
                 });
             },
             {"U.", "UU", "UU", "AA", "A."}},
    FaultRow{"agent stopped as planned",
             [](DispatchWorld &world, int agent) {
                 world.defer([&world, agent] {
                     world.drainAgent(agentOrFirst(agent));
                 });
             },
             {"A.", "AA", "AA", "AA", "A."}},
    FaultRow{"backend server refuses connections",
             [](DispatchWorld &world, int agent) {
                 world.defer([&world, agent] {
                     world.breakBackend(agentOrFirst(agent), longFreeze);
                 });
             },
             {"A.", "AA", "AA", "AA", "A."}},
    FaultRow{"entry killed",
             [](DispatchWorld &world, int) {
                 world.defer([&world] {
                     world.restartEntry(0);
                 });
             },
             {"-.", "--", "--", "--", "A."}},
    FaultRow{"entry frozen beyond the deadline",
             [](DispatchWorld &world, int) {
                 world.defer([&world] {
                     world.freezeEntry(0, longFreeze);
                 });
             },
             {"N.", "AA", "AA", "AA", "A."}},
    FaultRow{"store down",
             [](DispatchWorld &world, int) {
                 world.options().storeUnavailableChance = 1;
             },
             {"N.", "AA", "AA", "AA", "A."}},
    FaultRow{"store loses its answer",
             [](DispatchWorld &world, int) {
                 world.options().lostStoreAnswerChance = 1;
             },
             {"N.", "AA", "AA", "AA", "A."}},
};

/// Runs one request, injects the fault when the request first reaches the step, and returns the outcome as in `ExpectedRow`.
char outcomeOf(const FaultRow &row, RequestStep step, bool idempotent)
{
    DispatchOptions options;
    options.entries = 1;
    options.agents = 2;
    DispatchWorld world(7, options);
    bool injected = false;
    world.setStepHook([&](RequestStep reached, int agent) {
        if (reached == step && !injected) {
            injected = true;
            row.inject(world, agent);
        }
    });
    world.request(0, idempotent, idempotent ? "" : "key", deadline);
    world.run(fromMilliseconds(10000));
    world.checkInvariants();
    for (const std::string &violation : world.violations()) {
        BOOST_ERROR(row.name << " at " << stepNames[static_cast<std::size_t>(step)] << ": " << violation);
    }
    if (!injected) {
        return '.';
    }
    const TrackedRequest &request = world.requests().front();
    constexpr std::array names{'A', 'N', 'U'};
    return request.answer ? names[static_cast<std::size_t>(request.answer->outcome)] : '-';
}

} // namespace

BOOST_AUTO_TEST_SUITE(DispatchFaultMatrix)

BOOST_AUTO_TEST_CASE(everyFaultAtEveryStep)
{
    FaultMatrix matrix("Requests", {stepNames.begin(), stepNames.end()});
    for (const FaultRow &row : faultRows) {
        std::vector<std::string> cells;
        for (std::size_t step = 0; step < stepCount; ++step) {
            const std::string actual{outcomeOf(row, static_cast<RequestStep>(step), false),
                                     outcomeOf(row, static_cast<RequestStep>(step), true)};
            BOOST_TEST(actual == row.expected[step],
                       row.name << " at " << stepNames[step] << ": expected " << row.expected[step] << ", actual " << actual);
            cells.push_back(actual);
        }
        matrix.addRow(row.name, cells);
    }
    matrix.write("requests.md");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace banyanlock
