#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace oleanderhall::soak {

/// Internal: one fleet node as a process of its own, started and signalled by its process id. Its
/// destructor kills it.
class NodeProcess
{
public:
    /// `command` is the program and its arguments; output is appended to the file `log`.
    NodeProcess(std::vector<std::string> command, std::string log);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /// Throws std::system_error when the program can't be started.
    void start();
    void signal(int number) const;
    /// Returns whether the process runs; takes its exit status when it has ended.
    bool isRunning();
    /// Returns whether the process ended by itself, that is without SIGKILL or SIGTERM from here.
    bool hasCrashed() const { return m_hasCrashed; }

private:
    std::vector<std::string> m_command;
    std::string m_logFile;
    pid_t m_pid = -1;
    mutable bool m_isTerminationRequested = false;
    bool m_hasCrashed = false;
};

} // namespace oleanderhall::soak
