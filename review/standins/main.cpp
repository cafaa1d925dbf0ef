#include "Play.h"

#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <unistd.h>

namespace review
{
namespace
{

using namespace banyanlock;
using Json = nlohmann::json;

std::string jobId(std::uint32_t number)
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016x", 0x5c0e7a00U + number);
    return text;
}

Json phase(std::uint32_t count, const Room &room, std::int64_t estimateMs)
{
    Json json{{"count", count}, {"cpu", room.cpu}, {"memMb", room.memMb}, {"estimateMs", estimateMs}};
    if (room.gpu > 0) {
        json["gpu"] = room.gpu;
    }
    return json;
}

/// A few small jobs a second, as on a calm day.
void submitOrdinaryJobs(Play &play, std::int64_t fromMs, std::int64_t untilMs, std::uint32_t firstNumber)
{
    const Room room{15'000, 31'000, 1};
    std::uint32_t number = firstNumber;
    for (std::int64_t time = fromMs; time < untilMs; time += 1000) {
        play.at(time, [&play, room, id = jobId(number++)] {
            play.submit(id, "normal", {{"spec", "quote " + id}, {"phases", {phase(2, room, 1500)}}},
                        {{fromMilliseconds(1500), false, room, 1}});
        });
    }
}

/// A large job of several gangs among ordinary jobs; without trouble it has one gang.
void playLargeJob(Play &play)
{
    submitOrdinaryJobs(play, 0, 20'000, 1);
    play.at(5000, [&play] {
        constexpr std::uint32_t members = 512;
        const Room room{200, 64, 0};
        Json phases = Json::array();
        std::vector<TaskNature> steps;
        for (int gang = 0; gang < (play.options().trouble ? 3 : 1); ++gang) {
            phases.push_back(phase(members, room, 5000));
            phases.back()["gang"] = true;
            steps.push_back({fromMilliseconds(5000), false, room, members});
        }
        play.submit(jobId(1000), "bulk", {{"spec", "large"}, {"phases", phases}}, steps);
    });
    play.at(20'000 + 14'000, [&play] {
        play.checkRuns(2);
        play.checkLostThenFinish({15'000, 31'000, 1});
    });
}

/// More than 500 ends at one executor while the store is down.
void playManyEnds(Play &play)
{
    const Room room{50, 32, 0};
    for (std::uint32_t number = 0; number < 25; ++number) {
        play.at(200 * number, [&play, room, number] {
            const std::string id = jobId(number);
            Json second = phase(10, room, 1000);
            second["after"] = {0};
            play.submit(id, "normal", {{"spec", "audit " + id}, {"phases", {phase(50, room, 6000), second}}},
                        {{fromMilliseconds(6000), false, room, 1, fromMilliseconds(5)}, {fromMilliseconds(1000), false, room, 1}});
        });
    }
    if (play.options().trouble) {
        play.at(6800, [&play] {
            play.record("the store is down");
            play.store().setState(StoreState::Silent);
        });
        play.at(11'000, [&play] {
            play.record("the store is back");
            play.store().setState(StoreState::Up);
        });
    }
    submitOrdinaryJobs(play, 13'000, 16'000, 100);
    play.at(30'000, [&play] {
        play.checkRuns(2);
        play.checkLostThenFinish({15'000, 31'000, 1});
    });
}

/// A gang whose work can't be done fails on an executor that is cut off for 3 s.
void playGangBudget(Play &play)
{
    submitOrdinaryJobs(play, 0, 12'000, 100);
    const Room room{100'000, 150'000, 8}; // one executor each
    play.at(1000, [&play, room] {
        Json gang = phase(2, room, 3000);
        gang["gang"] = true;
        play.submit(jobId(1), "urgent", {{"spec", "poison"}, {"phases", {gang}}}, {{fromMilliseconds(3000), true, room, 2}});
    });
    if (play.options().trouble) {
        play.at(3000, [&play] {
            for (const Start &start : play.fleet().starts) {
                if (start.task == jobId(1) + ".0.0.0" && start.how.empty()) {
                    const auto index = static_cast<std::size_t>(std::stoul(start.executor.substr(2)) - 7'000'000);
                    play.record("connections to " + start.executor + " are refused; it runs on");
                    play.setRefused(index, true);
                    play.at(6500, [&play, index] {
                        play.record("connections to it are accepted again");
                        play.setRefused(index, false);
                    });
                    return;
                }
            }
            play.fail("the gang has not started");
        });
    }
    const Room half{60'000, 100'000, 4};
    play.at(14'000, [&play, half] {
        // Two tasks on each executor: every agent has something to report again.
        play.submit(jobId(2), "normal", {{"spec", "audit"}, {"phases", {phase(12, half, 1500)}}},
                    {{fromMilliseconds(1500), false, half, 1}});
    });
    play.at(26'000, [&play] {
        play.checkRuns(2);
        play.checkLostThenFinish({15'000, 31'000, 1});
    });
}

/// Executors of one kind go down and up by turns while the time of day of their machines is set back.
void playBornBack(Play &play)
{
    constexpr std::int64_t stepAtMs = 5500;
    constexpr std::int64_t stepMs = -2400;
    submitOrdinaryJobs(play, 0, 20'000, 100);
    if (play.options().trouble) {
        for (const std::int64_t time : {2000, 3400, 4800, 6200}) {
            play.at(time, [&play, offset = time > stepAtMs ? stepMs : 0] {
                for (std::size_t index = 0; index < 2; ++index) {
                    play.fleet().executors[index]->restart(play.options().onlyFlap ? 0 : offset);
                }
            });
        }
    }
    const Room room{26'000, 38'000, 2};
    play.at(12'000, [&play, room] {
        Json needs = phase(1, room, 1500);
        needs["requirements"] = "kind-a";
        play.submit(jobId(1), "urgent", {{"spec", "trace"}, {"phases", {needs}}}, {{fromMilliseconds(1500), false, room, 1}});
    });
    play.at(20'000 + 14'000, [&play, room] {
        play.checkRuns(2);
        play.checkLostThenFinish(room);
    });
}

/// Jobs are placed on an executor whose machine has just been cut off; the number of pending jobs omits them.
void playPending(Play &play)
{
    const Room whole{100'000, 150'000, 8};
    const std::size_t last = play.options().executors - 1;
    for (std::uint32_t number = 0; number < last; ++number) {
        play.at(0, [&play, whole, number] {
            play.submit(jobId(number), "urgent", {{"spec", "match"}, {"phases", {phase(1, whole, 25'000)}}},
                        {{fromMilliseconds(25'000), false, whole, 1}});
        });
    }
    play.at(3000, [&play] {
        std::size_t index = 0;
        for (std::size_t each = 0; each < play.options().executors; ++each) {
            index = play.fleet().executors[each]->used().gpu == 0 ? each : index;
        }
        if (play.options().trouble) {
            play.record("the machine of " + play.fleet().executors[index]->id() + " is cut off");
            play.setCut(index, true);
            play.at(3000 + 5500, [&play, index] {
                play.record("the cut has healed");
                play.setCut(index, false);
            });
        }
    });
    const Room room{5600, 8200, 1};
    for (std::uint32_t number = 0; number < 3; ++number) {
        play.at(3200, [&play, room, number] {
            play.submit(jobId(100 + number), "bulk", {{"spec", "review"}, {"phases", {phase(1, room, 1500)}}},
                        {{fromMilliseconds(1500), false, room, 1}});
        });
    }
    for (std::int64_t time = 3500; time < 12'000; time += 250) {
        play.at(time, [&play] {
            play.askPending("bulk", static_cast<std::size_t>(play.seconds() * 4) % play.options().entries, [&play](std::int64_t pending) {
                constexpr Duration visible = fromMilliseconds(5000); // visible_ms + 2 s
                std::int64_t waiting = 0;
                for (const auto &[id, job] : play.jobs()) {
                    const bool counts = job.path.starts_with("/bulk/") && job.accepted && !play.hasBegun(id);
                    waiting += counts && EventLoop::now() - job.acceptedAt > visible ? 1 : 0;
                }
                if (2 * pending < waiting) {
                    play.violate("MIXED: pending is " + std::to_string(pending) + ", though " + std::to_string(waiting)
                                 + " jobs that were accepted over 5 s ago have not begun");
                }
            });
        });
    }
    play.at(30'000, [&play, room] {
        play.checkRuns(2);
        play.checkLostThenFinish(room);
    });
}

/// A job whose text holds the character U+0000.
void playNullText(Play &play)
{
    submitOrdinaryJobs(play, 0, 6000, 100);
    const Room room{5600, 8200, 1};
    play.at(1000, [&play, room] {
        const std::string text = play.options().trouble ? std::string("review\0of photo 17", 18) : "review of photo 17";
        play.submit(jobId(1), "normal", {{"spec", text}, {"phases", {phase(1, room, 1500)}}}, {{fromMilliseconds(1500), false, room, 1}});
    });
    play.at(12'000, [&play, room] {
        play.checkRuns(2);
        play.checkLostThenFinish(room);
    });
}

/// A lasting gang on two executors ends `done`; it has to be started again.
void playLastingGang(Play &play)
{
    submitOrdinaryJobs(play, 0, 12'000, 100);
    const Room room{100'000, 150'000, 8}; // one executor each
    const std::string id = jobId(1);
    play.at(1000, [&play, room, id] {
        Json gang = phase(2, room, 4000);
        gang["gang"] = true;
        gang["longRunning"] = true;
        const Duration work = fromMilliseconds(play.options().trouble ? 4000 : 600'000);
        play.submit(id, "normal", {{"spec", "serve"}, {"phases", {gang}}}, {{work, false, room, 2}});
    });
    play.at(22'000, [&play, id] {
        play.askAll();
    });
    play.at(22'500, [&play, id] {
        play.checkRuns(2);
        constexpr Duration bound = fromMilliseconds(6000 + 3000); // 6 s after its last run, for 3 s
        TimePoint lastEnd{};
        for (const Start &start : play.fleet().starts) {
            if (start.task.starts_with(id + ".")) {
                lastEnd = std::max(lastEnd, start.how.empty() ? EventLoop::now() : start.endedAt);
            }
        }
        const Job &job = play.jobs().at(id);
        if (!job.accepted || lastEnd == TimePoint()) {
            play.fail("the lasting job has not started");
        } else if (EventLoop::now() - lastEnd > bound) {
            play.violate("LOST: the lasting job " + job.path + " was accepted and not cancelled, is shown as '" + job.state
                         + "', and nothing of it has run for " + std::to_string((EventLoop::now() - lastEnd).count() / 1'000'000) + " s");
        }
        play.finish();
    });
}

/// A start without an answer is carried out late, after the executor's machine has lost power and returned.
void playLateStart(Play &play)
{
    submitOrdinaryJobs(play, 0, 12'000, 100);
    const Room room{26'000, 38'000, 2};
    const std::string id = jobId(1);
    constexpr std::int64_t darkAtMs = 5000;
    constexpr std::int64_t backAtMs = 8500;
    constexpr std::int64_t lateAtMs = 9000;
    play.at(3000, [&play, room, id] {
        if (play.options().trouble) {
            play.fleet().lateTask = id + ".0.0.0";
            play.fleet().lateAt = EventLoop::now() + fromMilliseconds(lateAtMs - 3000);
        }
        play.submit(id, "normal", {{"spec", "notice"}, {"phases", {phase(1, room, 1500)}}}, {{fromMilliseconds(1500), false, room, 1}});
    });
    if (play.options().trouble) {
        play.at(darkAtMs, [&play, id] {
            for (const Start &start : play.fleet().starts) {
                if (start.task == id + ".0.0.0" && start.how == "done" && start.noted) {
                    const auto index = static_cast<std::size_t>(std::stoul(start.executor.substr(2)) - 7'000'000);
                    play.agent(index).kill();
                    play.fleet().executors[index]->losePower();
                    play.at(backAtMs, [&play, index] {
                        play.fleet().executors[index]->restart(0);
                        play.agent(index).start();
                    });
                    return;
                }
            }
            play.fail("the task has not ended yet");
        });
    }
    play.at(26'000, [&play, room] {
        play.checkRuns(2);
        play.checkLostThenFinish(room);
    });
}

/// A case: what is played, and how large.
struct Case {
    void (*begin)(Play &);
    std::size_t executors;
    std::int64_t agentDelayMs;
};

const std::map<std::string, Case> cases{{"large-job", {playLargeJob, 6, 0}},     {"many-ends", {playManyEnds, 4, 20}},
                                        {"gang-budget", {playGangBudget, 6, 0}}, {"born-back", {playBornBack, 14, 0}},
                                        {"pending", {playPending, 6, 0}},        {"lasting-gang", {playLastingGang, 6, 0}},
                                        {"late-start", {playLateStart, 7, 0}},   {"null-text", {playNullText, 4, 0}}};

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    using namespace review;
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "usage: review-play CASE FOLDER PROGRAM\n";
        return 2;
    }
    const std::filesystem::path directory = std::filesystem::temp_directory_path() / ("review-" + std::to_string(getpid()));
    const char *keep = std::getenv("KEEP_LOGS");
    int code = 2;
    try {
        const Case &chosen = cases.at(argv[1]);
        const char *trouble = std::getenv("TROUBLE");
        PlayOptions options;
        options.program = argv[3];
        options.folder = argv[2];
        options.directory = keep != nullptr ? keep : directory.string();
        options.trouble = trouble == nullptr || std::string(trouble) != "0";
        options.onlyFlap = trouble != nullptr && std::string(trouble) == "flap";
        options.executors = chosen.executors;
        options.agentDelay = banyanlock::fromMilliseconds(chosen.agentDelayMs);
        Play play(options);
        code = play.run([&] {
            chosen.begin(play);
        });
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
    }
    if (keep == nullptr) {
        std::filesystem::remove_all(directory);
    }
    return code;
}
