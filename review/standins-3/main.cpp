#include "Cases.h"

#include <csignal>
#include <cstring>
#include <exception>
#include <iostream>
#include <map>

int main(int argc, char **argv)
{
    using namespace review;
    const std::map<std::string, Verdict (*)(const CaseContext &)> cases{{"hand-over-during-region-cut", handOverDuringRegionCut},
                                                                        {"cancel-before-late-submission", cancelBeforeLateSubmission},
                                                                        {"suspension-behind-cut", suspensionBehindCut}};
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "usage: case NAME PROGRAM RECORD; with TROUBLE=0 without the disruption\n";
        return static_cast<int>(Verdict::NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char *trouble = std::getenv("TROUBLE");
    Record record(argv[3]);
    Verdict verdict = Verdict::NotRun;
    try {
        verdict = cases.at(argv[1])({argv[2], trouble == nullptr || std::strcmp(trouble, "0") != 0, record});
    } catch (const std::exception &error) {
        record.write(std::string("error: ") + error.what());
    }
    static constexpr const char *names[]{"held", "broken", "could not run"};
    record.write(std::string("verdict: ") + names[static_cast<int>(verdict)]);
    std::cout << argv[1] << ": " << names[static_cast<int>(verdict)] << std::endl;
    // Threads of the stand-ins still run; the processes of the product have been ended.
    std::_Exit(static_cast<int>(verdict));
}
