#include "Cases.h"

#include <algorithm>

namespace review
{

bool hasOverlap(const std::vector<SeenRun> &runs, Record &record)
{
    bool found = false;
    for (std::size_t first = 0; first < runs.size(); ++first) {
        for (std::size_t second = first + 1; second < runs.size(); ++second) {
            const SeenRun &left = runs[first];
            const SeenRun &right = runs[second];
            const std::int64_t leftEnd = left.end < 0 ? nowMs() : left.end;
            const std::int64_t rightEnd = right.end < 0 ? nowMs() : right.end;
            const std::int64_t overlap = std::min(leftEnd, rightEnd) - std::max(left.begin, right.begin);
            if (left.task != right.task || overlap <= 0) {
                continue;
            }
            found = true;
            record.write("TWICE: " + left.task + " run " + std::to_string(left.run) + " on " + left.executor + " and run "
                         + std::to_string(right.run) + " on " + right.executor + " were at work together for " + std::to_string(overlap)
                         + " ms");
        }
    }
    return found;
}

} // namespace review
