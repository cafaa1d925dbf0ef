#pragma once

#include "PoolWorld.h"

#include <list>
#include <memory>
#include <string>

namespace banyanlock
{

/// Wall-clock time at the origin of virtual time, in milliseconds since 1970.
inline constexpr std::int64_t virtualTimeOriginUnixMilliseconds = 1'700'000'000'000;

/// @param index Index of an agent.
/// @return Its RPC address.
inline std::string agentAddress(std::size_t index)
{
    return "10.0.0." + std::to_string(index + 1) + ":7000";
}

/// The process of an entry, made of the daemon's own classes.
struct PoolWorld::Entry {
    Entry(PoolWorld &world, const EntryIdentity &identity)
        : name(identity.name)
        , loop(world.m_now)
        , store(loop, world.m_tableService, world.m_random)
        , mirror(store, loop, world.m_counters)
        , scheduler(mirror.jobs(), mirror.operators(), WorldPlatform::operatorRows(), PoolTiming(), PlannerPolicy(), world.m_counters,
                    world.m_options.tableLimits)
        , owner(identity, loop, store, mirror, scheduler, world.m_counters, world.m_latencies)
        , api(loop, store, mirror, fromMilliseconds(5000), world.m_counters, world.m_latencies, world.m_options.tableLimits)
    {
    }

    std::string name;
    VirtualLoop loop;
    VirtualStore store;
    PoolMirror<WorldPlatform> mirror;
    PoolScheduler scheduler;
    PoolOwner<WorldPlatform> owner;
    PoolApi<WorldPlatform> api;
    bool partitionedFromAgents = false;
    bool inCutOffRegion = false;
    bool killed = false;
};

/// The process of an agent, with its worker.
struct PoolWorld::Agent {
    Agent(PoolWorld &world, std::size_t number)
        : index(number)
        , address(agentAddress(number))
        , loop(std::make_unique<VirtualLoop>(world.m_now))
    {
    }

    /// A call of an entry that waits for a change of the status.
    struct PendingCall {
        SuperviseRequest request;
        std::function<void(WorkerStatus)> reply;
        TimePoint deadline{};
    };

    std::size_t index;
    std::string address;
    std::unique_ptr<VirtualLoop> loop;
    std::unique_ptr<WorkerSupervisor> supervisor;
    std::unique_ptr<PoolWorkerModel> worker;
    std::list<PendingCall> pendingCalls;
    std::uint64_t generation = 0; // number of processes the agent has had
    bool registering = false; // a registration in the table service is in flight
    bool partitioned = false; // from all entries
    bool inCutOffRegion = false;
    bool partitionedFromWorker = false; // from its worker
    bool removed = false; // the instance is removed, with agent and worker
    bool crashed = false; // the worker's process has ended and is not restarted
};

} // namespace banyanlock
