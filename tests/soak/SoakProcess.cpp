#include "SoakProcess.h"

#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace banyanlock
{

SoakProcess::SoakProcess(std::string name, std::vector<std::string> command, std::string logPath)
    : m_name(std::move(name))
    , m_command(std::move(command))
    , m_logPath(std::move(logPath))
{
}

SoakProcess::~SoakProcess()
{
    kill();
}

void SoakProcess::start()
{
    std::vector<char *> arguments;
    for (std::string &word : m_command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    constexpr mode_t logMode = 0644;
    const int log = open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
    m_pid = fork();
    if (m_pid == 0) {
        constexpr int execFailed = 127;
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(arguments.front(), arguments.data());
        _exit(execFailed);
    }
    close(log);
    if (m_pid < 0) {
        std::cerr << "can't start " << m_name << "\n";
        m_pid = 0;
    }
}

void SoakProcess::signal(int number)
{
    if (isRunning()) {
        ::kill(m_pid, number);
    }
}

void SoakProcess::kill()
{
    if (isRunning()) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
}

bool SoakProcess::isRunning()
{
    if (m_pid != 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
        m_pid = 0;
    }
    return m_pid != 0;
}

} // namespace banyanlock
