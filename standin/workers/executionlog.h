#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace standin {

/// One execution of a request at an instance. Times are microseconds of the monotonic clock.
struct Execution
{
    std::string requestId;
    std::string host;
    std::string service;
    std::int64_t startUs = 0;
    std::int64_t endUs = 0; ///< Zero while the request runs, or when it was cut off.
};

/// An ExecutionLog records the requests that all instances execute, for history checks.
/// Thread-safe.
class ExecutionLog
{
public:
    /// Records the start of an execution and returns its number.
    std::size_t start(Execution execution);
    /// Records the end of the execution with this number.
    void end(std::size_t number);
    /// Returns all executions, one per line: request id, host, service, start, end.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Execution> m_executions;
};

/// Returns the time of the monotonic clock in microseconds.
std::int64_t monotonicUs();

} // namespace standin
