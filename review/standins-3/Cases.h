#pragma once

#include "Deployment.h"

namespace review
{

/// How a case ended; the exit code of its script.
enum class Verdict : int {
    Held = 0, ///< The rule was kept.
    Broken = 1, ///< The rule was broken.
    NotRun = 2, ///< The case could not run.
};

/// What a case gets.
struct CaseContext {
    std::string program; ///< Path of the product's program.
    bool trouble = true; ///< Whether to bring about the disruption.
    Record &record; ///< Record of the case.
};

/// A region is cut off while the owner of the pool, in it, hands the pool over because it was told to stop.
Verdict handOverDuringRegionCut(const CaseContext &context);

/// A client cancels a job whose submission was held up by a partition between an entry and the store.
Verdict cancelBeforeLateSubmission(const CaseContext &context);

/// The machine of a worker is cut off, and suspended for a part of that time.
Verdict suspensionBehindCut(const CaseContext &context);

/// @param runs All runs.
/// @param record Record of the case; each pair that is found is written to it.
/// @return Whether two runs of one task were at work at the same time.
bool hasOverlap(const std::vector<SeenRun> &runs, Record &record);

} // namespace review
