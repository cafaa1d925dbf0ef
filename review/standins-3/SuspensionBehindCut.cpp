#include "Cases.h"

#include <csignal>
#include <cstdlib>
#include <string_view>
#include <thread>

namespace review
{

Verdict suspensionBehindCut(const CaseContext &context)
{
    constexpr std::int64_t work = 30'000;
    constexpr std::int64_t cutLength = 12'000;
    constexpr std::int64_t suspension = 4000;
    Record &record = context.record;
    const DeploymentPointer running(new Deployment(context.program, record, [](const std::string &) {
        return TaskPlan{work, false};
    }));
    Deployment &deployment = *running;
    if (!deployment.start()) {
        return Verdict::NotRun;
    }
    const nlohmann::json phase{{"count", 1}, {"cpu", 8000}, {"memMb", 16000}, {"gpu", 2}, {"estimateMs", work}};
    const nlohmann::json body{{"spec", "(text)"}, {"phases", {phase}}};
    if (deployment.request(*deployment.entries.front(), "POST", "5c0e7a21d94b36f8", body.dump()).first != 200) {
        return Verdict::NotRun;
    }
    constexpr std::int64_t startTime = 5000;
    if (!Deployment::waitFor(startTime, [&] {
            return deployment.log.runs().size() == 1;
        })) {
        return Verdict::NotRun;
    }
    sleepMs(2000);
    const std::string machine = deployment.log.runs().front().executor;
    Side *side = nullptr;
    for (const auto &candidate : deployment.sides) {
        side = candidate->name == machine ? candidate.get() : side;
    }
    const char *part = std::getenv("REVIEW_PART"); // "cut" or "suspension": only one of the two, for comparison
    const bool isCut = context.trouble && (part == nullptr || std::string_view(part) == "cut");
    const bool isSuspended = context.trouble && (part == nullptr || std::string_view(part) == "suspension");
    const std::int64_t cutAt = nowMs();
    if (isCut) {
        record.write(machine + " is cut off from all other machines");
        side->agentLink->cut();
        side->storeLink->cut();
    }
    sleepMs(300);
    if (isSuspended) {
        record.write(machine + " is suspended");
        side->program->signal(SIGSTOP);
        side->executor->suspend(suspension);
        side->program->signal(SIGCONT);
        record.write(machine + " goes on");
    }
    sleepMs(cutLength - (nowMs() - cutAt));
    if (isCut) {
        side->agentLink->heal();
        side->storeLink->heal();
        record.write(machine + " is reachable again");
    }
    sleepMs(3000);
    return hasOverlap(deployment.log.runs(), record) ? Verdict::Broken : Verdict::Held;
}

} // namespace review
