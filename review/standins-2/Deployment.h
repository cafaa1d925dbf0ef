#pragma once

#include "Executors.h"
#include "Record.h"
#include "Store.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// A process of the product, with the settings file that its template of the deploy file gives.
class ProductProcess
{
public:
    ProductProcess(std::string name, std::string role, std::string settingsPath, std::string logPath);
    ~ProductProcess();
    ProductProcess(const ProductProcess &) = delete;
    ProductProcess &operator=(const ProductProcess &) = delete;

    void start();
    void signal(int number);

    /// Waits for the end of a process that was told to stop; kills it after 6 s (`graceS`).
    void stop();
    void kill();

    /// @return Whether the process has ended by itself.
    bool hasEnded();

    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
    std::string m_role;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_process = -1;
};

/// An executor's machine.
struct SideMachine {
    std::string zone;
    std::string rack;
    std::string kind = "a";
};

/// A small deployment on loopback addresses, one for each machine: entries, agents, executors and the platform's store.
class Deployment
{
public:
    /// @param record Record of the case.
    /// @param entries Number of entries; each is in a zone of its own.
    /// @param sides Executors' machines.
    Deployment(Record &record, std::size_t entries, const std::vector<SideMachine> &sides);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Writes a configuration with one queue for each priority from 0 to 2, and starts everything.
    /// @param executorsToo Whether the executors start as well.
    void start(bool executorsToo = true);

    /// @return Whether all entries are ready and a job can be placed, before the time is over.
    bool waitUntilReady(int timeoutMilliseconds);

    /// Submits a job and tries again at the next entry, like a client, until it is accepted.
    /// @return Whether it was accepted.
    bool submit(std::uint32_t priority, const std::string &id, const nlohmann::json &job, std::vector<StepModel> steps, int tries = 5);

    /// Asks for the state of a job.
    /// @return The state, the status in text form if there is none, or "no answer".
    std::string state(std::uint32_t priority, const std::string &id);

    /// Cancels a job.
    /// @return Status of the answer; zero if there was none.
    int cancel(std::uint32_t priority, const std::string &id);

    /// Sends a call of a client to an entry.
    std::optional<HttpAnswer> call(std::size_t entry, const std::string &method, const std::string &path, const std::string &body);

    std::string pathOf(std::uint32_t priority, const std::string &id) const;

    Store &store()
    {
        return *m_store;
    }
    ExecutorWorld &executors()
    {
        return m_world;
    }
    Executor &executor(std::size_t index)
    {
        return *m_executors[index];
    }
    ProductProcess &entry(std::size_t index)
    {
        return *m_entries[index];
    }
    ProductProcess &agent(std::size_t index)
    {
        return *m_agents[index];
    }

    /// @return Name of the entry that owns the pool, by the row that the entries write; empty if none does.
    std::string owner();

    /// @return The operator's configuration.
    nlohmann::json &configuration()
    {
        return m_configuration;
    }

private:
    std::string writeSettings(const std::string &templateName, const std::map<std::string, std::string> &fields);

    Record &m_record;
    std::string m_folder;
    std::uint16_t m_portBase = 0;
    std::unique_ptr<Store> m_store;
    ExecutorWorld m_world;
    std::vector<std::unique_ptr<ProductProcess>> m_entries;
    std::vector<std::unique_ptr<ProductProcess>> m_agents;
    std::vector<Executor *> m_executors;
    nlohmann::json m_configuration;
    std::size_t m_nextEntry = 0;
};

} // namespace review
