#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace oleanderhall::soak {

/// Internal: a fleet node as a child process. The destructor kills it.
class NodeProcess
{
public:
    /// `command` is the executable and its arguments. Standard output and error are appended to the
    /// file `logFile`.
    NodeProcess(std::vector<std::string> command, std::string logFile);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    /// Throws std::system_error when the program can't be started.
    void start();
    /// Sends a signal; does nothing when the process has not been started or its exit is known.
    void signal(int number) const;
    /// Returns whether the process runs; reaps it when it has terminated.
    bool isRunning();
    /// Returns whether the process ever terminated without SIGKILL or SIGTERM from this object.
    bool hasCrashed() const { return m_hasCrashed; }

private:
    std::vector<std::string> m_command;
    std::string m_logFile;
    pid_t m_pid = -1;
    mutable bool m_isTerminationRequested = false;
    bool m_hasCrashed = false;
};

} // namespace oleanderhall::soak
