#include "nodeprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace oleanderhall::soak {

namespace {

constexpr int kLogFileMode = 0644;

} // namespace

NodeProcess::NodeProcess(std::vector<std::string> command, std::string logFile)
    : m_command(std::move(command))
    , m_logFile(std::move(logFile))
{}

NodeProcess::~NodeProcess()
{
    if (!isRunning())
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void NodeProcess::start()
{
    std::vector<char *> arguments;
    for (std::string &word : m_command)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&m_pid, arguments.front(), &actions, nullptr, arguments.data(),
                                   environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::system_error(failed, std::generic_category(), m_command.front());
    m_isTerminationRequested = false;
}

void NodeProcess::signal(int number) const
{
    if (m_pid <= 0)
        return;
    m_isTerminationRequested = m_isTerminationRequested || number == SIGKILL || number == SIGTERM;
    ::kill(m_pid, number);
}

bool NodeProcess::isRunning()
{
    if (m_pid <= 0)
        return false;
    if (::waitpid(m_pid, nullptr, WNOHANG) == 0)
        return true;
    m_hasCrashed = m_hasCrashed || !m_isTerminationRequested;
    m_pid = -1;
    return false;
}

} // namespace oleanderhall::soak
