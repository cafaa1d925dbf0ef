#pragma once

#include "Executor.h"
#include "Proxy.h"
#include "Record.h"
#include "Store.h"

#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

/// A program of the product as a process of its own.
class Program
{
public:
    /// @param command Program and arguments.
    /// @param log File for its output.
    Program(std::vector<std::string> command, std::string log);
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    /// Starts the process.
    void start();

    /// @param signal Signal to send.
    void signal(int signal) const;

    /// @return Whether the process is there.
    bool isRunning();

    /// @return Id of the process, or -1 if it is not there.
    int pid() const
    {
        return m_pid;
    }

private:
    std::vector<std::string> m_command;
    std::string m_log;
    pid_t m_pid = -1;
};

/// An entry with its addresses and its link to the store.
struct Entry {
    std::string name; ///< Name.
    std::string zone; ///< Zone.
    int callerPort = 0; ///< Port for clients.
    int readyPort = 0; ///< Port for readiness probes.
    std::unique_ptr<Proxy> storeLink; ///< Link to the store.
    std::unique_ptr<Program> program; ///< Process.
};

/// An agent with its executor and its links.
struct Side {
    std::string name; ///< Name of the machine.
    std::string zone; ///< Zone.
    std::string rack; ///< Rack.
    std::unique_ptr<Proxy> storeLink; ///< Link to the store.
    std::unique_ptr<Proxy> agentLink; ///< Link from the entries to the agent.
    std::unique_ptr<Executor> executor; ///< Executor.
    std::unique_ptr<Program> program; ///< Process of the agent.
};

/// A small deployment: an entry and two executors with their agents in each of three zones.
class Deployment
{
public:
    /// @param program Path of the product's program.
    /// @param record Record of the case.
    /// @param plan What each task does.
    Deployment(std::string program, Record &record, std::function<TaskPlan(const std::string &)> plan);
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// Ends all processes and removes the temporary folder.
    void end();

    /// Starts all processes and waits until the deployment serves clients.
    /// @return Whether it does.
    bool start();

    /// @return Entry that owns the pool according to the store; null if none does.
    Entry *owner();

    /// Cuts a zone, a region of its own, off from the other regions, in one of which the store is.
    /// @param zone The zone.
    void cutOff(const std::string &zone);

    /// Ends all cuts.
    void heal();

    /// Sends a client's call and records it.
    /// @param entry Entry to call.
    /// @param method Method.
    /// @param job Id of the job.
    /// @param body Body.
    /// @return Status of the answer, 0 without one, and its body.
    std::pair<int, std::string> request(const Entry &entry, const std::string &method, const std::string &job,
                                        const std::string &body = "");

    /// Waits until a condition holds.
    /// @param timeout Longest wait, in milliseconds.
    /// @param condition The condition.
    /// @return Whether it held in time.
    static bool waitFor(std::int64_t timeout, const std::function<bool()> &condition);

    Store store; ///< The store.
    RunLog log; ///< All runs.
    std::vector<std::unique_ptr<Entry>> entries; ///< Entries, one a zone.
    std::vector<std::unique_ptr<Side>> sides; ///< Agents and executors, two a zone.

private:
    ~Deployment() = default; // threads of the stand-ins use it until the process ends

    std::string nameOfClient(int port) const;
    std::string writeSettings(const std::string &name, const std::string &text) const;

    std::string m_program;
    Record &m_record;
    std::string m_directory;
};

/// Ends the processes of a deployment.
struct DeploymentEnd {
    /// @param deployment The deployment.
    void operator()(Deployment *deployment) const
    {
        deployment->end();
    }
};

/// A deployment whose processes end with the pointer.
using DeploymentPointer = std::unique_ptr<Deployment, DeploymentEnd>;

} // namespace review
