#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace banyanlock
{

/// A real program that the soak has started, with its output in a file.
class SoakProcess
{
public:
    /// @param name Name, for reports.
    /// @param command Program and arguments.
    /// @param logPath File that its output is added to.
    SoakProcess(std::string name, std::vector<std::string> command, std::string logPath);

    /// Kills the process if it runs.
    ~SoakProcess();

    SoakProcess(const SoakProcess &) = delete;
    SoakProcess &operator=(const SoakProcess &) = delete;

    /// Starts the program; it must not run.
    void start();

    /// @param number Signal to send; nothing happens when it does not run.
    void signal(int number);

    /// Kills the process and waits for its end.
    void kill();

    /// @return Whether it runs; a process that has ended is collected.
    bool isRunning();

    /// @return Name, for reports.
    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_name;
    std::vector<std::string> m_command;
    std::string m_logPath;
    pid_t m_pid = 0;
};

} // namespace banyanlock
