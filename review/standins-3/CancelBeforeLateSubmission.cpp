#include "Cases.h"

namespace review
{

Verdict cancelBeforeLateSubmission(const CaseContext &context)
{
    constexpr std::int64_t work = 20'000;
    constexpr std::int64_t cancelBound = 3000; // cancel_ms
    constexpr std::int64_t cutLength = 5500;
    Record &record = context.record;
    const DeploymentPointer running(new Deployment(context.program, record, [](const std::string &) {
        return TaskPlan{work, false};
    }));
    Deployment &deployment = *running;
    if (!deployment.start()) {
        return Verdict::NotRun;
    }
    const Entry *owner = deployment.owner();
    Entry *cutOff = nullptr;
    Entry *other = nullptr;
    for (const auto &entry : deployment.entries) {
        if (entry.get() != owner) {
            other = cutOff == nullptr ? nullptr : entry.get();
            cutOff = cutOff == nullptr ? entry.get() : cutOff;
        }
    }
    const nlohmann::json phase{{"count", 2}, {"cpu", 8000}, {"memMb", 16000}, {"gpu", 2}, {"estimateMs", work}};
    const nlohmann::json body{{"spec", "(text)"}, {"phases", {phase}}};
    // Earlier calls of clients, after which the entry keeps connections to the store open.
    if (deployment.request(*cutOff, "POST", "00000000000000a1", body.dump()).first != 200) {
        return Verdict::NotRun;
    }
    sleepMs(1500);

    const std::string job = "5c0e7a21d94b36f8";
    const std::int64_t cutAt = nowMs();
    if (context.trouble) {
        record.write(cutOff->name + " is cut off from the store");
        cutOff->storeLink->cut();
    }
    sleepMs(100);
    const int submitted = deployment.request(*cutOff, "POST", job, body.dump()).first;
    const int cancelled = deployment.request(*other, "DELETE", job).first;
    const std::int64_t cancelledAt = nowMs();
    if (context.trouble) {
        sleepMs(cutLength - (nowMs() - cutAt));
        record.write(cutOff->name + " reaches the store again");
        cutOff->storeLink->heal();
    }
    sleepMs(6000);
    deployment.request(*other, "GET", job);
    if (cancelled != 200 && cancelled != 410) {
        return Verdict::NotRun;
    }
    if (context.trouble && (submitted == 200 || submitted == 503)) {
        return Verdict::NotRun;
    }
    bool broken = false;
    for (const SeenRun &run : deployment.log.runs()) {
        if (run.task.starts_with(job) && run.begin > cancelledAt + cancelBound) {
            broken = true;
            record.write("UNASKED: " + run.task + " began " + std::to_string(run.begin - cancelledAt)
                         + " ms after the cancelling of its job was acknowledged");
        }
    }
    return broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
