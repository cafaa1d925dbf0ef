// Faults of whole machines: power losses, workers that come back as another kind, pauses, and calls that arrive late.

#include "Soak.h"

#include <csignal>

namespace banyanlock
{

void Soak::harmMachine()
{
    const std::size_t machine = m_random.below(static_cast<std::uint32_t>(m_workers.size()));
    const std::string name = "machine " + std::to_string(machine);
    constexpr Resources smaller{usualCapacity.processors / 2, usualCapacity.memory / 2, usualCapacity.accelerators / 2};
    switch (m_random.below(7)) {
    case 0:
        losePowerOfAll(1 + m_random.below(3));
        break;
    case 1:
    case 2:
        fault(name + " loses power");
        losePower(machine);
        break;
    case 3:
    case 4:
        fault(name + " comes back smaller, of another kind");
        changeKind(machine, smaller, m_random.chance(0.5) ? "other" : usualKind);
        break;
    case 5:
        fault("calls and announcements late");
        makeCallsLate(0.2 + 0.1 * m_random.below(5));
        break;
    default:
        fault("calls and announcements in time");
        makeCallsLate(0.0);
    }
}

void Soak::makeCallsLate(double share)
{
    for (const std::unique_ptr<WorkerServer> &worker : m_workers) {
        worker->setLateCalls(share);
        worker->setLateAnnouncements(share / 2);
    }
}

void Soak::restart(SoakProcess &process, Duration after)
{
    process.kill();
    m_loop.timers().subscribe(EventLoop::now() + after, [&process](TimePoint) {
        if (!process.isRunning()) {
            process.start();
        }
    });
}

void Soak::losePower(std::size_t machine)
{
    m_workers[machine]->restart();
    restart(agentOf(machine), fromMilliseconds(m_random.chance(0.5) ? 0 : m_random.below(1500)));
}

void Soak::losePowerOfAll(std::uint32_t times)
{
    fault("all lose power");
    for (std::size_t machine = 0; machine < m_workers.size(); ++machine) {
        losePower(machine);
    }
    for (std::size_t entry = 0; entry < m_options.entries; ++entry) {
        restart(*m_processes[entry], Duration::zero());
    }
    const TimePoint next = EventLoop::now() + fromMilliseconds(300 + m_random.below(3000));
    if (times > 1 && next < m_faultsEnd) {
        m_loop.timers().subscribe(next, [this, times](TimePoint) {
            losePowerOfAll(times - 1);
        });
    }
}

void Soak::changeKind(std::size_t machine, const Resources &capacity, const std::string &kind)
{
    PoolWorkerModel &worker = m_workers[machine]->model();
    m_workers[machine]->restart();
    worker.setKind(capacity, {kind, worker.announcement().labels.back()});
    if (m_random.chance(0.5)) {
        restart(agentOf(machine), Duration::zero());
    }
}

void Soak::pauseProcesses()
{
    for (std::uint32_t count = 1 + m_random.below(3); count > 0; --count) {
        SoakProcess &process = *m_processes[m_random.below(static_cast<std::uint32_t>(m_processes.size()))];
        const Duration pause = fromMilliseconds(1000 + m_random.below(8000));
        fault("pause " + process.name() + " for " + std::to_string(toMilliseconds(pause)) + " ms");
        process.signal(SIGSTOP);
        m_loop.timers().subscribe(EventLoop::now() + pause, [&process](TimePoint) {
            process.signal(SIGCONT);
        });
    }
}

} // namespace banyanlock
