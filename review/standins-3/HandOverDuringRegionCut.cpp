#include "Cases.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <string_view>

namespace review
{
Verdict handOverDuringRegionCut(const CaseContext &context)
{
    constexpr std::int64_t work = 40'000;
    Record &record = context.record;
    const DeploymentPointer running(new Deployment(context.program, record, [](const std::string &) {
        return TaskPlan{work, false};
    }));
    Deployment &deployment = *running;
    if (!deployment.start()) {
        return Verdict::NotRun;
    }
    Entry &old = *deployment.owner();
    std::string rack;
    for (const auto &side : deployment.sides) {
        rack = side->zone == old.zone ? side->rack : rack;
    }
    const nlohmann::json phase{{"count", 2}, {"cpu", 8000}, {"memMb", 16000}, {"gpu", 2}, {"estimateMs", work}, {"affinity", rack}};
    const std::string job = "5c0e7a21d94b36f8";
    const nlohmann::json body{{"spec", "(text)"}, {"phases", {phase}}};
    if (deployment.request(old, "POST", job, body.dump()).first != 200) {
        return Verdict::NotRun;
    }
    constexpr std::int64_t startTime = 5000;
    if (!Deployment::waitFor(startTime, [&] {
            return deployment.log.runs().size() == 2;
        })) {
        return Verdict::NotRun;
    }
    sleepMs(2000);

    // The cut begins while the store's answer to the first transaction after the signal is on its way. The signal is sent soon after a
    // renewal, so that this transaction is the one that releases the pool.
    std::atomic<bool> renewed = false;
    std::atomic<bool> stopping = false;
    std::atomic<bool> isCut = false;
    deployment.store.observe([&](const std::string &caller, const nlohmann::json &) {
        if (caller != old.name) {
            return;
        }
        renewed = true;
        if (context.trouble && stopping && !isCut.exchange(true)) {
            deployment.cutOff(old.zone);
        }
    });
    if (!Deployment::waitFor(startTime, [&] {
            return renewed.load();
        })) {
        return Verdict::NotRun;
    }
    constexpr std::int64_t answerTime = 60;
    sleepMs(answerTime);
    stopping = true;
    const char *part = std::getenv("REVIEW_PART"); // "cut": without the signal, for comparison
    const bool isStopped = part == nullptr || std::string_view(part) != "cut";
    if (isStopped) {
        record.write("SIGTERM to " + old.name);
        old.program->signal(SIGTERM);
    }

    constexpr std::int64_t grace = 6000;
    const std::int64_t stoppedAt = nowMs();
    Deployment::waitFor(grace, [&] {
        return !old.program->isRunning();
    });
    if (isStopped && old.program->isRunning()) {
        record.write("SIGKILL to " + old.name + " after the grace period");
        old.program->signal(SIGKILL);
    }
    constexpr std::int64_t cutLength = 16'000;
    sleepMs(cutLength - (nowMs() - stoppedAt));
    deployment.heal();
    sleepMs(3000);
    const bool broken = hasOverlap(deployment.log.runs(), record);
    deployment.store.observe({});
    if (context.trouble && !isCut) {
        return Verdict::NotRun;
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
