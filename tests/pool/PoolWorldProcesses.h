#pragma once

#include "PoolWorld.h"

#include <list>
#include <memory>
#include <string>

namespace banyanlock
{

/// Time of day at the start of virtual time, in milliseconds since 1970.
inline constexpr std::int64_t worldEpochStart = 1'700'000'000'000;

/// @param index Index of an agent.
/// @return Its RPC address.
inline std::string agentAddress(std::size_t index)
{
    return "10.0.0." + std::to_string(index + 1) + ":7000";
}

/// The process of an entry: the daemon's own parts.
struct PoolWorld::Entry {
    Entry(PoolWorld &world, const std::string &entryName, std::uint64_t incarnation)
        : name(entryName)
        , loop(world.m_now)
        , store(loop, world.m_rows, world.m_random)
        , mirror(store, loop, world.m_counters)
        , scheduler(mirror.jobs(), mirror.operators(), WorldPlatform::operatorRows(), PoolTiming(), PlannerPolicy(), world.m_counters)
        , owner(entryName, incarnation, loop, store, mirror, scheduler, world.m_counters, world.m_latencies)
        , api(loop, store, mirror, fromMilliseconds(5000), world.m_counters, world.m_latencies)
    {
    }

    std::string name;
    VirtualLoop loop;
    VirtualStore store;
    PoolMirror<WorldPlatform> mirror;
    PoolScheduler scheduler;
    PoolOwner<WorldPlatform> owner;
    PoolApi<WorldPlatform> api;
    bool cutFromAgents = false;
    bool dead = false;
};

/// The process of an agent, and its worker.
struct PoolWorld::Agent {
    Agent(PoolWorld &world, std::size_t number)
        : index(number)
        , address(agentAddress(number))
        , loop(std::make_unique<VirtualLoop>(world.m_now))
    {
    }

    struct Waiting {
        SuperviseRequest request;
        std::function<void(WorkerStatus)> reply;
        TimePoint until{};
    };

    std::size_t index;
    std::string address;
    std::unique_ptr<VirtualLoop> loop;
    std::unique_ptr<WorkerSupervisor> supervisor;
    std::unique_ptr<PoolWorkerModel> worker;
    std::list<Waiting> waiting;
    std::uint64_t generation = 0; // counts the agent's processes
    bool cut = false; // from the entries
    bool workerCut = false; // from its worker
    bool gone = false; // with its worker
    bool crashed = false; // the worker's process has ended, and does not come back
};

} // namespace banyanlock
